#!/bin/bash
# REFUSED: jobs whose every attempt was rejected are run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
case=review/7
record=$case/record.txt
. review/standin-2/lib.sh

up 8 3
"$bin/client2" load "${rate:-90}" "${seconds:-92}" 4 0 "ms=50" $addrs >>"$dir/client.log" &
clients=$!
if [ "$TROUBLE" != 0 ]; then
	for i in $(seq 1 "${outages:-8}"); do
		sleep 6.7
		tell outage 5000
		sleep 5
	done
fi
wait $clients
sleep 4
write_record
awk '/ client POST / { split($7, s, "=")
	if (s[2] == 429 || s[2] == 503) rejected[$4]++; else other[$4] = 1
	sent[$4] = 1 }
	/ start / { split($3, t, "."); started[t[1]] = 1 }
	END { for (j in sent) { n++
		if (!other[j]) r++
		if (!other[j] && started[j]) { bad++; print "REFUSED broken: job " j " was rejected " rejected[j] " times and started" } }
	print n " jobs, " r + 0 " rejected in every attempt, " bad + 0 " of these started"
	exit bad > 0 }' "$record"
