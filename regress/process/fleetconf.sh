#!/bin/bash
# Checks that a daemon with a slow link to the table reads a configuration whose
# row takes longer than a call's timeout, and that it denies nothing meanwhile.
cd "$(dirname "$0")/../.." || exit 1
PORT=$((13000 + $$ % 600 * 24))
. regress/process/fleetlib.sh
port_tries=1 # The proxy's links are set up for $PORT before the stand-in starts.
QUEUES=6000
ROW_MS=5000 # time that the row takes on the slow link

table_port() { echo $((PORT + 15 + $1)); }

# metric INSTANCE NAME: prints the value of the metric citronlb_NAME.
metric() {
	curl -s -m 2 "http://$NET.$1:9464/metrics" |
		awk -v k="citronlb_$2" '$1 == k { print $2 }'
}

# status INSTANCE QUEUE: prints the HTTP status of a query for the number of
# waiting jobs of the queue.
status() {
	curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Key: k' \
		-H 'Host: large' "http://$NET.$1:8183/$2/"
}

# wait_for SECONDS COMMAND...: runs the command every 0.1 s until it succeeds;
# fails after the time.
wait_for() {
	local tries=$(($1 * 10))
	shift
	until "$@"; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || return 1
		sleep 0.1
	done
}

has_version() { [ "$(metric "$1" config_version)" = 2 ]; }

mkfifo "$dir/standin.in" "$dir/proxy.in"
exec 7<>"$dir/standin.in" 8<>"$dir/proxy.in"
standin_in=$dir/standin.in
"$BUILD/regress/soak-proxy" "$(table_port 1)=$PORT" "$(table_port 2)=$PORT" \
	<"$dir/proxy.in" >"$dir/proxy.log" 2>&1 &
pids="$pids $!"
fleet_up 2 2
check "both instances have the first configuration" "1 1" \
	"$(metric 1 config_version) $(metric 2 config_version)"

awk -v n=$QUEUES 'BEGIN {
	printf "{\"version\":2,\"routes\":["
	for (i = 1; i <= n; i++)
		printf "%s{\"name\":\"x%d\",\"host\":\"large\",\"prefix\":\"/x%d/\"," \
			"\"service\":\"svc\",\"attempts\":3,\"slack_factor\":2}",
			(i > 1 ? "," : ""), i, i
	printf "],\"services\":[{\"name\":\"svc\"}],\"tenants\":[{\"name\":" \
		"\"red\",\"api_keys\":[\"k\"],\"weight\":1000}]}"
}' >"$dir/large.json"
rate=$(($(wc -c <"$dir/large.json") * 4 / 3 / ROW_MS))
echo "1 rate $rate" >&8
sleep 0.7 # The calls of the feed that were made before have ended.
echo "config $dir/large.json" >&7
check "the instance with a fast link has the new configuration" yes \
	"$(wait_for 3 has_version 1 && echo yes)"
check "a new queue is served there" 200 "$(status 1 x6000)"
sleep 0.5
check "the other instance knows that it is behind" "1 1" \
	"$(metric 2 config_version) $(metric 2 config_behind)"
check "it does not deny the new queue" 503 "$(status 2 x6000)"
check "the instance with a slow link has the new configuration" yes \
	"$(wait_for 15 has_version 2 && echo yes)"
check "the new queue is served there, too" 200 "$(status 2 x6000)"
check "the table did not count as lost" 0 \
	"$(grep -c 'event=store-lost' "$dir/2.log")"

echo "$passed passed, $failed failed"
[ $failed = 0 ]
