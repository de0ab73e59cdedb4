#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -Ireview/stage -Istandins/users -Ipackages/base/include
    -Ipackages/net/include)
libs=(target/packages/net/libjujubereach-net.a target/packages/base/libjujubereach-base.a
    -lPocoNet -lPocoFoundation -lboost_json -pthread)
pids=()
g++ "${flags[@]}" -c review/stage/stage.cc -o "$out/stage.o" & pids+=($!)
g++ "${flags[@]}" -c standins/users/users-store.cpp -o "$out/users-store.o" & pids+=($!)
for source in review/{6,7,8,9,10}/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" -c "$source" -o "$out/case-$number.o" & pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for object in "$out"/case-*.o; do
    g++ -o "${object%.o}" "$object" "$out/stage.o" "$out/users-store.o" "${libs[@]}"
done
