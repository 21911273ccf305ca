#!/bin/bash
# The fleet's daemon against the stand-in of the platform: jobs are accepted,
# run and shown as completed, also while the leader is killed or stopped.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh

load() {
	"$BUILD/regress/fleet-load" "$1" "$2" "$3" $NET.1:8183 $NET.2:8183 \
		$NET.3:8183 | tail -1
}

fleet_up 8 3
check "jobs on a calm fleet" "150 passed, 0 failed" "$(load 150 100 1)"
check "readiness" 200 "$(curl -s -o /dev/null -w '%{http_code}' \
	"http://$NET.2:8184/api/readiness")"
check "an unknown key" 401 "$(curl -s -o /dev/null -w '%{http_code}' \
	-H 'Key: none' "http://$NET.1:8183/q/00000000000000ff")"
check "no such queue" 404 "$(curl -s -o /dev/null -w '%{http_code}' \
	-H 'Key: k' "http://$NET.1:8183/none/00000000000000ff")"
check "no such job" 410 "$(curl -s -o /dev/null -w '%{http_code}' \
	-H 'Key: k' "http://$NET.1:8183/q/00000000000000ff")"
check "a body that is no job" 400 "$(curl -s -o /dev/null -w '%{http_code}' \
	-H 'Key: k' -d '{"steps":3}' "http://$NET.1:8183/q/00000000000000fe")"
check "counts" '{"waiting":0}' \
	"$(curl -s -H 'Key: k' "http://$NET.1:8183/q/")"
l=$(leader)
kill -9 "$(eval echo "\$pid$l")"
sleep 4
n=$(leader)
check "another one leads" yes "$([ -n "$n" ] && [ "$n" != "$l" ] && echo yes)"
start_instance "$l"
sleep 1
check "jobs after the kill, of new ids" "60 passed, 0 failed" \
	"$("$BUILD/regress/fleet-load" 60 60 1000 $NET.2:8183 | tail -1)"
kill -TERM "$(eval echo "\$pid$n")"
sleep 5
check "a stop ends" "" "$(kill -0 "$(eval echo "\$pid$n")" 2>/dev/null &&
	echo runs)"
check "each end of a term is logged" yes \
	"$(grep -q event=lead-released "$dir/$n.log" && echo yes)"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
