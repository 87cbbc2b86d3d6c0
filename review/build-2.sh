#!/usr/bin/env bash
# Builds the cases of the second review and their stand-ins, after the build of the deploy file. The
# objects of the project come from that build; everything is placed in target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
mapfile -t libraries < <(find target/libs target/platform -name 'libboragedoor_*.a' | sort)
if [ "${#libraries[@]}" -eq 0 ]; then
  echo "build the program of the deploy file first" >&2
  exit 2
fi
packages="sigc++-3.0 libevent libxxhash fmt spdlog libcrypto"
started=()
flags="-std=c++20 -O1 -DSPDLOG_FMT_EXTERNAL -Ilibs -I. -Itests/platform -Ireview/common-2 $(pkg-config --cflags $packages)"
sed "s/page_size = 3;/page_size = 500;/" tests/platform/store_stand_in.cpp > "$out/store_stand_in.cpp"
for source in "$out/store_stand_in.cpp" tests/platform/replica_stand_in.cpp \
  tests/platform/loopback_address.cpp; do
  g++ $flags -c "$source" -o "$out/$(basename "$source" .cpp).o" &
  started+=($!)
done
for one in "${started[@]}"; do
  wait "$one"
done
started=()
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$folder/driver.cpp" ] || continue
  g++ $flags "$folder/driver.cpp" "$out"/*.o -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    $(pkg-config --libs $packages) -lhttp_parser -lgflags -lpthread -o "$out/case-$(basename "$folder")" &
  started+=($!)
done
for one in "${started[@]}"; do
  wait "$one"
done
echo "built $(ls "$out"/case-* 2>/dev/null | wc -l) cases"
