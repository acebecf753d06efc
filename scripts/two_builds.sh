#!/usr/bin/env bash
# Checks that two builds of the program work on the same data and beside each other in one site.
# usage: two_builds.sh OLD_BIN NEW_BIN (folders of built programs; the stand-ins are taken from OLD_BIN)
set -euo pipefail
cd "$(dirname "$0")/.."
old=$(cd "${1:?usage: two_builds.sh OLD_BIN NEW_BIN}" && pwd)
new=$(cd "${2:?usage: two_builds.sh OLD_BIN NEW_BIN}" && pwd)
BIN_DIR=$old
source scripts/site.sh

checks=0
pass() { checks=$((checks + 1)) && echo "ok: $*"; }
fail() { echo "FAILED: $*" && exit 1; }

declare -A pid_of
# run NAME BUILD ARGUMENTS...: starts a process of the given build.
run() {
    local name=$1 build=$2
    shift 2
    start "$name" "$build/dotterelstack" "$@"
    pid_of[$name]=${pids[-1]}
}
# halt NAME: stops a process in good order.
halt() {
    local it=${pid_of[$1]} n kept=()
    kill -TERM "$it"
    wait "$it" || fail "$1 ended with status $?"
    for n in "${pids[@]}"; do [ "$n" = "$it" ] || kept+=("$n"); done
    pids=("${kept[@]}")
}
run_agent() {
    run "agent-$1" "$2" agent --settings "$work/agent-$1.json"
    list_host "host-$1" agent "$(address_of "agent-$1")" "$1"
}
run_entry() {
    run "entry-$1" "$2" entry --settings "samples/gujarat/entry-$1.json" --set "store=$DOTTERELSTACK_STORE" \
        --set "platform=$DOTTERELSTACK_PLATFORM" --set timings.usage_flush_interval_ms=1000 \
        --set timings.usage_window_ms=2000
    list_host "entry-$1" entry "$(address_of "entry-$1" peers)" "$1"
}
status_of() { curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $2" -d "$completion" "http://$(address_of "entry-$1" callers)/v1/completions"; }
answers() { [ "$(status_of "$1" "$2")" = "$3" ]; }
# same COMMAND...: the operator command prints the same with both builds.
same() {
    "$old/dotterelstack" "$@" >"$work/with-old" 2>&1 || fail "$* with the old build: $(cat "$work/with-old")"
    "$new/dotterelstack" "$@" >"$work/with-new" 2>&1 || fail "$* with the new build: $(cat "$work/with-new")"
    diff -u "$work/with-old" "$work/with-new" || fail "$*: the output differs"
    [ -s "$work/with-new" ] || fail "$*: no output"
    pass "$1 ${*:2}: $(wc -l <"$work/with-new") lines, the same with both builds"
}
usage_of() { curl -sf "http://$DOTTERELSTACK_PLATFORM/v1/usage_reports"; }

start store "$old/standin_store"
start platform "$old/standin_platform"
start engine-1 "$old/standin_engine" --model register-long --model wording-short --tokens-per-second 200
start engine-2 "$old/standin_engine" --model register-long --model wording-short --tokens-per-second 200
start booking "$old/standin_service"
export DOTTERELSTACK_STORE DOTTERELSTACK_PLATFORM USER=${USER:-check}
DOTTERELSTACK_STORE=$(address_of store)
DOTTERELSTACK_PLATFORM=$(address_of platform)
cat >"$work/agent-rajkot.json" <<SETTINGS
{"host": "host-rajkot", "failure_domain": "rajkot", "listen": "127.0.0.1:0", "store": "$DOTTERELSTACK_STORE", "backends": [
  {"name": "drafting-rajkot-1", "service": "drafting", "kind": "model", "address": "$(address_of engine-1)", "models": ["register-long", "wording-short"]},
  {"name": "booking-rajkot", "service": "booking", "kind": "plain", "address": "$(address_of booking)"}]}
SETTINGS
cat >"$work/agent-jamnagar.json" <<SETTINGS
{"host": "host-jamnagar", "failure_domain": "jamnagar", "listen": "127.0.0.1:0", "store": "$DOTTERELSTACK_STORE", "backends": [
  {"name": "drafting-jamnagar-1", "service": "drafting", "kind": "model", "address": "$(address_of engine-2)", "models": ["register-long", "wording-short"]}]}
SETTINGS
completion='{"model":"wording-short","prompt":"Which words open a fair","max_tokens":6}'
sample=dsk_sample_gujarat_morbi

echo "== the old build writes configuration, claims, usage and logs"
run_agent rajkot "$old"
run_agent jamnagar "$old"
for domain in rajkot jamnagar; do run_entry "$domain" "$old"; done
wait_for sh -c "'$old/dotterelstack' status | grep -q 'backend drafting-jamnagar-1'"
cp -r samples/gujarat/declarations "$work/declarations"
"$old/dotterelstack" apply "$work/declarations" --author check >/dev/null
for domain in rajkot jamnagar; do wait_for answers "$domain" "$sample" 200; done
book() { # book ENTRY IDEMPOTENCY_KEY
    curl -sf --retry 10 --retry-all-errors --retry-delay 1 -H "Authorization: Bearer $sample" -H "Idempotency-Key: $2" \
        -H 'Content-Type: application/json' -d "{\"booking_id\":\"$2\",\"crier\":\"lakhu\"}" \
        "http://$(address_of "entry-$1" callers)/services/booking/engagements"
}
book rajkot fair-1 >"$work/fair-1"
wait_for sh -c "curl -sf http://$DOTTERELSTACK_PLATFORM/v1/usage_reports | grep -q morbi"
same get
same get --history
same get --object config/head
same usage
same export "$work/exported" --force
mkdir -p "$work/export-old" "$work/export-new"
"$old/dotterelstack" export "$work/export-old" >/dev/null && "$new/dotterelstack" export "$work/export-new" >/dev/null
diff -r "$work/export-old" "$work/export-new" && pass "export: the same files with both builds"
"$new/dotterelstack" check-settings declarations "$work/export-old" >/dev/null && pass "check-settings: declarations that the old build wrote"
for it in entry-rajkot entry-bhavnagar; do "$new/dotterelstack" check-settings entry "samples/gujarat/$it.json" >/dev/null; done
"$new/dotterelstack" check-settings agent "$work/agent-rajkot.json" >/dev/null && pass "check-settings: entry and agent settings"

echo "== an old and a new entry, an old and a new agent"
halt entry-jamnagar
halt agent-jamnagar
cp "$work/entry-jamnagar.err" "$work/old-entry.log"
run_agent jamnagar "$new"
run_entry jamnagar "$new"
for domain in rajkot jamnagar; do wait_for answers "$domain" "$sample" 200 || fail "entry-$domain does not serve"; done
pass "both entries serve"
wait_for sh -c "'$new/dotterelstack' status | grep -q 'backend drafting-jamnagar-1'" || fail "status lacks an agent of the new build"
"$old/dotterelstack" status >"$work/status-old"; "$new/dotterelstack" status >"$work/status-new"
for it in drafting-rajkot-1 drafting-jamnagar-1 booking-rajkot; do grep -q "$it" "$work/status-old" && grep -q "$it" "$work/status-new"; done
pass "status of both builds shows the backend servers of both agents"
book jamnagar fair-1 | cmp - "$work/fair-1" && pass "a claim of the old build is answered by the new entry"
book jamnagar fair-2 >"$work/fair-2" && book rajkot fair-2 | cmp - "$work/fair-2" && pass "a claim of the new build is answered by the old entry"
curl -sf "http://$(address_of booking)/counts" >"$work/counts"
grep -qE '"fair-1": ?1\b' "$work/counts" && grep -qE '"fair-2": ?1\b' "$work/counts" && pass "each booking ran once: $(cat "$work/counts")"
for build in old new; do
    "${!build}/dotterelstack" key create morbi --id "key-$build" >"$work/key-$build"
    secret=$(grep -oE 'dsk_[0-9a-f]+' "$work/key-$build" | head -n 1)
    for domain in rajkot jamnagar; do wait_for answers "$domain" "$secret" 200 || fail "key of the $build build at $domain"; done
    pass "a key declared with the $build build is in force at both entries"
    "${!build}/dotterelstack" key withdraw "key-$build" >"$work/withdrawn" || fail "withdrawal: $(cat "$work/withdrawn")"
    for domain in rajkot jamnagar; do answers "$domain" "$secret" 401 || fail "withdrawn key at $domain"; done
    pass "its withdrawal was confirmed and is in force at both entries"
done
before=$(usage_of | grep -o '"organisation"' | wc -l)
codes=$(for n in $(seq 10); do for domain in rajkot jamnagar; do status_of "$domain" "$sample"; echo; done; done | sort | uniq -c | tr -s ' \n' ' ')
[ "$codes" = " 20 200 " ] || fail "requests in turn at both entries: $codes"
pass "20 requests in turn at both entries, all served"
more_usage() { [ "$(usage_of | grep -o '"organisation"' | wc -l)" -gt "$before" ]; }
wait_for more_usage && pass "usage of the mixed site is reported"
grep -l shares_epoch_adopted "$work/entry-rajkot.err" "$work/entry-jamnagar.err" >"$work/adopted"
[ "$(wc -l <"$work/adopted")" = 2 ] && pass "both entries adopted an epoch of limit shares"

echo "== all processes of the new build, on the old build's data"
halt entry-rajkot
halt agent-rajkot
run_agent rajkot "$new"
run_entry rajkot "$new"
for domain in rajkot jamnagar; do wait_for answers "$domain" "$sample" 200 || fail "entry-$domain does not serve"; done
book rajkot fair-1 | cmp - "$work/fair-1" && pass "the claim of the old build is still answered"
same get --history
same usage
bad=$(grep -hE ' E(1103|1105|1605) ' "$work"/entry-*.err "$work"/agent-*.err || true)
[ -z "$bad" ] || fail "log events: $bad"
pass "no process logged an unreadable or diverging object"
echo "two builds: $checks checks passed, 0 failed"
