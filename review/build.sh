#!/bin/sh
# Builds the stand-ins of the cases, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
