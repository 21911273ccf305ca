#!/usr/bin/env bash
# What only real processes show: SIGKILL, SIGSTOP, SIGTERM during a long
# answer, silent connections, bad settings.  No bound on the wall clock but
# to give up.
set -u
cd "$(dirname "$0")/../.."
. scripts/lib.sh
passed=0
failed=0

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

holder() {
	for e in a1 a2 a3; do
		eval "u=\$url_$e"
		ctl -s "$u" --json status 2>/dev/null |
			jq -e 'select(.scheduler.ready and .scheduler.may_start)' \
				>/dev/null && echo $e && return 0
	done
	return 1
}
wait_for 30 holder
task() {
	printf '{"request_id":"%s","queue":"%s","name":"%s","need":{"cores":2},"duration_ms":%s}' \
		"$1" "$2" "$1" "$3"
}
id_of() { jq -r .id; }
started() { grep -c " start $1/" "$work/runs-a" || :; }
preview() { # URL RUN_MS BYTES -> body and status
	curl -s -m 60 -w '\n%{http_code}' -H "Authorization: Bearer $team_key" \
		-d 'body' "$1/v1/service/previews?run_ms=$2&bytes=$3"
}
serves() { [ "$(preview "$1" 1 0 | tail -1)" = 200 ]; }
wait_for 30 serves "$url_a1"

# A large answer comes whole through an instance that is not the holder.
whole() {
	got=$(preview "$url_a2" 1 3000000 | head -1 | wc -c)
	[ "$got" -gt 3000000 ]
}
check "a large answer is passed whole" whole

# SIGKILL of the holder with a render on the way.
h=$(holder)
first=$(task kill-1 renders 3000 | ctl --json submit - | id_of)
eval "kill -KILL \$pid_$h"
survives() { ctl wait "$first" >/dev/null && [ "$(started "$first")" = 1 ]; }
check "a render survives the holder's SIGKILL, once" survives
again() {
	[ "$(task kill-1 renders 3000 | ctl --json submit - | id_of)" = "$first" ]
}
check "its request id finds it at another instance" again
start_entry "$h" a
publish

# SIGSTOP of the holder past its lease, SIGCONT, and no second start.
wait_for 30 holder
h=$(holder)
eval "u=\$url_$h"
ids=
for i in 1 2 3 4 5; do
	ids="$ids $(task stop-$i renders 8000 | ctl -s "$u" --json submit - | id_of)"
done
eval "kill -STOP \$pid_$h"
other() {
	n=$(holder) && [ "$n" != "$h" ]
}
rest=$(echo "$all" | tr , '\n' | grep -v "$u" | paste -sd,)
CITRONCTL_SERVER=$rest
for e in a1 a2 a3; do [ $e = "$h" ] || eval "url_live=\$url_$e"; done
taken_over() {
	ctl --json status | jq -e --arg h "$h" '.holder != "" and .holder != $h' \
		>/dev/null
}
check "a successor takes over from a stopped process" wait_for 30 taken_over
eval "kill -CONT \$pid_$h"
once() {
	for i in $ids; do
		ctl wait "$i" >/dev/null || return 1
		[ "$(started "$i")" = 1 ] || return 1
	done
}
check "renders of a stopped holder run once and end" once
CITRONCTL_SERVER=$all

# SIGTERM during a long answer.
preview "$url_a1" 2500 100000 >"$work/long" &
long=$!
sleep 0.3
kill -TERM "$pid_a1"
wait $long
long_whole() {
	[ "$(tail -1 "$work/long")" = 200 ] &&
		[ "$(head -1 "$work/long" | wc -c)" -gt 100000 ]
}
check "a planned stop cuts no answer short" long_whole
gone() {
	wait "$pid_a1"
	[ $? = 0 ]
}
check "and ends with exit code 0" gone
start_entry a1 a
publish

# The platform is away for longer than a lease.
wait_for 30 serves "$url_a1"
control '{"outage":true}'
sleep 6
check "keyed work goes on while every instance answers" \
	wait_for 30 serves "$url_a1"
open() {
	curl -s -m 20 -d x "$url_a1/v1/service/window-briefs?run_ms=1" |
		grep -q ' x$'
}
check "open work is served in an outage" wait_for 30 open
control '{"outage":false}'
check "and keyed work again after it" wait_for 30 serves "$url_a1"

# Watching.
ctl watch >"$work/watch" 2>/dev/null &
watcher=$!
wait_for 20 test -s "$work/watch"
# Refused as not run until the holder has heard from the table again.
accepted() {
	watched=$(task watch-1 proofs 100 | ctl --json submit - | id_of)
	[ -n "$watched" ] && [ "$watched" != null ]
}
wait_for 30 accepted 2>/dev/null
ctl wait "$watched" >/dev/null
check "watch shows the decisions as they happen" \
	wait_for 10 grep -q "best-fit.*$watched" "$work/watch"
kill $watcher
why() { ctl why "$watched" | grep -q "best-fit"; }
check "why explains a task" why

# Bad input and bad settings.
code() { "$@" >/dev/null 2>&1; echo $?; }
check "an unknown flag ends with 64" \
	[ "$(code "$bin/citronlbd/citronlbd" --nonsense)" = 64 ]
check "a missing setting ends with 78" \
	[ "$(code "$bin/citronlbd/citronlbd" --id x)" = 78 ]
check "a bad port ends with 78" [ "$(code "$bin/citronlbd/citronlbd" --id x \
	--domain d --listen 127.0.0.1:99999)" = 78 ]
check "no peer keys ends with 78" [ "$(code "$bin/citronlbd/citronlbd" \
	--id x --domain d --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 \
	--platform 127.0.0.1:1)" = 78 ]
check "an unknown command ends with 64" [ "$(code ctl fly)" = 64 ]
printf '{"teams":[{"name":"x","weight":0}]}' >"$work/bad.json"
check "a bad manifest ends with 65" [ "$(code ctl check "$work/bad.json")" = 65 ]
bad_body() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' -m 10 \
		-H "Authorization: Bearer $team_key" -d "$1" \
		"$url_a1/v1/tasks")" = 400 ]
}
check "a body that is no JSON" bad_body '{"request_id":'
check "a body with an unknown field" bad_body '{"request_id":"r","wings":2}'
big() {
	head -c 2000000 /dev/zero | tr '\0' x >"$work/big"
	[ "$(curl -s -o /dev/null -w '%{http_code}' -m 10 -H "Expect:" \
		-H "Authorization: Bearer $team_key" --data-binary "@$work/big" \
		"$url_a1/v1/tasks")" = 413 ]
}
check "a body over its limit" big

# A client that never ends its request's head is cut off.
slow_client() {
	port=${url_a1##*:}
	exec 9<>"/dev/tcp/127.0.0.1/$port" || return 1
	printf 'GET /v1/status HTTP/1.1\r\nHost: x\r\n' >&9
	timeout 40 cat <&9 >/dev/null
	code=$?
	exec 9>&-
	[ $code = 0 ]
}
check "a client that stalls in its head is cut off" slow_client

# TLS, and a certificate that is renewed while it runs.
certificate() {
	openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj "/CN=$1" \
		-addext "subjectAltName=IP:127.0.0.1" -keyout "$work/tls.key" \
		-out "$work/tls.crt" 2>/dev/null
}
served_name() {
	openssl s_client -connect "$tls_addr" </dev/null 2>/dev/null |
		openssl x509 -noout -subject 2>/dev/null
}
start_tls() {
	certificate first
	CITRONLB_TLS_CERT=$work/tls.crt CITRONLB_TLS_KEY=$work/tls.key \
		start_entry a8 a
	eval "tls_addr=\${url_a8#http://}"
}
start_tls
over_tls() {
	curl -s -m 10 --cacert "$work/tls.crt" "https://$tls_addr/metrics" |
		grep -q citronlb_requests_total
}
check "TLS towards callers" wait_for 10 over_tls
over_http2() {
	curl -s -m 10 --http2 --cacert "$work/tls.crt" -o /dev/null \
		-w '%{http_version}' "https://$tls_addr/metrics" | grep -q '^2'
}
check "HTTP/2 under TLS" over_http2
certificate second
kill -HUP "$pid_a8"
renewed() { served_name | grep -q second; }
check "SIGHUP takes a renewed certificate" wait_for 10 renewed
echo damaged >"$work/tls.crt"
kill -HUP "$pid_a8"
sleep 0.5
check "a damaged one leaves the old in use" renewed

# A stranger's peer link is not listened to.
stranger() {
	"$bin/citronctl/citronctl" peerkeys >"$work/strange"
	cut -d' ' -f2 "$work/strange" >"$work/strange-secret"
	"$bin/citronlbd/citronlbd" --id a7 --domain a --listen 127.0.0.1:0 \
		--peer-listen 127.0.0.1:0 --platform "$platform" \
		--peer-public "$(cut -d' ' -f1 "$work/strange")" \
		--peer-secret-file "$work/strange-secret" \
		--addr-file "$work/addr-a7" 2>/dev/null &
	pids="$pids $!"
	wait_for 10 test -s "$work/addr-a7"
	sleep 2
	! ctl --json status | jq -e '.peers[]|select(.id=="a7" and .alive)' \
		>/dev/null
}
check "a stranger's key opens no peer link" stranger

echo "$passed passed, $failed failed"
[ $failed = 0 ]
