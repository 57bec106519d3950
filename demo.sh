#!/usr/bin/env bash
# Builds the workspace, starts the platform's stand-ins and several instances as separate processes
# on loopback, applies an operators' file, sends queries, kills one instance, and shows the answers
# and the events of one request.
#
# Usage: ./demo.sh [almisse|sarro] [instances]
set -euo pipefail
cd "$(dirname "$0")"

deployment=${1:-almisse}
instances=${2:-3}
file="examples/$deployment.toml"
case "$deployment" in
    almisse) base=20100 service=round-app tenant=households ;;
    sarro) base=22100 service=reminder-console tenant= ;;
    *)
        echo "usage: ./demo.sh [almisse|sarro] [instances]" >&2
        exit 2
        ;;
esac
tenant=${tenant:-$(grep -A1 '^\[\[tenant\]\]' "$file" | sed -n 's/^name = "\(.*\)"/\1/p' | head -1)}

cargo build --quiet --workspace --locked
bin=target/debug
logs=$(mktemp -d)
pids=()

# Stops the processes that this script started, newest first, also on Ctrl-C and on errors.
stop_all() {
    trap - EXIT INT TERM
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[i]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$logs"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# Starts a process in the background with its output in a log file: start NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    pids+=($!)
}

# Prints the output of a process and exits with 1 if the process is no longer running:
# expect_running NAME PID
expect_running() {
    local name=$1 pid=$2
    if ! kill -0 "$pid" 2>/dev/null; then
        echo "$name did not start:" >&2
        cat "$logs/$name.log" >&2
        exit 1
    fi
}

# Waits until an instance answers /readyz with 200, for at most about 30 s: wait_ready ADMIN_PORT
wait_ready() {
    local port=$1
    for _ in $(seq 300); do
        if (exec 3<>"/dev/tcp/127.0.0.1/$port" &&
            printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3 &&
            head -1 <&3 | grep -q ' 200 ') 2>/dev/null; then
            return
        fi
        sleep 0.1
    done
    echo "the instance with the admin port $port did not become ready" >&2
    exit 1
}

domains=($(grep -A1 '^\[\[failure_domain\]\]' "$file" | sed -n 's/^name = "\(.*\)"/\1/p'))
store=127.0.0.1:$base
list=127.0.0.1:$((base + 1))
entry=127.0.0.1:$((base + 2))

start store $bin/standin-store --listen "$store"
start backend $bin/standin-backend --file "$file" --admin 127.0.0.1:$((base + 3))
listed=()
balanced=()
for ((i = 0; i < instances; i++)); do
    port=$((base + 10 + 10 * i))
    listed+=(--instance "127.0.0.1:$((port + 2))")
    balanced+=(--instance "127.0.0.1:$port")
done
start list $bin/standin-instances --listen "$list" "${listed[@]}"
start balancer $bin/standin-balancer --listen "$entry" "${balanced[@]}"
control=()
daemons=()
for ((i = 0; i < instances; i++)); do
    port=$((base + 10 + 10 * i))
    start "instance-$i" $bin/camphorholdd \
        --caller-address "127.0.0.1:$port" \
        --peer-address "127.0.0.1:$((port + 1))" \
        --control-address "127.0.0.1:$((port + 2))" \
        --admin-address "127.0.0.1:$((port + 3))" \
        --failure-domain "${domains[i % ${#domains[@]}]}" \
        --store "$store" --instance-list "$list"
    control+=("127.0.0.1:$((port + 2))")
    daemons+=("${pids[-1]}")
done
sleep 1
names=(store backend list balancer)
for ((i = 0; i < instances; i++)); do names+=("instance-$i"); done
for ((i = 0; i < ${#pids[@]}; i++)); do expect_running "${names[i]}" "${pids[i]}"; done

CAMPHORHOLD_INSTANCES=$(IFS=,; echo "${control[*]}")
export CAMPHORHOLD_INSTANCES
export CAMPHORHOLD_ENTRIES=$entry
show() {
    echo
    echo "\$ camphorhold $*"
    "$bin/camphorhold" "$@"
}

show check "$file"
show apply "$file"
for ((i = 0; i < instances; i++)); do wait_ready $((base + 13 + 10 * i)); done
# A new owner of a backend server waits 3.5 s, after which no earlier owner can still send calls.
for _ in $(seq 20); do
    "$bin/camphorhold" query --tenant "$tenant" --service "$service" --route search "ready?" \
        >/dev/null 2>&1 && break
    sleep 0.5
done
show status
for query in "Nørregade" "Kirkevej"; do
    show query --tenant "$tenant" --service "$service" --route search "$query" | tail -6 || true
done

echo
echo "killing one of the $instances instances (SIGKILL)"
kill -KILL "${daemons[-1]}"
wait "${daemons[-1]}" 2>/dev/null || true
for query in "Møllevej" "Skolegade" "Strandvejen"; do
    show query --tenant "$tenant" --service "$service" --route search "$query" | tail -4 || true
done

request=$("$bin/camphorhold" --json query --tenant "$tenant" --service "$service" \
    --route search "Havnegade" | sed -n 's/.*"request_id": *"\([0-9a-f]*\)".*/\1/p' | head -1)
show timeline --request "$request" || true
show moves
