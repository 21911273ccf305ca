#!/bin/bash
# What a fleet's daemon logs and counts: each refusal and each retry, no more
# lines than the bound in a flood, and service goes on if nobody reads them.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh
LINES_A_SECOND=1500

metric() {
	curl -s -m 2 "http://$NET.$1:9464/metrics" |
		awk -v k="citronlb_$2" '$1 == k { print $2 }'
}

status() {
	curl -s -m 3 -o /dev/null -w '%{http_code}' "$@"
}

fleet_up 4 2
for n in 1 2 3 4 5 6 7; do
	status -H 'Key: none' "http://$NET.1:8183/q/00000000000000f$n" >/dev/null
done
sleep 0.3
check "each refusal leaves its line" 7 \
	"$(grep -c 'event=refused .*answer=bad-key' "$dir/1.log")"
check "and its counter" 7 "$(metric 1 'answers_total{answer="bad-key"}')"
check "latencies of the refused are no latencies of service" 0 \
	"$(metric 1 'request_ms_count{verb="state"}')"

"$BUILD/regress/fleet-load" 20 40 1 $NET.1:8183 >/dev/null
check "requests are counted by duration" 20 \
	"$(metric 1 'request_ms_count{verb="submit"}')"
check "so are starts" yes "$([ "$(($(metric 1 'order_ms_count{kind="start"}') +
	$(metric 2 'order_ms_count{kind="start"}')))" -ge 20 ] && echo yes)"

# A table that does not answer: a write is tried again, then refused.


kill -STOP "$standin"
sleep 0.1
status -X POST -H 'Key: k' -H 'Timeout-Ms: 2000' \
	-d '{"spec":"x","steps":[{"task_count":1,"cpu":10}]}' \
	"http://$NET.1:8183/q/00000000000000a1" >"$dir/first"
sleep 1
check "a table known to be away: refused at once" 503 \
	"$(status -X POST -H 'Key: k' \
	-d '{"spec":"x","steps":[{"task_count":1,"cpu":10}]}' \
	"http://$NET.1:8183/q/00000000000000a2")"
kill -CONT "$standin"
sleep 0.5
check "its line" 1 \
	"$(grep -c 'event=refused .*answer=table-lost' "$dir/1.log")"
check "its counter" 1 "$(metric 1 'answers_total{answer="table-lost"}')"
check "an outcome that is not known is said so" 504 "$(cat "$dir/first")"
check "each retry leaves its line" "$(metric 1 retries_total)" \
	"$(grep -c 'event=retry ' "$dir/1.log")"
check "there were some" yes "$([ "$(metric 1 retries_total)" -gt 0 ] &&
	echo yes)"
sleep 1.5

# A flood.
before=$(wc -l <"$dir/1.log")
begin=$(date +%s)
curl -s --no-progress-meter -Z --parallel-max 40 -o /dev/null -H 'Key: none' \
	"http://$NET.1:8183/q/0000000000[100000-108000]" &
flood=$!
sleep 0.3
check "ready in the flood" 200 "$(status "http://$NET.1:8184/api/readiness")"
wait $flood
seconds=$(($(date +%s) - begin + 2))
lines=$(($(wc -l <"$dir/1.log") - before))
check "all are counted" 8008 "$(metric 1 'answers_total{answer="bad-key"}')"
check "lines are bounded" yes \
	"$([ $lines -le $((seconds * LINES_A_SECOND)) ] && echo yes ||
	echo "$lines in $seconds s")"

# Nobody reads the log of a third instance.
write_settings 3
mkfifo "$dir/pipe"
exec 9<>"$dir/pipe"
"$BUILD/citronlbd/citronlbd" --fleet "$dir/3.json" >"$dir/pipe" 2>&1 &
pids="$pids $!"
sleep 1
curl -s --no-progress-meter -Z --parallel-max 40 -o /dev/null -H 'Key: none' \
	"http://$NET.3:8183/q/0000000000[100000-104000]"
check "all are answered with nobody reading" 4001 \
	"$(metric 3 'answers_total{answer="bad-key"}')"
check "what is dropped is counted" yes \
	"$([ "$(metric 3 log_dropped_total)" -gt 0 ] && echo yes)"
check "jobs go on" "20 passed, 0 failed" \
	"$("$BUILD/regress/fleet-load" 20 40 5000 $NET.3:8183 | tail -1)"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
