#!/usr/bin/env bash
# The stand-ins are plain modules that need no compiling, and nothing of the project's own stand-ins is started. Checks that all of them load.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs [0-9]*/*.mjs; do
    node --check "$module"
done
[ -e ../target/start.mjs ] || { echo "target/start.mjs is missing: run the build of the deploy file first"; exit 2; }
