#!/bin/bash
# Builds the stand-ins and clients of the scripts of this review, after the
# build of the deploy file. They link its libraries from target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
includes=(-Iplatform/src -Iplatform/standins -Ireview/lib-3)
for it in base net policy workload store control; do
  includes+=("-Ipackages/$it/include")
done
flags=(-std=c++20 -O1 -w $(pkg-config --cflags libevent fmt 2>/dev/null || true))
objects=()
compile() {
  local name="$(basename "$1")"
  local object="$out/${name%.*}.o"
  objects+=("$object")
  g++ "${flags[@]}" "${includes[@]}" -c "$1" -o "$object" &
}
for it in platform/standins/store_standin.cpp \
    packages/store/src/memory_store.cpp review/lib-3/{deployment,workers}.cc
do
  compile "$it"
done
for job in $(jobs -p); do wait "$job"; done
libraries=(target/platform/libcitrongap_site.a)
for it in control store workload policy net base; do
  libraries+=("target/packages/$it/libcitrongap_$it.a")
done
for source in review/1[1-5]/*.cc; do
  [ -e "$source" ] || continue
  name="case-$(basename "$(dirname "$source")")"
  g++ "${flags[@]}" "${includes[@]}" "$source" "${objects[@]}" \
    -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    -levent -lfmt -lsigc-3.0 -linih -lxxhash -o "$out/$name"
done
