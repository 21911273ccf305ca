# Functions for the demo, the benchmarks and the tests of real processes.  They
# start and stop entry instances and stand-ins of the platform and of the backend
# servers.  The files of these processes are in the temporary directory $work.
# This file is to be sourced.
BUILD=${BUILD:-build}
bin=$PWD/$BUILD
work=$(mktemp -d)
# Ids of the processes that clean_up kills.
pids=

# Kills all processes that were started and removes $work.
clean_up() {
	for p in $pids; do kill -CONT "$p" 2>/dev/null || :; done
	for p in $pids; do kill -KILL "$p" 2>/dev/null || :; done
	wait 2>/dev/null || :
	rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

# wait_for SECONDS COMMAND...
# Repeats the command until it succeeds.  Fails if it has not succeeded within
# the given time.
wait_for() {
	tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		if [ $tries -le 0 ]; then
			echo "timed out: $*" >&2
			return 1
		fi
		sleep 0.05
	done
}

# Starts the platform's stand-in and sets $platform to its address.
start_platform() {
	rm -f "$work/platform"
	"$bin/regress/platformd" 127.0.0.1:0 >"$work/platform" 2>/dev/null &
	pids="$pids $!"
	wait_for 10 test -s "$work/platform"
	platform=$(cat "$work/platform")
}

# control JSON
# Sends a control message that changes the behaviour of the platform's stand-in;
# see platformd.
control() { curl -s -o /dev/null -d "$1" "http://$platform/v1/control"; }

# start_backend DOMAIN WORKERS EXECUTORS
# Starts one process with the stand-ins of a failure domain's workers and
# executors.  It writes their instance list to $work/list-DOMAIN and the runs
# that they start and end to $work/runs-DOMAIN.
start_backend() {
	"$bin/regress/backendd" "$@" >"$work/list-$1" 2>"$work/runs-$1" &
	pids="$pids $!"
	wait_for 10 test -s "$work/list-$1"
}

# make_keys TEAM
# Makes a key pair for the links between instances, a key for an operator and a
# key for the team.  Sets peer_public, ops_key, first_key and team_key.
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

# start_entry ID DOMAIN
# Starts an entry instance and sets pid_ID to its process id and url_ID to its
# URL.
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

# Passes the list of all started instances to the platform's stand-in.
publish() {
	jq -cs '{instances:{items:(map(.items)|add)}}' "$work"/list-* \
		>"$work/published"
	control "@$work/published"
}

# ctl ARGUMENT...
# Runs citronctl.
ctl() { "$bin/citronctl/citronctl" "$@"; }

# make_manifest FILE
# Writes the manifest of the file, with its keys replaced by those of make_keys,
# to $work/manifest.json.
make_manifest() {
	jq -c --slurpfile ops "$work/ops.json" --slurpfile team "$work/team.json" \
		'.keys=[$ops[0],$team[0]]' "$1" >"$work/manifest.json"
}
