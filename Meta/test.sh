#!/usr/bin/env bash
# Set up, build, and pass the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
# Tests that are red for a real fault which is listed and open: exactly these are passed over.
if [ -s KNOWN-RED.txt ]; then
    echo "passed over, known to be red:"
    cat KNOWN-RED.txt
fi
export PASS_OVER_KNOWN_RED=1
ctest --test-dir build --output-on-failure -j 4
