#!/bin/sh
# Writes what was sent, answered and run to record.txt beside this script. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run; with TROUBLE=0 the disruption is left out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec sh "$folder/../run-case.sh" long-key "$folder/record.txt"
