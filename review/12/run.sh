#!/bin/bash
# Two workers of 24 fail all that they start, for 6.5 s.  Each job is a
# gang of 24 tasks, one on each worker.  A job may be shown as failed once its
# gang has failed twice (attempts).  TROUBLE=0 has no worker fail.
. "$(dirname "$0")/../lib-3.sh"
RECORD=$HERE/record.txt
GREY=2
[ "${TROUBLE:-1}" = 0 ] && GREY=0
start_site workers=24 seconds=16 settle=15 jobs_per_s=1 tasks=24 task_cpu=2000 \
    apart=1 task_ms_least=200 task_ms_most=800 seed="${SEED:-1}" gang_every=1 \
    grey=$GREY grey_ms=6500
start_nodes
wait "$SITE_PID"
code=$?
SITE_PID=
cat "$WORK/report"
[ $code = 0 ] || exit 2
grep -q '"completed": [1-9]' "$WORK/report" || exit 2
grep -q 'BROKEN LOST' "$RECORD" && exit 1
exit 0
