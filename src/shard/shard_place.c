/** @file
 * Order of the waiting tasks and choice of their workers.
 *
 * What can still be in time comes before what cannot, then by priority, then
 * what has begun, then by the time by which it has to begin.
 */
#include "shard/shard_private.h"

/* Utilization that is added to a task with a target weighs so many times as
   much as load. */
#define SCORE_OF_ADDED 4000.0
/* Tasks with a target are gathered by image: what disturbs one image may run
   beside another, so that each further image on a worker leaves fewer tasks
   that may run beside it, and workers without any bear everything.  What
   cannot be gathered goes where most images are already.  */
#define SCORE_OF_MIXED 1000
#define SCORE_OF_NO_IMAGE 2000
#define SCORE_OF_OTHER_IMAGE 5000
#define SCORE_OF_MIX (-500)
#define MIX_COUNTED 4U
/* A job needs this much more time for each of its tasks: wide steps wait for
   the last of their workers. */
#define TASK_SHARE_MS 20
/* Data on another rack makes a task several times as long. */
#define SCORE_OF_OTHER_RACK (1LL << 30)
#define SCORE_OF_FAILED_THERE (1LL << 40)

/* A step of a job with tasks that may start.  */
typedef struct
{
  entry_t *entry;
  occurrence_t *o;
  uint32_t step;
  bool late;
  bool begun; /* a task of the job was started */
  uint32_t priority;
  int64_t due_ms; /* by when it has to begin */
  image_id_t image;
} candidate_t;

static void add_candidates (entry_t *entry, int64_t wall_ms, GArray *out);
static bool mostly_done (const submission_t *order, const occurrence_t *o);
static uint64_t tasks_left (const submission_t *order, const occurrence_t *o);
static gint compare (gconstpointer left, gconstpointer right);
static void place_step (shard_t *shard, usec_t now, const candidate_t *c);
static bool place_task (shard_t *shard, usec_t now, const candidate_t *c,
                        uint32_t index);
static void place_gang (shard_t *shard, usec_t now, const candidate_t *c);
static handle_t choose (shard_t *shard, usec_t now, const candidate_t *c,
                        uint32_t index);
static bool is_unplaceable (const shard_t *shard, const candidate_t *c);
static void note_unplaceable (shard_t *shard, const candidate_t *c);
static handle_t choose_among (const shard_t *shard, usec_t now,
                              const candidate_t *c, uint32_t index,
                              bool relaxed);
static bool fits (const shard_t *shard, usec_t now, const worker_t *worker,
                  const candidate_t *c);
static uint32_t step_runs (const shard_t *shard, const worker_t *worker,
                           const candidate_t *c);
static int64_t score (const shard_t *shard, const worker_t *worker,
                      const candidate_t *c);
static int64_t score_of_images (const shard_t *shard, const worker_t *worker,
                                image_id_t image);
static int64_t score_of_sharing (const shard_t *shard, const worker_t *worker,
                                 const candidate_t *c);
static void take_back (shard_t *shard, usec_t now, const candidate_t *c,
                       uint32_t count);

void
place_all (shard_t *shard, usec_t now)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  int64_t wall = shard->ops->wall_ms (shard->ctx);

  for (GList *l = shard->open->head; l; l = l->next)
    {
      const job_t *job = l->data;

      add_candidates (shard_entry (shard, job->id), wall, candidates);
    }
  g_array_sort (candidates, compare);
  g_array_set_size (shard->unplaceable, 0);
  shard->waiting = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      const candidate_t *c = &g_array_index (candidates, candidate_t, i);

      place_step (shard, now, c);
      shard->waiting += c->o->unfinished[c->step] - c->o->placed[c->step];
    }
  g_array_free (candidates, TRUE);
}

static void
add_candidates (entry_t *entry, int64_t wall_ms, GArray *out)
{
  const job_t *job = entry->job;
  const submission_t *order = job->submission;

  for (guint k = 0; k < job->occurrences->len; k++)
    {
      occurrence_t *o = job->occurrences->pdata[k];
      int64_t due = 0;
      int64_t left = 0;

      for (uint32_t s = 0; s < order->step_count; s++)
        {
          candidate_t c = { .entry = entry, .o = o, .step = s };

          if (o->unfinished[s] == o->placed[s] || !step_is_ready (job, o, s))
            continue;
          if (!due)
            {
              due = o->due_ms
                    + (int64_t)job_critical_path_ms (job, NULL)
                          * order->stretch_percent / 100
                    + order->target_ms;
              left = (int64_t)job_critical_path_ms (job, o);
            }
          c.due_ms
              = due - left - (int64_t)tasks_left (order, o) * TASK_SHARE_MS;
          c.late = !order->steps[s].long_running && wall_ms + left > due
                   && !mostly_done (order, o);
          c.begun = job->started && !order->steps[s].long_running;
          c.priority = order->priority;
          c.image = interference_image_id (order->steps[s].image);
          g_array_append_val (out, c);
        }
    }
}

static uint64_t
tasks_left (const submission_t *order, const occurrence_t *o)
{
  uint64_t left = 0;

  for (uint32_t s = 0; s < order->step_count; s++)
    left += o->unfinished[s];
  return left;
}

/* Half of the tasks are done.  Large jobs are late more often than small ones
   when workers are short; what has come so far is finished, or none of them
   would be.  */
static bool
mostly_done (const submission_t *order, const occurrence_t *o)
{
  uint64_t all = 0;

  for (uint32_t s = 0; s < order->step_count; s++)
    all += order->steps[s].count;
  return 2 * tasks_left (order, o) <= all;
}

static gint
compare (gconstpointer left, gconstpointer right)
{
  const candidate_t *a = left;
  const candidate_t *b = right;

  if (a->late != b->late)
    return a->late ? 1 : -1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  /* With workers short, jobs that take turns would all be late.  */
  if (a->begun != b->begun)
    return a->begun ? -1 : 1;
  if (a->due_ms != b->due_ms)
    return a->due_ms < b->due_ms ? -1 : 1;
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
    if (c->o->tasks[c->step][i].state == TASK_WAITING
        && !place_task (shard, now, c, i))
      return;
}

static bool
place_task (shard_t *shard, usec_t now, const candidate_t *c, uint32_t index)
{
  handle_t handle = choose (shard, now, c, index);
  const worker_t *worker = worker_get (shard, handle);
  place_t place;

  if (!worker)
    return false;
  place = (place_t){ worker->id, worker->life_ms, worker->address };
  task_place (c->entry->job, c->o, c->step, index, &place);
  run_add (shard, c->entry->job, c->o, c->step, index, handle, RUN_UNWRITTEN);
  sharing_placed (shard, now, worker,
                  &c->entry->job->submission->steps[c->step]);
  shard_mark_dirty (shard, c->entry);
  return true;
}

/* All members or none; they share the run number.  */
static void
place_gang (shard_t *shard, usec_t now, const candidate_t *c)
{
  uint32_t count = c->entry->job->submission->steps[c->step].count;
  task_t *tasks = c->o->tasks[c->step];
  uint32_t highest = 0;
  const char *saved = NULL;

  if (c->o->placed[c->step])
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
      take_back (shard, now, c, i);
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    task_set_checkpoint (&tasks[i], saved);
}

/* Undoes the placement of the first COUNT members of a gang.  */
static void
take_back (shard_t *shard, usec_t now, const candidate_t *c, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      run_requeue (shard, now, c->o->tasks[c->step][i].run_handle,
                   "no room for the whole gang");
      c->o->tasks[c->step][i].run--;
    }
  /* Room has grown again.  */
  g_array_set_size (shard->unplaceable, 0);
}

/* A task with a target is not kept waiting for a worker without disturbance:
   what disturbs it there is stopped when harm is seen.  */
static handle_t
choose (shard_t *shard, usec_t now, const candidate_t *c, uint32_t index)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  handle_t handle = HANDLE_NONE;

  if (is_unplaceable (shard, c))
    return HANDLE_NONE;
  handle = choose_among (shard, now, c, index, false);
  if (handle == HANDLE_NONE && step->target_latency_ms)
    handle = choose_among (shard, now, c, index, true);
  if (handle == HANDLE_NONE)
    note_unplaceable (shard, c);
  return handle;
}

/* Room only shrinks during a pass: what needs as much as a task that found no
   worker finds none either.  Passes over hundreds of waiting steps would
   otherwise look at every worker for each of them.  */
static bool
is_unplaceable (const shard_t *shard, const candidate_t *c)
{
  const submission_t *order = c->entry->job->submission;
  const step_t *step = &order->steps[c->step];

  for (guint i = 0; i < shard->unplaceable->len; i++)
    {
      const unplaceable_t *h
          = &g_array_index (shard->unplaceable, unplaceable_t, i);

      if (step->best_effort == h->step->best_effort
          && step->millicores >= h->step->millicores
          && step->memory_mb >= h->step->memory_mb
          && step->accelerators >= h->step->accelerators
          && step->target_latency_ms == h->step->target_latency_ms
          && g_strcmp0 (step->image, h->step->image) == 0
          && g_strcmp0 (step->required_label, h->step->required_label) == 0
          && strcmp (order->service, h->service) == 0)
        return true;
    }
  return false;
}

/* A step that may have few tasks on a worker says nothing of others.  */
static void
note_unplaceable (shard_t *shard, const candidate_t *c)
{
  const submission_t *order = c->entry->job->submission;
  unplaceable_t unplaceable = { &order->steps[c->step], order->service };

  if (!unplaceable.step->max_per_worker)
    g_array_append_val (shard->unplaceable, unplaceable);
}

static handle_t
choose_among (const shard_t *shard, usec_t now, const candidate_t *c,
              uint32_t index, bool relaxed)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  handle_t avoid = c->o->tasks[c->step][index].avoid;
  handle_t best = HANDLE_NONE;
  int64_t best_score = INT64_MAX;

  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);
      int64_t s;

      if (!fits (shard, now, worker, c))
        continue;
      s = score (shard, worker, c);
      /* A task that failed there goes elsewhere if it can.  */
      if (h == avoid)
        s += SCORE_OF_FAILED_THERE;
      /* What runs beside it is looked at last, since it costs most.  */
      if (s >= best_score)
        continue;
      s += score_of_sharing (shard, worker, c);
      if (s >= best_score
          || (!relaxed
              && !sharing_allows (shard, now, worker, step, c->image)))
        continue;
      best_score = s;
      best = h;
    }
  return best;
}

static bool
fits (const shard_t *shard, usec_t now, const worker_t *worker,
      const candidate_t *c)
{
  const submission_t *order = c->entry->job->submission;
  const step_t *step = &order->steps[c->step];

  if (!worker->listed || worker->leaving || !worker->fenced || worker->in_doubt
      || now < worker->avoid_until)
    return false;
  if (step->best_effort
          ? step->millicores > sharing_leftover (worker)
          : worker->used_millicores + step->millicores > worker->millicores)
    return false;
  if (worker->used_memory + step->memory_mb > worker->memory_mb
      || worker->used_accelerators + step->accelerators > worker->accelerators)
    return false;
  if (strcmp (worker->service, order->service) != 0)
    return false;
  if (step->required_label && strcmp (worker->kind, step->required_label) != 0
      && strcmp (worker->rack, step->required_label) != 0)
    return false;
  return !step->max_per_worker
         || step_runs (shard, worker, c) < step->max_per_worker;
}

/* Runs of the step on the worker.  */
static uint32_t
step_runs (const shard_t *shard, const worker_t *worker, const candidate_t *c)
{
  uint32_t count = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->name.job == c->entry->job->id
          && run->name.occurrence == c->o->number && run->name.step == c->step)
        count++;
    }
  return count;
}

/* The lowest score is taken: the least loaded worker, in thousandths of its
   capacity.  */
static int64_t
score (const shard_t *shard, const worker_t *worker, const candidate_t *c)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  int64_t used = (int64_t)(worker->used_millicores + worker->fill_millicores);
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
    return others ? SCORE_OF_MIXED : 0;
  if (!others)
    return SCORE_OF_NO_IMAGE;
  return SCORE_OF_OTHER_IMAGE
         + (int64_t)MIN (others, MIX_COUNTED) * SCORE_OF_MIX;
}

static int64_t
score_of_sharing (const shard_t *shard, const worker_t *worker,
                  const candidate_t *c)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];

  if (!step->best_effort)
    return 0;
  return (int64_t)(sharing_cost (shard, worker, step, c->image)
                   * SCORE_OF_ADDED);
}
