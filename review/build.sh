#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs what
# the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for it in review/[0-9]/case.cpp; do
  n=$(basename "$(dirname "$it")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/common "$it" \
    -o "target/review/case-$n"
done
