#!/bin/sh
# Plays case 3 once. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case3 ] && [ -x target/Programs/dogwoodkeel ] || exit 2
timeout -k 2 118 target/review/case3 "$PWD" "$PWD/review/3/record.txt" "${TROUBLE:-1}"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
