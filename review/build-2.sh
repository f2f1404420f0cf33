#!/usr/bin/env bash
# The stand-ins of the cases are Python programs, the project's own among them, and need
# only the libraries that the build of the deploy file puts into target/deps. This checks
# that they can be compiled and imported; nothing is written.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps
python3 - <<'PY'
import ast
from pathlib import Path

import knapweedhinge.test.replica
import knapweedhinge.test.rowstore

for path in sorted(Path("review").glob("[6-9]/*.py")) + sorted(Path("review").glob("10/*.py")):
    ast.parse(path.read_text(), str(path))
PY
