#!/bin/sh
# Builds the stand-ins of the scripts: they are Python without dependencies, so this checks them.
set -eu
cd "$(dirname "$0")/.."
for file in review/common/*.py review/[1-5]/*.py; do
    python3 - "$file" <<'PY'
import ast, pathlib, sys
ast.parse(pathlib.Path(sys.argv[1]).read_text(), sys.argv[1])
PY
done
