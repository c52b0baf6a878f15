#!/bin/bash
# Builds the stand-ins that the scripts 11 to 15 start; run it after the deploy file's
# build. They are plain Python and need only the libraries in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
PYTHONPATH=target/deps python3 -m compileall -q -o 0 review/standins_3.py review/1[1-5] >/dev/null
PYTHONPATH=target/deps:review python3 -c "import standins_3"
touch target/review-3/built
