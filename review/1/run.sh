#!/bin/sh
# Needs the build of the deploy file and review/build.sh. Takes about 50 s.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/scene limited-engines review/1
