#!/usr/bin/env bash
# Builds the stand-ins of the second review. It needs the build of the deploy file only to
# play the cases, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2 ./review/stage
