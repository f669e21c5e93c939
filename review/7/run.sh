#!/usr/bin/env bash
# Plays this case; see claim.txt.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../harness-2/play.sh" drill "$here"
