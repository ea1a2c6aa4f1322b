/** @file
 * Order of the steps with waiting tasks.
 *
 * Steps that can still meet the objective come before late ones.  Within
 * these they are ordered by priority, then jobs that have started come first,
 * then by the latest time to start.
 */
#include "shard/shard_private.h"

/* Time that each remaining task adds to the estimate of a job: a step with
   many tasks waits for the last of its workers. */
#define SLACK_PER_TASK_MS 20

static void add_candidates (job_entry_t *entry, int64_t wall_ms, GArray *out);
static uint64_t tasks_left (const submission_t *order,
                            const occurrence_t *occurrence);
static bool mostly_done (const submission_t *order,
                         const occurrence_t *occurrence);
static gint compare_candidates (gconstpointer left, gconstpointer right);

GArray *
order_candidates (const shard_t *shard)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  int64_t wall = shard->ops->wall_ms (shard->ctx);

  for (GList *l = shard->open_jobs->head; l; l = l->next)
    {
      const job_t *job = l->data;

      add_candidates (shard_entry (shard, job->id), wall, candidates);
    }
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

static void
add_candidates (job_entry_t *entry, int64_t wall_ms, GArray *out)
{
  const job_t *job = entry->job;
  const submission_t *order = job->submission;

  for (guint k = 0; k < job->occurrences->len; k++)
    {
      occurrence_t *occurrence = job->occurrences->pdata[k];
      int64_t due = 0;
      int64_t left = 0;

      for (uint32_t s = 0; s < order->step_count; s++)
        {
          candidate_t c
              = { .entry = entry, .occurrence = occurrence, .step = s };

          if (occurrence->unfinished[s] == occurrence->placed[s]
              || !step_is_ready (job, occurrence, s))
            continue;
          if (!due)
            {
              due = occurrence->due_ms
                    + (int64_t)job_critical_path_ms (job, NULL)
                          * order->stretch_percent / 100
                    + order->target_ms;
              left = (int64_t)job_critical_path_ms (job, occurrence);
            }
          c.start_by_ms
              = due - left
                - (int64_t)tasks_left (order, occurrence) * SLACK_PER_TASK_MS;
          c.late = !order->steps[s].long_running && wall_ms + left > due
                   && !mostly_done (order, occurrence);
          c.job_started = job->started && !order->steps[s].long_running;
          c.priority = order->priority;
          c.image = interference_image_id (order->steps[s].image);
          g_array_append_val (out, c);
        }
    }
}

static uint64_t
tasks_left (const submission_t *order, const occurrence_t *occurrence)
{
  uint64_t left = 0;

  for (uint32_t s = 0; s < order->step_count; s++)
    left += occurrence->unfinished[s];
  return left;
}

/* @return whether half of the tasks are done.  Such an occurrence does not
   count as late: when workers are scarce, large jobs are late more often than
   small ones, and otherwise none of them would be finished. */
static bool
mostly_done (const submission_t *order, const occurrence_t *occurrence)
{
  uint64_t all = 0;

  for (uint32_t s = 0; s < order->step_count; s++)
    all += order->steps[s].count;
  return 2 * tasks_left (order, occurrence) <= all;
}

static gint
compare_candidates (gconstpointer left, gconstpointer right)
{
  const candidate_t *a = left;
  const candidate_t *b = right;

  if (a->late != b->late)
    return a->late ? 1 : -1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  /* Started jobs come first: if all jobs advanced in turn while workers are
     scarce, all of them would be late. */
  if (a->job_started != b->job_started)
    return a->job_started ? -1 : 1;
  if (a->start_by_ms != b->start_by_ms)
    return a->start_by_ms < b->start_by_ms ? -1 : 1;
  return 0;
}
