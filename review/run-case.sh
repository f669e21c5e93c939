#!/bin/sh
# Runs one case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/.." || exit 2
temporary=$(mktemp -d) || exit 2
end_all() {
    # Only after the script was cut off do processes of the list still run.
    for pid in $(cat "$temporary/pids" 2>/dev/null); do
        [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = geranium-node ] && kill -s KILL "$pid" 2>/dev/null
    done
    rm -rf "$temporary"
}
trap end_all EXIT
trap 'exit 2' INT TERM
[ -x target/release/geranium-node ] && [ -x target/review/release/review-harness ] || exit 2
REVIEW_TMP=$temporary timeout 115 target/review/release/review-harness "$1" "$2"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
