#!/usr/bin/env bash
# Prepares the stand-ins of the cases from 6 on. They are Python and need no
# build; checks that the interpreter and the project's own stand-ins can be used.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'PYTHON'
import sys
sys.path[:0] = ["review/common-2", "Tests/Processes"]
import fleet
import standin_platform
PYTHON
