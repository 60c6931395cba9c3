#!/bin/sh
# Builds the stand-ins of the review's scripts into review/build/. Needs g++ and the header nlohmann/json, as the
# deploy file's build does.
set -e
cd "$(dirname "$0")"
mkdir -p build
for source in standin/case*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/$name" "$source"
done
