#!/bin/sh
# Builds the stand-ins of the cases. They need no library, and so no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
