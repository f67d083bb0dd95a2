#!/usr/bin/env bash
# Install missing packages and build everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
cmake -S . -B build -G Ninja >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
cmake --build build
