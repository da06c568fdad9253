#!/usr/bin/env bash
# Starts stand-ins and hosts of both example deployments, sends queries and
# orders, and stops everything again.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/demo.py "${1:-build/release}"
