#!/usr/bin/env bash
# Exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kumquatstall ] && [ -x target/review3 ] || { echo "build first: the deploy file's build, then review/build-3.sh"; exit 2; }
exec target/review3 gang review/15
