#!/bin/bash
# Checks the log lines and metrics of a fleet's daemon.  Guards against refusals
# and retries that are not logged or counted, against kinds of work whose time is
# not counted, against more log lines per second than the bound in a flood of
# requests, and against a daemon that blocks because nobody reads its log.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh
LOG_LINES_PER_S=1500

# metric INSTANCE NAME: prints the value of the metric citronlb_NAME.
metric() {
	curl -s -m 2 "http://$NET.$1:9464/metrics" |
		awk -v k="citronlb_$2" '$1 == k { print $2 }'
}

# status CURL-ARGUMENT...: sends a request and prints the HTTP status of the
# answer.
status() {
	curl -s -m 3 -o /dev/null -w '%{http_code}' "$@"
}

fleet_up 4 2
version=$(cat "$BUILD/version")
check "the version is not empty" yes "$([ -n "$version" ] && echo yes)"
check "the version is in the start line" 1 \
	"$(grep -c "event=started version=$version\$" "$dir/1.log")"
check "the version is in the metrics" 1 \
	"$(metric 1 "build_info{version=\"$version\"}")"
check "the version is printed" "citronlbd $version" \
	"$("$BUILD/citronlbd/citronlbd" --version)"
mkdir "$dir/tarball"
cp -r Makefile scripts core net citronlbd platform "$dir/tarball"
check "sources outside a checkout have a version" "$(scripts/version -s)" \
	"$("$dir/tarball/scripts/version")"
for n in 1 2 3 4 5 6 7; do
	status -H 'Key: none' "http://$NET.1:8183/q/00000000000000f$n" >/dev/null
done
sleep 0.3
check "each refusal is logged" 7 \
	"$(grep -c 'event=refused .*answer=bad-key' "$dir/1.log")"
check "each refusal is counted" 7 \
	"$(metric 1 'answers_total{answer="bad-key"}')"
check "refused requests do not count in the latency metric" 0 \
	"$(metric 1 'request_ms_count{verb="state"}')"

"$BUILD/regress/fleet-load" 20 40 1 $NET.1:8183 >/dev/null
check "accepted requests count in the latency metric" 20 \
	"$(metric 1 'request_ms_count{verb="submit"}')"
check "starts count in the latency metric of orders" yes \
	"$([ "$(($(metric 1 'order_ms_count{kind="start"}') +
	$(metric 2 'order_ms_count{kind="start"}')))" -ge 20 ] && echo yes)"

# The leader polls its executors all the time; the jobs above led to the rest.
lead=$(leader)
polls_before=$(metric "$lead" 'work_total{work="poll-results"}')
poll_s_before=$(metric "$lead" 'cpu_seconds_total{work="poll-results"}')
sleep 1.5
polls=$(metric "$lead" 'work_total{work="poll-results"}')
poll_s=$(metric "$lead" 'cpu_seconds_total{work="poll-results"}')
check "the results of polls that the leader handles are counted" yes \
	"$([ "$polls" -gt "$polls_before" ] && echo yes ||
	echo "$polls_before, then $polls")"
check "the leader's time for results of polls grows, in six decimals" yes \
	"$(echo "$poll_s_before $poll_s" | awk '{
		print ($2 ~ /^[0-9]+\.[0-9][0-9][0-9][0-9][0-9][0-9]$/ &&
			$2 + 0 > $1 + 0 ? "yes" : $0) }')"
for work in ticks store-replies run-results hellos store-calls orders messages \
	log-lines message-decoding monitoring; do
	check "the leader's time for $work is counted" yes \
		"$(metric "$lead" "cpu_seconds_total{work=\"$work\"}" |
		awk '{ print ($1 > 0 ? "yes" : $0) }')"
done
for work in caller-requests answers; do
	check "the time for $work is counted" yes \
		"$(metric 1 "cpu_seconds_total{work=\"$work\"}" |
		awk '{ print ($1 > 0 ? "yes" : $0) }')"
done

# The table does not answer, because the stand-in of the platform is suspended:
# the first write is tried again and its outcome stays unknown; a later one is
# refused at once.
kill -STOP "$standin"
sleep 0.1
status -X POST -H 'Key: k' -H 'Timeout-Ms: 2000' \
	-d '{"spec":"x","steps":[{"task_count":1,"cpu":10}]}' \
	"http://$NET.1:8183/q/00000000000000a1" >"$dir/first"
sleep 1
check "a write is refused at once while the table is known to be lost" 503 \
	"$(status -X POST -H 'Key: k' \
	-d '{"spec":"x","steps":[{"task_count":1,"cpu":10}]}' \
	"http://$NET.1:8183/q/00000000000000a2")"
kill -CONT "$standin"
sleep 0.5
check "the refusal for the lost table is logged" 1 \
	"$(grep -c 'event=refused .*answer=table-lost' "$dir/1.log")"
check "the refusal for the lost table is counted" 1 \
	"$(metric 1 'answers_total{answer="table-lost"}')"
check "a write whose outcome is unknown is answered with 504" 504 \
	"$(cat "$dir/first")"
check "each retry is logged" "$(metric 1 retries_total)" \
	"$(grep -c 'event=retry ' "$dir/1.log")"
check "there was at least one retry" yes \
	"$([ "$(metric 1 retries_total)" -gt 0 ] && echo yes)"
sleep 1.5

# 8001 requests with an unknown key, as fast as they are answered.
before=$(wc -l <"$dir/1.log")
loads_before=$(grep -c 'event=load ' "$dir/1.log")
begin=$(date +%s)
curl -s --no-progress-meter -Z --parallel-max 40 -o /dev/null -H 'Key: none' \
	"http://$NET.1:8183/q/0000000000[100000-108000]" &
flood=$!
sleep 0.3
check "the instance is ready during a flood of requests" 200 \
	"$(status "http://$NET.1:8184/api/readiness")"
wait $flood
sleep 1.2
loads=$(($(grep -c 'event=load ' "$dir/1.log") - loads_before))
flood_s=$(($(date +%s) - begin))
# One line is due each second; the timer of a busy instance is late.
check "the load of the instance is logged during a flood of requests" yes \
	"$([ $loads -ge $(((flood_s - 1) * 3 / 4)) ] && echo yes ||
	echo "$loads lines in $flood_s s")"
check "the time for which the event loop was busy is part of the load" yes \
	"$(awk -F '[ =]' '/event=load / {
		for (i = 1; i < NF; i++) v[$i] = $(i + 1)
		if (("busy_ms" in v) && v["busy_ms"] + 0 < v["over_ms"] + 0) idle = 1 }
	END { print idle ? "yes" : "no" }' "$dir/1.log")"
seconds=$(($(date +%s) - begin + 2))
lines=$(($(wc -l <"$dir/1.log") - before))
# 7 refusals came before the 8001 of the flood.
check "each refusal of the flood is counted" 8008 \
	"$(metric 1 'answers_total{answer="bad-key"}')"
check "the number of log lines per second is bounded" yes \
	"$([ $lines -le $((seconds * LOG_LINES_PER_S)) ] && echo yes ||
	echo "$lines in $seconds s")"

# The log of a third instance goes to a pipe that nobody reads.
write_settings 3
mkfifo "$dir/pipe"
exec 9<>"$dir/pipe"
"$BUILD/citronlbd/citronlbd" --fleet "$dir/3.json" >"$dir/pipe" 2>&1 &
pids="$pids $!"
sleep 1
curl -s --no-progress-meter -Z --parallel-max 40 -o /dev/null -H 'Key: none' \
	"http://$NET.3:8183/q/0000000000[100000-104000]"
check "each request is answered while nobody reads the log" 4001 \
	"$(metric 3 'answers_total{answer="bad-key"}')"
check "dropped log lines are counted" yes \
	"$([ "$(metric 3 log_dropped_total)" -gt 0 ] && echo yes)"
check "jobs complete while nobody reads the log" "20 passed, 0 failed" \
	"$("$BUILD/regress/fleet-load" 20 40 5000 $NET.3:8183 | tail -1)"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
