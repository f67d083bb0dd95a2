#!/usr/bin/env bash
# Formatter, linter and generated code. Usage: Meta/lint.sh [FILE.cpp ...] (all files without arguments)
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/generate.py --check
if [ $# -gt 0 ]; then
    sources=("$@")
else
    mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
mapfile -t all < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
clang-format --dry-run --Werror "${all[@]}"
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
# The time of day differs between VMs and jumps: each place that reads it is known, with what a jump does there.
reads=$(git grep -cE 'wallNow\(\)|system_clock::now|gettimeofday|CLOCK_REALTIME|std::time\(' -- Libraries Services Programs platform |
    grep -v 'Libraries/LibBase/' | sort)
if ! diff <(grep -v '^#' Meta/wall-clock.txt) <(echo "$reads"); then
    echo "lint: a read of the time of day is new or gone; say in docs/design/clocks.md what a jump does, and list it in Meta/wall-clock.txt"
    exit 1
fi
echo "lint: ${#all[@]} files formatted, ${#sources[@]} sources clean"
