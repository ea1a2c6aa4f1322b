/** @file
 * Tasks with a latency target and best-effort tasks on the same worker.
 */
#include "shard/shard_private.h"

/* Approximate time covered by a worker's report. */
#define REPORT_WINDOW (500 * USEC_PER_MSEC)
/* Margin below the utilization at which a tail latency reaches its target:
   reports are imprecise, and loads rise between two of them. */
#define UTILIZATION_MARGIN 0.05
/* Largest expected rise of the load of a task with a target during a second or
   two, the run time of a best-effort task: loads vary around 0.42 by half of
   that within 14 s.  A lower recent peak limits it further. */
#define MAX_LOAD_RISE 0.1
/* Added utilization below this is ignored. */
#define NEGLIGIBLE_UTILIZATION 0.025
/* Share of its declared millicores that a task with a target is taken to use
   before its first report: the mean load of the sites is 0.42, and loads vary
   around it by half. */
#define DEFAULT_LOAD 0.6
/* If a task exceeds its target for longer than this, all best-effort runs
   beside it are stopped. */
#define OVER_TARGET_LIMIT (1800 * USEC_PER_MSEC)
/* Least utilization added per core that is assumed for a pair of images
   without measurements. */
#define MIN_UNKNOWN_SLOPE 0.02
/* Interval between placements for a pair of images without measurements: the
   first one has been reported on by then. */
#define TRIAL_INTERVAL (900 * USEC_PER_MSEC)
/* Further runs are imposed on a worker within this time of the first one: they
   work in the time in which its targets are exceeded anyway. */
#define IMPOSE_WINDOW (400 * USEC_PER_MSEC)
/* No run is imposed until the tasks on the worker have met their targets for
   this long, so that one after the other does not keep them over it. */
#define IMPOSE_PAUSE USEC_PER_SEC
#define MAX_IMAGES 64U

typedef struct
{
  disturbance_t rows[MAX_IMAGES];
  size_t count;
} disturbances_t;

static void disturbances_add (disturbances_t *disturbances, image_id_t image,
                              double cores);
static void disturbances_between (const shard_t *shard, const worker_t *worker,
                                  usec_t from, usec_t to,
                                  disturbances_t *disturbances);
static void disturbances_now (const shard_t *shard, const worker_t *worker,
                              disturbances_t *disturbances);
static void learn_from_report (shard_t *shard, usec_t now, run_t *run,
                               const disturbances_t *disturbances);
static bool tolerates (const shard_t *shard, const run_t *run,
                       const disturbances_t *disturbances);
static bool stop_disturbing_runs (shard_t *shard, usec_t now, handle_t handle,
                                  const run_t *served);
static double expected_max_load (const run_t *run);
static void stop_best_effort_runs (shard_t *shard, usec_t now,
                                   handle_t handle);
static bool has_unknown_image (const shard_t *shard, const worker_t *worker,
                               image_id_t served, image_id_t except);

static void
disturbances_add (disturbances_t *disturbances, image_id_t image, double cores)
{
  for (size_t i = 0; i < disturbances->count; i++)
    if (disturbances->rows[i].image == image)
      {
        disturbances->rows[i].cores += cores;
        return;
      }
  if (disturbances->count < MAX_IMAGES)
    disturbances->rows[disturbances->count++]
        = (disturbance_t){ image, cores };
}

/* Cores used by best-effort runs, averaged over a time span. */
static void
disturbances_between (const shard_t *shard, const worker_t *worker,
                      usec_t from, usec_t to, disturbances_t *disturbances)
{
  double span = (double)(to - from);

  disturbances->count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));
      usec_t start = MAX (from, run->accepted_at);

      if (run->best_effort && run->state == RUN_ACKNOWLEDGED && start < to)
        disturbances_add (disturbances, run->image,
                          run->millicores / 1e3 * (double)(to - start) / span);
    }
  for (guint i = 0; i < worker->recent_runs->len; i++)
    {
      const recent_run_t *recent
          = &g_array_index (worker->recent_runs, recent_run_t, i);
      usec_t start = MAX (from, recent->from);

      if (start < recent->to)
        disturbances_add (disturbances, recent->image,
                          recent->millicores / 1e3
                              * (double)(recent->to - start) / span);
    }
}

/* Cores of the best-effort runs that are not being stopped. */
static void
disturbances_now (const shard_t *shard, const worker_t *worker,
                  disturbances_t *disturbances)
{
  disturbances->count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->best_effort && !run->stop_requested)
        disturbances_add (disturbances, run->image, run->millicores / 1e3);
    }
}

void
sharing_run_ended (worker_t *worker, usec_t now, const run_t *run)
{
  recent_run_t recent = { run->image, run->millicores, run->accepted_at, now };

  for (guint i = worker->recent_runs->len; i > 0; i--)
    if (g_array_index (worker->recent_runs, recent_run_t, i - 1).to
        < now - REPORT_WINDOW)
      g_array_remove_index_fast (worker->recent_runs, i - 1);
  g_array_append_val (worker->recent_runs, recent);
}

static void
learn_from_report (shard_t *shard, usec_t now, run_t *run,
                   const disturbances_t *disturbances)
{
  interference_observe (shard->interference, run->image, &run->own_load,
                        run->last_report ? now - run->last_report : 0,
                        run->measure, disturbances->rows, disturbances->count);
  run->last_report = now;
  shard->interference_changed |= disturbances->count != 0;
}

void
sharing_apply_list (shard_t *shard, usec_t now, handle_t handle)
{
  worker_t *worker = worker_get (shard, handle);
  bool exceeded = false;
  bool over = false;
  disturbances_t disturbances;

  if (!worker->serving_runs)
    {
      worker->over_target_since = 0;
      worker->imposed_since = 0;
      return;
    }
  disturbances_between (shard, worker, now - REPORT_WINDOW, now,
                        &disturbances);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      run_t *run = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (!run->target_ms || run->state != RUN_ACKNOWLEDGED
          || run->percent < 100 || !run->measure)
        continue;
      learn_from_report (shard, now, run, &disturbances);
      exceeded |= run->measure > run->target_ms && disturbances.count;
      if (run->measure > run->target_ms && worker->best_effort_runs)
        over |= stop_disturbing_runs (shard, now, handle, run);
    }
  sharing_update_use (shard, worker);
  if (exceeded)
    worker->impose_due = now + IMPOSE_PAUSE;
  else if (!worker->imposed_runs)
    worker->imposed_since = 0;
  /* Beside an imposed run the tail may stay close to the target, so that one
     report below it does not begin the time anew. */
  if (!over && !worker->imposed_since)
    worker->over_target_since = 0;
  else if (over && !worker->over_target_since)
    worker->over_target_since = now;
  if (worker->over_target_since
      && now - worker->over_target_since > OVER_TARGET_LIMIT)
    stop_best_effort_runs (shard, now, handle);
}

/* Stops best-effort runs beside a task that exceeds its target, those first
   that add most to its utilization.  Beside an imposed run the target is
   exceeded for OVER_TARGET_LIMIT, so that its task gets on.
   @return whether best-effort runs are left */
static bool
stop_disturbing_runs (shard_t *shard, usec_t now, handle_t handle,
                      const run_t *served)
{
  const worker_t *worker = worker_get (shard, handle);
  double limit = interference_max_utilization (
      shard->interference, served->image, served->target_ms);
  disturbances_t disturbances;

  if (worker->imposed_since)
    return true;
  for (;;)
    {
      handle_t worst = HANDLE_NONE;
      double most = NEGLIGIBLE_UTILIZATION;

      disturbances_now (shard, worker, &disturbances);
      if (!disturbances.count)
        return false;
      if (served->own_load.load
              + interference_added_utilization (
                  shard->interference, served->image, disturbances.rows,
                  disturbances.count)
          < limit - UTILIZATION_MARGIN)
        return true;
      for (guint i = 0; i < worker->runs->len; i++)
        {
          handle_t h = g_array_index (worker->runs, handle_t, i);
          const run_t *run = run_get (shard, h);
          double adds = run->millicores / 1e3
                        * interference_slope (shard->interference,
                                              served->image, run->image);

          if (run->best_effort && !run->stop_requested && adds > most)
            {
              most = adds;
              worst = h;
            }
        }
      if (worst == HANDLE_NONE)
        return true;
      log_line (LOG_LEVEL_INFO, "run.disturbs", worker->address,
                "tail_ms=%u target_ms=%u load=%.2f adds=%.2f limit=%.2f",
                served->measure, served->target_ms, served->own_load.load,
                most, limit);
      run_stop (shard, now, worst,
                "raises the tail latency of a task over its target");
    }
}

static void
stop_best_effort_runs (shard_t *shard, usec_t now, handle_t handle)
{
  GArray *runs = g_array_copy (worker_get (shard, handle)->runs);

  for (guint i = 0; i < runs->len; i++)
    {
      handle_t h = g_array_index (runs, handle_t, i);
      const run_t *run = run_get (shard, h);

      if (run && run->best_effort)
        run_stop (shard, now, h,
                  "beside a task that exceeds its target for too long");
    }
  g_array_free (runs, TRUE);
}

uint32_t
sharing_other_images (const shard_t *shard, const worker_t *worker,
                      image_id_t image, bool *has)
{
  image_id_t seen[MAX_IMAGES];
  uint32_t count = 0;

  *has = false;
  for (guint i = 0; i < worker->runs->len && count < MAX_IMAGES; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));
      uint32_t at = 0;

      if (!run->target_ms)
        continue;
      *has |= run->image == image;
      while (at < count && seen[at] != run->image)
        at++;
      if (at == count && run->image != image)
        seen[count++] = run->image;
    }
  return count;
}

int64_t
sharing_leftover (const worker_t *worker)
{
  uint64_t others = worker->used_millicores - worker->serving_millicores;

  return (int64_t)worker->millicores - (int64_t)others
         - (int64_t)worker->serving_millicores_in_use
         - (int64_t)worker->best_effort_millicores;
}

void
sharing_update_use (const shard_t *shard, worker_t *worker)
{
  double use = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->target_ms)
        use += run->millicores * expected_max_load (run);
    }
  worker->serving_millicores_in_use = (uint64_t)use;
}

/* @return the highest own load of the run that is expected for the next second
   or two */
static double
expected_max_load (const run_t *run)
{
  if (!run->own_load.variance)
    return DEFAULT_LOAD;
  return MIN (run->own_load.peak, run->own_load.load + MAX_LOAD_RISE);
}

/* @return whether a best-effort run of an image other than EXCEPT is there
   whose effect on SERVED is not known.  With a single unknown image the
   reports can be attributed to it. */
static bool
has_unknown_image (const shard_t *shard, const worker_t *worker,
                   image_id_t served, image_id_t except)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->best_effort && run->image != except
          && !interference_slope_is_known (shard->interference, served,
                                           run->image))
        return true;
    }
  return false;
}

/* @return whether the run meets its target beside the disturbances */
static bool
tolerates (const shard_t *shard, const run_t *run,
           const disturbances_t *disturbances)
{
  double added = interference_added_utilization (
      shard->interference, run->image, disturbances->rows,
      disturbances->count);

  return added < NEGLIGIBLE_UTILIZATION
         || expected_max_load (run) + added + UTILIZATION_MARGIN
                < interference_max_utilization (shard->interference,
                                                run->image, run->target_ms);
}

bool
sharing_allows (const shard_t *shard, usec_t now, const worker_t *worker,
                const step_t *step, image_id_t image)
{
  disturbances_t disturbances;

  if (!step->best_effort && !step->target_latency_ms)
    return true;
  disturbances_now (shard, worker, &disturbances);
  if (step->target_latency_ms)
    return interference_added_utilization (shard->interference, image,
                                           disturbances.rows,
                                           disturbances.count)
           < NEGLIGIBLE_UTILIZATION;
  if (!worker->serving_runs)
    return true;
  if (worker->over_target_since || worker->imposed_since)
    return false;
  disturbances_add (&disturbances, image, step->millicores / 1e3);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (!run->target_ms)
        continue;
      if (!tolerates (shard, run, &disturbances)
          || (!interference_slope_is_known (shard->interference, run->image,
                                            image)
              && (has_unknown_image (shard, worker, run->image, image)
                  || !interference_trial_allowed (shard->interference,
                                                  run->image, image, now,
                                                  TRIAL_INTERVAL))))
        return false;
    }
  return true;
}

bool
sharing_may_impose (usec_t now, const worker_t *worker)
{
  if (worker->imposed_since)
    return now - worker->imposed_since < IMPOSE_WINDOW;
  return !worker->over_target_since && now >= worker->impose_due;
}

uint32_t
sharing_count_disturbed (const shard_t *shard, const worker_t *worker,
                         const step_t *step, image_id_t image)
{
  disturbances_t disturbances;
  uint32_t count = 0;

  if (worker->imposed_runs)
    return 0;
  disturbances_now (shard, worker, &disturbances);
  disturbances_add (&disturbances, image, step->millicores / 1e3);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      count += run->target_ms && !tolerates (shard, run, &disturbances);
    }
  return count;
}

void
sharing_impose (usec_t now, worker_t *worker, run_t *run)
{
  run->imposed = true;
  worker->imposed_runs++;
  if (!worker->imposed_since)
    worker->imposed_since = now;
}

void
sharing_imposed_ended (worker_t *worker, usec_t now)
{
  worker->imposed_runs--;
  worker->impose_due = now + IMPOSE_PAUSE;
}

void
sharing_task_placed (shard_t *shard, usec_t now, const worker_t *worker,
                     const step_t *step)
{
  image_id_t image = interference_image_id (step->image);

  for (guint i = 0; step->best_effort && i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->target_ms
          && !interference_slope_is_known (shard->interference, run->image,
                                           image))
        interference_trial_started (shard->interference, run->image, image,
                                    now);
    }
}

double
sharing_cost (const shard_t *shard, const worker_t *worker, const step_t *step,
              image_id_t image)
{
  double cost = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));
      double slope
          = interference_slope (shard->interference, run->image, image);

      if (!run->target_ms)
        continue;
      if (!interference_slope_is_known (shard->interference, run->image,
                                        image))
        slope = MAX (slope, MIN_UNKNOWN_SLOPE);
      cost = MAX (cost, step->millicores / 1e3 * slope);
    }
  return cost;
}
