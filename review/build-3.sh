#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/standins-3"
mkdir -p build
for source in case-*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra "$source" -o "build/${source%.cpp}"
done
