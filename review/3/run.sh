#!/usr/bin/env bash
# Plays the case from the root of the repository, after the build of the deploy file and review/build.sh.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/release/yarrowhill ] || { echo "not built"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# The program is ended with the script, however that ends; the forwarders are ended by the system with the program.
end() {
    [ -n "$runner" ] && kill -TERM "$runner" 2>/dev/null && wait "$runner" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
timeout -k 2 112 "$program" "$folder" &
runner=$!
wait "$runner"
status=$?
runner=
[ "$status" -le 1 ] && exit "$status"
exit 2
