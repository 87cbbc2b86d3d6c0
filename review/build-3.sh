#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review into target/review-3, after the build of the
# deploy file. Needs g++ and nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/common-3/*.cpp; do
  g++ -std=c++20 -O1 -pthread -Wall -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
