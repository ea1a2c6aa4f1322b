#!/bin/sh
# Guards against a process that is ended by a signal which it handles but that
# arrives while it starts, and by a log that nobody reads any more.  The process
# reads its settings from a FIFO, which holds its start up until they are written.
. "$(dirname "$0")/lib.sh"

# started_with NAME SETTINGS SIGNAL: starts the subcommand NAME, sends it the
# signal before it has read its settings, later SIGTERM; it must exit with 0.
started_with() {
	name=$1
	rm -f "$WORK/settings"
	mkfifo "$WORK/settings"
	start "$name" "$LIMPETHINGE" "$name" --settings "$WORK/settings"
	pid=$(pid_of "$name")
	exec 3>"$WORK/settings"
	kill "-$3" "$pid"
	cat "$2" >&3
	exec 3>&-
	stop_starting "$pid" "$name after $3"
}

stop_starting() {
	sleep 0.5
	kill -TERM "$1" 2>/dev/null
	await 10 not_running "$1" || return
	wait "$1" || fail "$2: exit status $?"
}

make_keys
write_settings 1
schedule_settings >"$WORK/schedule.ini"
for signal in HUP TERM; do
	started_with schedule "$WORK/schedule.ini" $signal
	started_with serve "$WORK/node-1.ini" $signal
done
grep -q step=reload "$WORK/serve.err" || fail "serve has not handled SIGHUP"

# The reader of the log ends after the first line.
for name in schedule serve; do
	[ $name = schedule ] && settings=$WORK/schedule.ini || settings=$WORK/node-1.ini
	mkfifo "$WORK/$name.log"
	"$LIMPETHINGE" $name --settings "$settings" >"$WORK/$name.log" 2>&1 &
	pid=$!
	PIDS="$PIDS $pid"
	head -n 1 "$WORK/$name.log" >/dev/null
	stop_starting "$pid" "$name without a reader of its log"
done
exit $FAILED
