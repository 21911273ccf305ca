#!/bin/bash
# The leader is killed while 1,200 small tasks of 20 jobs run on one executor.
# They end before the next leader polls the executor, which returns 500 ends at
# a time.
record=record.txt
. "$(dirname "$0")/../lib.sh"

start_platform exec-1,ka,r1,64000 exec-2,ka,r1,64000 exec-3,ka,r2,64000
start_instances 3

first=$(leader 3)
[ "$first" ] || cannot_run "no instance leads"
note "instance $first leads"
job='{"spec":"ms=4000","steps":[{"task_count":60,"cpu":50,"mem_mb":32,"estimate_ms":4000}]}'
for i in $(seq 20); do
	submit "$(printf '%016x' $((4096 + i)))" $((1 + i % 3)) "$job"
done
# The runs end 4 s after their starts; the next leader is elected 1.3 s after
# the kill at the earliest.
sleep 3.4
if [ "$TROUBLE" = 1 ]; then
	eval "kill -KILL \$pid$first"
	note "instance $first is killed"
	sleep 3
	start_instance "$first"
	note "instance $first is started again"
fi
sleep 12
for i in $(seq 20); do
	id=$(printf '%016x' $((4096 + i)))
	note "GET $id: $(call GET "$id" $((1 + i % 3)))"
done
finish TWICE
