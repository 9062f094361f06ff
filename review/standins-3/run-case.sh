#!/bin/sh
# Runs a case: run-case.sh NUMBER FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
set -u
cd "$(dirname "$0")/../.."
number=$1
folder=$2
program=review/standins-3/build/case-$number
[ -x "$program" ] && [ -x target/platform/cuminrelay-relay ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
"$program" target/platform/cuminrelay-relay "$work" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
