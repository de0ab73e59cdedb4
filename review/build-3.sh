#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/deployment/deployment.cc -o "$out/deployment.o"
for case in 11 12 13 14 15; do
    [ -e "review/$case/case.cc" ] || continue
    g++ "${flags[@]}" "review/$case/case.cc" "$out/deployment.o" -o "$out/case-$case" -lboost_json
done
