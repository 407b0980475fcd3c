#!/usr/bin/env bash
# Builds the stand-ins of the script cases review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o out/review-2 ./review/w2
