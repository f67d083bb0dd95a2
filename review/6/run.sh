#!/usr/bin/env bash
# Runs this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-2/standin program=target/Programs/dogwoodkeel
if [ ! -x "$standin" ] || [ ! -x "$program" ]; then
    echo "build the program with the command of deploy/system.toml and the stand-ins with review/build-2.sh first" >&2
    exit 2
fi
exec "$standin" check waiting-at-stop "$program" review/6
