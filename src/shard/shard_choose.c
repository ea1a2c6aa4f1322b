/** @file
 * Choice of the worker for a task.
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
/* Larger than any sum of scores for load and images: with its data on another
   rack a task takes several times as long. */
#define SCORE_OF_OTHER_RACK (1LL << 30)
/* Larger than any sum of scores for load and sharing. */
#define SCORE_PER_DISTURBED_TASK (1LL << 20)
#define SCORE_OF_AVOIDED_WORKER (1LL << 40)
/* Of a copy beside the run that is late, for a rack may be slow as a whole.
   Smaller than the preference for the rack of the data. */
#define SCORE_OF_SAME_RACK (1LL << 25)

/* Which workers suit a task. */
typedef enum
{
  ADMIT_UNDISTURBED, /* those where no tail latency exceeds its target */
  ADMIT_IMPOSED,     /* those that may be disturbed for a while */
  ADMIT_ALL
} admission_t;

static bool is_unplaceable (const shard_t *shard, const candidate_t *c,
                            const task_t *task);
static void note_unplaceable (shard_t *shard, const candidate_t *c);
static void find_fitting (shard_t *shard, usec_t now, const candidate_t *c);
static void update_fitting (const shard_t *shard, usec_t now,
                            const candidate_t *c, handle_t handle,
                            fitting_t *fitting);
static handle_t choose_best_worker (shard_t *shard, usec_t now,
                                    const candidate_t *c, uint32_t index,
                                    admission_t admission, bool *kept_apart);
static bool has_room_to_impose (const shard_t *shard, const candidate_t *c);
static bool admits (const shard_t *shard, usec_t now, const worker_t *worker,
                    const candidate_t *c, admission_t admission);
static uint32_t step_runs (const shard_t *shard, const worker_t *worker,
                           const candidate_t *c);
static int64_t score (const shard_t *shard, const worker_t *worker,
                      const candidate_t *c);
static int64_t score_of_images (const shard_t *shard, const worker_t *worker,
                                image_id_t image);
static int64_t score_of_sharing (const shard_t *shard, const worker_t *worker,
                                 const candidate_t *c);

/* A task with a target does not wait for a worker without interference:
   best-effort runs beside it are stopped when its tail latency exceeds the
   target.  A best-effort task does, but not for ever: it may disturb the tasks
   on every worker. */
handle_t
choose_worker (shard_t *shard, usec_t now, const candidate_t *c,
               uint32_t index)
{
  const step_t *step = &c->entry->job->submission->steps[c->step];
  handle_t handle = HANDLE_NONE;
  const task_t *task = &c->occurrence->tasks[c->step][index];
  bool kept_apart = false;

  if (is_unplaceable (shard, c, task))
    return HANDLE_NONE;
  if (!shard->fitting_known)
    find_fitting (shard, now, c);
  handle = choose_best_worker (shard, now, c, index, ADMIT_UNDISTURBED,
                               &kept_apart);
  if (handle == HANDLE_NONE && step->target_latency_ms)
    handle = choose_best_worker (shard, now, c, index, ADMIT_ALL, &kept_apart);
  if (handle == HANDLE_NONE && c->starved && has_room_to_impose (shard, c))
    handle = choose_best_worker (shard, now, c, index, ADMIT_IMPOSED,
                                 &kept_apart);
  /* A suspect may be kept off workers that suit other tasks. */
  if (handle == HANDLE_NONE && !(kept_apart && crashes_suspicion (task)))
    note_unplaceable (shard, c);
  return handle;
}

handle_t
choose_worker_for_copy (shard_t *shard, usec_t now, const candidate_t *c,
                        uint32_t index, handle_t own)
{
  const task_t *task = &c->occurrence->tasks[c->step][index];
  const char *rack = worker_get (shard, own)->rack;
  handle_t best = HANDLE_NONE;
  int64_t best_score = INT64_MAX;

  find_fitting (shard, now, c);
  for (guint i = 0; i < shard->fitting->len; i++)
    {
      const fitting_t *fitting = &g_array_index (shard->fitting, fitting_t, i);
      const worker_t *worker = worker_get (shard, fitting->worker);
      int64_t s = fitting->score;

      if (fitting->worker == own || crashes_keep_apart (worker, task)
          || !admits (shard, now, worker, c, ADMIT_UNDISTURBED))
        continue;
      if (strcmp (worker->rack, rack) == 0)
        s += SCORE_OF_SAME_RACK;
      if (fitting->worker == task->avoid)
        s += SCORE_OF_AVOIDED_WORKER;
      if (s >= best_score)
        continue;
      best_score = s;
      best = fitting->worker;
    }
  choose_reset (shard);
  return best;
}

void
choose_reset (shard_t *shard)
{
  shard->fitting_known = false;
  shard->held_back = false;
}

void
choose_placed (shard_t *shard, usec_t now, const candidate_t *c,
               handle_t worker)
{
  for (guint i = 0; i < shard->fitting->len; i++)
    {
      fitting_t *fitting = &g_array_index (shard->fitting, fitting_t, i);

      if (fitting->worker == worker)
        update_fitting (shard, now, c, worker, fitting);
    }
}

/* A task that is placed changes its worker only, so that the others need not
   be looked at again for each task of the step. */
static void
find_fitting (shard_t *shard, usec_t now, const candidate_t *c)
{
  g_array_set_size (shard->fitting, 0);
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      fitting_t fitting;

      update_fitting (shard, now, c, h, &fitting);
      if (fitting.worker != HANDLE_NONE)
        g_array_append_val (shard->fitting, fitting);
    }
  shard->fitting_known = true;
}

static void
update_fitting (const shard_t *shard, usec_t now, const candidate_t *c,
                handle_t handle, fitting_t *fitting)
{
  const worker_t *worker = worker_get (shard, handle);

  fitting->worker = HANDLE_NONE;
  if (worker_fits (shard, now, worker, c) != FIT_OK)
    return;
  fitting->worker = handle;
  fitting->score = score (shard, worker, c);
}

/* Free capacity only shrinks during a pass: if a step found no worker, then a
   step that needs at least as much finds none either.  This saves passes with
   hundreds of waiting steps from checking every worker for each of them. */
static bool
is_unplaceable (const shard_t *shard, const candidate_t *c, const task_t *task)
{
  const submission_t *order = c->entry->job->submission;
  const step_t *step = &order->steps[c->step];

  for (guint i = 0; i < shard->unplaceable->len; i++)
    {
      const unplaceable_t *other
          = &g_array_index (shard->unplaceable, unplaceable_t, i);

      if ((!other->held_back || reserve_concerns (step, task))
          && (other->starved || !c->starved)
          && step->best_effort == other->step->best_effort
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
  unplaceable_t unplaceable = { &order->steps[c->step], order->service,
                                c->starved, shard->held_back };

  if (!unplaceable.step->max_per_worker)
    g_array_append_val (shard->unplaceable, unplaceable);
}

/* @param kept_apart set to true if a worker was left out because of the
   suspects on it or of the suspicion against the task */
static handle_t
choose_best_worker (shard_t *shard, usec_t now, const candidate_t *c,
                    uint32_t index, admission_t admission, bool *kept_apart)
{
  const task_t *task = &c->occurrence->tasks[c->step][index];
  handle_t best = HANDLE_NONE;
  int64_t best_score = INT64_MAX;

  for (guint i = 0; i < shard->fitting->len; i++)
    {
      const fitting_t *fitting = &g_array_index (shard->fitting, fitting_t, i);
      handle_t h = fitting->worker;
      const worker_t *worker = worker_get (shard, h);
      int64_t s;

      if (!worker)
        continue;
      if (crashes_keep_apart (worker, task))
        {
          *kept_apart = true;
          continue;
        }
      if (!reserve_admits (shard, worker, c, task))
        {
          shard->held_back = true;
          continue;
        }
      s = fitting->score + crashes_score (worker, task);
      /* Last resort: the worker where the task failed or stalled. */
      if (h == task->avoid)
        s += SCORE_OF_AVOIDED_WORKER;
      /* The runs on the worker are checked last, since that is the most
         expensive part. */
      if (s >= best_score)
        continue;
      s += score_of_sharing (shard, worker, c);
      if (admission == ADMIT_IMPOSED)
        s += SCORE_PER_DISTURBED_TASK
             * (int64_t)sharing_count_disturbed (
                 shard, worker, &c->entry->job->submission->steps[c->step],
                 c->image);
      if (s >= best_score || !admits (shard, now, worker, c, admission))
        continue;
      best_score = s;
      best = h;
    }
  return best;
}

/* While a service is busy, best-effort tasks wait for workers where they
   disturb nothing.  While less than half of its capacity is reserved, users
   expect them to run. */
static bool
has_room_to_impose (const shard_t *shard, const candidate_t *c)
{
  const char *service = c->entry->job->submission->service;
  uint64_t reserved = 0;
  uint64_t capacity = 0;

  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);

      if (!worker->listed || strcmp (worker->service, service) != 0)
        continue;
      reserved += worker->used_millicores;
      capacity += worker->millicores;
    }
  return 2 * reserved < capacity;
}

static bool
admits (const shard_t *shard, usec_t now, const worker_t *worker,
        const candidate_t *c, admission_t admission)
{
  switch (admission)
    {
    case ADMIT_UNDISTURBED:
      return sharing_allows (shard, now, worker,
                             &c->entry->job->submission->steps[c->step],
                             c->image);
    case ADMIT_IMPOSED:
      return sharing_may_impose (now, worker);
    default:
      return true;
    }
}

fit_t
worker_fits (const shard_t *shard, usec_t now, const worker_t *worker,
             const candidate_t *c)
{
  const submission_t *order = c->entry->job->submission;
  const step_t *step = &order->steps[c->step];

  if (!worker->listed || worker->leaving || !worker->fenced || worker->in_doubt
      || now < worker->avoid_until
      || !worker_capacity_is_known (shard, now, worker))
    return FIT_AWAY;
  /* The next incarnation may have another label or less capacity. */
  if (worker->entry_started_ms != worker->started_ms)
    return FIT_AWAY;
  if (step->long_running && stray_outlasts (shard, now, worker))
    return FIT_AWAY;
  if (worker->evacuated)
    return FIT_EVACUATED;
  /* Nothing is started on a worker that has shrunk below what it runs, even
     if the task needs nothing of what is short. */
  if (worker_is_over_capacity (worker))
    return FIT_FULL;
  if (step->best_effort
          ? step->millicores > sharing_leftover (worker)
          : worker->used_millicores + step->millicores > worker->millicores)
    return FIT_FULL;
  if (worker->used_memory_mb + step->memory_mb > worker->memory_mb
      || worker->used_accelerators + step->accelerators > worker->accelerators)
    return FIT_FULL;
  if (strcmp (worker->service, order->service) != 0)
    return FIT_EXCLUDED;
  if (step->required_label && strcmp (worker->label, step->required_label) != 0
      && strcmp (worker->rack, step->required_label) != 0)
    return FIT_EXCLUDED;
  if (step->max_per_worker
      && step_runs (shard, worker, c) >= step->max_per_worker)
    return FIT_EXCLUDED;
  return FIT_OK;
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
