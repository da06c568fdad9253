#!/usr/bin/env bash
# Installs the missing Debian packages of packages.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  case "$package" in ''|'#'*) continue ;; esac
  dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null |
    grep -qx installed || missing+=("$package")
done < packages.txt
[ "${#missing[@]}" -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y --no-install-recommends "${missing[@]}"
