#!/usr/bin/env bash
# Tests that need real processes: SIGKILL, SIGSTOP, SIGTERM during a long answer,
# stalled connections, TLS and bad settings.  The time limits are only there to
# give up; no test checks how long something takes.
set -u
cd "$(dirname "$0")/../.."
. scripts/lib.sh
passed=0
failed=0

# check NAME COMMAND...: counts a pass if the command succeeds.
check() {
	name=$1
	shift
	if "$@"; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "FAIL $name"
	fi
}

start_platform
start_backend a 4 2
make_keys studio
for e in a1 a2 a3; do start_entry $e a; done
publish
all=$url_a1,$url_a2,$url_a3
export CITRONCTL_SERVER=$all
make_manifest examples/muhely.json
wait_for 30 ctl -k "$ops_key" apply --base 0 --change p1 "$work/manifest.json"
export CITRONCTL_KEY=$team_key

# holder: prints the id of the entry instance that holds the lease and may start
# tasks; fails if there is none.
holder() {
	for e in a1 a2 a3; do
		eval "url=\$url_$e"
		ctl -s "$url" --json status 2>/dev/null |
			jq -e 'select(.scheduler.ready and .scheduler.may_start)' \
				>/dev/null && echo $e && return 0
	done
	return 1
}
wait_for 30 holder
# task_json REQUEST-ID QUEUE DURATION_MS: prints a task as JSON.
task_json() {
	printf '{"request_id":"%s","queue":"%s","name":"%s","need":{"cores":2},"duration_ms":%s}' \
		"$1" "$2" "$1" "$3"
}
task_id() { jq -r .id; }
# started TASK: prints the number of starts that the backend logged.
started() { grep -c " start $1/" "$work/runs-a" || :; }
# preview URL RUN_MS BYTES: sends a service request and prints the body of the
# answer and, on the last line, the HTTP status.
preview() {
	curl -s -m 60 -w '\n%{http_code}' -H "Authorization: Bearer $team_key" \
		-d 'body' "$1/v1/service/previews?run_ms=$2&bytes=$3"
}
# serves URL: succeeds if a request with a key is answered with 200.
serves() { [ "$(preview "$1" 1 0 | tail -1)" = 200 ]; }
wait_for 30 serves "$url_a1"

# An instance that does not hold the lease forwards a large answer.
large_answer_complete() {
	got=$(preview "$url_a2" 1 3000000 | head -1 | wc -c)
	[ "$got" -gt 3000000 ]
}
check "a large answer is forwarded completely" large_answer_complete

# Guards against a service request whose path arrives in part: the length of the
# answer stands at its end.
long_path_complete() {
	got=$(preview "$url_a2" "1&pad=$(printf '%01000d' 0)" 30000 | head -1 | wc -c)
	[ "$got" -gt 30000 ]
}
check "a long path is forwarded completely" long_path_complete

# The holder is killed with SIGKILL while a task runs.
holder_id=$(holder)
killed_task=$(task_json kill-1 renders 3000 | ctl --json submit - | task_id)
eval "kill -KILL \$pid_$holder_id"
runs_once() {
	ctl wait "$killed_task" >/dev/null &&
		[ "$(started "$killed_task")" = 1 ]
}
check "a task whose holder is killed completes and starts only once" runs_once
resubmit_same_task() {
	[ "$(task_json kill-1 renders 3000 | ctl --json submit - | task_id)" \
		= "$killed_task" ]
}
check "a repeated request id at another instance returns the same task" \
	resubmit_same_task
start_entry "$holder_id" a
publish

# The holder is suspended with SIGSTOP until its lease is over, then resumed with
# SIGCONT.  Guards against a second start of its tasks.
wait_for 30 holder
holder_id=$(holder)
eval "holder_url=\$url_$holder_id"
task_ids=
for i in 1 2 3 4 5; do
	task_ids="$task_ids $(task_json stop-$i renders 8000 |
		ctl -s "$holder_url" --json submit - | task_id)"
done
eval "kill -STOP \$pid_$holder_id"
other() {
	n=$(holder) && [ "$n" != "$holder_id" ]
}
rest=$(echo "$all" | tr , '\n' | grep -v "$holder_url" | paste -sd,)
CITRONCTL_SERVER=$rest
for e in a1 a2 a3; do [ $e = "$holder_id" ] || eval "url_live=\$url_$e"; done
taken_over() {
	ctl --json status | jq -e --arg h "$holder_id" '.holder != "" and .holder != $h' \
		>/dev/null
}
check "another instance takes over from a suspended holder" \
	wait_for 30 taken_over
eval "kill -CONT \$pid_$holder_id"
each_started_once() {
	for i in $task_ids; do
		ctl wait "$i" >/dev/null || return 1
		[ "$(started "$i")" = 1 ] || return 1
	done
}
check "tasks of a suspended holder complete and start only once" \
	each_started_once
CITRONCTL_SERVER=$all

# The instance gets SIGTERM while it forwards a long answer.
preview "$url_a1" 2500 100000 >"$work/long" &
long=$!
sleep 0.3
kill -TERM "$pid_a1"
wait $long
long_answer_complete() {
	[ "$(tail -1 "$work/long")" = 200 ] &&
		[ "$(head -1 "$work/long" | wc -c)" -gt 100000 ]
}
check "SIGTERM lets an answer in progress complete" long_answer_complete
exits_with_0() {
	wait "$pid_a1"
	[ $? = 0 ]
}
check "SIGTERM ends the daemon with exit code 0" exits_with_0
start_entry a1 a
publish

# The platform's table is unreachable for longer than a lease.
wait_for 30 serves "$url_a1"
control '{"outage":true}'
sleep 6
check "requests with a key are served in an outage while all instances answer" \
	wait_for 30 serves "$url_a1"
serves_without_key() {
	curl -s -m 20 -d x "$url_a1/v1/service/window-briefs?run_ms=1" |
		grep -q ' x$'
}
check "requests without a key are served in an outage" \
	wait_for 30 serves_without_key
control '{"outage":false}'
check "requests with a key are served after an outage" \
	wait_for 30 serves "$url_a1"

# The commands watch and why.
ctl watch >"$work/watch" 2>/dev/null &
watcher=$!
wait_for 20 test -s "$work/watch"
# The task is refused as not run until the holder has reached the table again.
submit_watched() {
	watched=$(task_json watch-1 proofs 100 | ctl --json submit - | task_id)
	[ -n "$watched" ] && [ "$watched" != null ]
}
wait_for 30 submit_watched 2>/dev/null
ctl wait "$watched" >/dev/null
check "watch prints decisions as they are made" \
	wait_for 10 grep -q "best-fit.*$watched" "$work/watch"
kill $watcher
why_explains() { ctl why "$watched" | grep -q "best-fit"; }
check "why explains the decisions about a task" why_explains

# Bad input and bad settings.

# exit_code COMMAND...: prints the exit code of the command.
exit_code() { "$@" >/dev/null 2>&1; echo $?; }
check "an unknown flag exits with 64" \
	[ "$(exit_code "$bin/citronlbd/citronlbd" --nonsense)" = 64 ]
check "a missing setting exits with 78" \
	[ "$(exit_code "$bin/citronlbd/citronlbd" --id x)" = 78 ]
check "a bad port exits with 78" [ "$(exit_code \
	"$bin/citronlbd/citronlbd" --id x --domain d --listen 127.0.0.1:99999)" = 78 ]
check "missing peer keys exit with 78" [ "$(exit_code \
	"$bin/citronlbd/citronlbd" --id x --domain d --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 \
	--platform 127.0.0.1:1)" = 78 ]
check "an unknown command exits with 64" [ "$(exit_code ctl fly)" = 64 ]
printf '{"teams":[{"name":"x","weight":0}]}' >"$work/bad.json"
check "a bad manifest exits with 65" \
	[ "$(exit_code ctl check "$work/bad.json")" = 65 ]
# body_refused BODY: succeeds if a task with that body is answered with 400.
body_refused() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' -m 10 \
		-H "Authorization: Bearer $team_key" -d "$1" \
		"$url_a1/v1/tasks")" = 400 ]
}
check "a body that is not JSON is refused" body_refused '{"request_id":'
check "a body with an unknown field is refused" \
	body_refused '{"request_id":"r","wings":2}'
large_body_refused() {
	head -c 2000000 /dev/zero | tr '\0' x >"$work/big"
	[ "$(curl -s -o /dev/null -w '%{http_code}' -m 10 -H "Expect:" \
		-H "Authorization: Bearer $team_key" --data-binary "@$work/big" \
		"$url_a1/v1/tasks")" = 413 ]
}
check "a body over the size limit is refused" large_body_refused

# A client never completes the header of its request.  Guards against such
# connections staying open.
stalled_client_disconnected() {
	port=${url_a1##*:}
	exec 9<>"/dev/tcp/127.0.0.1/$port" || return 1
	printf 'GET /v1/status HTTP/1.1\r\nHost: x\r\n' >&9
	timeout 40 cat <&9 >/dev/null
	code=$?
	exec 9>&-
	[ $code = 0 ]
}
check "a client that stalls in its header is disconnected" \
	stalled_client_disconnected

# TLS, and a certificate that is renewed while the daemon runs.
# make_certificate COMMON-NAME: creates a self-signed certificate and its key.
make_certificate() {
	openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj "/CN=$1" \
		-addext "subjectAltName=IP:127.0.0.1" -keyout "$work/tls.key" \
		-out "$work/tls.crt" 2>/dev/null
}
# served_subject: prints the subject of the certificate that the server presents.
served_subject() {
	openssl s_client -connect "$tls_addr" </dev/null 2>/dev/null |
		openssl x509 -noout -subject 2>/dev/null
}
start_tls() {
	make_certificate first
	CITRONLB_TLS_CERT=$work/tls.crt CITRONLB_TLS_KEY=$work/tls.key \
		start_entry a8 a
	eval "tls_addr=\${url_a8#http://}"
}
start_tls
over_tls() {
	curl -s -m 10 --cacert "$work/tls.crt" "https://$tls_addr/metrics" |
		grep -q citronlb_requests_total
}
check "requests over TLS are answered" wait_for 10 over_tls
over_http2() {
	curl -s -m 10 --http2 --cacert "$work/tls.crt" -o /dev/null \
		-w '%{http_version}' "https://$tls_addr/metrics" | grep -q '^2'
}
check "HTTP/2 is negotiated under TLS" over_http2
make_certificate second
kill -HUP "$pid_a8"
renewed() { served_subject | grep -q second; }
check "SIGHUP loads a renewed certificate" wait_for 10 renewed
echo damaged >"$work/tls.crt"
kill -HUP "$pid_a8"
sleep 0.5
check "SIGHUP with a damaged certificate keeps the previous one" renewed

# A daemon whose peer key is not permitted connects to its peers.
unknown_peer_ignored() {
	"$bin/citronctl/citronctl" peerkeys >"$work/unknown-peer"
	cut -d' ' -f2 "$work/unknown-peer" >"$work/unknown-peer-secret"
	"$bin/citronlbd/citronlbd" --id a7 --domain a --listen 127.0.0.1:0 \
		--peer-listen 127.0.0.1:0 --platform "$platform" \
		--peer-public "$(cut -d' ' -f1 "$work/unknown-peer")" \
		--peer-secret-file "$work/unknown-peer-secret" \
		--addr-file "$work/addr-a7" 2>/dev/null &
	pids="$pids $!"
	wait_for 10 test -s "$work/addr-a7"
	sleep 2
	! ctl --json status | jq -e '.peers[]|select(.id=="a7" and .alive)' \
		>/dev/null
}
check "a peer with an unknown key gets no link" unknown_peer_ignored

echo "$passed passed, $failed failed"
[ $failed = 0 ]
