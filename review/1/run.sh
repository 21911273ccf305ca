#!/bin/bash
# A large job comes among small ones: 3,000 tasks in three steps, and a step
# that puts their results together.  The check is that of LOST: 14 s (finish_s)
# after the end of the traffic, no accepted small job may wait while nothing has
# been started anywhere for 3 s.  No task works longer than 0.3 s, so all
# capacity is free then.
record=record.txt
. "$(dirname "$0")/../lib.sh"

start_platform exec-1,ka,r1,16000 exec-2,ka,r1,16000 exec-3,ka,r2,16000
start_instances 3

small='{"spec":"ms=300","steps":[{"task_count":2,"cpu":500,"mem_mb":64,"estimate_ms":300}]}'
step='{"task_count":1000,"cpu":10,"mem_mb":8,"estimate_ms":300}'
large="{\"spec\":\"ms=300\",\"steps\":[$step,$step,$step,{\"task_count\":10,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300,\"after\":[0,1,2]}]}"
for i in $(seq 60); do
	[ "$i" = 10 ] && [ "$TROUBLE" = 1 ] && submit 00000000000fffff 2 "$large"
	submit "$(printf '%016x' $((4096 + i)))" $((1 + i % 3)) "$small"
	sleep 0.4
done
note "traffic ends"
sleep 14
platform mark # adds a line with the time to the record
sleep 0.2
now=$(grep "command: mark" "$record" | awk '{ print $1 }')
recent=$(awk -v now="$now" '$1 > now - 3 && / start .*: 200$/' "$record" |
	grep -c .)
note "starts in the last 3 s: $recent"
for i in $(seq 60); do
	id=$(printf '%016x' $((4096 + i)))
	grep -q "POST $id .*: 200" "$record" || continue
	state=$(call GET "$id" $((1 + i % 3)))
	n=$(grep -c "of $id.0.0.[01] ended done" "$record")
	note "GET $id: $state; $n of 2 tasks have ended done"
	[ "$n" = 2 ] || [ "$recent" != 0 ] ||
		note "VIOLATION LOST $id was accepted, $n of its 2 tasks have ended done, nothing of it runs; it is shown as $state"
done
[ "$TROUBLE" = 1 ] && note "GET 00000000000fffff: $(call GET 00000000000fffff 1)"
finish LOST
