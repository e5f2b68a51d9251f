#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/scenario.new review/standin/main.rs
mv target/review/scenario.new target/review/scenario
