#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec sh review/run-case.sh polled-request review/4
