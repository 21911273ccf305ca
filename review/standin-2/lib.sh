# Starts the daemons of the deploy file beside the stand-ins.  Scripts source
# this file at the project's root, with $case set to their folder and $record to
# the file in which the record is written.
#
# up EXECUTORS INSTANCES starts them, with the settings of a small deployment;
# tell COMMAND passes a command to the stand-in of the platform.  Instance I
# takes callers' requests at ${addr_I}; $addrs has all of these.
bin=${BIN:-target/review-2}
daemon=target/citronlbd/citronlbd
attempts=${attempts:-3}
TROUBLE=${TROUBLE:-1}
pids=

finish() {
	for p in $pids $(jobs -p); do kill -9 "$p" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}

cannot_run() {
	echo "cannot run: $1"
	exit 2
}

# write_settings N
write_settings() {
	cat >"$dir/$1.json" <<JSON
{"node_name":"front-a-$1","role":"entry","machine_class":"front",
"serves":["front"],"ip":"$net.$1","zone":"a","region":"r",
"port_range":[7420,7435],"seeds":[],"bootstrap":true,"heartbeat_ms":1500,
"control_mode":"push","advice":"127.0.0.1:9","zones":{"a":"r"},
"bind_addrs":{"frontend":"$net.$1:8183","readiness":"$net.$1:8184"},
"limits":{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4200},
"fault_tolerance":{"machines":2,"zones":1,"regions":0},
"bounds":{"contact_ms":3000,"ack_ms":4000,"drain_ms":2000,"grace_s":6,
"config_apply_ms":2000,"revoke_ms":5000,"hold_max_ms":6000,"stop_ms":400,
"gang_ms":3000,"cancel_ms":3000,"visible_ms":3000,"lease_ms":3000},
"platform":{"address":"127.0.0.1:$port","form":"table","writes_per_s":600,
"reads_per_s":2000,"tx_ms":3.0,"part_writes_s":300,"row_bytes":65536,
"across":true,"history_s":20}}
JSON
}

up() {
	[ -x "$daemon" ] && [ -x "$bin/fleet2" ] || cannot_run "not built"
	dir=$(mktemp -d)
	trap finish EXIT
	cat >"$dir/config.json" <<JSON
{"version":1,"limits":{},"services":[{"name":"svc"}],
"routes":[{"name":"queue","host":"q.example","prefix":"/q/","type":"unsafe",
"timeout_ms":3000,"service":"svc","priority":1,"attempts":$attempts,
"slack_factor":2,"target_latency_ms":1000}],
"tenants":[{"name":"red","api_keys":["k"],"weight":100}]}
JSON
	mkfifo "$dir/commands"
	net=127.$((10 + $$ % 200)).$((1 + $$ / 200 % 200))
	for try in 1 2 3 4 5 6; do
		port=$((21000 + ($$ * 11 + try * 1013) % 10000))
		"$bin/fleet2" "$port" "$1" "$dir/config.json" "${SEED:-$$}" \
			<"$dir/commands" >"$dir/platform.log" 2>&1 &
		platform=$!
		exec 9>"$dir/commands"
		for i in $(seq 1 50); do
			sleep 0.1
			grep -q ready "$dir/platform.log" && break 2
			kill -0 $platform 2>/dev/null || break
		done
	done
	grep -q ready "$dir/platform.log" || cannot_run "no free port"
	pids="$pids $platform"
	addrs=
	for n in $(seq 1 "$2"); do
		write_settings "$n"
		CITRONLB_CONFIG=$dir/$n.json "$daemon" >"$dir/$n.log" 2>&1 &
		eval "pid_$n=$!; addr_$n=$net.$n:8183"
		pids="$pids $!"
		addrs="$addrs $net.$n:8183"
	done
	# Traffic starts 10 s after the machines do.
	sleep "${lead_s:-6}"
	for p in $pids; do kill -0 "$p" 2>/dev/null || { cat "$dir"/*.log | grep -v event= | tail -5; cannot_run "a process ended"; }; done
}

tell() { echo "$*" >&9; }

# request METHOD ADDR PATH [BODY]: sends a request and prints its line.
request() {
	"$bin/client2" request "$1" "$2" "$3" 3000 "${4:-}" | tee -a "$dir/client.log"
}

# write_record: writes what was sent, answered and run to $record.
write_record() {
	cat "$dir/platform.log" "$dir/client.log" 2>/dev/null | grep -v ' ready$' |
		sort -n -s -k1,1 >"$record"
	grep -q ' start ' "$record" || cannot_run "no task was started"
	[ "${KEEP:-}" ] && mkdir -p "$KEEP" && cp "$dir"/*.log "$KEEP"
	return 0
}
