#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, after the build
# of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-3/rig3 ./review/rig3
