#!/usr/bin/env bash
# Runs case 2 and writes record.txt beside this script.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
program=target/review/case2
[ -x $program ] && [ -x target/mulleinvalve ] || {
    echo "run the build command of deploy/service.toml and review/build.sh first"
    exit 2
}
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
export RUN_COMMAND
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
trap 'kill "$pid" 2>/dev/null' TERM INT HUP
$program "$folder/record.txt" "$temporary" &
pid=$!
status=2
while kill -0 "$pid" 2>/dev/null; do # a signal interrupts wait; the program then ends its processes
    wait "$pid"
    status=$?
done
wait "$pid" 2>/dev/null
ended=$?
[ $ended -ne 127 ] && status=$ended
[ $status -le 2 ] || status=2
exit $status
