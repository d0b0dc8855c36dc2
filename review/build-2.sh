#!/usr/bin/env bash
# Builds the stand-ins and checks that the scripts of the cases 6 to 10 start. They use no library, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/tool-2"
cargo build --release --offline --locked
