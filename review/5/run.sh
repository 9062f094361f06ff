#!/bin/sh
# A route is added and a node restarted while the node that follows the store for another zone is partitioned from it.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" new-route
