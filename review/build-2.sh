#!/usr/bin/env bash
# Prepares the scripts of the cases 6 to 10, after the build of the deploy file.
# Their stand-ins are Python programs of the standard library alone, so that
# nothing has to be compiled: this checks that they and the node can be started.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/applestand-node
python3 -B -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in review/rig-2/*.py review/[6-9]/case.py review/10/case.py; do
  if [ -f "$file" ]; then
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
  fi
done
echo "the stand-ins are ready"
