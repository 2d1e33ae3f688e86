#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. It needs the toolchain alone, no crate and no network.
set -eu
root=$(CDPATH= cd -- "$(dirname -- "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
rustc --edition 2024 -O -o "$root/target/review-2/rig" "$root/review/rig-2/rig.rs"
