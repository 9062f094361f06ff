#!/bin/sh
# Runs the cuminrelayctl binary against the stand-in platform: BinaryTest.sh CUMINRELAYCTL CUMINRELAY_STANDIN
set -eu
ctl=$1
standin=$2
folder=$(mktemp -d)
# Each run has its own loopback address, so that parallel runs do not collide.
address=127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250)).1:7080

echo secret >"$folder/token"
cat >"$folder/standin.json" <<JSON
{"platform": {"listen": "$address", "token_file": "$folder/token"}}
JSON
cat >"$folder/ctl.json" <<JSON
{"platform": {"endpoint": "$address", "token_file": "$folder/token"}, "author": "aiko"} // of this test
JSON
cat >"$folder/declarations.json" <<JSON
{"zones": ["khomas-a"],
 "hosts": [{"name": "agenda-01", "zone": "khomas-a", "tunnel": "10.0.0.1:5555", "report": "10.0.0.1:80", "slots": 2,
            "connection_limit": 2000, "labels": {"app": "agenda"}}],
 "services": [{"name": "agenda", "address": "10.9.0.1:443", "selector": "app=agenda"}]}
JSON

"$standin" platform --config "$folder/standin.json" 2>"$folder/standin.log" &
process=$!
trap 'kill "$process"; wait "$process" || true; rm -r "$folder"' EXIT

# expect STATUS TEXT ARGUMENTS...: runs cuminrelayctl and checks its exit status and output.
expect() {
    wanted=$1
    text=$2
    shift 2
    status=0
    output=$("$ctl" "$@" --config "$folder/ctl.json" 2>&1) || status=$?
    if [ "$status" -ne "$wanted" ] || ! echo "$output" | grep -q "$text"; then
        echo "cuminrelayctl $*: status $status instead of $wanted, or no \"$text\" in: $output"
        cat "$folder/standin.log"
        exit 1
    fi
}

# The stand-in may not listen yet; cuminrelayctl stops retrying when its time-out expires.
attempts=0
until "$ctl" apply -f "$folder/declarations.json" --config "$folder/ctl.json" || [ "$attempts" -ge 20 ]; do
    attempts=$((attempts + 1))
done
expect 0 "nothing to change" apply -f "$folder/declarations.json"
expect 0 "no difference" diff -f "$folder/declarations.json"
expect 0 "accepted as version 2" label host agenda-01 tier=gold
expect 3 "changed by aiko at version 2" label host agenda-01 tier=silver --base 1
expect 2 "would be draining" drain agenda-01
expect 2 "did you mean" label host agenda-1 tier=gold
expect 0 '"tier":"gold"' get host agenda-01 --output json
expect 0 "label host agenda-01 tier=gold" history
expect 1 "no live entry VM" wait --timeout 1
expect 0 "gets new flows" explain agenda-01
kill -STOP "$process"
expect 4 "unavailable" get hosts --timeout 1
expect 4 "unavailable" label host agenda-01 tier=silver --timeout 1
kill -CONT "$process"
echo "all as expected"
