#!/usr/bin/env bash
# Plays the quick scores of several sites on two commits, in turn on one machine, and prints a table of the worth of each
# day. Rows that differ beyond noise are marked. Journal entries are copied back into this repository.
#
#     BENCH=PATH scripts/compare_scores.sh BEFORE AFTER SITE...
#
# BENCH: the users' bench program. SITE: a site file. JOBS: cores to use (3). LIMIT_S: longest time of one score (1200).
set -euo pipefail
usage() { sed -n '2,7s/^# \{0,1\}//p' "$0" >&2; exit 2; }
[ $# -ge 3 ] || usage
bench=$(realpath "${BENCH:?set BENCH to the bench program}")
root=$(git rev-parse --show-toplevel)
before=$(git rev-parse --verify "$1^{commit}")
after=$(git rev-parse --verify "$2^{commit}")
shift 2
sites=$(realpath "$@")
# Smaller differences are noise, because processor time is measured.
noise=0.03
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
for it in before after; do
    git clone -q "$root" "$scratch/$it"
    git -C "$scratch/$it" checkout -q "${!it}"
    (cd "$scratch/$it" && timeout 900 "$bench" build >"$scratch/$it-build.txt" 2>&1) || { tail -5 "$scratch/$it-build.txt" >&2; exit 1; }
done
printf '%-24s %-10s %8s %8s\n' site day "${before:0:7}" "${after:0:7}"
for site in $sites; do
    for it in before after; do
        (cd "$scratch/$it" && timeout "${LIMIT_S:-1200}" "$bench" score "$site" --quick --jobs "${JOBS:-3}" \
            --why "scores of ${before:0:7} and ${after:0:7} in turn: $it") >"$scratch/$it.txt" 2>&1 || echo "score of $it: exit $?" >&2
        cp -rn "$scratch/$it/journal/." "$root/journal/"
    done
    # Columns of a day: name, own/servers, score, worth.
    join <(awk '$1 ~ /-[0-9]+$/ && $2 ~ /\// {print $1, $4}' "$scratch/before.txt" | sort) \
        <(awk '$1 ~ /-[0-9]+$/ && $2 ~ /\// {print $1, $4}' "$scratch/after.txt" | sort) |
        awk -v site="$(basename "$site" .toml)" -v noise="$noise" '{
            mark = $3 - $2 > noise ? "better" : ($2 - $3 > noise ? "WORSE" : "")
            printf "%-24s %-10s %8s %8s  %s\n", site, $1, $2, $3, mark }'
    grep -h 'GATE failed\|BROKEN' "$scratch/before.txt" "$scratch/after.txt" || true
done
