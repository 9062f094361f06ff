#!/bin/sh
# Case 14. TROUBLE=0 leaves the disruption out; SEED=N sets the random numbers.
exec sh "$(dirname "$0")/../standins-3/run-case.sh" 14 "$(cd "$(dirname "$0")" && pwd)"
