#!/usr/bin/env bash
# Fails when a C++ file is not formatted according to .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -z --cached --others --exclude-standard '*.cpp' '*.h' |
  xargs -0 -r -n 32 -P "$(nproc)" clang-format --dry-run --Werror
echo "format: clean"
