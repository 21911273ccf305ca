# Starts a fleet of real processes on loopback.  Tests source this file.
#
# After fleet_up EXECUTORS INSTANCES the stand-in of the platform serves the
# table on port $PORT.  Instance I listens on $NET.I:8183 for callers and on
# $NET.I:9464 for metrics.  Logs are in $dir, which is removed at the end.
#
# The test may override, after it has sourced this file:
#   $standin_in    file from which the stand-in reads commands
#   $port_tries    number of ports that are tried for the stand-in
#   $fleet_advice  JSON fields of the advice that queue q3 needs
#   $fleet_limit   JSON field "cap" of the client account, and a comma
#   $advertise     number added to the executors' ports in the table's rows
#   $standin_opts  further options of the stand-in
#   $daemon        path of the daemon's program
#   $routes        JSON list of the queues
#   $accounts      JSON list of the client accounts
#   table_port N   function that prints the port on which instance N reaches
#                  the table
BUILD=${BUILD:-build}
standin_in=/dev/null
port_tries=8
advertise=0
standin_opts=
daemon=$BUILD/citronlbd/citronlbd
routes=
accounts=
fleet_limit=
fleet_advice='"decide_ms":2.0,"each_ms":0.1,"valid_ms":2000'
table_port() { echo "$PORT"; }
# The process id selects ports and addresses, so that several runs can go on at
# once on one machine.
PORT=${PORT:-$((20000 + $$ % 10000))}
NET=127.$((10 + $$ % 200)).$((1 + $$ / 200 % 200))
dir=$(mktemp -d)
pids=

passed=0
failed=0
check_prefix= # printed before the names of failed checks

# check NAME EXPECTED ACTUAL: counts a pass if the two are equal.
check() {
	if [ "$2" = "$3" ]; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "FAIL $check_prefix$1: expected $2, got $3"
	fi
}

fleet_stop_all() {
	for p in $pids; do kill -9 "$p" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap fleet_stop_all EXIT

# write_settings N: writes the settings of instance N to $dir/N.json.
write_settings() {
	cat >"$dir/$1.json" <<JSON
{"node_name":"n$1","ip":"$NET.$1","zone":"a","port_range":[7420,7435],
"bind_addrs":{"frontend":"$NET.$1:8183","readiness":"$NET.$1:8184"},
"bounds":{"revoke_ms":5000,"grace_s":6},
"platform":{"address":"127.0.0.1:$(table_port "$1")"},
"advice":"127.0.0.1:$((PORT + 1 + execs))"}
JSON
}

# start_instance N: starts the daemon of instance N and sets pidN to its process
# id.
start_instance() {
	"$daemon" --fleet "$dir/$1.json" \
		>>"$dir/$1.log" 2>&1 &
	eval "pid$1=$!"
	pids="$pids $!"
}

# start_standin: starts the stand-in of the platform on $PORT and the ports after
# it.  If one of them is in use, tries others, $port_tries times in all.  Sets
# standin to the process id.
start_standin() {
	for try in $(seq 1 "$port_tries"); do
		[ "$try" = 1 ] || PORT=$((20000 + (PORT + 1013) % 10000))
		# shellcheck disable=SC2086
		"$BUILD/regress/fleet-standin" $standin_opts "$PORT" "$execs" \
			"$dir/config.json" "$advertise" <"$standin_in" >"$dir/standin.log" 2>&1 &
		standin=$!
		i=0
		until grep -qx ready "$dir/standin.log"; do
			sleep 0.1
			i=$((i + 1))
			kill -0 "$standin" 2>/dev/null && [ $i -lt 50 ] || break
		done
		if grep -qx ready "$dir/standin.log"; then
			pids="$pids $standin"
			return
		fi
		kill -9 "$standin" 2>/dev/null
	done
	echo "the stand-in did not start: $(cat "$dir/standin.log")"
	exit 1
}

# fleet_up EXECUTORS INSTANCES: starts the stand-in of the platform and the
# daemons of all instances.  Sets execs and instances to the arguments, and
# standin to the process id of the stand-in.
fleet_up() {
	execs=$1
	instances=$2
	[ "$routes" ] || routes=$(cat <<JSON
[{"name":"q","host":"$NET.1","prefix":"/q/",
"type":"unsafe","timeout_ms":3000,"target_latency_ms":500,"priority":1,
"service":"svc","attempts":3,"slack_factor":2},
{"name":"q2","host":"$NET.2","prefix":"/q/","type":"unsafe",
"timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"svc",
"attempts":3,"slack_factor":2},
{"name":"q4","host":"$NET.4","prefix":"/q/","type":"unsafe",
"timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"svc",
"attempts":3,"slack_factor":2},
{"name":"q3","host":"$NET.3","prefix":"/q/","type":"unsafe",
"timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"svc",
"attempts":3,"slack_factor":2,
"advice":{$fleet_advice}}]
JSON
)
	[ "$accounts" ] ||
		accounts='[{"name":"red",'$fleet_limit'"api_keys":["k"],"weight":1000}]'
	cat >"$dir/config.json" <<JSON
{"version":1,"routes":$routes,"services":[{"name":"svc"}],
"tenants":$accounts}
JSON
	start_standin
	for n in $(seq 1 "$instances"); do
		write_settings "$n"
		start_instance "$n"
	done
	sleep 1.5
}

# violations: prints the last line of each kind of violation in the log of the
# stand-in, with the number and the first violation of the kind.
violations() {
	awk '/^violation/ {
			kind = $0
			sub(/:.*/, "", kind)
			if (!(kind in last)) kinds[++n] = kind
			last[kind] = $0
		}
		END { for (i = 1; i <= n; i++) print last[kinds[i]] }' \
		"$dir/standin.log"
}

# leader: prints the number of the instance whose metrics show that it leads, or
# nothing if none does.
leader() {
	for n in $(seq 1 "$instances"); do
		curl -s -m 1 "http://$NET.$n:9464/metrics" |
			grep -q '^citronlb_leading 1' && echo "$n" && return
	done
}
