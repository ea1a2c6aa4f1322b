/** @file
 * Placement: order of the waiting tasks and choice of their workers.
 *
 * Steps that can still meet the objective come before late ones.  Within
 * these they are ordered by priority, then jobs that have started come first,
 * then by the latest time to start.
 */
#include "shard/shard_private.h"

/* Score per unit of utilization added to a task with a target.  The load of a
   full worker scores 1000. */
#define SCORE_PER_ADDED_UTILIZATION 4000.0
/* Tasks with a target are packed by image.  Best-effort tasks must suit every
   image on a worker, so that each further image excludes more of them, and a
   worker without tasks with a target takes them all.  A task whose image is on
   no worker with room therefore goes where most images are already. */
#define SCORE_OF_MIXED_IMAGES 1000
#define SCORE_OF_NO_IMAGE 2000
#define SCORE_OF_OTHER_IMAGE 5000
#define SCORE_PER_OTHER_IMAGE (-500)
#define MAX_COUNTED_IMAGES 4U
/* Time that each remaining task adds to the estimate of a job: a step with
   many tasks waits for the last of its workers. */
#define SLACK_PER_TASK_MS 20
/* Larger than any sum of scores for load and images: with its data on another
   rack a task takes several times as long. */
#define SCORE_OF_OTHER_RACK (1LL << 30)
#define SCORE_OF_AVOIDED_WORKER (1LL << 40)

/* A step with waiting tasks whose dependencies are done. */
typedef struct
{
  job_entry_t *entry;
  occurrence_t *occurrence;
  uint32_t step;
  bool late;        /* cannot meet the objective any more */
  bool job_started; /* false for long-running steps */
  uint32_t priority;
  int64_t start_by_ms; /* latest time to start */
  image_id_t image;
} candidate_t;

static void add_candidates (job_entry_t *entry, int64_t wall_ms, GArray *out);
static bool mostly_done (const submission_t *order,
                         const occurrence_t *occurrence);
static uint64_t tasks_left (const submission_t *order,
                            const occurrence_t *occurrence);
static gint compare_candidates (gconstpointer left, gconstpointer right);
static void place_step (shard_t *shard, usec_t now, const candidate_t *c);
static bool place_task (shard_t *shard, usec_t now, const candidate_t *c,
                        uint32_t index);
static void place_gang (shard_t *shard, usec_t now, const candidate_t *c);
static handle_t choose_worker (shard_t *shard, usec_t now,
                               const candidate_t *c, uint32_t index);
static bool is_unplaceable (const shard_t *shard, const candidate_t *c);
static void note_unplaceable (shard_t *shard, const candidate_t *c);
static handle_t choose_best_worker (const shard_t *shard, usec_t now,
                                    const candidate_t *c, uint32_t index,
                                    bool ignore_interference);
static bool worker_fits (const shard_t *shard, usec_t now,
                         const worker_t *worker, const candidate_t *c);
static uint32_t step_runs (const shard_t *shard, const worker_t *worker,
                           const candidate_t *c);
static int64_t score (const shard_t *shard, const worker_t *worker,
                      const candidate_t *c);
static int64_t score_of_images (const shard_t *shard, const worker_t *worker,
                                image_id_t image);
static int64_t score_of_sharing (const shard_t *shard, const worker_t *worker,
                                 const candidate_t *c);
static void undo_gang_placement (shard_t *shard, usec_t now,
                                 const candidate_t *c, uint32_t count);

void
place_all (shard_t *shard, usec_t now)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  int64_t wall = shard->ops->wall_ms (shard->ctx);

  for (GList *l = shard->open_jobs->head; l; l = l->next)
    {
      const job_t *job = l->data;

      add_candidates (shard_entry (shard, job->id), wall, candidates);
    }
  g_array_sort (candidates, compare_candidates);
  g_array_set_size (shard->unplaceable, 0);
  shard->waiting_tasks = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      const candidate_t *c = &g_array_index (candidates, candidate_t, i);

      place_step (shard, now, c);
      shard->waiting_tasks += c->occurrence->unfinished[c->step]
                              - c->occurrence->placed[c->step];
    }
  g_array_free (candidates, TRUE);
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

static void
place_step (shard_t *shard, usec_t now, const candidate_t *c)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];

  if (step->gang)
    {
      place_gang (shard, now, c);
      return;
    }
  for (uint32_t i = 0; i < step->count; i++)
    if (c->occurrence->tasks[c->step][i].state == TASK_WAITING
        && !place_task (shard, now, c, i))
      return;
}

static bool
place_task (shard_t *shard, usec_t now, const candidate_t *c, uint32_t index)
{
  handle_t handle = choose_worker (shard, now, c, index);
  const worker_t *worker = worker_get (shard, handle);
  place_t place;

  if (!worker)
    return false;
  place = (place_t){ worker->id, worker->started_ms, worker->address };
  task_place (c->entry->job, c->occurrence, c->step, index, &place);
  run_add (shard, c->entry->job, c->occurrence, c->step, index, handle,
           RUN_UNSTORED);
  sharing_task_placed (shard, now, worker,
                       &c->entry->job->submission->steps[c->step]);
  shard_mark_dirty (shard, c->entry);
  return true;
}

/* Places all members of a gang or none, with the same run number. */
static void
place_gang (shard_t *shard, usec_t now, const candidate_t *c)
{
  uint32_t count = c->entry->job->submission->steps[c->step].count;
  task_t *tasks = c->occurrence->tasks[c->step];
  uint32_t highest = 0;
  const char *saved = NULL;

  if (c->occurrence->placed[c->step])
    return;
  for (uint32_t i = 0; i < count; i++)
    {
      highest = MAX (highest, tasks[i].run);
      saved = tasks[i].checkpoint ? tasks[i].checkpoint : saved;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      tasks[i].run = highest;
      if (place_task (shard, now, c, i))
        continue;
      tasks[i].run = highest;
      undo_gang_placement (shard, now, c, i);
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    task_set_checkpoint (&tasks[i], saved);
}

/* Undoes the placement of the first COUNT members of a gang.  */
static void
undo_gang_placement (shard_t *shard, usec_t now, const candidate_t *c,
                     uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      run_requeue (shard, now, c->occurrence->tasks[c->step][i].run_handle,
                   "too little capacity for the whole gang");
      c->occurrence->tasks[c->step][i].run--;
    }
  /* The freed capacity may be sufficient for steps that did not fit before. */
  g_array_set_size (shard->unplaceable, 0);
}

/* A task with a target does not wait for a worker without interference:
   best-effort runs beside it are stopped when its tail latency exceeds the
   target. */
static handle_t
choose_worker (shard_t *shard, usec_t now, const candidate_t *c,
               uint32_t index)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  handle_t handle = HANDLE_NONE;

  if (is_unplaceable (shard, c))
    return HANDLE_NONE;
  handle = choose_best_worker (shard, now, c, index, false);
  if (handle == HANDLE_NONE && step->target_latency_ms)
    handle = choose_best_worker (shard, now, c, index, true);
  if (handle == HANDLE_NONE)
    note_unplaceable (shard, c);
  return handle;
}

/* Free capacity only shrinks during a pass: if a step found no worker, then a
   step that needs at least as much finds none either.  This saves passes with
   hundreds of waiting steps from checking every worker for each of them. */
static bool
is_unplaceable (const shard_t *shard, const candidate_t *c)
{
  const submission_t *order = c->entry->job->submission;
  const step_t *step = &order->steps[c->step];

  for (guint i = 0; i < shard->unplaceable->len; i++)
    {
      const unplaceable_t *other
          = &g_array_index (shard->unplaceable, unplaceable_t, i);

      if (step->best_effort == other->step->best_effort
          && step->millicores >= other->step->millicores
          && step->memory_mb >= other->step->memory_mb
          && step->accelerators >= other->step->accelerators
          && step->target_latency_ms == other->step->target_latency_ms
          && g_strcmp0 (step->image, other->step->image) == 0
          && g_strcmp0 (step->required_label, other->step->required_label) == 0
          && strcmp (order->service, other->service) == 0)
        return true;
    }
  return false;
}

/* Remembers that no worker fits the step.  Steps with a limit of tasks per
   worker are left out: they may be unplaceable because of the limit, although
   other steps with the same needs still fit. */
static void
note_unplaceable (shard_t *shard, const candidate_t *c)
{
  const submission_t *order = c->entry->job->submission;
  unplaceable_t unplaceable = { &order->steps[c->step], order->service };

  if (!unplaceable.step->max_per_worker)
    g_array_append_val (shard->unplaceable, unplaceable);
}

static handle_t
choose_best_worker (const shard_t *shard, usec_t now, const candidate_t *c,
                    uint32_t index, bool ignore_interference)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  handle_t avoid = c->occurrence->tasks[c->step][index].avoid;
  handle_t best = HANDLE_NONE;
  int64_t best_score = INT64_MAX;

  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);
      int64_t s;

      if (!worker_fits (shard, now, worker, c))
        continue;
      s = score (shard, worker, c);
      /* Last resort: the worker where the task failed or stalled. */
      if (h == avoid)
        s += SCORE_OF_AVOIDED_WORKER;
      /* The runs on the worker are checked last, since that is the most
         expensive part. */
      if (s >= best_score)
        continue;
      s += score_of_sharing (shard, worker, c);
      if (s >= best_score
          || (!ignore_interference
              && !sharing_allows (shard, now, worker, step, c->image)))
        continue;
      best_score = s;
      best = h;
    }
  return best;
}

static bool
worker_fits (const shard_t *shard, usec_t now, const worker_t *worker,
             const candidate_t *c)
{
  const submission_t *order = c->entry->job->submission;
  const step_t *step = &order->steps[c->step];

  if (!worker->listed || worker->leaving || worker->evacuated
      || !worker->fenced || worker->in_doubt || now < worker->avoid_until)
    return false;
  if (step->best_effort
          ? step->millicores > sharing_leftover (worker)
          : worker->used_millicores + step->millicores > worker->millicores)
    return false;
  if (worker->used_memory_mb + step->memory_mb > worker->memory_mb
      || worker->used_accelerators + step->accelerators > worker->accelerators)
    return false;
  if (strcmp (worker->service, order->service) != 0)
    return false;
  if (step->required_label && strcmp (worker->label, step->required_label) != 0
      && strcmp (worker->rack, step->required_label) != 0)
    return false;
  return !step->max_per_worker
         || step_runs (shard, worker, c) < step->max_per_worker;
}

/* @return number of runs of the step on the worker */
static uint32_t
step_runs (const shard_t *shard, const worker_t *worker, const candidate_t *c)
{
  uint32_t count = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->run_id.job == c->entry->job->id
          && run->run_id.occurrence == c->occurrence->number
          && run->run_id.step == c->step)
        count++;
    }
  return count;
}

/* @return the load of the worker in thousandths of its capacity, plus
   penalties; the worker with the lowest score is chosen */
static int64_t
score (const shard_t *shard, const worker_t *worker, const candidate_t *c)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  int64_t used
      = (int64_t)(worker->used_millicores + worker->best_effort_millicores);
  int64_t result = used * 1000 / MAX (worker->millicores, 1);

  if (step->target_latency_ms)
    result += score_of_images (shard, worker, c->image);
  else if (step->best_effort)
    result = 1000
             - sharing_leftover (worker) * 1000 / MAX (worker->millicores, 1);
  if (step->data_rack && strcmp (step->data_rack, worker->rack) != 0)
    result += SCORE_OF_OTHER_RACK;
  return result;
}

static int64_t
score_of_images (const shard_t *shard, const worker_t *worker,
                 image_id_t image)
{
  bool has;
  uint32_t others = sharing_other_images (shard, worker, image, &has);

  if (has)
    return others ? SCORE_OF_MIXED_IMAGES : 0;
  if (!others)
    return SCORE_OF_NO_IMAGE;
  return SCORE_OF_OTHER_IMAGE
         + (int64_t)MIN (others, MAX_COUNTED_IMAGES) * SCORE_PER_OTHER_IMAGE;
}

static int64_t
score_of_sharing (const shard_t *shard, const worker_t *worker,
                  const candidate_t *c)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];

  if (!step->best_effort)
    return 0;
  return (int64_t)(sharing_cost (shard, worker, step, c->image)
                   * SCORE_PER_ADDED_UTILIZATION);
}
