#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin-2 ./review/standin-2
