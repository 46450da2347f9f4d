"""Runs one test of a complete fleet and prints its result."""

import os
import sys
import tempfile
import traceback


def run(name, body):
    """Calls body(directory, octet) and exits the process with 0, or with 1 if
    it raised; prints the failure and the directory that holds the logs."""
    directory = tempfile.mkdtemp(prefix=f"applestand-{name}-")
    # Each process uses its own loopback network, so that tests can run in
    # parallel.
    octet = 2 + os.getpid() % 250
    try:
        body(directory, octet)
    except BaseException:
        traceback.print_exc()
        print(f"{name}: failed; logs in {directory}", file=sys.stderr)
        sys.exit(1)
    print(f"{name}: passed")
    sys.exit(0)


def report(text):
    print("  " + text, flush=True)
