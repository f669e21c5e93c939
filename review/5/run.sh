#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec sh review/run-case.sh late-heartbeat review/5
