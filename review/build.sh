#!/bin/sh
# Checks the stand-ins of the cases. They are Python programs, as those of
# tests/soak, and need no compiler.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import ast, glob
for path in sorted(glob.glob("*.py") + glob.glob("*/scenario.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
EOF
