#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/4 to review/8 and review/set-aside start. They are plain modules, so this only checks that
# they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/lib-[23]/*.mjs review/[4-8]/*.mjs review/set-aside/*/*.mjs; do
    node --check "$file"
done
