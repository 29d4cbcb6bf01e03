#!/usr/bin/env bash
# Measures what one instance, a process of its own, adds to requests.
. "$(dirname "$0")/world.sh"
start_world 1
start_proxy 1
./bin/standin bench --dir "$DIR"
