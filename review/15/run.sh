#!/bin/sh
# Usage: [TROUBLE=0] review/15/run.sh. Exit 1: the rule was broken, 0: it held, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/railentry ] && [ -x target/review-3/stand3 ] || { echo "build first: deploy/system.toml and review/build-3.sh"; exit 2; }
RECORD="$PWD/review/15/record.txt" exec target/review-3/stand3 partition
