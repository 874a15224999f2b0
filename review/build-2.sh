#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10. They use the standard library alone.
set -e
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
