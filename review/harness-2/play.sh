#!/usr/bin/env bash
# play.sh CASE RECORD: plays a case of review-2 and writes the file RECORD. Exits with 1 if the rule
# was broken, with 0 if it held, and with 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
set -u
name=$1
record=$(cd "$(dirname "$2")" && pwd)/$(basename "$2")
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-2
if [ ! -x "$program" ] || [ ! -x target/release/geranium-node ]; then
    echo "build with the deploy file and review/build-2.sh first" >&2
    exit 2
fi
directory=$(mktemp -d) || exit 2
# `timeout` makes a process group, in which the nodes run as well.
timeout -k 2 115 "$program" "$name" "$record" "$directory" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$directory"' EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
