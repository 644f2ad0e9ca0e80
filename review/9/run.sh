#!/bin/sh
# Plays the case, after the build of the deploy file and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case="target/review-2/case-$(basename "$here")"
if [ ! -x "$case" ] || [ ! -x target/release/yarrowhill ]; then
    echo "build first: the build of deploy/balancer.toml, and review/build-2.sh" >&2
    exit 2
fi
# The program ends with this script, and its forwarders with the program, however either ends.
program=
trap '[ -n "$program" ] && kill -KILL "$program" 2>/dev/null; sleep 1; exit 2' INT TERM HUP
"$case" "$here/record.txt" &
program=$!
wait "$program"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
