#!/usr/bin/env bash
# Compiles the stand-ins that the script of this review starts. The build of the deploy
# file comes before; the compiled files go under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review/6 PYTHONPYCACHEPREFIX=target/review-2
python3 -m compileall -q review/6/standins
python3 -c "from standins import rig, store, worker"
