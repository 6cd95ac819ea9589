#!/usr/bin/env bash
# Installs what is needed, builds and runs the demo; ends with 0 only if nothing was lost or doubled.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ls --silent > /dev/null 2>&1 || npm ci --no-audit --no-fund
npm run --silent build
exec node dist/bench/demo.js
