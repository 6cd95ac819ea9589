#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
timeout --kill-after=4 110 node play.mjs
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
