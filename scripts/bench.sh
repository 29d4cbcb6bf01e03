#!/usr/bin/env bash
# Measures how much latency one instance adds to requests, and how much memory
# its connections use. The instance runs as a separate process.
. "$(dirname "$0")/world.sh"
start_world 1
start_proxy 1
./bin/standin bench --dir "$DIR"
