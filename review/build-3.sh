#!/usr/bin/env bash
# Builds the programs that the scripts of cases 11 to 15 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread -I.)
for name in wire site; do
    g++ "${flags[@]}" -c "review/site-3/$name.cpp" -o "$out/$name.o"
done
for file in review/site-3/*.cpp; do
    name=$(basename "$file" .cpp)
    case $name in
    wire | site) ;;
    *) g++ "${flags[@]}" "$file" "$out/wire.o" "$out/site.o" -o "$out/$name" ;;
    esac
done
