#!/bin/bash
# A consumer cancels a job and is told that it doesn't exist (410); the job runs
# afterwards.  The process that had the submission was frozen meanwhile.
# Exit status: 1 the rule UNASKED was broken, 0 it held, 2 the case could not
# run.  With TROUBLE=0 nothing is frozen.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
. "$CASE/../lib.sh"

JOB=5c0e7a21d94b36f8
CANCEL_MS=3000
BODY='{"spec":"1000 1000","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimated_ms":1000}]}'
start_site --minions 10
sleep 1

# Neither the process that is frozen nor the one that is asked to cancel owns
# the jobs.
owner=$(http "$STORE_HOST" "$STORE_PORT" GET "/-/log-owners?group=scheduler" |
    grep -o "$NET\.[0-9]*" | head -1)
owner=$((${owner##*.} - 10))
first=$((owner % NODES + 1))
second=$((first % NODES + 1))
note "owner is node-$owner"
if [ "$TROUBLE" != 0 ]; then
	note "node-$first is frozen"
	kill -STOP "${NODE_PIDS[$first]}"
	thaw_at=$(($(date +%s%N) / 1000000 + 3900))
fi
# The consumer leaves after 250 ms.
PATIENCE=0.25 consumer "$first" POST /plate/$JOB "$BODY"
submitted=$ANSWER
consumer "$second" DELETE /plate/$JOB
cancelled_at=$(now)
cancelled=$ANSWER
[[ $cancelled = 200* || $cancelled = 410* ]] || give_up "not cancelled: $cancelled"
if [ "$TROUBLE" != 0 ]; then
	left=$((thaw_at - $(date +%s%N) / 1000000))
	[ $left -gt 0 ] || give_up "the machine is too slow"
	sleep $((left / 1000)).$(printf %03d $((left % 1000)))
	note "node-$first goes on"
	kill -CONT "${NODE_PIDS[$first]}"
fi
sleep 6
consumer "$second" GET /plate/$JOB
late=$(awk -v job="$JOB" -v after="$cancelled_at" -v ms=$CANCEL_MS \
    '/ start task=/ && index($0, job) && $1 > after + ms / 1000' "$RECORD")
note "submitted: ${submitted:-no answer}, cancelled: $cancelled, starts later than $CANCEL_MS ms after that: ${late:-none}"
if [ -n "$late" ]; then
	note "UNASKED: started after the cancelling was acknowledged"
	echo "UNASKED: job $JOB: cancelling answered with ${cancelled%% *}, started later"
	exit 1
fi
exit 0
