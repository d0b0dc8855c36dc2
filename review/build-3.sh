#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/tool-3/Cargo.toml --target-dir target/review-3
