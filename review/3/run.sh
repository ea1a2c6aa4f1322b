#!/bin/bash
# A task is started on a minion without the label that it requires: while the
# store is down, the minion crashes and starts again as one of another kind.
# Exit status: 1 the rule ROUTE was broken, 0 it held, 2 the case could not run.
# With TROUBLE=0 the store stays up and the minion keeps its kind.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

JOB=5c0e7a21d94b36f8
start_site --minions 10 $UNGUARDED
sleep 1

# A task of 3 s on a minion of kind a, then one of 1 s on a minion of kind b.
consumer 1 POST /plate/$JOB '{"spec":"3000 16000","steps":[{"count":1,"cpu":16000,"mem_mb":256,"estimated_ms":3000,"requirements":"a"},{"count":1,"cpu":16000,"mem_mb":256,"estimated_ms":3000,"requirements":"b","depends_on":[0]}]}'
[[ $ANSWER = 200* ]] || give_up "the job was not accepted: $ANSWER"
sleep 1
if [ "$TROUBLE" != 0 ]; then
	stage "store?state=partly"
	sleep 2.3
	stage "down?minion=0"
	sleep 0.5
	stage "up?minion=0&kind=c"
	sleep 1.2
	stage "store?state=up"
fi
sleep 4
if grep -q "start task=$JOB.0.1.0 .*kind=c" "$RECORD"; then
	note "ROUTE: started on a minion without the label in requirements"
	echo "ROUTE: $JOB.0.1.0 requires label b and was started on a minion of kind c"
	exit 1
fi
exit 0
