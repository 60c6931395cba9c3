#!/bin/bash
# Builds the stand-ins of the scripts in review/4 and following, below target/. Needs g++ alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/rig review/rig-2/rig.cpp review/rig-2/cases.cpp
