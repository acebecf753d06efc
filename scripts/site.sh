# Functions to start a small site on loopback; sourced by demo.sh and overhead.sh. Needs BIN_DIR.
# Every program is stopped by its process id; nothing is left behind when the script ends.

bin=$(cd "${BIN_DIR:?set BIN_DIR to the folder of the built programs}" && pwd)
work=$(mktemp -d)
pids=()

stop_site() {
    local status=$? it
    for it in "${pids[@]}"; do kill -TERM "$it" 2>/dev/null; done
    for it in "${pids[@]}"; do
        for _ in $(seq 100); do
            kill -0 "$it" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL "$it" 2>/dev/null && echo "process $it had to be killed" && status=1
        wait "$it" 2>/dev/null
    done
    rm -rf "$work"
    exit "$status"
}
trap stop_site EXIT

# start NAME PROGRAM [ARGUMENTS]: starts a program and waits for its "listening" line.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
    for _ in $(seq 300); do
        grep -q '^listening' "$work/$name.out" && return 0
        sleep 0.1
    done
    echo "$name did not start:"
    cat "$work/$name.err"
    exit 1
}

# address_of NAME [LISTENER]: address that a started program printed.
address_of() {
    awk -v listener="${2:-}" '$1 == "listening" && (listener == "" || $2 == listener) { print $3; exit }' "$work/$1.out"
}

# list_host HOST ROLE ADDRESS FAILURE_DOMAIN: enters a host into the platform's list.
list_host() {
    curl -sf -X POST "http://$(address_of platform)/v1/hosts" \
        -d "{\"host\":\"$1\",\"role\":\"$2\",\"address\":\"$3\",\"failure_domain\":\"$4\",\"state\":\"live\"}" >/dev/null
}

# wait_for COMMAND...: repeats a command until it succeeds, for at most 30 seconds.
wait_for() {
    for _ in $(seq 300); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "gave up waiting for: $*"
    return 1
}
