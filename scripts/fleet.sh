# Functions that start and stop a small fleet on loopback; sourced by scripts/demo and the measurement scripts.
# Every process prints its ports as one JSON line on standard output.

fleet_dir=$(mktemp -d)
fleet_pids=()
# Only one agent per server name can run on a host, so server names contain a tag of their fleet.
tag=$$
peer_key="demo:$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')"

# start NAME COMMAND...: runs the command in the background and waits for its ports, which port_of returns.
start() {
    local name=$1
    shift
    "$@" >"$fleet_dir/$name.out" 2>"$fleet_dir/$name.log" &
    fleet_pids+=($!)
    echo $! >"$fleet_dir/$name.pid"
    for _ in $(seq 200); do
        [ -s "$fleet_dir/$name.out" ] && return 0
        kill -0 "$(cat "$fleet_dir/$name.pid")" 2>/dev/null || break
        sleep 0.05
    done
    echo "$name did not start:" >&2
    cat "$fleet_dir/$name.log" >&2
    return 1
}

# port_of NAME [FIELD]
port_of() {
    sed -nE 's/.*"'"${2:-port}"'":([0-9]+).*/\1/p' "$fleet_dir/$1.out"
}

stop_fleet() {
    local it
    for it in "${fleet_pids[@]}"; do
        kill "$it" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$fleet_dir"
}

key_digest() {
    printf '%s' "$1" | openssl dgst -sha256 -binary | head -c 16 | openssl base64 | tr '+/' '-_' | tr -d '=\n'
}

# write_document VERSION: prints a document with a model service and a plain service, each with a server in d1 to d3.
write_document() {
    local servers="" d
    for d in 1 2 3; do
        servers+="{\"name\":\"m$d-$tag\",\"service\":\"assistant\",\"domain\":\"d$d\",\"agent\":\"127.0.0.1:$(port_of agent-m$d)\",\"state\":\"active\",\"checks_fencing\":true,\"checks_caller\":false,\"slots\":${MODEL_SLOTS:-16}},"
        servers+="{\"name\":\"s$d-$tag\",\"service\":\"controller\",\"domain\":\"d$d\",\"agent\":\"127.0.0.1:$(port_of agent-s$d)\",\"state\":\"active\",\"checks_fencing\":false,\"checks_caller\":false,\"slots\":8},"
    done
    cat <<JSON
{"version":$1,"key_lifetime_s":${KEY_LIFETIME_S:-120},
 "services":[
  {"name":"assistant","kind":"model","model":"assistant","idempotent":true},
  {"name":"controller","kind":"plain","idempotent":false,
   "calls":[{"method":"GET","path":"/*","idempotent":true}],"key_owners":["s1-$tag","s2-$tag","s3-$tag"]}],
 "plans":[{"name":"standard","requests_per_s":${PLAN_REQUESTS:-10000},"tokens_per_s":${PLAN_TOKENS:-10000000},"weight":1,"class":"interactive",
  "services":["assistant","controller"]}],
 "workspaces":[{"name":"lab","keys":["$(key_digest "${DEMO_KEY:-demo-key}")"],"plan":"standard"}],
 "backend_servers":[${servers%,}],
 "placement":{"skew_weight":0.5,"move_budget":64}}
JSON
}

# start_fleet BUILD_DIR: starts the fakes, six agents and three entries; waits until all agents and entries are ready.
start_fleet() {
    local bin=$1 d kind name backend i
    start config "$bin/turmericline-fake" config
    start instances "$bin/turmericline-fake" instances
    local config_url="http://127.0.0.1:$(port_of config)"
    local instances_url="http://127.0.0.1:$(port_of instances)"
    for d in 1 2 3; do
        start "engine-m$d" "$bin/turmericline-fake" engine --slots "${MODEL_SLOTS:-16}" ${ENGINE_ARGS:-}
        start "service-s$d" "$bin/turmericline-fake" service
        for name in "m$d" "s$d"; do
            kind=engine
            [ "$name" = "s$d" ] && kind=service
            backend="http://127.0.0.1:$(port_of "$kind-$name")"
            start "agent-$name" "$bin/turmericline-agent" --server "$name-$tag" --domain "d$d" --backend-url "$backend" \
                --config-url "$config_url" --instances-url "$instances_url" --peer-key "$peer_key" --drain-notice-ms 0
        done
    done
    write_document 1 >"$fleet_dir/document.json"
    "$bin/turmericline" check "$fleet_dir/document.json"
    curl -sSf -X PUT --data-binary "@$fleet_dir/document.json" "$config_url/control/document" >/dev/null
    for i in 1 2 3; do
        start "entry-$i" "$bin/turmericline-entry" --name "e$i" --domain "d$i" --config-url "$config_url" \
            --instances-url "$instances_url" --peer-key "$peer_key" --drain-notice-ms 0
    done
    for i in 1 2 3; do
        wait_ready "entry-$i"
    done
    for name in m1 m2 m3 s1 s2 s3; do
        wait_ready "agent-$name"
    done
}

wait_ready() {
    local url="http://127.0.0.1:$(port_of "$1" ops_port)/readyz"
    for _ in $(seq 200); do
        curl -sf "$url" >/dev/null && return 0
        sleep 0.05
    done
    echo "$1 did not become ready" >&2
    return 1
}
