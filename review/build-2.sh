#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python without dependencies, so this only
# checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c "import sys; sys.path.insert(0, 'review'); import bed2"
