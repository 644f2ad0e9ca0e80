#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the standard library alone, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[123]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -A dead_code -o "target/review/case-$number" "$case"
done
