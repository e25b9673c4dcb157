#!/usr/bin/env bash
# Builds the stand-in that the cases of the second review (review/4 to review/8) start. It needs
# nothing beyond what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin2 ./review/_standin2
