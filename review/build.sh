#!/bin/sh
# Builds the stand-ins of the scripts. They are written in Python, so that it only
# checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -B -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for file in pathlib.Path(".").glob("*/*.py"):
    ast.parse(file.read_text(), str(file))
'
