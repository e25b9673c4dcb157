#!/bin/sh
# Builds the stand-ins of all cases. It uses the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/_standin
