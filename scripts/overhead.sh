#!/usr/bin/env bash
# Measures the first-token overhead of the path, and memory, processor time and control traffic of an idle and a busy
# entry and agent, beside the budget of 32 MB, 1.8% of a core and 23 KB/s.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/site.sh

start store "$bin/standin_store"
start platform "$bin/standin_platform"
start engine "$bin/standin_engine" --model register-long --model wording-short --tokens-per-second 1000 --batch 64
export DOTTERELSTACK_STORE DOTTERELSTACK_PLATFORM USER=${USER:-bench}
DOTTERELSTACK_STORE=$(address_of store)
DOTTERELSTACK_PLATFORM=$(address_of platform)
cat >"$work/agent.json" <<SETTINGS
{"host": "host-rajkot", "failure_domain": "rajkot", "listen": "127.0.0.1:0", "store": "$DOTTERELSTACK_STORE",
 "backends": [{"name": "drafting-rajkot-1", "service": "drafting", "kind": "model", "address": "$(address_of engine)",
               "models": ["register-long", "wording-short"]}]}
SETTINGS
start agent "$bin/dotterelstack" agent --settings "$work/agent.json"
agent_pid=${pids[-1]}
for domain in rajkot jamnagar; do
    start "entry-$domain" "$bin/dotterelstack" entry --settings "samples/gujarat/entry-$domain.json" \
        --set "store=$DOTTERELSTACK_STORE" --set "platform=$DOTTERELSTACK_PLATFORM"
    list_host "entry-$domain" entry "$(address_of "entry-$domain" peers)" "$domain"
done
entry_pid=${pids[-2]}
list_host host-rajkot agent "$(address_of agent)" rajkot
wait_for sh -c "'$bin/dotterelstack' status | grep -q 'backend drafting-rajkot-1'"
cp -r samples/gujarat/declarations "$work/declarations"
# The sample's rates would limit the bench; the path is measured, not the limits.
sed -i -E 's/^(rajkot-nagar,drafting),.*/\1,8,1000,100000,10000000,10000000,1000/' "$work/declarations/table.csv"
"$bin/dotterelstack" apply "$work/declarations" --author bench | tail -n 1
callers=$(address_of entry-rajkot callers)
key=dsk_sample_gujarat_rajkot-nagar
body='{"model":"wording-short","prompt":"a","max_tokens":1}'
wait_for curl -sf -H "Authorization: Bearer $key" -d "$body" "http://$callers/v1/completions"

# At the first start of a site requests wait until the first epoch of limit shares has settled, about 5 s. The bench
# measures the path after that.
sleep 7

ticks_of() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
rss_kb_of() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
internal_bytes() { curl -sf "http://$callers/metrics" | awk '/^dotterelstack_internal_bytes/ { n += $2 } END { print n + 0 }'; }
store_bytes() { curl -sf "http://$DOTTERELSTACK_STORE/v1/counters" | grep -oE '"bytes_(in|out)":[0-9]+' | awk -F: '{ n += $2 } END { print n + 0 }'; }
hertz=$(getconf CLK_TCK)

# measure NAME SECONDS: prints what entry and agent used while something else ran for that long.
measure() {
    local e a h s
    e=$(ticks_of "$entry_pid") a=$(ticks_of "$agent_pid") h=$(internal_bytes) s=$(store_bytes)
    sleep "$2"
    awk -v name="$1" -v t="$2" -v hz="$hertz" -v e="$(($(ticks_of "$entry_pid") - e))" \
        -v a="$(($(ticks_of "$agent_pid") - a))" -v er="$(rss_kb_of "$entry_pid")" -v ar="$(rss_kb_of "$agent_pid")" \
        -v h="$(($(internal_bytes) - h))" -v s="$(($(store_bytes) - s))" 'BEGIN {
        printf "| entry, %s | %.1f | %.2f | %.2f |\n", name, er / 1024, e / hz / t * 100, (h + s / 2) / t / 1000
        printf "| agent, %s | %.1f | %.2f | |\n", name, ar / 1024, a / hz / t * 100 }'
}

"$bin/bench_overhead" --engine "$(address_of engine)" --entry "$callers" --key "$key" --model wording-short \
    --requests "${REQUESTS:-500}"
echo
echo "| process | memory MB | % of a core | internal and store KB/s, both directions |"
echo "|---|---|---|---|"
measure idle 10
(for _ in 1 2 3 4; do
    "$bin/bench_overhead" --engine "$callers" --entry "$callers" --key "$key" --model wording-short --requests 100000 \
        >/dev/null 2>&1 &
    echo $! >>"$work/load"
done)
measure 'busy with 4 callers at once' 10
xargs kill <"$work/load"
