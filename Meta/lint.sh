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
echo "lint: ${#all[@]} files formatted, ${#sources[@]} sources clean"
