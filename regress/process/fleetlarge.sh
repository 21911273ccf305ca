#!/bin/bash
# Kills the leader while a job of 4,096 tasks runs beside small ones, on a table
# whose rows are half as large as usual.  Guards against records that outgrow
# the table and against ends that are overlooked.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh

step='{"task_count":1024,"cpu":10,"estimate_ms":300,"checkpointing":true}'
job="{\"spec\":\"cpu=10 account=red\",\"steps\":[$step,$step,$step,$step]}"
row_bytes=32768

# wait_for_state ID INSTANCE STATE SECONDS: prints the last answer.
wait_for_state() {
	for _ in $(seq $(($4 * 2))); do
		answer=$(curl -s -m 3 -H 'Key: k' "http://$NET.$2:8183/q/$1")
		[ "$answer" = "{\"state\":\"$3\"}" ] && break
		sleep 0.5
	done
	echo "$answer"
}

# metric NAME: prints the sum of a metric over all instances.
metric() {
	for n in $(seq 1 "$instances"); do
		curl -s -m 1 "http://$NET.$n:9464/metrics"
	done | awk -v name="citronlb_$1" '$1 == name { n += $2 } END { print n + 0 }'
}

eval "$(declare -f write_settings | sed '1s/write_settings/write_usual/')"
write_settings() {
	write_usual "$1"
	sed -i "s/\"platform\":{/&\"row_bytes\":$row_bytes,/" "$dir/$1.json"
}

mkfifo "$dir/commands"
exec 9<>"$dir/commands"
standin_in=$dir/commands
fleet_up 8 3
echo "table row-bytes $row_bytes" >&9
leading=$(leader)
other=$((leading % 3 + 1))
for i in 1 2; do
	check "large job $i is accepted" 200 "$(curl -s -m 3 -o /dev/null \
		-w '%{http_code}' -X POST -H 'Key: k' -d "$job" \
		"http://$NET.$other:8183/q/00000000000000c$i")"
done
"$BUILD/regress/fleet-load" -r 200 40 1000 "$NET.$other:8183" >"$dir/load" &
load=$!
sleep 1
eval "kill -KILL \$pid$leading"
wait $load
check "small jobs complete beside the large ones" "200 passed, 0 failed" \
	"$(tail -1 "$dir/load")"
for i in 1 2; do
	check "large job $i completes" '{"state":"completed"}' \
		"$(wait_for_state "00000000000000c$i" "$other" completed 60)"
done
check "the table refused no write" 0 "$(metric writes_refused_total)"
check "executors saw no violation" "" "$(grep violation "$dir/standin.log")"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
