#!/bin/bash
# Guards against a job that runs after its cancellation was answered, as the table
# writes its submission late or its instance repeats the write.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh
standin_in=$dir/standin.in
mkfifo "$standin_in"
exec 7<>"$standin_in"

# request TIME-LIMIT INSTANCE METHOD ID: sends a request and prints the HTTP
# status, 000 if there is no answer.
request() {
	curl -s -m "$1" -o /dev/null -w '%{http_code}\n' -X "$3" -H 'Key: k' \
		-d '{"spec":"cpu=10 account=red mem=1 gang=0 steps=1x2000","steps":[{"task_count":1,"cpu":10,"mem_mb":1,"estimate_ms":2000}]}' \
		"http://$NET.$2:8183/q/$4"
}

# leave_and_cancel N: a caller submits job N, leaves after 0.6 s and cancels the
# job at another instance.  Prints "ID STATUS", the status of the cancellation.
leave_and_cancel() {
	local id
	id=$(printf '%016x' "$1")
	request 0.6 $((1 + $1 % 3)) POST "$id" >/dev/null
	echo "$id $(request 4 $((1 + ($1 + 1) % 3)) DELETE "$id")"
}

fleet_up 4 3
for round in 1 2 3; do
	jobs=
	echo "table late-writes 0.7" >&7
	sleep 0.1
	for n in $(seq $((100 * round)) $((100 * round + 19))); do
		leave_and_cancel "$n" >>"$dir/cancelled" &
		jobs="$jobs $!"
	done
	sleep 0.4
	echo "table late-writes 0" >&7
	# shellcheck disable=SC2086
	wait $jobs
	sleep 6
done
grep -w 410 "$dir/cancelled" | cut -d' ' -f1 >"$dir/unknown"
echo "started $dir/started" >&7
sleep 0.5
check "all cancellations are answered" 60 "$(grep -cwE '200|410' "$dir/cancelled")"
check "some jobs are cancelled before they are recorded" yes \
	"$([ -s "$dir/unknown" ] && echo yes)"
check "none of these has run" "" "$(grep -Ff "$dir/unknown" "$dir/started")"
id=$(head -1 "$dir/unknown")
check "none of these is shown" 410 "$(request 4 1 GET "$id")"
check "a further submission is told that the job was withdrawn" 410 \
	"$(request 4 1 POST "$id")"
check "a cancellation of an id that nobody submitted" 410 \
	"$(request 4 2 DELETE fffffffffffffff0)"
check "other jobs are accepted" 200 "$(request 4 2 POST fffffffffffffff1)"
check "and cancelled" 200 "$(request 4 3 DELETE fffffffffffffff1)"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
