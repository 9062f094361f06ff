# shellcheck shell=sh
# What tools/demo and tools/faults share: a small deployment on loopback, of stand-ins and entry VMs. The script that
# sources this runs in the repository's root, has read its command line with read_words and calls prepare_deployment.

usage_error() {
    echo "usage: $usage; N is a whole number" >&2
    exit 2
}
# read_words WORDS...: sets $seed from [--seed N], and $words to the words that are no options.
read_words() {
    seed=1
    words=
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
        *) words="$words $1" ;;
        esac
        case $seed in
        '' | *[!0-9]*) usage_error ;;
        esac
        shift
    done
}

# prepare_deployment NAME BLOCK: builds, and writes the settings for the loopback block (two numbers of an address)
# into $settings. Programs log into $logs.
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
    began=$(now_ms)
    trap stop_all EXIT
}

now_ms() { date +%s%3N; }
say() {
    at=$(($(now_ms) - began))
    printf '%3d.%03d s  %s\n' $((at / 1000)) $((at % 1000)) "$*"
}
fail() {
    echo "$0 cannot go on: $*; logs are in $logs" >&2
    exit 1
}

# start NAME COMMAND...: runs a program in the background; its process id is in $logs/NAME.pid, its log in NAME.log.
start() {
    name=$1
    shift
    "$@" >"$logs/$name.out" 2>>"$logs/$name.log" &
    echo $! >"$logs/$name.pid"
    now_ms >"$logs/$name.started"
}
is_running() { [ -f "$logs/$1.pid" ] && kill -0 "$(cat "$logs/$1.pid")" 2>/dev/null; }
# signal SIGNAL NAME...: by process id.
signal() {
    sent=$1
    shift
    for name in "$@"; do
        kill "-$sent" "$(cat "$logs/$name.pid")" 2>/dev/null || true
    done
}
# end SIGNAL NAME...: sends the signal and waits until the programs have ended.
end() {
    signal "$@"
    shift
    for name in "$@"; do
        wait "$(cat "$logs/$name.pid")" 2>/dev/null || true
        rm -f "$logs/$name.pid"
    done
}
# stop NAME...: a graceful end.
stop() { end TERM "$@"; }
stop_all() {
    for file in "$logs"/*.pid; do
        [ -f "$file" ] || continue
        # The second signal ends a program that still hands over; a frozen one takes both when it goes on.
        kill -TERM "$(cat "$file")" 2>/dev/null || true
        kill -TERM "$(cat "$file")" 2>/dev/null || true
        kill -CONT "$(cat "$file")" 2>/dev/null || true
    done
    wait
}

call() { curl --silent --show-error --fail --max-time 40 "$@"; }
ctl() { "$programs/cuminrelayctl" "$@" --config "$settings/ctl.json"; }

# await_platform COMPLAINT PATH CONDITION: until what the platform holds meets the condition; 10 s at most.
await_platform() {
    tries=100
    until call "$platform/v1/$2" -H "Authorization: Bearer $(cat "$settings/token")" 2>/dev/null |
        jq -e "$3" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ $tries -gt 0 ] || fail "$1"
        sleep 0.1
    done
}

# list_vm NUMBER STATE: what the platform's VM list says of an entry VM.
list_vm() {
    zone=$(jq -r .zone "$settings/entry-$1.json")
    call -X PUT "$platform/standin/vms/entry-$1" -d "{\"zone\":\"$zone\",\"state\":\"$2\",
        \"peers\":\"$block.2.$1:7400\",\"replica\":\"$block.2.$1:7401\",\"control\":\"$block.2.$1:7404\",
        \"packets\":\"$block.2.$1:5555\"}" >/dev/null
}
start_control() { start "control-$1" "$programs/cuminrelay-control" --config "$settings/control-$1.json"; }
start_vm() {
    list_vm "$1" active
    start "entry-$1" "$programs/cuminrelay-entry" --config "$settings/entry-$1.json"
    start_control "$1"
}
# await_member NUMBER: until the zone's status says that the entry VM is active with a configuration.
await_member() {
    await_platform "entry-$1 does not join" "objects/status/$(jq -r .zone "$settings/entry-$1.json")" \
        ".members[] | select(.name == \"entry-$1\" and .state == \"active\" and .config_version > 0)"
}
# spray_to NUMBER, spare NUMBER: whether the fabric hands packets to the entry VM.
spray_to() { call -X PUT "$fabric/standin/entries/$block.2.$1:5555" >/dev/null; }
spare() { call -X DELETE "$fabric/standin/entries/$block.2.$1:5555" >/dev/null; }

start_standins() {
    start standins "$programs/cuminrelay-standin" all --config "$settings/standins.json"
    tries=50
    until call "$platform/standin/calls" >/dev/null 2>&1; do
        is_running standins || fail "the stand-ins ended: $(tail -n 1 "$logs/standins.log")"
        tries=$((tries - 1))
        [ $tries -gt 0 ] || fail "the platform's stand-in does not answer"
        sleep 0.1
    done
}

# start_calls VM...: starts these entry VMs and, once they serve, the callers.
start_calls() {
    start_standins
    for vm in "$@"; do
        start_vm "$vm"
    done
    await_platform "the VM list lags" vms "length == $#"
    ctl wait --timeout 20 >>"$logs/ctl.out" 2>&1 || fail "the configuration is not in force: $(tail -n 3 "$logs/ctl.out")"
    began=$(now_ms)
    call -X POST "$callers/standin/start" >/dev/null
    say "$# entry VMs in 2 zones serve; callers begin (seed $seed)"
}

# edit WORDS...: one edit by cuminrelayctl, and how long until it is in force on every entry VM.
in_force_ms=0
edit() {
    edited=$(now_ms)
    ctl "$@" >>"$logs/ctl.out" 2>&1 || fail "cuminrelayctl $* failed: $(tail -n 1 "$logs/ctl.out")"
    await_in_force "$*"
}
# await_in_force WHAT: until the stored configuration is in force everywhere; counted from $edited.
await_in_force() {
    ctl wait --timeout 10 >>"$logs/ctl.out" 2>&1 || fail "not in force after 10 s: cuminrelayctl $1"
    took=$(($(now_ms) - edited))
    [ "$took" -gt "$in_force_ms" ] && in_force_ms=$took
    say "cuminrelayctl $1: in force everywhere after $took ms"
}

# finish_calls: ends the callers; $report is what they saw.
finish_calls() {
    say "callers stop; open work ends"
    report=$(call -X POST "$callers/standin/finish")
}
field() { echo "$report" | jq -r ".$1"; }
say_report() {
    echo "Flows: $(field flows) opened, $(field broken) broken ($(field broken_by_reset) by reset," \
        "$(field broken_by_timeout) by timeout, $(field broken_by_early_end) by an early end)," \
        "$(field refused) refused; $(field shed) requests shed."
    echo "Answers: $(field answers) checked, $(field incomplete_answers) incomplete; $(field pushes) feed lines;" \
        "$(field misrouted) from the wrong service or host."
    echo "Work: $(field run_twice) run twice, $(field refused_but_run) run although refused."
}
# refusals_and_drops VM: the counters of an entry VM that say why packets went no further, where they count any.
refusals_and_drops() {
    call "http://$block.2.$1:7403/metrics" |
        awk '/^cuminrelay_[a-z_]*(refusals|drops)_total/ && $2 > 0 { printf "%s%s %s", sep, $1, $2; sep = ", " }'
}
