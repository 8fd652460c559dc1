#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, in common-2/. They are plain Python with its standard library alone, so
# this only checks that they compile with the python3 of the deploy file's commands.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-2/*.py {6,7,8,9,10}/case.py <<'PY'
import sys
assert sys.version_info >= (3, 11), sys.version
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PY
