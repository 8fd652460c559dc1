#!/bin/sh
# Play the case and write what was sent, answered and run to record.txt in this folder.
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
python3 -c "import sys; sys.exit(sys.version_info < (3, 11))" || exit 2
exec python3 -B case.py .
