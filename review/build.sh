#!/bin/sh
# Builds the stand-ins of the scripts; needs only the Rust toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/mesh-review review/standin/main.rs
