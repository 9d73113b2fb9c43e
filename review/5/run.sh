#!/usr/bin/env bash
# Plays the case with real processes: 1 the rule was broken, 0 it held, 2 it
# could not run. TROUBLE=0 plays it without the disturbance. What was sent, answered
# and run goes to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/kumquatstall ] || [ ! -x target/review-stand ]; then
  echo "run the deploy file's build and review/build.sh first"
  exit 2
fi
timeout 118 target/review-stand apart review/5
status=$?
[ $status -le 1 ] || status=2
exit $status
