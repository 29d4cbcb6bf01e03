#!/bin/sh
# Cuts the two machines that read the store off from it while a route is dropped and a
# server leaves, five times. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lagoonstile ] && [ -x target/review-3/rig3 ] || exit 2
exec target/review-3/rig3 readers-cut-off target/lagoonstile review/11/record.txt
