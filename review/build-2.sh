#!/bin/bash
# Builds what the scripts of the second review start: its stand-ins are plain
# Python with the standard library alone, so they are only checked here.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.py [6-9]/case.py 10/case.py; do
  [ -f "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
