#!/usr/bin/env bash
# Install the packages that the build and the checks need (Debian). Does nothing if all are installed.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache pkg-config git python3 clang-format clang-tidy
    libevent-dev libevhtp-dev libcereal-dev prometheus-cpp-dev libgflags-dev libspdlog-dev libboost1.81-dev
    doctest-dev libtomlplusplus-dev nlohmann-json3-dev libxxhash-dev libssl-dev librapidcheck-dev spin
    libbenchmark-dev clang libclang-rt-14-dev curl
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    sudo=()
    [ "$(id -u)" = 0 ] || sudo=(sudo)
    "${sudo[@]}" apt-get update -qq
    DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
fi
