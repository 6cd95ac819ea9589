#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../../.." || exit 2
[ -e target/start.mjs ] || exit 2
exec timeout --preserve-status --kill-after=4 110 node review/set-aside/orderly-close/case.mjs
