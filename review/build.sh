#!/usr/bin/env bash
# The stand-ins need no build: they use the standard library alone. This checks
# that they are there and can be compiled.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
    print('checked', path)
PY
