#!/usr/bin/env bash
# Runs one case: case.sh FOLDER NAME. It exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
daemon=$(sed -n 's/^run = "\([^ ]*\) platform"$/\1/p' deploy/system.toml)
if [ ! -x "$daemon" ] || [ ! -x target/review/stand ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
DAEMON="$PWD/$daemon" RECORD="$folder/record.txt" target/review/stand "$2"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
