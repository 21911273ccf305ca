#!/bin/bash
# Crashes executors and the leader under tasks that save checkpoints of 1 to 65,537
# bytes.  Guards against starts with a checkpoint that is not the task's, and
# against tasks that start anew although it can be held.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh
standin_in=$dir/standin.in
mkfifo "$standin_in"
exec 7<>"$standin_in"
lengths='1 63 64 100 300 4000 4097 65536 65537'

# submit ID INSTANCE BYTES GANG TASKS: submits a job whose tasks take 14 s and save
# checkpoints of BYTES.  Prints the HTTP status.
submit() {
	curl -s -m 3 -o /dev/null -w '%{http_code}\n' -X POST -H 'Key: k' -d '{"spec":"cpu=100 account=red mem=1 gang='"$4"' steps='"$5"'x14000 saves='"$3"'","steps":[{"task_count":'"$5"',"cpu":100,"mem_mb":1,"estimate_ms":14000,"gang":'"$([ "$4" = 1 ] && echo true || echo false)"'}]}' \
		"http://$NET.$2:8183/q/$1"
}

# saved_starts ID: prints how many starts of the job carried a checkpoint.
saved_starts() {
	cat "$dir"/[1-3].log | grep "event=start job=$1" | grep -c ' saved=[1-9]'
}

fleet_up 8 3
n=0
for bytes in $lengths; do
	n=$((n + 1))
	submit "$(printf '%016x' $n)" $((1 + n % 3)) "$bytes" 0 4 >>"$dir/statuses"
	submit "$(printf '%016x' $((100 + n)))" $((1 + n % 3)) "$bytes" 1 3 >>"$dir/statuses"
done
check "all jobs are accepted" 18 "$(grep -c 200 "$dir/statuses")"
sleep 3
for k in 0 1 2 3 4 5; do
	echo "exec $k restart 300" >&7
	sleep 1.2
	if [ $k = 3 ]; then
		eval "kill -KILL \$pid$(leader)"
		sleep 4
	fi
done
sleep 18
check "no violations" "" "$(violations)"
n=0
for bytes in $lengths; do
	n=$((n + 1))
	id=$(printf '%016x' $n)
	gang=$(printf '%016x' $((100 + n)))
	if [ "$bytes" = 65537 ]; then
		check "no start carries $bytes bytes" "0 0" \
			"$(saved_starts "$id") $(saved_starts "$gang")"
		continue
	fi
	check "tasks resume from $bytes bytes" yes \
		"$([ "$(saved_starts "$id")" -gt 0 ] && echo yes)"
	check "a gang resumes from $bytes bytes" yes \
		"$([ "$(saved_starts "$gang")" -gt 0 ] && echo yes)"
done
check "log lines stay bounded" "" "$(awk 'length > 2000' "$dir"/[1-3].log | cut -c1-200 | head -1)"
check "what is left out is logged once a task" yes \
	"$(cat "$dir"/[1-3].log | grep event=checkpoint-refused |
		awk '{ print $2, $4, $5, $6 }' | sort | uniq -c |
		awk '$1 > 1 { bad = 1 } END { print NR && !bad ? "yes" : "no" }')"
for n in 1 2 3; do
	curl -s -m 1 "http://$NET.$n:9464/metrics"
done | grep -q '^citronlb_checkpoints_refused_total [1-9]'
check "what is left out is counted" 0 $?
echo "$passed passed, $failed failed"
[ $failed = 0 ]
