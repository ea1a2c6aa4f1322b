#!/bin/bash
# Guards against limits on misbehaving clients that clients within the
# documented limits meet: the process has the limits of the smallest entry VM
# (160 MB, 4,100 descriptors), and no limit may act on the largest job, a body
# that arrives over a slow link, many connections that a balancer keeps open, or
# many large bodies at once.
BUILD=$1
# Connections that callers keep open through one balancer.
CONNECTIONS=700
# Bodies at once; each is a job of about 20,000 bytes.
SUBMISSIONS=100
FAILED=0
WORK=$(mktemp -d)
PIDS=
finish() {
	status=$?
	trap - EXIT INT TERM
	for pid in $PIDS; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
	exit $status
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
	echo "FAIL: $*"
	FAILED=1
}

NET=127.$((1 + $$ / 250 % 120)).$(($$ % 250 + 1))
PORT=30000
CALLERS=$NET.11:$((PORT + 50))
OPERATORS=$NET.11:$((PORT + 53))

cat >"$WORK/node.ini" <<END
[node]
name = node-1
zone = z
[listen]
callers = $CALLERS
ready = $NET.11:$((PORT + 51))
peers = $NET.11:$((PORT + 52))
operators = $OPERATORS
[store]
address = $NET.1:$PORT
append_bytes = 2097152
[limits]
connections = 2000
memory_mb = 160
descriptors = 4100
END

# job STEPS DEPENDENCIES PADDING: prints a job; each step depends on so many
# before it and names an image of so many characters.
job() {
	awk -v steps="$1" -v most="$2" -v padding="$3" 'BEGIN {
		for (i = 0; i < padding; i++)
			image = image "i"
		if (padding)
			image = ",\"image\":\"" image "\""
		printf "{\"spec\":\"1\",\"steps\":["
		for (s = 0; s < steps; s++) {
			printf "%s{\"count\":1,\"cpu\":10,\"mem_mb\":1,", (s ? "," : "")
			printf "\"estimated_ms\":1%s", image
			first = s > most ? s - most : 0
			for (d = first; d < s; d++)
				printf "%s%d", (d > first ? "," : ",\"depends_on\":["), d
			printf (first < s ? "]}" : "}")
		}
		printf "]}"
	}'
}

# submit ID FILE [CURL-ARGUMENT...]: submits the job, again after an answer that
# allows it; prints the last status.
submit() {
	local id=$1 file=$2 status
	shift 2
	for _ in 1 2 3 4 5; do
		status=$(curl -s -m 30 -o /dev/null -w '%{http_code}' \
		    -H 'Host: jobs.example' -H 'Expect:' --data-binary "@$file" "$@" \
		    "http://$CALLERS/q1/$id")
		[ "$status" = 200 ] && break
		sleep 0.5
	done
	echo "$status"
}

"$BUILD/bin/standin-fleet" --host "$NET.1" --store-port "$PORT" \
    --worker-port $((PORT + 10)) --workers 6 >"$WORK/fleet.log" 2>&1 &
PIDS="$PIDS $!"
"$BUILD/limpethinge" schedule --settings "$WORK/node.ini" >"$WORK/node.log" 2>&1 &
PIDS="$PIDS $!"
job 1 0 0 >"$WORK/small"
job 256 255 0 >"$WORK/widest"
job 256 0 900 >"$WORK/longest"
job 20 0 900 >"$WORK/large"
for _ in $(seq 20); do
	[ "$(submit 0000000000000001 "$WORK/small")" = 200 ] && break
done

# Connections that a balancer keeps open, each with a request now and then.
"$BUILD/bin/standin-soak" --node "$CALLERS" --connections $CONNECTIONS \
    --interval 4000 --jobs 50 --settle 30 >"$WORK/soak" 2>&1 &
SOAK=$!
PIDS="$PIDS $SOAK"
[ "$(submit 0000000000000002 "$WORK/widest")" = 200 ] ||
    fail "the job with the most dependencies is not accepted"
[ "$(submit 0000000000000003 "$WORK/longest")" = 200 ] ||
    fail "a job of $(wc -c <"$WORK/longest") bytes is not accepted"
# A body that takes over a second.
[ "$(submit 0000000000000004 "$WORK/widest" --limit-rate 100K)" = 200 ] ||
    fail "a body over a slow link is not accepted"
for i in $(seq -f %03g $SUBMISSIONS); do
	submit "0000000000001$i" "$WORK/large" >"$WORK/status-$i" &
done
for i in $(seq -f %03g $SUBMISSIONS); do
	for _ in $(seq 300); do
		[ -s "$WORK/status-$i" ] && break
		sleep 0.1
	done
	[ "$(cat "$WORK/status-$i")" = 200 ] ||
	    fail "submission $i ended with $(cat "$WORK/status-$i")"
done
kill -USR1 $SOAK
wait $SOAK || fail "callers: $(tail -n 3 "$WORK/soak")"
curl -s -m 5 "http://$OPERATORS/counters" >"$WORK/counters"
for limit in closed_full closed_budget closed_slow closed_oversize \
	head_oversize head_budget accept_pauses refused; do
	count=$(awk -v name="limpethinge_http_${limit}_total" \
	    '$1 == name { print $2 }' "$WORK/counters")
	[ "$count" = 0 ] || fail "limit $limit acted on ${count:-no counter}"
done
for limit in peer_refused peer_hello_evicted peer_bytes_evicted jobs_no_memory; do
	count=$(awk -v name="limpethinge_${limit}_total" '$1 == name { print $2 }' \
	    "$WORK/counters")
	[ "$count" = 0 ] || fail "limit $limit acted on ${count:-no counter}"
done
exit $FAILED
