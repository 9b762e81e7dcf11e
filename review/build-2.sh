#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in review/standin-2/*.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$it" -o "target/review-2/$(basename "$it" .cpp)"
done
