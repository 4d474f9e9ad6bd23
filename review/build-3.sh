#!/bin/sh
# Builds the stand-ins of the cases 7 to 11: one program without any library, by the Rust compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin review/standin-3/main.rs
