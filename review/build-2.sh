#!/bin/sh
# Builds the programs of the scripts in review/6 to review/10, and of one more finding. They contain all
# stand-ins. Case 9 is a day.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/10 review/stage2/cutoff; do
	if [ -f "$folder/main.go" ]; then
		go build -tags review -o "target/review-2/$(basename "$folder")" "./$folder"
	fi
done
