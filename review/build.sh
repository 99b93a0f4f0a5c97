#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. The routers come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
for source in review/[1-5]/tests/*case.cpp; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review/$(basename "$source" .cpp)" &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit "$status"
