/** @file
 * Log lines on what keeps steps waiting.
 */
#include "shard/shard_private.h"

/* Users take a job for lost that has no run for 3 s while there is room.  The
   next pass and the start take some time more. */
#define STARVED_AFTER (2 * USEC_PER_SEC)
#define LOG_AFTER (500 * USEC_PER_MSEC)
/* Shortest interval between two lines on a job.  A line looks at all
   workers. */
#define LOG_INTERVAL (2 * USEC_PER_SEC)

/* The workers as a waiting step sees them. */
typedef struct
{
  uint32_t counts[FIT_COUNT];
  /* Capacity of processors left for a task of its kind where it does not fit,
     in millicores: the sum, and the most on one worker. */
  int64_t free;
  int64_t widest;
} outlook_t;

static const task_t *first_waiting (const candidate_t *c);
static uint32_t count_suspects (const candidate_t *c);
static void look_at_workers (shard_t *shard, usec_t now, const candidate_t *c,
                             outlook_t *outlook);

bool
waits_is_starved (usec_t now, const candidate_t *c)
{
  job_entry_t *entry = c->entry;

  if (entry->job->placed)
    entry->idle_since = 0;
  else if (!entry->idle_since)
    entry->idle_since = now;
  return entry->idle_since && now - entry->idle_since >= STARVED_AFTER
         && entry->job->submission->steps[c->step].best_effort;
}

void
waits_note (shard_t *shard, usec_t now, const candidate_t *c)
{
  job_entry_t *entry = c->entry;
  const step_t *step = &entry->job->submission->steps[c->step];
  uint32_t tasks
      = c->occurrence->unfinished[c->step] - c->occurrence->placed[c->step];
  outlook_t outlook = { 0 };

  if (!tasks)
    {
      entry->waits_since = 0;
      return;
    }
  if (!entry->waits_since)
    {
      entry->waits_since = now;
      entry->waits_log_due = now + LOG_AFTER;
    }
  if (now < entry->waits_log_due)
    return;
  entry->waits_log_due = now + LOG_INTERVAL;
  look_at_workers (shard, now, c, &outlook);
  if (outlook.counts[FIT_EVACUATED])
    counter_add (COUNTER_TASKS_KEPT_AWAY, tasks);
  log_item (LOG_LEVEL_INFO, entry->job->id, "step.waits", NULL,
            "job=%s occurrence=%u step_number=%u tasks=%u"
            " waited_ms=%" PRId64 " late=%d fits=%u away=%u evacuated=%u"
            " full=%u excluded=%u disturbed=%u kept=%u"
            " suspected=%u long_running=%d"
            " millicores=%u memory_mb=%u free=%" PRId64 " widest=%" PRId64,
            JOB_ID_TEXT (entry->job->id), c->occurrence->number, c->step,
            tasks, usec_to_msec (now - entry->waits_since), c->late,
            outlook.counts[FIT_OK], outlook.counts[FIT_AWAY],
            outlook.counts[FIT_EVACUATED], outlook.counts[FIT_FULL],
            outlook.counts[FIT_EXCLUDED], outlook.counts[FIT_DISTURBED],
            outlook.counts[FIT_KEPT], count_suspects (c), step->long_running,
            step->millicores, step->memory_mb, outlook.free, outlook.widest);
}

/* @return the first task of the step that waits, NULL for none */
static const task_t *
first_waiting (const candidate_t *c)
{
  const task_t *tasks = c->occurrence->tasks[c->step];

  for (uint32_t i = 0; i < c->entry->job->submission->steps[c->step].count;
       i++)
    if (tasks[i].state == TASK_WAITING)
      return &tasks[i];
  return NULL;
}

/* @return waiting tasks of the step that may have crashed a worker */
static uint32_t
count_suspects (const candidate_t *c)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < c->entry->job->submission->steps[c->step].count;
       i++)
    count += c->occurrence->tasks[c->step][i].state == TASK_WAITING
             && crashes_suspicion (&c->occurrence->tasks[c->step][i])
                    != SUSPICION_NONE;
  return count;
}

static void
look_at_workers (shard_t *shard, usec_t now, const candidate_t *c,
                 outlook_t *outlook)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  const task_t *waiting = first_waiting (c);

  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);
      fit_t fit = worker_fits (shard, now, worker, c);

      if (fit == FIT_OK
          && !sharing_allows (shard, now, worker, step, c->image))
        fit = FIT_DISTURBED;
      if (fit == FIT_OK && waiting
          && !reserve_admits (shard, worker, c, waiting))
        fit = FIT_KEPT;
      outlook->counts[fit]++;
      if (fit == FIT_FULL)
        {
          int64_t left = step->best_effort
                             ? sharing_leftover (worker)
                             : (int64_t)worker->millicores
                                   - (int64_t)worker->used_millicores;

          outlook->free += MAX (left, 0);
          outlook->widest = MAX (outlook->widest, left);
        }
    }
}
