#!/bin/bash
# The operator moves a queue to another service, and the minions of the old
# service leave.  A job that lasts, accepted before, never runs again, though
# the new service is idle.  Writes what was sent, answered and run to record.txt
# in this folder.  TROUBLE=0: the queue stays where it is, and the minions too.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/10
. review/lib-2.sh

# 46 minions of service t, 3 of service s; those of s leave.
start_platform a:3:s,a:44:t
start_nodes
WATCH=/q1/00000000000d0001
code=$(call 2 one.example POST $WATCH '{"spec":"lasts","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":300,"long_running":true}]}')
[ "$code" = 200 ] || cannot "the job is not taken: $code"
await_state 3 one.example $WATCH running 20 || cannot "the job does not run"
sleep 2
if [ "$TROUBLE" = 1 ]; then
	control '/config?service=t'
	sleep 5
	for minion in 0 1 2; do
		control "/drain?minion=i-$minion&for_ms=4000&down_ms=600000"
	done
fi
sleep 30

shown=$(state 4 one.example $WATCH)
# Runs that have begun and not ended.
at_work=$(awk -F'"' '$6 == "start" && $14 ~ /^00000000000d0001/ { n++ }
    ($6 == "end" || $6 == "gone") && $14 ~ /^00000000000d0001/ { n-- }
    END { print n + 0 }' "$WORK/minions")
moved=$(grep -c '"event":"start","minion":"i-[0-9]*","task":"00000000000d0001' "$WORK/minions")
note "shown as $shown, tasks at work: $at_work of 2, starts in all: $moved"
[ "$shown" = running ] || cannot "the job is shown as $shown"
[ "$at_work" = 2 ] ||
    broken "LOST: $at_work of 2 tasks that last run, 20 s after the minions of the old service left"
verdict
