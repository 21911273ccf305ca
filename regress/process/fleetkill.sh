#!/bin/bash
# Kills the leader with SIGKILL, then suspends the next leader with SIGSTOP and
# resumes it, while callers wait for answers of the other instances and of the
# suspended one.  Guards against answers that are wrong or cut short, and
# against violations of guarantees that executors observe.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh

job='{"spec":"x","steps":[{"task_count":2,"cpu":100,"estimate_ms":300}]}'

pid_of() { eval "echo \$pid$1"; }

# submit ID INSTANCE TIMEOUT_S: submits a job and prints the body and the HTTP
# status of the answer.
submit() {
	curl -s -m "$3" -w ' %{http_code}' -X POST -H 'Key: k' -d "$job" \
		"http://$NET.$2:8183/q/$1"
}

# state ID INSTANCE: asks the instance for the state of a job and prints the body
# of the answer.
state() { curl -s -m 3 -H 'Key: k' "http://$NET.$2:8183/q/$1"; }

# load_others FIRST_ID: submits jobs in the background to all instances but the
# leader $leading.  Sets load to the process id of fleet-load.
load_others() {
	others=$(for n in 1 2 3; do
		[ $n = "$leading" ] || echo "$NET.$n:8183"
	done)
	# shellcheck disable=SC2086
	"$BUILD/regress/fleet-load" -r 300 50 "$1" $others >"$dir/load.$1" &
	load=$!
	sleep 2
}

fleet_up 8 3
leading=$(leader)
load_others 1000
kill -KILL "$(pid_of "$leading")"
check "another instance accepts a job right after the leader was killed" \
	'{} 200' \
	"$(submit 00000000000000b1 $((leading % 3 + 1)) 3 |
	sed 's/^ 200/{} 200/')"
wait $load
check "all jobs complete around the kill of the leader" \
	"300 passed, 0 failed" \
	"$(tail -1 "$dir/load.1000")"
check "the job accepted right after the kill completes" \
	'{"state":"completed"}' \
	"$(state 00000000000000b1 $((leading % 3 + 1)))"

start_instance "$leading"
sleep 2
leading=$(leader)
load_others 5000
kill -STOP "$(pid_of "$leading")"
submit 00000000000000b2 "$leading" 9 >"$dir/suspended" &
client=$!
sleep 4
kill -CONT "$(pid_of "$leading")"
wait $client
wait $load
check "all jobs complete around the suspension of the leader" \
	"300 passed, 0 failed" \
	"$(tail -1 "$dir/load.5000")"
sleep 1.5
at_other=$(state 00000000000000b2 $((leading % 3 + 1)))
case $(cat "$dir/suspended") in
*200)
	check "a job that the resumed instance accepted completes" \
		'{"state":"completed"}' "$at_other"
	;;
*503)
	check "a job that the resumed instance refused does not exist" \
		'{"error":"no-job"}' "$at_other"
	;;
*)
	check "the resumed instance answers with 200 or 503" "200 or 503" \
		"$(cat "$dir/suspended")"
	;;
esac
check "violations of guarantees that executors observed" "" \
	"$(violations)"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
