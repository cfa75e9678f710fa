#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into a folder of its own under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-3/Cargo.toml --target-dir target/review-stand-3
