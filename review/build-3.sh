#!/usr/bin/env bash
# Prepares the stand-ins of the scripts of the cases 12 to 15; needs the build of deploy/system.toml and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
mkdir -p target/review3
cp tests/platform/platform_fakes.py review/stand3.py target/review3/
PYTHONPATH=target/review3:target/deps python3 -m compileall -q target/review3
