#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, after the
# build of the deploy file. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = harness ] && continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread \
    review/standins-3/harness.cpp "$source" -o "target/review-3/$name"
done
