#!/usr/bin/env bash
# Builds the scripts of the cases with their stand-ins into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

for entry in review/*/case.ts; do
  number="$(basename "$(dirname "$entry")")"
  node_modules/.bin/esbuild "$entry" --bundle --platform=node --target=node20 --format=cjs \
    --log-level=warning --outfile="target/review/case-$number.cjs"
done
