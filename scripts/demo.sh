#!/usr/bin/env bash
# Starts hosts and stand-ins for both example deployments, sends queries and
# orders, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/demo.py "${1:-build/release}"
