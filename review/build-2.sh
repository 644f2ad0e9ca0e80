#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
rustc --edition 2024 -O --crate-type rlib --crate-name standins -o "$out/libstandins.rlib" review/standins-2/lib.rs
for case in 6 7 8 9 10; do
    [ -f "review/$case/case.rs" ] || continue
    rustc --edition 2024 -O --crate-name "case_$case" --extern standins="$out/libstandins.rlib" -o "$out/case-$case" "review/$case/case.rs"
done
