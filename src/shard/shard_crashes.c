/** @file
 * Tasks that crash their workers.
 *
 * A task is suspected if its worker crashes soon after it has started the
 * task.  The count of such crashes is part of the job's record, which is
 * stored before the next start, so that a successor knows it.  Suspects are
 * kept apart, so that the next crash tells which of them is the cause, and are
 * cleared once a run lives on.  The job of a task that is the only cause left
 * is failed.
 *
 * Whether a crash is counted depends on how and when it was noticed.  A second
 * count does not: that of the consecutive runs that were lost with their
 * worker before a list had shown them to live on.  By itself it proves nothing
 * and fails no job, but from some losses on the task is kept apart as well and
 * started at growing intervals, so that the next runs show whether it is the
 * cause.
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
/* Losses from which on a task is suspected without a crash that counts. */
#define LOSSES_OF_SUSPECT 2U
/* Crashes or losses from which on a task is the likely cause of the next
   one. */
#define CRASHES_OF_STRONG_SUSPECT 2U
#define LOSSES_OF_STRONG_SUSPECT 3U
/* Crashes after which a task is given up, if no task of another job had just
   started as well at the last one. */
#define CRASHES_BEFORE_GIVING_UP 3U
/* The same for a task that has lost more runs. */
#define CRASHES_OF_REPEATED_LOSS 2U
#define LOSSES_BEFORE_GIVING_UP 4U
/* The same even if there was such a task: callers may rely on fewer than three
   starts after three crashes. */
#define MAX_LOSSES 5U
/* Delay of the next start of a strong suspect, so that it does not fall into
   the same series of crashes.  Each further loss doubles it, up to 2 s: users
   take a job for lost that has no run for 3 s while there is room. */
#define FIRST_DELAY (500 * USEC_PER_MSEC)
#define MAX_DOUBLINGS 2U
/* Larger than the preference for a rack, smaller than the avoidance of a
   worker on which the task failed. */
#define SCORE_OF_OTHER_SUSPECT (1LL << 35)
#define SCORE_OF_YOUNG_RUN (1LL << 34)
/* Larger than any score for load: the runs that a crash would take along. */
#define SCORE_PER_RUN_AT_RISK 10000

static bool was_silent (const shard_t *shard, const worker_t *worker,
                        usec_t now);
static bool has_stopped (const worker_t *worker);
static bool has_common_cause (const shard_t *shard, usec_t now,
                              const worker_t *worker);
static bool crashed_with (const worker_t *worker, const worker_t *other);
static bool crashed_without_start (const shard_t *shard, usec_t now,
                                   const worker_t *worker);
static bool is_suspect (const shard_t *shard, usec_t now,
                        const worker_t *worker, const run_t *run);
static bool has_started (const run_t *run);
static bool is_alone (const worker_t *worker, const run_t *run);
static usec_t latest_start (const run_t *run);
static usec_t earliest_crash (const shard_t *shard, const worker_t *worker);
static task_t *task_of_run (const shard_t *shard, const run_t *run);
static GArray *find_suspects (const shard_t *shard, usec_t now,
                              const worker_t *worker);
static void count_crash (const shard_t *shard, const GArray *suspects);
static void count_losses (shard_t *shard, usec_t now, const worker_t *worker);
static bool has_other_suspect (const GArray *suspects, const run_t *run);
static bool is_to_be_given_up (const task_t *task, bool others);
static void note_suspect (const shard_t *shard, const worker_t *worker,
                          const run_t *run, bool others, GArray *given_up);

GArray *
crashes_note (shard_t *shard, usec_t now, handle_t handle)
{
  worker_t *worker = worker_get (shard, handle);
  GArray *given_up = g_array_new (FALSE, FALSE, sizeof (job_id_t));
  GArray *suspects;

  if (has_stopped (worker) || worker->crash_noted == worker->in_doubt_since)
    return given_up;
  worker->crash_was_silent = was_silent (shard, worker, now);
  worker->crashed_after = worker->last_answer;
  suspects = find_suspects (shard, now, worker);
  worker->crash_without_start = !suspects->len;
  worker->crash_noted = worker->in_doubt_since;
  if (suspects->len && has_common_cause (shard, now, worker))
    {
      log_line (LOG_LEVEL_NOTICE, "crash.common", worker->address,
                "worker=%s rack=%s runs=%u other workers crashed with it",
                worker->id, worker->rack, worker->runs->len);
      g_array_set_size (suspects, 0);
    }
  count_crash (shard, suspects);
  count_losses (shard, now, worker);
  for (guint i = 0; i < suspects->len; i++)
    {
      const run_t *run = g_array_index (suspects, run_t *, i);

      note_suspect (shard, worker, run, has_other_suspect (suspects, run),
                    given_up);
    }
  g_array_free (suspects, TRUE);
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

/* A worker without power or link is not known to have crashed, only its runs
   to be lost. */
void
crashes_leases_expired (shard_t *shard, usec_t now, handle_t handle)
{
  const worker_t *worker = worker_get (shard, handle);

  if (!has_stopped (worker))
    count_losses (shard, now, worker);
  run_requeue_all (shard, now, handle, "lease expired");
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
  if (!task->crashes && !task->losses)
    return;
  task->crashes = 0;
  task->losses = 0;
  shard_mark_dirty (shard, shard_entry (shard, run->run_id.job));
}

suspicion_t
crashes_suspicion (const task_t *task)
{
  if (task->crashes >= CRASHES_OF_STRONG_SUSPECT
      || task->losses >= LOSSES_OF_STRONG_SUSPECT)
    return SUSPICION_STRONG;
  return task->crashes || task->losses >= LOSSES_OF_SUSPECT ? SUSPICION_WEAK
                                                            : SUSPICION_NONE;
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

bool
crashes_delay (usec_t now, const task_t *task)
{
  return now < task->start_after;
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
was_silent (const shard_t *shard, const worker_t *worker, usec_t now)
{
  usec_t first_refusal = worker->refused_holds ? worker->refused_since : now;

  return worker->last_answer != shard->owned_since
         && first_refusal - worker->in_doubt_since > REFUSAL_DELAY;
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
has_common_cause (const shard_t *shard, usec_t now, const worker_t *worker)
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
      if (together && other->fenced
          && crashed_without_start (shard, now, other))
        return true;
      if (strcmp (other->rack, worker->rack) == 0)
        {
          in_rack = true;
          rack_works |= !together;
        }
    }
  return in_rack && !rack_works;
}

/* The moment of a crash is known if calls were refused.  Where they were not
   answered, it lies between the last answer and the first call that failed. */
static bool
crashed_with (const worker_t *worker, const worker_t *other)
{
  bool noted
      = other->crash_noted && other->crash_noted == other->in_doubt_since;
  usec_t after = noted ? other->crashed_after : other->last_answer;
  usec_t apart = other->in_doubt_since - worker->in_doubt_since;

  if (has_stopped (other) || !(noted || other->in_doubt))
    return false;
  if (worker->crash_was_silent)
    return MAX (after, worker->crashed_after)
           <= MIN (other->in_doubt_since, worker->in_doubt_since)
                  + SAME_MOMENT;
  return (noted ? !other->crash_was_silent : other->refused_holds != 0)
         && apart <= SAME_MOMENT && apart >= -SAME_MOMENT;
}

/* @return whether a crash of the worker has another cause than a task.  Its
   runs are gone once the crash is noted. */
static bool
crashed_without_start (const shard_t *shard, usec_t now,
                       const worker_t *worker)
{
  if (worker->crash_noted && worker->crash_noted == worker->in_doubt_since)
    return worker->crash_without_start;
  for (guint i = 0; i < worker->runs->len; i++)
    if (is_suspect (
            shard, now, worker,
            run_get (shard, g_array_index (worker->runs, handle_t, i))))
      return false;
  return true;
}

/* @return whether the worker may have been executing the start of the run when
   it crashed.  A start without an answer may be executed late, and one that is
   refused may repeat one that was executed.  A suspect that was alone in
   having just started needs no further evidence than that its run is not known
   to have lived on. */
static bool
is_suspect (const shard_t *shard, usec_t now, const worker_t *worker,
            const run_t *run)
{
  if (run->lost || run->lived || run->loss_counted || !has_started (run))
    return false;
  if (is_alone (worker, run))
    return true;
  if (was_silent (shard, worker, now))
    return false;
  return (run->state != RUN_ACKNOWLEDGED && run->state != RUN_ADOPTED)
         || earliest_crash (shard, worker) - latest_start (run) < CRASH_WINDOW;
}

/* @return whether the worker may have got a start of the run */
static bool
has_started (const run_t *run)
{
  return run->state == RUN_ACKNOWLEDGED || run->state == RUN_ADOPTED
         || run->start_sent;
}

/* @return whether the run is of a suspect and the only one that may have
   caused a crash */
static bool
is_alone (const worker_t *worker, const run_t *run)
{
  return run->suspicion == SUSPICION_STRONG
         || (run->suspicion == SUSPICION_WEAK
             && worker->unproven[SUSPICION_NONE] == 1);
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
  return run_task (shard, run);
}

/* @return rows of run_t *, the suspects of a crash of the worker */
static GArray *
find_suspects (const shard_t *shard, usec_t now, const worker_t *worker)
{
  GArray *suspects = g_array_new (FALSE, FALSE, sizeof (run_t *));

  for (guint i = 0; i < worker->runs->len; i++)
    {
      run_t *run = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (is_suspect (shard, now, worker, run))
        g_array_append_val (suspects, run);
    }
  return suspects;
}

/* Counts the crash against all suspects, or only against strong ones. */
static void
count_crash (const shard_t *shard, const GArray *suspects)
{
  suspicion_t at_least = SUSPICION_NONE;

  for (guint i = 0; i < suspects->len; i++)
    if (crashes_suspicion (
            task_of_run (shard, g_array_index (suspects, run_t *, i)))
        == SUSPICION_STRONG)
      at_least = SUSPICION_STRONG;
  for (guint i = 0; i < suspects->len; i++)
    {
      task_t *task = task_of_run (shard, g_array_index (suspects, run_t *, i));

      if (crashes_suspicion (task) >= at_least)
        task->crashes++;
    }
}

static void
count_losses (shard_t *shard, usec_t now, const worker_t *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      run_t *run = run_get (shard, g_array_index (worker->runs, handle_t, i));
      task_t *task = task_of_run (shard, run);

      if (run->lost || run->lived || run->loss_counted || !has_started (run))
        continue;
      run->loss_counted = true;
      task->losses++;
      if (task->losses >= LOSSES_OF_STRONG_SUSPECT)
        task->start_after
            = now
              + (FIRST_DELAY << MIN (task->losses - LOSSES_OF_STRONG_SUSPECT,
                                     MAX_DOUBLINGS));
      shard_mark_dirty (shard, shard_entry (shard, run->run_id.job));
    }
}

/* @return whether a task of another job may have caused the crash.  One that
   has not been in a crash before may do so now. */
static bool
has_other_suspect (const GArray *suspects, const run_t *run)
{
  for (guint i = 0; i < suspects->len; i++)
    {
      const run_t *other = g_array_index (suspects, run_t *, i);

      if (other->run_id.job != run->run_id.job)
        return true;
    }
  return false;
}

/* @param others tasks of other jobs may have caused the last crash */
static bool
is_to_be_given_up (const task_t *task, bool others)
{
  if (task->crashes >= CRASHES_BEFORE_GIVING_UP)
    return !others || task->losses >= MAX_LOSSES;
  return task->crashes >= CRASHES_OF_REPEATED_LOSS
         && task->losses >= LOSSES_BEFORE_GIVING_UP && !others;
}

static void
note_suspect (const shard_t *shard, const worker_t *worker, const run_t *run,
              bool others, GArray *given_up)
{
  const task_t *task = task_of_run (shard, run);
  bool gives_up = is_to_be_given_up (task, others);
  char text[64];

  counter_add (COUNTER_CRASH_SUSPECTS, 1);
  log_item (gives_up ? LOG_LEVEL_NOTICE : LOG_LEVEL_INFO, run->run_id.job,
            gives_up ? "task.given_up" : "task.suspected", worker->address,
            "task=%s run=%u worker=%s crashes=%u losses=%u other_suspects=%d"
            " silent=%d started_ms_before=%" PRId64,
            run_format_id (&run->run_id, text), run->run_id.run, worker->id,
            task->crashes, task->losses, others, worker->crash_was_silent,
            usec_to_msec (worker->in_doubt_since - run->started_at));
  if (!gives_up)
    return;
  counter_add (COUNTER_TASKS_GIVEN_UP, 1);
  g_array_append_val (given_up, run->run_id.job);
}
