#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/review-2/8.mjs ] && [ -e target/marjorampin.cjs ] || exit 2
timeout --signal=TERM 118 node target/review-2/8.mjs review/8
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
