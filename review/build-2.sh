#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; needs the build of the deploy file, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/{6,7,8,9,10}/run.ts; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  node_modules/.bin/esbuild "$case" --bundle --platform=node --format=esm --log-level=warning \
    --outfile="target/review-2/$number.mjs"
done
