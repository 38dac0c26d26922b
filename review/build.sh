#!/bin/sh
# Builds the stand-ins and clients of the review's scripts, in target/review/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/...
