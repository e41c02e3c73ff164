#!/usr/bin/env bash
# Builds the stand-ins of the review cases, after the build command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags="-std=c11 -O2 -Wall -Wextra -D_GNU_SOURCE -Isrc -Ireview/stand_ins"
libraries="target/libmv_transport.a target/libmv_protocol.a target/libmv_config.a target/libmv_telemetry.a"
deps=$(pkg-config --cflags --libs libmicrohttpd msgpack libcurl glib-2.0)
for case in review/stand_ins/case*.c; do
    # shellcheck disable=SC2086
    gcc $flags -o "$out/$(basename "$case" .c)" "$case" review/stand_ins/stand_ins.c $libraries $deps -lpthread -lm
done
