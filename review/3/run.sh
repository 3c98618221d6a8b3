#!/bin/sh
# The store turns one machine away while the node there restarts; then the server beside it is cold.
# TROUBLE=0 leaves out the refusals and the restart.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/mesh-review ] || exit 2
exec target/review/mesh-review cold-restart review/3
