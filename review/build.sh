#!/bin/sh
# Builds the stand-ins of the review's cases into target/review. Needs only g++ and nlohmann-json3-dev, which deploy/system.toml lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/Case.cc; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -pthread -o "target/review/case$name" "$source"
done
