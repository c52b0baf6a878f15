#!/bin/bash
# Builds the stand-ins that the scripts 11 and 12 start; run it after the deploy file's
# build. They are plain Python and need only the libraries in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review python3 -c "import standins_3"
touch target/review-3/built
