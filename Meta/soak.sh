#!/usr/bin/env bash
# Run the fault soak test for consecutive seeds: Meta/soak.sh --seed N --minutes M [--jobs J] [flags of dogwoodkeel-soak].
# Real nodes on loopback, faults injected from outside, guarantees checked from the view of callers and replicas. Prints one line
# per seed, and for a failed seed its faults, the violated guarantee and the location of its logs.
# Exits with 1 if any seed failed.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 minutes=5 jobs=2
flags=()
while [ $# -gt 0 ]; do
    case "$1" in
    --seed) seed=$2; shift 2 ;;
    --minutes) minutes=$2; shift 2 ;;
    --jobs) jobs=$2; shift 2 ;;
    *) flags+=("$1"); shift ;;
    esac
done
# A seed that takes longer is considered hanging and counts as failed.
longest=300
end=$(($(date +%s) + minutes * 60))
failed=$(mktemp)
trap 'rm -f "$failed"' EXIT
run() {
    local output
    if output=$(timeout -k 10 "$longest" build/Tests/dogwoodkeel-soak --seed="$1" "${flags[@]}" 2>&1); then
        printf '%s\n' "$output"
    else
        printf '%s\nseed %s FAILED\n' "$output" "$1"
        echo "$1" >>"$failed"
    fi
}
while [ "$(date +%s)" -lt "$end" ]; do
    for _ in $(seq "$jobs"); do
        run "$seed" &
        seed=$((seed + 1))
    done
    wait
done
if [ -s "$failed" ]; then
    echo "failed seeds: $(sort -n "$failed" | tr '\n' ' ')"
    exit 1
fi
