#!/bin/sh
# Builds what the scripts of review 3 start beside the program of the deploy file: the
# stand-ins, which are small ones of their own.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
