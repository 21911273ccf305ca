#!/bin/bash
# Runs daemons of a fleet while the advice service of the platform's stand-in is
# late.  Guards against accepted jobs that are never started, against queries that
# go on while nothing waits, and against long tickets that arrive in part.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh
standin_opts='-t 3900'

# inject COMMAND...: sends a command to the stand-in.
inject() { echo "$*" >&7; }

# count NAME: prints the present count NAME of the advice service.
count() {
	inject "advised $dir/advised"
	sleep 0.2
	sed "s/.*\b$1 \([0-9]*\).*/\1/" "$dir/advised"
}

# load JOBS RATE FIRST_ID: submits jobs of the queue with advice and prints the
# result line of fleet-load.
load() {
	"$BUILD/regress/fleet-load" "$1" "$2" "$3" $NET.3:8183 | tail -1
}

mkfifo "$dir/standin.in"
exec 7<>"$dir/standin.in"
standin_in=$dir/standin.in
fleet_advice='"decide_ms":300.0,"each_ms":8.0,"valid_ms":1500'
fleet_up 24 6
inject advice permit 0.5
check "jobs complete while advice is as fast as announced" \
	"12 passed, 0 failed" "$(load 12 4 1)"
check "queries come from the addresses of several instances" yes \
	"$([ "$(count machines)" -ge 3 ] && echo yes)"
check "instances log the address that their queries leave from" yes \
	"$([ "$(grep -l "event=advice-source addr=$NET.* usable=1" "$dir"/[1-6].log |
		wc -l)" -ge 3 ] && echo yes)"
inject advice slow 3
check "jobs complete while advice takes three times as long" \
	"12 passed, 0 failed" "$(load 12 2 100)"
inject advice slow 1
inject advice stall 5000
check "jobs complete after advice has stalled" \
	"12 passed, 0 failed" "$(load 12 4 200)"
inject advice machines 1
check "jobs complete although all instances count as one machine" \
	"8 passed, 0 failed" "$(load 8 1 300)"
before=$(count queries)
sleep 2
check "no queries are sent while no job waits" "$before" "$(count queries)"
check "no start broke a rule" "" "$(grep violation "$dir/standin.log")"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
