#!/usr/bin/env bash
# Set up, build, and pass the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
ctest --test-dir build --output-on-failure -j 4
