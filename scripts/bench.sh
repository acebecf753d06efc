#!/usr/bin/env bash
# Runs the benches and prints their tables.
set -euo pipefail
cd "$(dirname "$0")/.."
for it in "${BIN_DIR:?set BIN_DIR to the folder of the built programs}"/bench_*; do
    case "$it" in */bench_overhead) continue ;; esac
    echo "== ${it##*/}"
    "$it"
done
echo "== overhead"
bash scripts/overhead.sh
