#!/bin/sh
# Runs one case: run-case.sh NAME RECORD. Writes what was sent, answered and run to the file RECORD while
# it runs. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
# TROUBLE=0 it does the same without the disruption.
record=$2
cd "$(dirname "$0")/.." || exit 2
harness=target/review/release/review-harness
if [ ! -x target/release/geranium-node ] || [ ! -x "$harness" ]; then
    echo "the case couldn't run: the build of the deploy file or review/build.sh is missing" >"$record"
    exit 2
fi
temporary=$(mktemp -d) || exit 2
running=
end_all() {
    [ -z "$running" ] || kill "$running" 2>/dev/null
    [ -z "$running" ] || wait "$running" 2>/dev/null
    # Only after the script was cut off do processes of the list still run.
    for pid in $(cat "$temporary/pids" 2>/dev/null); do
        [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = geranium-node ] && kill -s KILL "$pid" 2>/dev/null
    done
    rm -rf "$temporary"
}
trap end_all EXIT
trap 'exit 2' HUP INT TERM
REVIEW_TMP=$temporary timeout 115 "$harness" "$1" "$record" &
running=$!
wait "$running"
result=$?
running=
[ "$result" -le 1 ] || exit 2
exit "$result"
