#!/bin/sh
# The network loses the answer to an opening packet; the flow stays open with a pause.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" lost-answer
