#!/bin/sh
# Plays case 2, which takes about 25 s. Needs the build of the deploy file and review/build.sh.
# TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/turmerictided target/review/scene; do
	if [ ! -x "$program" ]; then
		echo "$program is not built" >&2
		exit 2
	fi
done
TROUBLE="${TROUBLE:-1}"
export TROUBLE
target/review/scene late-streams review/2
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
