#!/usr/bin/env bash
# Build the fuzz targets with clang and run one: Meta/fuzz.sh [SECONDS] [NAME]. Not part of CI. Needs clang's runtime library.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
name=${2:-FuzzDecoders}
cmake -S . -B build-fuzz -G Ninja -DFUZZ=ON -DCMAKE_CXX_COMPILER=clang++ >/dev/null
ninja -C build-fuzz -j "${JOBS:-4}" "$name" >/dev/null
mkdir -p "build-fuzz/corpus-$name"
exec "build-fuzz/Fuzz/$name" -max_total_time="$seconds" -max_len=4096 -print_final_stats=1 "build-fuzz/corpus-$name"
