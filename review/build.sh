#!/usr/bin/env bash
# Builds the stand-ins of the scripts; the build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review
python3 -m compileall -q review
python3 -c "import standins"
