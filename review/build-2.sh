#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases of the second review into
# target/review-2. Needs the compiler of the project's own build and no library
# beside the standard one.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins-2)
g++ "${flags[@]}" -c review/standins-2/standins.cpp -o "$out/standins.o"
for number in 6 7 8 9 10; do
  source=review/$number/scenario.cpp
  [ -f "$source" ] || continue
  g++ "${flags[@]}" "$source" "$out/standins.o" -o "$out/case-$number"
done
