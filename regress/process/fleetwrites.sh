#!/bin/bash
# Guards against a 503 for a job whose write was performed: the table closes its
# kept connections without an answer, and refuses what comes on new ones.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh
port_tries=1 # the proxy is set up for $PORT before the stand-in starts
proxy_port=$((PORT + 100))
table_port() { echo $proxy_port; }
standin_in=$dir/standin.in
mkfifo "$standin_in" "$dir/proxy.in"
exec 7<>"$standin_in" 8<>"$dir/proxy.in"
"$BUILD/regress/soak-proxy" $proxy_port=$PORT <"$dir/proxy.in" \
	>"$dir/proxy.log" 2>&1 &
pids="$pids $!"

# submit ID: submits a job and prints the HTTP status.
submit() {
	curl -s -m 4 -o /dev/null -w '%{http_code}\n' -H 'Key: k' \
		-H 'Timeout-Ms: 1500' \
		-d '{"spec":"cpu=10 account=red mem=1 gang=0 steps=1x50","steps":[{"task_count":1,"cpu":10,"mem_mb":1,"estimate_ms":50}]}' \
		"http://$NET.1:8183/q/$1"
}

# submit_all ROUND: submits eight jobs at once.  Prints "ID STATUS" for each.
submit_all() {
	for n in 1 2 3 4 5 6 7 8; do
		id=$(printf '%014x%02x' "$1" "$n")
		echo "$id $(submit "$id")" &
		jobs="$jobs $!"
	done
	# shellcheck disable=SC2086
	wait $jobs
}

fleet_up 2 1
for round in 1 2 3 4 5 6; do
	submit_all $((2 * round)) >>"$dir/calm"
	echo "0 restart" >&8
	submit_all $((2 * round + 1)) >>"$dir/during"
	echo "0 pass" >&8
	sleep 1
done
sleep 3
echo "started $dir/started" >&7
sleep 0.5
check "jobs are accepted on a calm table" "48 200" \
	"$(cut -d' ' -f2 "$dir/calm" | sort | uniq -c | sed 's/^ *//')"
check "some writes were performed in the outages" yes \
	"$(cut -d' ' -f1 "$dir/during" | grep -qFf - "$dir/started" && echo yes)"
check "no job runs that was refused" "" \
	"$(grep -w 503 "$dir/during" | cut -d' ' -f1 | grep -Ff - "$dir/started")"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
