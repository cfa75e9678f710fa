#!/bin/sh
# Builds the stand-ins of the scripts into target/review. Needs no network once the project is built.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/stand/Cargo.toml --target-dir target/review
