#!/usr/bin/env bash
# Builds the stand-ins of the review: one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/review-standins review/1/standins/main.rs
