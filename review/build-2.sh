#!/usr/bin/env bash
# Build the stand-ins and checks of the cases 4 and later into target/review-2/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review-2/standin review/standin-2/main.cc
