#!/bin/bash
# UNASKED: a job runs although its cancelling was answered.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
case=review/8
record=$case/record.txt
. review/standin-2/lib.sh

up 8 3
# Each round: for 4.5 s, 35 % of the writes get no answer and are done 1 to 6 s
# later; then nothing is disturbed.  Clients that have no answer after 600 ms
# leave and cancel their jobs.
for round in $(seq 1 "${rounds:-4}"); do
	[ "$TROUBLE" = 0 ] || tell late 0.35
	sleep 2.5
	"$bin/client2" load 30 2 0 600 "ms=12000" $addrs >>"$dir/client.log" &
	clients=$!
	sleep 2
	[ "$TROUBLE" = 0 ] || tell late 0
	wait $clients
	sleep 13
done
write_record
awk -v cancel_ms=3000 -v stop_ms=400 -v contact_ms=3000 '
	/ late share=0$/ { calm = $1 }
	/ late share=0\./ { calm = 0 }
	/ client DELETE / { split($7, s, "=")
		if (s[2] == 200 || s[2] == 410) { acked[$4] = $1; how[$4] = s[2]; n++ } }
	/ start / { split($3, t, "."); begun[$3 $4] = $1; job[$3 $4] = t[1] }
	/ end / { run = $3 $4; j = job[run]
		if (!(run in begun) || !(j in acked)) next
		from = acked[j] + cancel_ms
		if (begun[run] <= from) from += stop_ms
		if (!calm || $1 <= from || $1 <= calm + contact_ms) next
		bad++
		print "UNASKED broken: DELETE of job " j " was answered " how[j] "; a task of it started " begun[run] - acked[j] " ms and ended " $1 - acked[j] " ms after that, " $1 - calm " ms after the disturbance" }
	END { print n + 0 " cancels answered, " bad + 0 " of these jobs ran on"
		exit bad > 0 }' "$record"
