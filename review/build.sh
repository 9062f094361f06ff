#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, in target/review/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -o target/review/standin review/standin/Standin.cpp -pthread
