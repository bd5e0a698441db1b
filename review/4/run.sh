#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/persimmontrail-node ] || [ ! -x target/review-standin ]; then
	echo "run the build line of deploy/system.toml and review/build.sh first"
	exit 2
fi
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 5 115 target/review-standin answer review/4/record.txt
