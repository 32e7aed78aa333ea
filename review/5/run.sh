#!/usr/bin/env bash
# Plays case 5; TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/case-5.cjs ] || exit 2
exec node target/review/case-5.cjs
