#!/usr/bin/env bash
# Plays this case, see claim.txt, and writes what was sent, answered and run to record.txt beside this
# script. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../harness-2/play.sh" drill "$folder/record.txt"
