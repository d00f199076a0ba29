#!/usr/bin/env bash
# Builds the stand-ins of the second review. Needs rustc alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin-2 review/standin-2.rs
