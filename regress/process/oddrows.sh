#!/bin/bash
# Puts odd entries among those of the executors, and in the place of sound ones,
# while real daemons follow the list.  Guards against daemons that end or no
# longer follow it, and against runs that are lost or started again.
cd "$(dirname "$0")/../.." || exit 1
. regress/process/fleetlib.sh
standin_in=$dir/standin.in
mkfifo "$standin_in"
exec 7<>"$standin_in"

# repeat TEXT COUNT: prints TEXT COUNT times.
repeat() { printf -- "$1%.0s" $(seq 1 "$2"); }

# entry ADDRESS MORE: prints an entry with the JSON text MORE after its fields.
entry() {
	printf '{"service":"svc","address":"%s","zone":"a","state":"ready",' "$1"
	printf '"capacity":{"cpu":64000,"mem_mb":64000}%s}' "$2"
}

running_instances() {
	for n in 1 2 3; do
		kill -0 "$(eval echo "\$pid$n")" 2>/dev/null && echo "$n"
	done | wc -l
}

fleet_up 4 3
{
	entry 127.0.0.1:$((PORT + 1)) ',"x":'
	repeat '[' 100000
	repeat ']' 100000
} >"$dir/deep"
entry 127.0.0.1:$((PORT + 1)) ',"born":99999999999999999999' >"$dir/number"
entry 127.0.0.1:$((PORT + 1)) ',"remaining_ms":1e999' >"$dir/real"
entry "127.0.0.1:$((65536 + PORT + 1))" '' >"$dir/port"
entry '127.0.0.1' '' >"$dir/noport"
printf '\377\376' >"$dir/bytes"
printf '[]' >"$dir/array"
odd="deep number real port noport bytes array"
for o in $odd; do echo "entry odd-$o $dir/$o" >&7; done
sleep 0.5
check "all daemons run beside odd entries" 3 "$(running_instances)"
check "jobs complete beside odd entries" "60 passed, 0 failed" \
	"$("$BUILD/regress/fleet-load" 60 60 1 $NET.1:8183 $NET.2:8183 \
		$NET.3:8183 | tail -1)"
check "no order went to an odd entry" 0 \
	"$(cat "$dir"/[123].log | grep -c 'event=start .*exec=odd-')"

for o in $odd; do
	echo "entry e001 $dir/$o" >&7
	sleep 0.1
done
sleep 0.5
check "all daemons run while a sound entry is odd" 3 "$(running_instances)"
check "jobs complete while a sound entry is odd" "60 passed, 0 failed" \
	"$("$BUILD/regress/fleet-load" 60 60 1000 $NET.1:8183 $NET.2:8183 \
		$NET.3:8183 | tail -1)"
listed=$(cat "$dir"/[123].log | grep -c 'event=exec-listed exec=e001')
echo "exec 1 reborn" >&7
sleep 1
check "the list is followed once the entry is sound again" 1 \
	"$(($(cat "$dir"/[123].log | grep -c 'event=exec-listed exec=e001') -
	listed))"

leading=$(leader)
for o in $odd; do echo "entry odd-$o $dir/$o" >&7; done
kill -9 "$(eval echo "\$pid$leading")"
sleep 4
start_instance "$leading"
sleep 1
check "another instance leads beside odd entries" yes \
	"$([ -n "$(leader)" ] && echo yes)"
check "jobs complete after that" "60 passed, 0 failed" \
	"$("$BUILD/regress/fleet-load" 60 60 2000 $NET.1:8183 $NET.2:8183 \
		$NET.3:8183 | tail -1)"
check "all daemons run at the end" 3 "$(running_instances)"
check "no violation was observed" "" "$(grep '^violation' "$dir/standin.log")"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
