# Functions for measurement scripts that run real processes; sourced after scripts/fleet.sh.

# json_number FILE KIND OBJECT FIELD: prints OBJECT.FIELD from the line of that kind of `turmericline load --json`.
json_number() {
    sed -nE '/"kind":"'"$2"'"/s/.*"'"$3"'":\{[^}]*"'"$4"'":([0-9.e+-]+).*/\1/p' "$1"
}

# json_field FILE KIND FIELD
json_field() {
    sed -nE '/"kind":"'"$2"'"/s/.*"'"$3"'":([0-9.e+-]+).*/\1/p' "$1"
}

# median NUMBER...
median() {
    printf '%s\n' "$@" | sort -g | awk '{v[NR] = $1} END {print NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2}'
}

pid_of() {
    cat "$fleet_dir/$1.pid"
}

# cpu_us NAME: CPU time of a process in microseconds, with the kernel's resolution of 10 ms.
cpu_us() {
    awk -v hz="$(getconf CLK_TCK)" '{sub(/^.*\) /, ""); print ($12 + $13) * 1000000 / hz}' "/proc/$(pid_of "$1")/stat"
}

# scheduled NAME: nanoseconds on a CPU, nanoseconds runnable but waiting for a CPU, and number of times scheduled.
scheduled() {
    cat "/proc/$(pid_of "$1")/schedstat"
}

# rss_kb NAME
rss_kb() {
    awk '/^VmRSS:/ {print $2}' "/proc/$(pid_of "$1")/status"
}

# io_bytes NAME: payload bytes of the open TCP connections: received from peers, sent to peers (both including TLS),
# received from the platform, sent to the platform. /proc/PID/io does not count bytes of send() and recv().
io_bytes() {
    ss -tinpHO | grep "pid=$(pid_of "$1")," |
        awk -v config=":$(port_of config)" -v instances=":$(port_of instances)" '
            function field(name) {return match($0, " " name ":[0-9]+") ? substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2) : 0}
            {isPlatform = $5 ~ config "$" || $5 ~ instances "$"}
            {r[isPlatform] += field("bytes_received"); w[isPlatform] += field("bytes_sent")}
            END {printf "%.0f %.0f %.0f %.0f\n", r[0], w[0], r[1], w[1]}'
}

# start_agent NAME SERVER DOMAIN BACKEND_NAME [ARGUMENT...]
start_agent() {
    local name=$1 server=$2 domain=$3 backend=$4
    shift 4
    start "$name" "$bin/turmericline-agent" --server "$server" --domain "$domain" --log-level "${LOG_LEVEL:-warning}" \
        --backend-url "http://127.0.0.1:$(port_of "$backend")" --config-url "http://127.0.0.1:$(port_of config)" \
        --peer-key "$peer_key" --drain-notice-ms 0 --backend-silence-ms 600000 "$@"
}

# start_entry NAME DOMAIN [ARGUMENT...]
start_entry() {
    local name=$1 domain=$2
    shift 2
    start "$name" "$bin/turmericline-entry" --name "$name" --domain "$domain" --log-level "${LOG_LEVEL:-warning}" \
        --config-url "http://127.0.0.1:$(port_of config)" --instances-url "http://127.0.0.1:$(port_of instances)" \
        --peer-key "$peer_key" --drain-notice-ms 0 --max-deadline-ms 3600000 --default-deadline-ms 600000 "$@"
}

publish() {
    curl -sSf -X PUT --data-binary "@$1" "http://127.0.0.1:$(port_of config)/control/document" >/dev/null
}

# server_row NAME SERVICE DOMAIN ADDRESS SLOTS
server_row() {
    printf '{"name":"%s","service":"%s","domain":"%s","agent":"%s","state":"active","slots":%s}' "$@"
}

# small_document VERSION SERVER_ROWS [WORKSPACE_ROWS]: one model service, and one plain service with key owner s-$tag.
small_document() {
    cat <<JSON
{"version":$1,"key_lifetime_s":${KEY_LIFETIME_S:-5},
 "services":[
  {"name":"assistant","kind":"model","model":"assistant","idempotent":true},
  {"name":"controller","kind":"plain","idempotent":false,"calls":[],"key_owners":["s-$tag"]}],
 "plans":[{"name":"standard","requests_per_s":1000000,"tokens_per_s":1000000000,"weight":1,"class":"interactive",
  "services":["assistant","controller"]}],
 "workspaces":[{"name":"lab","keys":["$(key_digest demo-key)"],"plan":"standard"}${3:-}],
 "backend_servers":[$2],
 "placement":{"skew_weight":0.5,"move_budget":64}}
JSON
}

# start_small_fleet ENGINE_SLOTS ENGINE_ARGUMENT...: starts an entry, and an engine and a plain service with agents.
start_small_fleet() {
    local slots=$1
    shift
    start config "$bin/turmericline-fake" config
    start instances "$bin/turmericline-fake" instances
    start engine "$bin/turmericline-fake" engine --slots "$slots" "$@"
    start service "$bin/turmericline-fake" service
    start_agent agent-m "m-$tag" d1 engine
    start_agent agent-s "s-$tag" d1 service
    small_document 1 "$(server_row "m-$tag" assistant d1 "127.0.0.1:$(port_of agent-m)" "$slots"),$(
        server_row "s-$tag" controller d1 "127.0.0.1:$(port_of agent-s)" 64)" >"$fleet_dir/document.json"
    "$bin/turmericline" check "$fleet_dir/document.json" >/dev/null
    publish "$fleet_dir/document.json"
    start_entry entry d1
    wait_ready entry
    wait_ready agent-m
    wait_ready agent-s
}

# stop_one NAME
stop_one() {
    kill "$(pid_of "$1")" 2>/dev/null || true
}
