/** @file
 * Runs whose start or stop has not been settled: neither the worker's answer
 * nor its lists have told what became of it.
 */
#include "shard/shard_private.h"

#define LOG_AFTER (3 * USEC_PER_SEC)
/* Shortest interval between two lines on a run. */
#define LOG_INTERVAL (5 * USEC_PER_SEC)
/* Most lines of one call. */
#define MAX_LINES 8U

static void log_run (usec_t now, const run_t *run, const worker_t *worker);

void
unsettled_count (shard_t *shard, usec_t now, unsettled_t *counts)
{
  uint32_t lines = 0;

  *counts = (unsettled_t){ 0 };
  for (handle_t h = table_next (shard->runs, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->runs, h))
    {
      run_t *run = run_get (shard, h);

      if (!run->unsettled_since)
        continue;
      counts->starting += !run->stop_requested;
      counts->stopping += run->stop_requested;
      counts->oldest = MAX (counts->oldest, now - run->unsettled_since);
      if (now - run->unsettled_since < LOG_AFTER
          || now < run->unsettled_log_due || lines == MAX_LINES)
        continue;
      lines++;
      run->unsettled_log_due = now + LOG_INTERVAL;
      log_run (now, run, worker_get (shard, run->worker));
    }
  counter_set (COUNTER_RUNS_UNSETTLED, counts->starting + counts->stopping);
}

static void
log_run (usec_t now, const run_t *run, const worker_t *worker)
{
  char text[64];

  log_line (LOG_LEVEL_NOTICE, "run.unsettled", worker->address,
            "task=%s run=%u worker=%s state=%d stopping=%d for_ms=%" PRId64
            " stops_answered=%u stops_unanswered=%u confirmed_ms_ago=%" PRId64
            " lists_missed=%u listed_ms_ago=%" PRId64 " in_doubt=%d",
            run_format_id (&run->run_id, text), run->run_id.run, worker->id,
            (int)run->state, run->stop_requested,
            usec_to_msec (now - run->unsettled_since), run->stops_answered,
            run->stops_unanswered,
            run->acknowledged_at ? usec_to_msec (now - run->acknowledged_at)
                                 : -1,
            run->lists_missed, usec_to_msec (now - worker->last_answer),
            worker->in_doubt);
}
