#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. The packages are some of
# those that the build of the deploy file has fetched.
set -eu
cd "$(dirname "$0")/.."
export CARGO_TARGET_DIR=target/review-2
build=(cargo build --release --locked --manifest-path review/harness-2/Cargo.toml)
"${build[@]}" --offline || "${build[@]}"
