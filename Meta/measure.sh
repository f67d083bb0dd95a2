#!/usr/bin/env bash
# Run a measurement: Meta/measure.sh NAME [flags]. Prints lines "figure <name> <value> <unit>". Without a name, lists
# the available measurements.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh >/dev/null
if [ $# -eq 0 ]; then
    ls build/Benchmarks | sed -n 's/^measure-//p'
    exit 0
fi
name=$1
shift
program=build/Benchmarks/measure-$name
[ -x "$program" ] || { echo "there is no measurement $name; Meta/measure.sh lists them" >&2; exit 2; }
exec "$program" --programs=build "$@"
