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


def run_seeds(seeds, run_seed):
    """Calls run_seed(seed) for each seed of `seeds`, "A" or "A-B", and exits the
    process with 0 if all returned true, otherwise with 1."""
    first, _, last = seeds.partition("-")
    results = [run_seed(seed) for seed in range(int(first),
                                                int(last or first) + 1)]
    sys.exit(0 if all(results) else 1)


def report(text):
    print("  " + text, flush=True)
