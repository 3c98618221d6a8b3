#!/bin/sh
# The store carries out one write and its answer is lost, while a rollout is ordered.
# TROUBLE=0 doesn't lose the answer.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/mesh-review ] || exit 2
exec target/review/mesh-review lost-leader-answer review/5
