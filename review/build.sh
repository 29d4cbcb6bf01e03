#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. It needs no network: it uses
# the project's own packages and the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -buildvcs=false -o target/review/ ./review/stand
