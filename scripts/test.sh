#!/usr/bin/env bash
# Installs what is needed and passes the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ls --silent > /dev/null 2>&1 || npm ci --no-audit --no-fund
npm test
