#!/usr/bin/env bash
# Prepares the stand-ins of review/6 and later. They are Python and need no build;
# this checks that they compile, and that the program of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
for path in sorted(glob.glob("standins-2/*.py") + glob.glob("*/case.py")):
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PY
test -x ../target/bin/corianderrail
