#!/bin/sh
# run-case.sh FOLDER SCENARIO: starts relays on loopback with the command of the deploy file, and plays a scenario of the
# stand-in, which writes FOLDER/record.txt. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. With
# TROUBLE=0 the disruption is left out. LOGS=FOLDER keeps the relays' logs.
set -u
case_folder=$(cd "$1" && pwd)
scenario=$2
cd "$(dirname "$0")/.."
relay=target/platform/cuminrelay-relay
standin=target/review/standin
if [ ! -x "$relay" ] || [ ! -x "$standin" ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
pids=
# supervise VM: starts its relay again whenever it ends, as the platform does.
supervise() {
    while [ -f "$folder/run" ]; do
        CUMINRELAY_SETTINGS=$folder/vm-$1.conf "$relay" >>"$folder/vm-$1.log" 2>&1 &
        echo $! >"$folder/vm-$1.pid"
        wait $!
        sleep 0.6
    done
}
end_processes() {
    rm -f "$folder/run"
    for pid in $pids $(cat "$folder"/vm-*.pid 2>/dev/null); do
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    pids=
}
finish() {
    end_processes
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
case $scenario in
silent-connections) zones="a a b" ways=4 ;; # the nodes reach each other through the stand-in
reader-cut | new-route) zones="a a a a b" ways=1 ;;
*) zones="a b c" ways=1 ;;
esac
# The ranks of the nodes follow from their addresses; where a scenario needs others, or an address is taken, another block
# is tried.
status=3
tries=0
while [ "$status" -eq 3 ] && [ "$tries" -lt 7 ]; do
    tries=$((tries + 1))
    block=$((100 + ($$ + 13 * tries) % 100))
    vm=0
    for zone in $zones; do
        vm=$((vm + 1))
        own=127.$block.1.$vm
        cat >"$folder/vm-$vm.conf" <<END
Node=front-$zone-$vm
Role=relay
MachineClass=front
Serves=front,control
Ip=$own
Zone=$zone
Region=r
Zones.a=r
Zones.b=r
Zones.c=r
Listen.DatagramAddr=$own:28172
Listen.Ready=$own:28167
Listen.Control=$own:28166
InternalPorts=28720,28735
Seeds=127.$block.$ways.1:28166,127.$block.$ways.2:28166,127.$block.$ways.3:28166
Bootstrap=true
HeartbeatMs=1200
Bounds.AddrReuseS=2
Bounds.StableWindowMs=4000
Bounds.DrainMs=3000
Bounds.GraceS=6
Bounds.ConfigApplyMs=3000
Bounds.FlowMs=2000
Bounds.FlowLifetimeS=60
Hash=mod
ForwardMode=echo
platform.Address=127.$block.5.$vm:28169
platform.ForwardMode=objects
END
    done
    # shellcheck disable=SC2086 # zones are words
    CASE_FOLDER=$folder timeout 60 "$standin" "$scenario" "$block" "${TROUBLE:-1}" "$case_folder/record.txt" $zones &
    standin_pid=$!
    pids=$standin_pid
    sleep 0.3
    : >"$folder/run"
    for vm in $(seq 1 "$vm"); do
        supervise "$vm" &
    done
    wait "$standin_pid"
    status=$?
    end_processes
done
[ -z "${LOGS:-}" ] || cp "$folder"/vm-*.log "$LOGS"/
[ "$status" -le 2 ] || status=2
exit "$status"
