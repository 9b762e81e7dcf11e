#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for it in */case.cpp; do
    g++ -std=c++20 -O1 -g -pthread -Wall -Wextra "$it" -o "bin/case-$(dirname "$it")"
done
