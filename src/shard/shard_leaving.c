/** @file
 * Runs on workers that are leaving.  They are stopped before their worker ends
 * with them: a stop saves a checkpoint, and the task can be started elsewhere
 * at once, while after a silent end it waits until the leases have expired.
 */
#include "shard/shard_private.h"

/* From the decision to stop a run until its end is listed, in addition to the
   time that stopping takes: two calls, and the delay with which the notice was
   read. */
#define MOVE_MARGIN (600 * USEC_PER_MSEC)

static bool is_movable (const run_t *run);
static bool is_long_running (const shard_t *shard, const run_t *run);

usec_t
leaving_tick (shard_t *shard, usec_t now, handle_t handle)
{
  const worker_t *worker = worker_get (shard, handle);
  usec_t move_at = worker->leaves_at - shard->config.stop_limit - MOVE_MARGIN;
  GArray *runs;

  if (!worker->leaving || !worker->listed || worker->in_doubt
      || shard->quiesced || !worker->runs->len)
    return INT64_MAX;
  runs = g_array_copy (worker->runs);
  for (guint i = 0; i < runs->len; i++)
    {
      handle_t h = g_array_index (runs, handle_t, i);
      const run_t *run = run_get (shard, h);

      if (run && is_movable (run)
          && (now >= move_at || is_long_running (shard, run)))
        run_stop (shard, now, h, "its worker is leaving");
    }
  g_array_free (runs, TRUE);
  return now < move_at ? move_at : INT64_MAX;
}

/* A run that a former owner placed is not stopped before its worker has listed
   it. */
static bool
is_movable (const run_t *run)
{
  return !run->stop_requested && run->state != RUN_ADOPTED;
}

/* A long-running task loses the same time whenever it is moved; others may be
   done before their worker leaves. */
static bool
is_long_running (const shard_t *shard, const run_t *run)
{
  const job_t *job = shard_entry (shard, run->run_id.job)->job;

  return job->submission->steps[run->run_id.step].long_running;
}
