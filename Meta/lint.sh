#!/usr/bin/env bash
# Check the format, the linter findings and the generated code. Usage: Meta/lint.sh [FILE.cpp ...] (all files without arguments)
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
# The time of day differs between VMs and may jump, so every place that reads it is listed, with the effect of a jump.
reads=$(git grep -cE 'wallNow\(\)|system_clock::now|gettimeofday|CLOCK_REALTIME|std::time\(' -- Libraries Services Programs platform |
    grep -v 'Libraries/LibBase/' | sort)
if ! diff <(grep -v '^#' Meta/wall-clock.txt) <(echo "$reads"); then
    echo "lint: a read of the time of day was added or removed; describe the effect of a jump in docs/design/clocks.md and update Meta/wall-clock.txt"
    exit 1
fi
echo "lint: ${#all[@]} files formatted, ${#sources[@]} sources clean"
