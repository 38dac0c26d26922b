#!/bin/sh
# Builds what the scripts of the third review start, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/bed3 ./review/bed3
