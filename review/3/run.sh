#!/bin/sh
# The node that follows the store for its zone is partitioned from the store.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" reader-cut
