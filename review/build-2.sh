#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-2/Cargo.toml
