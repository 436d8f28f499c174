#!/bin/sh
# Checks the stand-ins, which are Python and need no build. The node program comes from the deploy
# file's build.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
