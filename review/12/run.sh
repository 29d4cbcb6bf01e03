#!/bin/sh
# Sends a request that crashes servers again and again while all machines are restarted
# in turn, twice. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lagoonstile ] && [ -x target/review-3/rig3 ] || exit 2
exec target/review-3/rig3 crashing-request target/lagoonstile review/12/record.txt
