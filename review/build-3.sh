#!/bin/sh
# Build the stand-ins that the scripts of review/11 to review/15 start: a worker and the clients, in common-3/ and 15/.
# They are plain Python with its standard library alone, so this only checks that the python3 of the deploy file's
# commands compiles them. The scripts start no stand-in of the project, so there is none of those to build.
set -eu
cd "$(dirname "$0")"
python3 - common-3/*.py 1[1-5]/*.py <<'PY'
import sys
assert sys.version_info >= (3, 11), sys.version
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
