#!/usr/bin/env bash
# Plays the case from the root of the repository, after the build of the deploy file and review/build.sh.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/release/yarrowhill ] || { echo "not built"; exit 2; }
timeout -k 2 112 "$program" "$folder"
status=$?
# Whatever the program left behind, if it was ended itself: the processes that it recorded.
for pid in $(sed -n 's/^.* start n[0-9]* pid \([0-9]*\)$/\1/p' "$folder/record.txt" 2>/dev/null); do
    [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/release/yarrowhill" ] && kill -KILL "$pid"
done
[ "$status" -le 1 ] && exit "$status"
exit 2
