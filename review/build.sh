#!/bin/sh
# Checks and compiles the stand-ins that the scripts start; they need only the
# Python of the deploy file and its standard library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
