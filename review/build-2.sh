#!/bin/sh
# Builds the stand-ins of cases 6 to 10: plain Python without dependencies, so
# it only checks that they compile.
cd "$(dirname "$0")/.." || exit 1
exec python3 - review/stand2_*.py review/[6-9]*/case.py review/10*/case.py <<'EOF'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(encoding='utf-8'), name, 'exec')
EOF
