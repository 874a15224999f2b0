#!/bin/sh
# Builds the stand-ins and tests of all cases. Needs no network: the standard library is all they use.
set -eu
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
