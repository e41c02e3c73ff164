#!/usr/bin/env bash
# Builds the cases 4 to 8 of the review and their stand-ins, into target-review-2/. Needs the compiler of deploy/service.toml's
# packages and nothing else. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target-review-2
for case in review/[4-8]/case.c; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    "${CC:-cc}" -std=gnu11 -O2 -Wall -Wextra -pthread -Ireview/kit-2 -o "target-review-2/case-$number" "$case" \
        review/kit-2/*.c -lm
done
