# Shared by the demonstration and the tests of real processes: starts and
# stops stand-ins and entry instances below $work.  Sourced, not run.
BUILD=${BUILD:-build}
bin=$PWD/$BUILD
work=$(mktemp -d)
pids=

# Ends whatever still runs; nothing is left behind.
clean_up() {
	for p in $pids; do kill -CONT "$p" 2>/dev/null || :; done
	for p in $pids; do kill -KILL "$p" 2>/dev/null || :; done
	wait 2>/dev/null || :
	rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

# wait_for SECONDS COMMAND...: until it succeeds.
wait_for() {
	tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		if [ $tries -le 0 ]; then
			echo "gave up waiting: $*" >&2
			return 1
		fi
		sleep 0.05
	done
}

start_platform() {
	rm -f "$work/platform"
	"$bin/regress/platformd" 127.0.0.1:0 >"$work/platform" 2>/dev/null &
	pids="$pids $!"
	wait_for 10 test -s "$work/platform"
	platform=$(cat "$work/platform")
}

control() { curl -s -o /dev/null -d "$1" "http://$platform/v1/control"; }

# start_backend DOMAIN WORKERS EXECUTORS
start_backend() {
	"$bin/regress/backendd" "$@" >"$work/list-$1" 2>"$work/runs-$1" &
	pids="$pids $!"
	wait_for 10 test -s "$work/list-$1"
}

make_keys() {
	"$bin/citronctl/citronctl" peerkeys >"$work/peerkeys"
	peer_public=$(cut -d' ' -f1 "$work/peerkeys")
	(umask 077 && cut -d' ' -f2 "$work/peerkeys" >"$work/peer-secret")
	"$bin/citronctl/citronctl" key ops 2>"$work/ops" >"$work/ops.json"
	"$bin/citronctl/citronctl" key "$1" "$1" 2>"$work/team" \
		>"$work/team.json"
	ops_key=$(sed -n 's/^key: //p' "$work/ops")
	first_key=$(sed -n 's/^first-key: //p' "$work/ops")
	team_key=$(sed -n 's/^key: //p' "$work/team")
}

# start_entry ID DOMAIN: sets pid_ID, url_ID
start_entry() {
	rm -f "$work/addr-$1"
	"$bin/citronlbd/citronlbd" --id "$1" --domain "$2" \
		--listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 \
		--platform "$platform" --peer-public "$peer_public" \
		--peer-secret-file "$work/peer-secret" \
		--first-key "$first_key" --addr-file "$work/addr-$1" \
		2>>"$work/log-$1" &
	eval "pid_$1=$!"
	pids="$pids $!"
	wait_for 10 test -s "$work/addr-$1"
	read -r http peer <"$work/addr-$1"
	eval "url_$1=http://$http"
	printf '{"items":[{"id":"%s","kind":"entry","domain":"%s","addr":"%s"}]}' \
		"$1" "$2" "$peer" >"$work/list-$1"
}

# Gives the platform the list of all that was started.
publish() {
	jq -cs '{instances:{items:(map(.items)|add)}}' "$work"/list-* \
		>"$work/published"
	control "@$work/published"
}

ctl() { "$bin/citronctl/citronctl" "$@"; }

# The example manifest with the keys made here.
make_manifest() {
	jq -c --slurpfile ops "$work/ops.json" --slurpfile team "$work/team.json" \
		'.keys=[$ops[0],$team[0]]' "$1" >"$work/manifest.json"
}
