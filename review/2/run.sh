#!/bin/sh
# An entry of another writer names the address of a live backend server.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" stray-entry
