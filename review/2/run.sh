#!/usr/bin/env bash
# LOST, see claim.txt beside this file.
#
# One engine with 64 slots runs 64 long streams, and 8 short ones wait in its queue. The
# daemon gets SIGTERM. Checked: none of the 8 that the engine has but has not begun is ended
# by the daemon without a complete answer, inside its time limit and up to 1 s after
# grace_s. TROUBLE=0: no SIGTERM; the 8 begin when the long ones end, and are complete
# within their time limits; any cut would count.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. What was
# sent, answered and run is in record.txt beside this file.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
if [ ! -x target/auburndyke ] || [ ! -x target/review-driver ]; then
	echo "first build: the build line of deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
export TROUBLE=${TROUBLE:-1}
exec target/review-driver stop-while-queued "$here"
