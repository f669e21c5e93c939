#!/bin/sh
# Builds the stand-ins of the review's scripts, with the project's own that they use.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
