#!/bin/sh
# Checks the stand-ins that the scripts start. There is nothing to build: they
# need only the Python of the deploy file and its standard library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B -c '
import pathlib
for path in pathlib.Path("review").rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
'
