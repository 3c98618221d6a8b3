#!/usr/bin/env bash
# Builds the stand-in of the scripts of this review, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standin-3/main.rs -o target/review-3/standin-3
