#!/usr/bin/env bash
# Checks and compiles the stand-ins of the scripts; the build of the deploy file comes
# before. The compiled files go under target/, as those of the project do.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review PYTHONPYCACHEPREFIX=target/review
python3 -m compileall -q review
python3 -c "import standins"
