#!/usr/bin/env bash
# Runs a small cluster on this machine, each role a process of its own on free ports.
#
# Usage: examples/local.sh DIR
#
# Starts the platform's stand-in, 2 entries and 3 workers with their agents, and accepts examples/fitters as the first
# configuration. DIR gets settings, secrets, logs and addresses.json with the role, addresses, process id and settings
# file of each process. Runs until SIGINT or SIGTERM, then stops what it started and nothing else.
#
# Example: examples/local.sh /tmp/local
set -euo pipefail
# Each process gets a group of its own, so that Ctrl-C reaches this script alone.
set -m
umask 077

ENTRIES=2
WORKERS=3
START_PATIENCE_S=30

if [ $# -ne 1 ]; then
    echo "Usage: examples/local.sh DIR" >&2
    exit 2
fi
mkdir -p "$1"
dir=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked
bin=$(cargo metadata --format-version 1 --no-deps --locked | sed -n 's/.*"target_directory":"\([^"]*\)".*/\1/p')/debug

started=()

stop() {
    trap - EXIT INT TERM
    local index
    # In reverse order: agents drain while entries still answer.
    for ((index = ${#started[@]} - 1; index >= 0; index--)); do
        kill -TERM "${started[index]}" 2>/dev/null || true
        wait "${started[index]}" 2>/dev/null || true
    done
}
trap stop EXIT
trap 'exit 0' INT TERM

# Gives the text of a field in one line of JSON.
field() {
    sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" "$2"
}

# Starts a process and waits for the line that it prints when it is ready: start NAME PROGRAM ARGUMENTS...
start() {
    local name=$1 program=$2 waited=0
    shift 2
    "$bin/$program" "$@" >"$dir/$name.ready" 2>"$dir/$name.err" &
    started+=($!)
    process_id=$!
    until [ -s "$dir/$name.ready" ]; do
        if ! kill -0 "$process_id" 2>/dev/null || [ "$waited" -ge $((START_PATIENCE_S * 10)) ]; then
            echo "$name didn't start:" >&2
            cat "$dir/$name.err" >&2
            exit 1
        fi
        sleep 0.1
        waited=$((waited + 1))
    done
}

rows=()

# Adds a process to addresses.json: add ROLE NAME ADDRESS OPERATORS_ADDRESS SETTINGS
add() {
    local address=null operators=null settings=null
    [ -z "$3" ] || address="\"$3\""
    [ -z "$4" ] || operators="\"$4\""
    [ -z "$5" ] || settings="\"$5\""
    rows+=("  { \"role\": \"$1\", \"name\": \"$2\", \"address\": $address, \"operators_address\": $operators, \"process_id\": $process_id, \"settings\": $settings }")
}

random_secret() {
    od -An -N24 -tx1 /dev/urandom | tr -d ' \n'
}

random_secret >"$dir/link.secret"
random_secret >"$dir/operator.secret"
secrets="\"link_secrets\": [{ \"file\": \"$dir/link.secret\" }],
  \"operator_secrets\": [{ \"file\": \"$dir/operator.secret\" }],
  \"log_directory\": \"$dir\""

start platform chervilledge-standin-platform --listen 127.0.0.1:0
platform=$(field address "$dir/platform.ready")
add platform platform "$platform" "" ""

links=()
operators=()
for ((number = 1; number <= ENTRIES; number++)); do
    name=entry-$number
    cat >"$dir/$name.json" <<SETTINGS
{
  "name": "$name",
  "site": "hobart",
  "failure_domain": "hobart",
  "callers_address": "127.0.0.1:0",
  "links_address": "127.0.0.1:0",
  "operators_address": "127.0.0.1:0",
  "platform_address": "$platform",
  $secrets
}
SETTINGS
    start "$name" chervilledge-entry --settings "$dir/$name.json"
    links+=("\"$(field links_address "$dir/$name.ready")\"")
    operators+=("$(field operators_address "$dir/$name.ready")")
    add entry "$name" "$(field callers_address "$dir/$name.ready")" "${operators[number - 1]}" "$dir/$name.json"
done
entry_addresses=$(IFS=,; echo "${links[*]}")

for ((number = 1; number <= WORKERS; number++)); do
    name=worker-$number
    start "$name-machine" chervilledge-standin-worker --listen 127.0.0.1:0 --worker "$name"
    machine=$(field address "$dir/$name-machine.ready")
    add worker "$name" "$machine" "" ""
    cat >"$dir/$name.json" <<SETTINGS
{
  "worker": "$name",
  "site": "hobart",
  "service": "portal",
  "failure_domain": "hobart",
  "rack": "rack-1",
  "capacity": {
    "slots": 8,
    "connections": 64,
    "resources": { "processor_millicores": 16000, "memory_bytes": 60000000000, "accelerators": 0 }
  },
  "backend_address": "$machine",
  "runtime_address": "$machine",
  "entry_addresses": [$entry_addresses],
  "links_max": 4,
  "operators_address": "127.0.0.1:0",
  $secrets
}
SETTINGS
    start "$name" chervilledge-agent --settings "$dir/$name.json"
    add agent "$name" "" "$(field operators_address "$dir/$name.ready")" "$dir/$name.json"
done

"$bin/chervilledge" plan examples/fitters --first --output "$dir/first-plan.json" >/dev/null
"$bin/chervilledge" accept "$dir/first-plan.json" --entry "${operators[0]}" --secret-file "$dir/operator.secret" \
    --operator local

# Waits until every agent and the other entries report version 1 to every entry.
others=$((WORKERS + ENTRIES - 1))
for address in "${operators[@]}"; do
    waited=0
    until "$bin/chervilledge" status --entry "$address" --secret-file "$dir/operator.secret" \
        | grep -q "in force at $others of $others processes"; do
        if [ "$waited" -ge "$START_PATIENCE_S" ]; then
            echo "the configuration isn't in force after $START_PATIENCE_S s" >&2
            exit 1
        fi
        sleep 1
        waited=$((waited + 1))
    done
done

{
    echo "["
    for ((index = 0; index < ${#rows[@]}; index++)); do
        [ "$index" -eq $((${#rows[@]} - 1)) ] && comma="" || comma=","
        echo "${rows[index]}$comma"
    done
    echo "]"
} >"$dir/addresses.json"
echo "Ready: $dir/addresses.json"
wait
