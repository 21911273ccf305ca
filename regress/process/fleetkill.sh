#!/bin/bash
# The leader is killed, then another one is frozen and woken, while clients
# wait for answers of the other instances and of the frozen one: each answer is
# true and whole, and executors see no broken promise.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh

job='{"spec":"x","steps":[{"task_count":2,"cpu":100,"estimate_ms":300}]}'

pid_of() { eval "echo \$pid$1"; }

# hand_in ID INSTANCE SECONDS: the status and the body's words.
hand_in() {
	curl -s -m "$3" -w ' %{http_code}' -X POST -H 'Key: k' -d "$job" \
		"http://$NET.$2:8183/q/$1"
}

state() { curl -s -m 3 -H 'Key: k' "http://$NET.$2:8183/q/$1"; }

# Load on all instances but $l, in the background.
load_others() {
	others=$(for n in 1 2 3; do [ $n = "$l" ] || echo "$NET.$n:8183"; done)
	# shellcheck disable=SC2086
	"$BUILD/regress/fleet-load" -r 300 50 "$1" $others >"$dir/load.$1" &
	load=$!
	sleep 2
}

fleet_up 8 3
l=$(leader)
load_others 1000
kill -KILL "$(pid_of "$l")"
check "handed in to another right after the kill" '{} 200' \
	"$(hand_in 00000000000000b1 $((l % 3 + 1)) 3 | sed 's/^ 200/{} 200/')"
wait $load
check "all jobs around the kill" "300 passed, 0 failed" \
	"$(tail -1 "$dir/load.1000")"
check "the job of that moment" '{"state":"completed"}' \
	"$(state 00000000000000b1 $((l % 3 + 1)))"

start_instance "$l"
sleep 2
l=$(leader)
load_others 5000
kill -STOP "$(pid_of "$l")"
hand_in 00000000000000b2 "$l" 9 >"$dir/frozen" &
client=$!
sleep 4
kill -CONT "$(pid_of "$l")"
wait $client
wait $load
check "all jobs around the freeze" "300 passed, 0 failed" \
	"$(tail -1 "$dir/load.5000")"
sleep 1.5
there=$(state 00000000000000b2 $((l % 3 + 1)))
case $(cat "$dir/frozen") in
*200) check "accepted by the woken one" '{"state":"completed"}' "$there" ;;
*503) check "refused by the woken one" '{"error":"no-job"}' "$there" ;;
*) check "the woken one answers" "200 or 503" "$(cat "$dir/frozen")" ;;
esac
check "broken promises that executors saw" "" \
	"$(grep '^violation' "$dir/standin.log" | tail -1)"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
