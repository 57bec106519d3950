#!/usr/bin/env bash
# Starts a stand-in for the users' platform and three instances in two failure domains as separate
# processes on loopback, sends requests, changes the configuration, kills one instance and stops
# another.
set -euo pipefail
cd "$(dirname "$0")"

cargo build --quiet --locked -p camphorhold-instance -p camphorhold-testutils
bin=target/debug
work=$(mktemp -d)
pids=()

# Kills the processes that this script started, also on Ctrl-C and on errors.
stop_all() {
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# Repeats a command until it succeeds, for at most about 30 s: wait_for COMMAND...
wait_for() {
    for _ in $(seq 300); do
        "$@" >/dev/null 2>&1 && return
        sleep 0.1
    done
    echo "waited in vain: $*" >&2
    exit 1
}

"$bin/standin-platform" >"$work/platform" &
platform=$!
pids+=("$platform")
wait_for grep store "$work/platform"
store=$(sed 's/.*"store":"\([^"]*\)".*/\1/' "$work/platform")

# Starts an instance and waits until it is ready: start NUMBER DOMAIN
start() {
    local base=$((24100 + 10 * $1))
    cat >"$work/$1.yaml" <<END
node_name: "front-$2-$1"
zone: "$2"
listen: {front: "127.0.0.1:$base", ready_address: "127.0.0.1:$((base + 1))"}
internal_ports: [$((base + 2)), $((base + 2))]
bounds: {contact_ms: 4000, config_apply_ms: 3000, drain_ms: 3000, grace_s: 6,
  retry_budget_ratio: 0.2, retry_budget_extra: 54, retry_window_s: 10}
platform: {address: "$store"}
END
    "$bin/camphorhold-instance" --settings "$work/$1.yaml" --metrics-port $((base + 3)) \
        >"$work/$1.log" &
    pids+=($!)
    wait_for curl -sf "127.0.0.1:$((base + 1))/api/ready"
}

# Sends a request: request PORT ID PATH
request() {
    echo "\$ request $2 to port $1: $3"
    curl -s --max-time 5 -D - "127.0.0.1:$1$3" -H 'Host: q.example' \
        -H "X-Camphorhold-Request-Id: $2" -H 'X-Camphorhold-Deadline-Ms: 3000' | tr -d '\r' || true
    echo
    echo
}

start 1 a
start 2 b
start 3 b
request 24110 r1 /all/x
request 24110 r2 /one/x

echo "changing the configuration"
kill -USR1 "$platform"
wait_for grep -q '"version":2' "$work/1.log"
request 24110 r3 /one/x

echo "killing one of the 3 instances (SIGKILL)"
kill -KILL "${pids[2]}"
request 24110 r4 /all/x

echo "stopping an instance (SIGTERM)"
kill -TERM "${pids[1]}"
wait_for grep -q '"stopped"' "$work/1.log"
grep -E '"(started|ready|configuration in force|stopping|stopped)"' "$work/1.log" |
    sed 's/"thread.*"kv"/"kv"/'
request 24130 r5 /all/x
curl -s 127.0.0.1:24133/metrics | grep -E '^camphorhold_(requests|leaf_calls|handovers)_total'
