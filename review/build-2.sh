#!/bin/sh
# Builds the stand-ins and clients of cases 6 to 10: one program without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin2 review/standin-2/main.rs
