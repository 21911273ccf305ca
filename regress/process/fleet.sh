#!/bin/bash
# Runs daemons of a fleet against the stand-in of the platform.  Guards against
# jobs that are not accepted, run or shown as completed, also after the leader
# is killed, and against a SIGTERM that does not end the daemon.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh

# load JOBS RATE FIRST_ID: submits jobs to all instances and prints the result
# line of fleet-load.
load() {
	"$BUILD/regress/fleet-load" "$1" "$2" "$3" $NET.1:8183 $NET.2:8183 \
		$NET.3:8183 | tail -1
}

fleet_up 8 3
check "all jobs complete without faults" "150 passed, 0 failed" \
	"$(load 150 100 1)"
check "instance 2 is ready" 200 "$(curl -s -o /dev/null -w '%{http_code}' \
	"http://$NET.2:8184/api/readiness")"
check "an unknown key is refused" 401 \
	"$(curl -s -o /dev/null -w '%{http_code}' -H 'Key: none' \
	"http://$NET.1:8183/q/00000000000000ff")"
check "an unknown queue is refused" 404 \
	"$(curl -s -o /dev/null -w '%{http_code}' -H 'Key: k' \
	"http://$NET.1:8183/none/00000000000000ff")"
check "an unknown job is reported as such" 410 \
	"$(curl -s -o /dev/null -w '%{http_code}' -H 'Key: k' \
	"http://$NET.1:8183/q/00000000000000ff")"
check "a body that is not a valid job is refused" 400 \
	"$(curl -s -o /dev/null -w '%{http_code}' -H 'Key: k' -d '{"steps":3}' \
	"http://$NET.1:8183/q/00000000000000fe")"
check "the number of waiting jobs is reported" '{"waiting":0}' \
	"$(curl -s -H 'Key: k' "http://$NET.1:8183/q/")"
old_leader=$(leader)
kill -9 "$(eval echo "\$pid$old_leader")"
sleep 4
new_leader=$(leader)
check "another instance leads after the leader was killed" yes \
	"$([ -n "$new_leader" ] &&
	[ "$new_leader" != "$old_leader" ] && echo yes)"
start_instance "$old_leader"
sleep 1
check "new jobs complete after the leader was killed" "60 passed, 0 failed" \
	"$("$BUILD/regress/fleet-load" 60 60 1000 $NET.2:8183 | tail -1)"
kill -TERM "$(eval echo "\$pid$new_leader")"
sleep 5
check "the daemon ends after SIGTERM" "" \
	"$(kill -0 "$(eval echo "\$pid$new_leader")" 2>/dev/null &&
	echo running)"
check "the leader logs that it released its lease" yes \
	"$(grep -q event=lead-released "$dir/$new_leader.log" && echo yes)"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
