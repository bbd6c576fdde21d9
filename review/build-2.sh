#!/usr/bin/env bash
# Builds the stand-ins of the second review, which have no dependencies, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
