#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0
# leaves out the disruption.
exec "$(dirname "$0")/../case.sh" "$(dirname "$0")" popular
