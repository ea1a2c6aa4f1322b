/** @file
 * Tasks that crash their workers.
 *
 * A task is suspected if its worker crashes soon after it has started the
 * task.  The count of such crashes is part of the job's record, which is
 * stored before the next start, so that a successor knows it.  Suspects are
 * kept apart, so that the next crash tells which of them is the cause, and are
 * cleared once a run lives on.  The job of a task that is the only cause left
 * is failed.
 */
#include "shard/shard_private.h"

/* A task that crashes its worker does so within this time of its start.  It
   covers the time until the owner notices. */
#define CRASH_WINDOW (USEC_PER_SEC)
/* Workers that crash within this time may have a common cause.  A task that is
   started again takes longer to crash the next one. */
#define SAME_MOMENT (300 * USEC_PER_MSEC)
/* Longest time from the first call that fails at a crashed worker to the first
   one that it refuses.  One that is silent for longer has lost its power or
   its link. */
#define REFUSAL_DELAY (USEC_PER_SEC)
/* Crashes from which on a task is the likely cause of the next one. */
#define CRASHES_OF_STRONG_SUSPECT 2U
/* Crashes after which a task is given up, if no task of another job that had
   just started as well has been in as many. */
#define CRASHES_BEFORE_GIVING_UP 3U
/* The same in any case: callers may rely on fewer than three starts after
   three crashes. */
#define MAX_CRASHES 5U
/* Larger than the preference for a rack, smaller than the avoidance of a
   worker on which the task failed. */
#define SCORE_OF_OTHER_SUSPECT (1LL << 35)
#define SCORE_OF_YOUNG_RUN (1LL << 34)
/* Larger than any score for load: the runs that a crash would take along. */
#define SCORE_PER_RUN_AT_RISK 10000

static bool is_crash (const shard_t *shard, const worker_t *worker,
                      usec_t now);
static bool has_stopped (const worker_t *worker);
static bool has_common_cause (const shard_t *shard, const worker_t *worker);
static bool crashed_with (const worker_t *worker, const worker_t *other);
static bool crashed_without_start (const shard_t *shard,
                                   const worker_t *worker);
static bool is_suspect (const shard_t *shard, const worker_t *worker,
                        const run_t *run);
static usec_t latest_start (const run_t *run);
static usec_t earliest_crash (const shard_t *shard, const worker_t *worker);
static task_t *task_of_run (const shard_t *shard, const run_t *run);
static void count_crash (shard_t *shard, const worker_t *worker);
static bool has_equal_suspect (const shard_t *shard, const worker_t *worker,
                               const run_t *run);
static void note_suspect (shard_t *shard, const worker_t *worker,
                          const run_t *run, GArray *given_up);

GArray *
crashes_note (shard_t *shard, usec_t now, handle_t handle)
{
  worker_t *worker = worker_get (shard, handle);
  GArray *given_up = g_array_new (FALSE, FALSE, sizeof (job_id_t));

  if (!is_crash (shard, worker, now)
      || worker->crash_noted == worker->in_doubt_since)
    return given_up;
  worker->crash_without_start = crashed_without_start (shard, worker);
  worker->crash_noted = worker->in_doubt_since;
  if (worker->crash_without_start)
    return given_up;
  if (has_common_cause (shard, worker))
    {
      log_line (LOG_LEVEL_NOTICE, "crash.common", worker->address,
                "worker=%s rack=%s runs=%u other workers crashed with it",
                worker->id, worker->rack, worker->runs->len);
      return given_up;
    }
  count_crash (shard, worker);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (is_suspect (shard, worker, run))
        note_suspect (shard, worker, run, given_up);
    }
  return given_up;
}

void
crashes_give_up (shard_t *shard, usec_t now, GArray *given_up)
{
  for (guint i = 0; i < given_up->len; i++)
    {
      job_entry_t *entry
          = shard_entry (shard, g_array_index (given_up, job_id_t, i));

      if (entry && entry->job && entry->job->end_status == JOB_QUEUED)
        shard_end_job (shard, now, entry, JOB_FAILED);
    }
  g_array_free (given_up, TRUE);
}

void
crashes_worker_lost (shard_t *shard, usec_t now, handle_t worker,
                     const char *why)
{
  GArray *given_up = crashes_note (shard, now, worker);

  run_requeue_all (shard, now, worker, why);
  crashes_give_up (shard, now, given_up);
}

/* The life of a run is measured on the worker's clock: the owner may read a
   list long after the worker has sent it. */
void
crashes_run_listed (shard_t *shard, int64_t clock_ms, run_t *run, task_t *task)
{
  if (!run->first_listed_ms)
    run->first_listed_ms = clock_ms;
  if (clock_ms - run->first_listed_ms < usec_to_msec (CRASH_WINDOW))
    return;
  run->lived = true;
  crashes_run_settled (worker_get (shard, run->worker), run);
  if (!task->crashes)
    return;
  task->crashes = 0;
  shard_mark_dirty (shard, shard_entry (shard, run->run_id.job));
}

suspicion_t
crashes_suspicion (const task_t *task)
{
  if (task->crashes >= CRASHES_OF_STRONG_SUSPECT)
    return SUSPICION_STRONG;
  return task->crashes ? SUSPICION_WEAK : SUSPICION_NONE;
}

void
crashes_run_placed (worker_t *worker, run_t *run, const task_t *task)
{
  run->suspicion = crashes_suspicion (task);
  run->unproven = true;
  for (uint32_t i = 0; i <= (uint32_t)run->suspicion; i++)
    worker->unproven[i]++;
}

void
crashes_run_settled (worker_t *worker, run_t *run)
{
  for (uint32_t i = 0; run->unproven && i <= (uint32_t)run->suspicion; i++)
    worker->unproven[i]--;
  run->unproven = false;
}

/* Nothing is started beside a strong suspect, so that a crash is not blamed on
   the wrong task, until its run is known to have lived on. */
bool
crashes_keep_apart (const worker_t *worker, const task_t *task)
{
  return worker->unproven[crashes_suspicion (task) == SUSPICION_STRONG
                              ? SUSPICION_WEAK
                              : SUSPICION_STRONG]
         != 0;
}

int64_t
crashes_score (const worker_t *worker, const task_t *task)
{
  if (crashes_suspicion (task) == SUSPICION_NONE)
    return 0;
  return (worker->unproven[SUSPICION_WEAK] ? SCORE_OF_OTHER_SUSPECT : 0)
         + (worker->unproven[SUSPICION_NONE] ? SCORE_OF_YOUNG_RUN : 0)
         + (int64_t)worker->runs->len * SCORE_PER_RUN_AT_RISK;
}

/* A process that has ended refuses connections; where power or the link is
   lost, calls are not answered.  A new owner does not know how a worker ended
   that has never answered it. */
static bool
is_crash (const shard_t *shard, const worker_t *worker, usec_t now)
{
  usec_t first_refusal = worker->refused_holds ? worker->refused_since : now;
  bool was_silent = worker->last_answer != shard->owned_since
                    && first_refusal - worker->in_doubt_since > REFUSAL_DELAY;

  return !has_stopped (worker) && !was_silent;
}

/* @return whether the worker has ended as planned.  A notice to leave that was
   read after the worker fell silent does not count. */
static bool
has_stopped (const worker_t *worker)
{
  return worker->leaving && worker->leaving_known_at <= worker->in_doubt_since;
}

/* @return whether the whole rack crashed at the same moment, or a worker on
   which nothing had just started */
static bool
has_common_cause (const shard_t *shard, const worker_t *worker)
{
  bool in_rack = false;
  bool rack_works = false;

  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *other = worker_get (shard, h);
      bool together = crashed_with (worker, other);

      if (other == worker || !other->listed)
        continue;
      /* It is not known when a worker went down that has not answered this
         owner. */
      if (together && other->fenced && crashed_without_start (shard, other))
        return true;
      if (strcmp (other->rack, worker->rack) == 0)
        {
          in_rack = true;
          rack_works |= !together;
        }
    }
  return in_rack && !rack_works;
}

static bool
crashed_with (const worker_t *worker, const worker_t *other)
{
  usec_t apart = other->in_doubt_since - worker->in_doubt_since;
  bool crashed
      = (other->in_doubt && other->refused_holds)
        || (other->crash_noted && other->crash_noted == other->in_doubt_since);

  return crashed && !has_stopped (other) && apart <= SAME_MOMENT
         && apart >= -SAME_MOMENT;
}

/* @return whether a crash of the worker has another cause than a task.  Its
   runs are gone once the crash is noted. */
static bool
crashed_without_start (const shard_t *shard, const worker_t *worker)
{
  if (worker->crash_noted && worker->crash_noted == worker->in_doubt_since)
    return worker->crash_without_start;
  for (guint i = 0; i < worker->runs->len; i++)
    if (is_suspect (
            shard, worker,
            run_get (shard, g_array_index (worker->runs, handle_t, i))))
      return false;
  return true;
}

/* @return whether the worker may have been executing the start of the run when
   it crashed.  A start without an answer may be executed late, and one that is
   refused may repeat one that was executed. */
static bool
is_suspect (const shard_t *shard, const worker_t *worker, const run_t *run)
{
  if (run->lived)
    return false;
  if (run->state == RUN_ACKNOWLEDGED || run->state == RUN_ADOPTED)
    return earliest_crash (shard, worker) - latest_start (run) < CRASH_WINDOW;
  return run->start_sent;
}

/* A start that was not answered at first may have been executed at any time
   until the worker was known to have the run. */
static usec_t
latest_start (const run_t *run)
{
  return run->start_unanswered ? MAX (run->started_at, run->accepted_at)
                               : run->started_at;
}

/* Holds are answered at least every POLL_IDLE.  If the latest answer is older,
   the owner did not notice the crash at once: it was paused or cut off. */
static usec_t
earliest_crash (const shard_t *shard, const worker_t *worker)
{
  return worker->in_doubt_since - worker->last_answer > shard->config.poll_idle
             ? worker->last_answer
             : worker->in_doubt_since;
}

static task_t *
task_of_run (const shard_t *shard, const run_t *run)
{
  return job_task (shard_entry (shard, run->run_id.job)->job,
                   run->run_id.occurrence, run->run_id.step,
                   run->run_id.index);
}

/* Counts the crash against all suspects, or only against strong ones. */
static void
count_crash (shard_t *shard, const worker_t *worker)
{
  uint32_t at_least = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (is_suspect (shard, worker, run)
          && task_of_run (shard, run)->crashes >= CRASHES_OF_STRONG_SUSPECT)
        at_least = CRASHES_OF_STRONG_SUSPECT;
    }
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (is_suspect (shard, worker, run)
          && task_of_run (shard, run)->crashes >= at_least)
        task_of_run (shard, run)->crashes++;
    }
}

static bool
has_equal_suspect (const shard_t *shard, const worker_t *worker,
                   const run_t *run)
{
  uint32_t crashes = task_of_run (shard, run)->crashes;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *other
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (other->run_id.job != run->run_id.job
          && is_suspect (shard, worker, other)
          && task_of_run (shard, other)->crashes >= crashes)
        return true;
    }
  return false;
}

static void
note_suspect (shard_t *shard, const worker_t *worker, const run_t *run,
              GArray *given_up)
{
  uint32_t crashes = task_of_run (shard, run)->crashes;
  bool equal = has_equal_suspect (shard, worker, run);
  bool gives_up = crashes >= (equal ? MAX_CRASHES : CRASHES_BEFORE_GIVING_UP);
  char text[64];

  counter_add (COUNTER_CRASH_SUSPECTS, 1);
  log_item (gives_up ? LOG_LEVEL_NOTICE : LOG_LEVEL_INFO, run->run_id.job,
            gives_up ? "task.given_up" : "task.suspected", worker->address,
            "task=%s run=%u worker=%s crashes=%u other_suspects=%d"
            " started_ms_before=%" PRId64,
            run_format_id (&run->run_id, text), run->run_id.run, worker->id,
            crashes, equal,
            usec_to_msec (worker->in_doubt_since - run->started_at));
  if (!gives_up)
    return;
  counter_add (COUNTER_TASKS_GIVEN_UP, 1);
  g_array_append_val (given_up, run->run_id.job);
}
