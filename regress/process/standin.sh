#!/bin/bash
# Sends orders to the executors of the stand-in and checks what it reports of
# violations, by kind, and where the clocks of their boots begin.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh
standin_in=$dir/standin.in
mkfifo "$standin_in"
exec 7<>"$standin_in"

answer_s=2 # time limit of an order

# order K PATH JSON: sends an order to executor K and prints the answer.
order() {
	curl -s -m $answer_s -d "$3" "http://127.0.0.1:$((PORT + 1 + $1))/api/$2"
}

# start K TASK RUN: orders executor K to start a task.
start() {
	order "$1" run-start "{\"task\":\"00000000000000a1.0.0.$2\",\"run\":$3,
		\"fencing_token\":1,\"deadline_ms\":1000000000,
		\"spec\":\"cpu=10 account=red mem=1 gang=0 steps=20x300\"}" >>"$dir/answers"
}

# poll K LAST_SEEN: prints the answer of executor K to a poll.
poll() {
	order "$1" hold "{\"last_seen\":$2,\"fencing_token\":1,\"wait_ms\":0,
		\"deadline_ms\":1000000000}"
}

# kinds: prints the number of violations of each kind.
kinds() { violations | sed 's/^violation //; s/, first .*//' | sort; }

# clock K: prints the reading of the clock of executor K.
clock() { poll "$1" 0 | sed -n 's/.*"clock_ms": *\([0-9]*\).*/\1/p'; }

# is_within NUMBER MIN MAX: prints yes if NUMBER is in this range.
is_within() { [ "$1" -ge "$2" ] && [ "$1" -le "$3" ] && echo yes; }

# restart K: begins a new boot of executor K and waits until it answers.
restart() {
	local old
	old=$(poll "$1" 0 | grep -o '"born":[^,}]*')
	echo "exec $1 restart 300" >&7
	answer_s=0.3
	for i in $(seq 50); do
		poll "$1" 0 | grep -o '"born":[^,}]*' | grep -qvxF "$old" && break
		sleep 0.1
	done
	answer_s=2
}

fleet_up 2 0
check "no violations at the start" "" "$(violations)"
poll 0 0 >/dev/null
poll 1 0 >/dev/null
for task in 1 2; do
	start 0 $task 1
	start 1 $task 1
done
sleep 0.5
poll 0 0 >"$dir/ends"
poll 0 2 >/dev/null
start 0 1 2
poll 1 2 >/dev/null
start 1 2 2
sleep 0.1
check "violations of each kind" "TWICE already done, end listed: 2
TWICE already running: 2" "$(kinds)"
start 1 3 1
sleep 0.5
poll 1 100 >/dev/null
start 1 3 2
sleep 0.1
check "an end that was never listed" "TWICE already done, end listed: 2
TWICE already done, end never listed: 1
TWICE already running: 2" "$(kinds)"
check "the first violation of a kind stays" 1 "$(violations |
	grep -c 'running: 2, first at [0-9]*: TWICE 00000000000000a1.0.1 run 1 on e001')"
for task in 4 5 6 7 8 9 10 11; do start 1 $task 1; done
sleep 0.5
poll 1 0 >/dev/null
poll 1 100 >/dev/null
echo "exec 0 lost 1" >&7
sleep 0.1
answer_s=0.3
for task in 4 5 6 7 8 9 10 11; do start 0 $task 2; done
answer_s=2
for i in $(seq 60); do
	violations | grep -q ', late' && break
	sleep 0.25
done
check "a start that is executed late is told apart" \
	"TWICE already done, end listed, late" \
	"$(kinds | sed 's/:.*//' | grep ', late')"

before=$(clock 0)
echo "exec 0 clock on" >&7
restart 0
check "a clock that goes on" yes \
	"$(is_within "$(clock 0)" $((before + 300)) $((before + 9000)))"
echo "exec 0 clock zero" >&7
for boot in first second; do
	restart 0
	check "a clock that begins at 1 ms, $boot boot" yes \
		"$(is_within "$(clock 0)" 1 9000)"
done
sleep 0.3
before=$(clock 0)
echo "exec 0 clock on" >&7
restart 0
check "a clock that goes on from 1 ms" yes \
	"$(is_within "$(clock 0)" $((before + 300)) $((before + 9000)))"
echo "exec 0 clock any" >&7
restart 0
check "a clock that is drawn" yes "$(is_within "$(clock 0)" 10000 3000000)"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
