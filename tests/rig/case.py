"""Runs one test of a whole fleet and says what it saw."""

import os
import sys
import tempfile
import traceback


def run(name, body):
    """Calls body(directory); prints the failure and where the logs are."""
    directory = tempfile.mkdtemp(prefix=f"applestand-{name}-")
    # A net of its own for each process, so that tests may run side by side.
    octet = 2 + os.getpid() % 250
    try:
        body(directory, octet)
    except BaseException:
        traceback.print_exc()
        print(f"{name}: failed; logs in {directory}", file=sys.stderr)
        sys.exit(1)
    print(f"{name}: passed")
    sys.exit(0)


def say(text):
    print("  " + text, flush=True)
