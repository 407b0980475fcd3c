#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[1-5]; do
	if ls "$case"/*.go >/dev/null 2>&1; then
		go build -o "review/bin/case$(basename "$case")" "./$case"
	fi
done
