#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/auburndyke ] || [ ! -x target/review-2/driver ]; then
	echo "run the build line of deploy/system.toml and review/build-2.sh first"
	exit 2
fi
exec target/review-2/driver takenup target/auburndyke review/9/record.txt
