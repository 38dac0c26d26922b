#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bed3 ] && [ -x target/turmerictided ] || exit 2
exec target/bed3 -case watch -record review/15/record.txt
