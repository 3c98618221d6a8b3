#!/bin/sh
# Builds the programs of the cases 6 to 10: the standard library alone, without cargo.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.rs; do
    name=$(basename "$source" .rs)
    case $name in common | server) continue ;; esac
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
