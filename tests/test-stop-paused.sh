#!/bin/sh
# Guards against a stopping process that is paused until its time to accept
# requests is over and then ends without reading those that have arrived.  It
# has no store, so that it answers all of them with 503.  It is busy with other
# requests when it is paused, so that it does not wait for events then.
. "$(dirname "$0")/lib.sh"

URL=http://127.0.0.1:$((BASE + 61))/q/
FORMAT='%{exitcode} %{http_code} %{size_download} %header{retry-after}\n'
OPEN=10
NEW=200
BUSY=20000

# request NAME SECONDS URL: sends requests whose bodies follow after the seconds;
# writes a line for each answer.
request() {
	{ sleep "$2"; echo x; } | curl -s -m 20 -X POST -T - -H Expect: \
	    -o /dev/null -w "$FORMAT" "$3" >"$WORK/answers-$1"
}

# Requests in connections that have been accepted before and in new ones.
send_open() {
	for i in $(seq $OPEN); do
		request "$i" 2 "$URL$i" &
		requests="$requests $!"
	done
}
# send_new NAME COUNT AT-ONCE
send_new() {
	curl -s -m 20 -Z --parallel-immediate --parallel-max "$3" -o /dev/null \
	    -w "$FORMAT" "$URL[1-$2]" >"$WORK/answers-$1" 2>"$WORK/progress-$1" &
	requests="$requests $!"
}

schedule_settings >"$WORK/schedule.ini"
start schedule "$LIMPETHINGE" schedule --settings "$WORK/schedule.ini"
pid=$(pid_of schedule)
await 10 curl -s "$URL"
requests=
send_open
sleep 1
kill -TERM "$pid"
await 5 grep -q step=stopping "$WORK/schedule.out"
send_new busy $BUSY 100
sleep 0.3
kill -STOP "$pid"
sleep 2.5
send_new new $NEW $NEW
sleep 1
resumed=$(now_ms)
kill -CONT "$pid"
wait "$pid" || fail "exit status $?"
[ $(($(now_ms) - resumed)) -lt 1000 ] || fail "ends late"
# shellcheck disable=SC2086
wait $requests
rm "$WORK/answers-busy"
answered=$(cat "$WORK"/answers-* | grep -c '^0 503 [1-9][0-9]* 1$')
expect "complete answers" $((OPEN + NEW)) "$answered"
exit $FAILED
