# shellcheck shell=sh
# Functions of tools/demo and tools/faults: a small deployment of stand-ins (test doubles) and entry VMs on loopback.
# The sourcing script runs in the repository's root, sets $usage and calls parse_arguments, then prepare_deployment.

usage_error() {
    echo "usage: $usage; N is a whole number" >&2
    exit 2
}
# parse_arguments ARGUMENT...: sets $seed from [--seed N] and $operands to the positional arguments.
parse_arguments() {
    seed=1
    operands=
    while [ $# -gt 0 ]; do
        case $1 in
        --seed)
            [ $# -gt 1 ] || usage_error
            seed=$2
            shift
            ;;
        --help)
            echo "usage: $usage"
            exit 0
            ;;
        -*) usage_error ;;
        *) operands="$operands $1" ;;
        esac
        case $seed in
        '' | *[!0-9]*) usage_error ;;
        esac
        shift
    done
}

# prepare_deployment NAME BLOCK: builds and writes the settings into $settings. BLOCK is the first two numbers of the
# loopback addresses. Programs log into $logs.
prepare_deployment() {
    logs=${BUILD:-build}/$1
    settings=$logs/settings
    block=$2
    programs=${BUILD:-build}/src/programs
    platform=http://$block.0.3:7080
    fabric=http://$block.0.2:7080
    callers=http://$block.0.4:7080
    rm -rf "$logs"
    mkdir -p "$settings"
    tools/packages curl jq
    echo "Building ..."
    tools/build >"$logs/build.log" 2>&1 || {
        cat "$logs/build.log" >&2
        exit 1
    }
    for file in config/demo/*; do
        sed "s/127\.0\./$block./g; s#config/demo/#$settings/#g; s/\"seed\": 1/\"seed\": $seed/" "$file" \
            >"$settings/${file##*/}"
    done
    start_ms=$(now_ms)
    trap stop_all EXIT
}

now_ms() { date +%s%3N; }
log_event() {
    at=$(($(now_ms) - start_ms))
    printf '%3d.%03d s  %s\n' $((at / 1000)) $((at % 1000)) "$*"
}
fail() {
    echo "$0: $*; logs are in $logs" >&2
    exit 1
}

# start NAME COMMAND...: runs a program in the background; writes $logs/NAME.pid, .out, .log and .started (ms).
start() {
    name=$1
    shift
    "$@" >"$logs/$name.out" 2>>"$logs/$name.log" &
    echo $! >"$logs/$name.pid"
    now_ms >"$logs/$name.started"
}
is_running() { [ -f "$logs/$1.pid" ] && kill -0 "$(cat "$logs/$1.pid")" 2>/dev/null; }
# signal SIGNAL NAME...: sends a signal by process id.
signal() {
    signal_name=$1
    shift
    for name in "$@"; do
        kill "-$signal_name" "$(cat "$logs/$name.pid")" 2>/dev/null || true
    done
}
signal_and_wait() {
    signal "$@"
    shift
    for name in "$@"; do
        wait "$(cat "$logs/$name.pid")" 2>/dev/null || true
        rm -f "$logs/$name.pid"
    done
}
stop() { signal_and_wait TERM "$@"; }
stop_all() {
    for file in "$logs"/*.pid; do
        [ -f "$file" ] || continue
        # The second SIGTERM ends a program that still transfers flows. SIGCONT resumes a frozen program.
        kill -TERM "$(cat "$file")" 2>/dev/null || true
        kill -TERM "$(cat "$file")" 2>/dev/null || true
        kill -CONT "$(cat "$file")" 2>/dev/null || true
    done
    wait
}

request() { curl --silent --show-error --fail --max-time 40 "$@"; }
ctl() { "$programs/cuminrelayctl" "$@" --config "$settings/ctl.json"; }

# await_platform MESSAGE PATH CONDITION: waits until the response for PATH meets the jq condition, at most 10 s.
await_platform() {
    tries=100
    until request "$platform/v1/$2" -H "Authorization: Bearer $(cat "$settings/token")" 2>/dev/null |
        jq -e "$3" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ $tries -gt 0 ] || fail "$1"
        sleep 0.1
    done
}

# set_vm_state NUMBER STATE: sets an entry VM's record in the VM list.
set_vm_state() {
    zone=$(jq -r .zone "$settings/entry-$1.json")
    request -X PUT "$platform/standin/vms/entry-$1" -d "{\"zone\":\"$zone\",\"state\":\"$2\",
        \"peers\":\"$block.2.$1:7400\",\"replica\":\"$block.2.$1:7401\",\"control\":\"$block.2.$1:7404\",
        \"packets\":\"$block.2.$1:5555\"}" >/dev/null
}
start_control() { start "control-$1" "$programs/cuminrelay-control" --config "$settings/control-$1.json"; }
start_vm() {
    set_vm_state "$1" active
    start "entry-$1" "$programs/cuminrelay-entry" --config "$settings/entry-$1.json"
    start_control "$1"
}
# await_member NUMBER: waits until the zone's status lists the entry VM as active with a configuration.
await_member() {
    await_platform "entry-$1 not active after 10 s" "objects/status/$(jq -r .zone "$settings/entry-$1.json")" \
        ".members[] | select(.name == \"entry-$1\" and .state == \"active\" and .config_version > 0)"
}
# Both take NUMBER: add the entry VM to the fabric's targets, or remove it.
add_packet_target() { request -X PUT "$fabric/standin/entries/$block.2.$1:5555" >/dev/null; }
remove_packet_target() { request -X DELETE "$fabric/standin/entries/$block.2.$1:5555" >/dev/null; }

start_standins() {
    start standins "$programs/cuminrelay-standin" all --config "$settings/standins.json"
    tries=50
    until request "$platform/standin/calls" >/dev/null 2>&1; do
        is_running standins || fail "the stand-ins exited: $(tail -n 1 "$logs/standins.log")"
        tries=$((tries - 1))
        [ $tries -gt 0 ] || fail "the platform's stand-in did not answer within 5 s"
        sleep 0.1
    done
}

# start_callers VM...: starts the stand-ins, these entry VMs and, when all are ready, the callers.
start_callers() {
    start_standins
    for vm in "$@"; do
        start_vm "$vm"
    done
    await_platform "the VM list did not show $# entry VMs within 10 s" vms "length == $#"
    ctl wait --timeout 20 >>"$logs/ctl.out" 2>&1 ||
        fail "the configuration was not in force after 20 s: $(tail -n 3 "$logs/ctl.out")"
    start_ms=$(now_ms)
    request -X POST "$callers/standin/start" >/dev/null
    log_event "$# entry VMs in 2 zones are ready; callers start (seed $seed)"
}

# Longest time from an edit until every entry VM had it in force.
max_in_force_ms=0
# edit ARGUMENT...: makes one edit with cuminrelayctl and waits until it is in force.
edit() {
    edit_started_ms=$(now_ms)
    ctl "$@" >>"$logs/ctl.out" 2>&1 || fail "cuminrelayctl $* failed: $(tail -n 1 "$logs/ctl.out")"
    await_in_force "$*"
}
# await_in_force ARGUMENTS: waits until the stored configuration is in force; logs the time since $edit_started_ms.
await_in_force() {
    ctl wait --timeout 10 >>"$logs/ctl.out" 2>&1 || fail "not in force after 10 s: cuminrelayctl $1"
    elapsed_ms=$(($(now_ms) - edit_started_ms))
    [ "$elapsed_ms" -gt "$max_in_force_ms" ] && max_in_force_ms=$elapsed_ms
    log_event "cuminrelayctl $1: in force everywhere after $elapsed_ms ms"
}

# finish_callers: stops the callers and sets $report to their report.
finish_callers() {
    log_event "callers stop; open requests finish"
    report=$(request -X POST "$callers/standin/finish")
}
field() { echo "$report" | jq -r ".$1"; }
print_report() {
    echo "Flows: $(field flows) opened, $(field broken) broken ($(field broken_by_reset) by reset," \
        "$(field broken_by_timeout) by timeout, $(field broken_by_early_end) by an early end)," \
        "$(field refused) refused; $(field shed) requests shed."
    echo "Answers: $(field answers) checked, $(field incomplete_answers) incomplete; $(field pushes) feed lines;" \
        "$(field misrouted) from the wrong service or host."
    echo "Work: $(field run_twice) run twice, $(field refused_but_run) run although refused."
}
# refusals_and_drops VM: prints the nonzero refusal and drop counters of an entry VM.
refusals_and_drops() {
    request "http://$block.2.$1:7403/metrics" |
        awk '/^cuminrelay_[a-z_]*(refusals|drops)_total/ && $2 > 0 { printf "%s%s %s", sep, $1, $2; sep = ", " }'
}
