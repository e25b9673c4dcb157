#!/usr/bin/env bash
# Plays the case with the build of the deploy file and of review/build-2.sh. Exit status: 0 if the rule
# held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/eiderhitch ] || [ ! -x target/review-2/standin2 ]; then
  echo "build first: the build line of deploy/service.toml, then review/build-2.sh" >&2
  exit 2
fi
timeout --kill-after=2 117 target/review-2/standin2 amounts "review/5/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
