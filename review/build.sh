#!/bin/sh
# Builds the stand-ins of the cases, each into one program. Needs the compiler alone.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in src/*.cpp; do
  name=$(basename "$source" .cpp)
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$name" "$source" &
  pids="$pids $!"
done
for pid in $pids; do
  wait "$pid"
done
