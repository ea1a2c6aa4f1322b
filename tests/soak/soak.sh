#!/bin/bash
# soak.sh BUILD SEED [SECONDS [PROCESSES]]: scheduling processes on loopback
# against the stand-in of the users' platform.  Processes are killed, paused,
# stopped and restarted by signals, in series that overlap, while callers
# submit, ask for and cancel jobs; the store and the workers fail by the same
# seed.  At the end every accepted job must be known and ended, and the
# stand-in must have seen no broken rule.  Ends only what it started.
BUILD=$1
SEED=${2:-1}
SECONDS_LONG=${3:-12}
COUNT=${4:-4}
WORKERS=9
SETTLE_S=60
WORK=$(mktemp -d)
RANDOM=$SEED
declare -A PID
FLEET=
LOAD=

finish() {
	status=$?
	trap - EXIT INT TERM
	for pid in ${PID[*]} $FLEET $LOAD; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	if [ $status -ne 0 ]; then
		echo "soak: seed $SEED failed, files in $WORK"
	else
		rm -rf "$WORK"
	fi
	exit $status
}
trap finish EXIT
trap 'exit 130' INT TERM

# A block of 100 ports below the kernel's ephemeral range and above that of
# the other whole-process tests.
BASE=${BASE:-$((30000 + (SEED + $$) % 27 * 100))}
STORE=127.0.0.1:$BASE
front() { echo "127.0.0.$((10 + $1)):$((BASE + 50))"; }

settings() {
	cat <<END
[node]
name = node-$1
zone = z
[listen]
callers = $(front "$1")
ready = 127.0.0.$((10 + $1)):$((BASE + 51))
peers = 127.0.0.$((10 + $1)):$((BASE + 52))
operators = 127.0.0.$((10 + $1)):$((BASE + 53))
[store]
address = $STORE
END
}

start() {
	"$BUILD/limpethinge" schedule --settings "$WORK/node-$1.ini" \
	    >>"$WORK/node-$1.log" 2>&1 &
	PID[$1]=$!
}

restart() {
	if kill -0 "${PID[$1]}" 2>/dev/null; then
		kill -CONT "${PID[$1]}" 2>/dev/null
		kill -KILL "${PID[$1]}" 2>/dev/null
	fi
	wait "${PID[$1]}" 2>/dev/null
	start "$1"
}

# Submits jobs of one to three steps until the file "stop" exists.  An
# identifier whose submission was answered with 200 is noted as accepted.
load() {
	local n=0 id counts steps code
	RANDOM=$((SEED + 7))
	while [ ! -e "$WORK/stop" ] && [ $n -lt 4000 ]; do
		n=$((n + 1))
		id=$(printf '%08x%08x' "$SEED" $n)
		counts=$((RANDOM % 4 + 1))
		steps="{\"count\":$counts,\"cpu\":1000,\"mem_mb\":100,\"estimated_ms\":400}"
		for s in $(seq 1 $((RANDOM % 3))); do
			c=$((RANDOM % 4 + 1))
			counts=$counts,$c
			steps="$steps,{\"count\":$c,\"cpu\":1000,\"mem_mb\":100,\"estimated_ms\":400,\"depends_on\":[$((s - 1))]}"
		done
		for try in 1 2 3; do
			code=$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
			    -H 'Host: jobs.example' -H 'Request-Deadline: 2500' \
			    -d "{\"spec\":\"$counts\",\"steps\":[$steps]}" \
			    "http://$(front $((RANDOM % COUNT + 1)))/q1/$id")
			[ "$code" = 200 ] && { echo "$id" >>"$WORK/accepted"; break; }
			sleep 0.1
		done
		if [ $((RANDOM % 12)) = 0 ]; then
			echo "$id" >>"$WORK/asked"
			code=$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
			    -X DELETE -H 'Host: jobs.example' \
			    "http://$(front $((RANDOM % COUNT + 1)))/q1/$id")
			[ "$code" = 200 ] && echo "$id" >>"$WORK/cancelled"
		fi
		sleep 0.05
	done
}

# State of a job as a process tells it, "unknown" for 410.
state() {
	local answer
	answer=$(curl -s -m 4 -w ' %{http_code}' -H 'Host: jobs.example' \
	    "http://$(front $((RANDOM % COUNT + 1)))/q1/$1")
	case $answer in
	*\ 410) echo unknown ;;
	*\ 200) echo "$answer" | sed 's/.*"state":"\([a-z]*\)".*/\1/' ;;
	*) echo none ;;
	esac
}

touch "$WORK/accepted" "$WORK/cancelled" "$WORK/asked"
"$BUILD/bin/standin-fleet" --store-port "$BASE" --worker-port $((BASE + 10)) \
    --workers $WORKERS --seed "$SEED" \
    --lose 0.0$((RANDOM % 4)) --late 0.0$((RANDOM % 3)) \
    --store-lose 0.0$((RANDOM % 4)) \
    --outage-every $((RANDOM % 2 * 5000)) \
    --deal-every $((RANDOM % 2 * 4000)) >"$WORK/fleet.log" 2>&1 &
FLEET=$!
for i in $(seq $COUNT); do
	settings "$i" >"$WORK/node-$i.ini"
	start "$i"
done
sleep 3
load &
LOAD=$!
END=$((SECONDS + SECONDS_LONG))
while [ $SECONDS -lt $END ]; do
	i=$((RANDOM % COUNT + 1))
	case $((RANDOM % 5)) in
	0) restart "$i" ;;
	1) kill -STOP "${PID[$i]}" 2>/dev/null ;;
	2) kill -CONT "${PID[$i]}" 2>/dev/null ;;
	3) kill -TERM "${PID[$i]}" 2>/dev/null ;;
	4) for k in $(seq $COUNT); do
		kill -CONT "${PID[$k]}" 2>/dev/null
		kill -0 "${PID[$k]}" 2>/dev/null || restart "$k"
	   done ;;
	esac
	sleep 0.$((RANDOM % 9 + 1))
done
touch "$WORK/stop"
wait $LOAD
LOAD=
# Processes that are stopping now end within this time, and start again.
sleep 3
for i in $(seq $COUNT); do
	kill -CONT "${PID[$i]}" 2>/dev/null
	kill -0 "${PID[$i]}" 2>/dev/null || restart "$i"
done

bad=0
last=$((SECONDS + SETTLE_S))
for id in $(cat "$WORK/accepted"); do
	got=$(state "$id")
	while [ "$got" != completed ] && [ "$got" != canceled ] \
	    && [ $SECONDS -lt $last ]; do
		sleep 0.2
		got=$(state "$id")
	done
	# A cancel without an answer may have been carried out or not.
	want=completed
	grep -q "$id" "$WORK/asked" && [ "$got" = canceled ] && want=canceled
	grep -q "$id" "$WORK/cancelled" && want=canceled
	if [ "$got" != "$want" ]; then
		echo "soak: seed $SEED: accepted job $id is $got"
		bad=$((bad + 1))
	fi
done
curl -s -m 4 "http://$STORE/audit" >"$WORK/audit"
broken=$(jq .broken "$WORK/audit")
[ "$broken" = 0 ] || jq -r '.reports[]' "$WORK/audit"
echo "soak: seed $SEED: $(wc -l <"$WORK/accepted") accepted," \
    "$(wc -l <"$WORK/cancelled") cancelled," \
    "$(jq -c 'del(.reports)' "$WORK/audit"), $bad jobs wrong"
[ "$broken" = 0 ] && [ $bad = 0 ] && [ -s "$WORK/accepted" ]
