#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/site-2/site.cpp -o "$out/site.o"
for source in review/{6,7,8,9,10}/*.cpp; do
  if [[ -f $source ]]; then
    name=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "$out/site.o" -o "$out/case-$name"
  fi
done
