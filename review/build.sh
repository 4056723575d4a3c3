#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be imported; they are plain Python.
# Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, "review"); import bed, standins.store'
echo "the stand-ins of the review can be imported"
