#!/bin/sh
# The open connections of all machines go silent while a backend server is replaced.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" silent-connections
