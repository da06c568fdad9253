#!/usr/bin/env bash
# Runs clang-tidy on every source file, with the compile commands of the given
# build directory. A file that passed is not checked again until the file, a
# header or .clang-tidy changes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
cache=${LINT_CACHE:-$build/lint-cache}
mkdir -p "$cache"
headers=$(git ls-files -z --cached --others --exclude-standard '*.h' \
  .clang-tidy | xargs -0 cat | sha256sum | cut -d' ' -f1)
check_one() {
  local key
  key=$( (cat "$1"; echo "$HEADERS") | sha256sum | cut -d' ' -f1)
  [ -e "$CACHE/$key" ] && return 0
  clang-tidy --quiet -p "$BUILD" \
    --extra-arg=-Wno-unknown-warning-option "$1" 2>/dev/null || { echo "lint: $1"; return 1; }
  touch "$CACHE/$key"
}
export -f check_one
export BUILD=$build CACHE=$cache HEADERS=$headers
git ls-files -z --cached --others --exclude-standard '*.cpp' |
  xargs -0 -r -n 1 -P "$(nproc)" bash -c 'check_one "$0"'
echo "lint: clean"
