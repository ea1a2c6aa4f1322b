/** @file
 * Tasks with a latency target beside tasks that use leftover capacity.
 */
#include "shard/shard_private.h"

/* A report of a worker covers about this long. */
#define REPORT_SPAN (500 * USEC_PER_MSEC)
/* Room that is left below the utilization at which a tail reaches its
   target: reports are rough, and a load rises between two of them. */
#define MARGIN 0.05
/* Most that an own load rises while a task runs beside it for a second or two:
   loads swing by half of 0.42 within 14 s.  Where the peak of late is lower,
   that counts. */
#define LOAD_RISE 0.1
/* Added utilization that is not worth acting on. */
#define NEGLIGIBLE 0.025
/* Share of what it declares that a task with a target uses before its first
   report: the sites' mean load is 0.42, and it swings by half. */
#define LOAD_UNKNOWN 0.6
/* A task over its target for so long loses everything beside it. */
#define OVER_LIMIT (1800 * USEC_PER_MSEC)
/* A pair of images without measurements is taken to add as much, in
   utilization for each core. */
#define UNKNOWN_SLOPE 0.02
/* A task of an unknown pair has been reported on after this long. */
#define TRY_SPAN (900 * USEC_PER_MSEC)
#define MIX_MAX 64U

typedef struct
{
  disturbance_t rows[MIX_MAX];
  size_t count;
} mix_t;

static void mix_add (mix_t *mix, image_id_t image, double cores);
static void mix_of (const shard_t *shard, const worker_t *worker, usec_t from,
                    usec_t to, mix_t *mix);
static void mix_now (const shard_t *shard, const worker_t *worker, mix_t *mix);
static void learn (shard_t *shard, usec_t now, run_t *run, const mix_t *mix);
static bool bears (const shard_t *shard, const run_t *run, const mix_t *mix);
static bool relieve (shard_t *shard, usec_t now, handle_t handle,
                     const run_t *served);
static double load_ahead (const run_t *run);
static void stop_all (shard_t *shard, usec_t now, handle_t handle);
static bool unknown_beside (const shard_t *shard, const worker_t *worker,
                            image_id_t served, image_id_t except);

static void
mix_add (mix_t *mix, image_id_t image, double cores)
{
  for (size_t i = 0; i < mix->count; i++)
    if (mix->rows[i].image == image)
      {
        mix->rows[i].cores += cores;
        return;
      }
  if (mix->count < MIX_MAX)
    mix->rows[mix->count++] = (disturbance_t){ image, cores };
}

/* Average of what disturbed between two moments.  */
static void
mix_of (const shard_t *shard, const worker_t *worker, usec_t from, usec_t to,
        mix_t *mix)
{
  double span = (double)(to - from);

  mix->count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));
      usec_t start = MAX (from, run->since);

      if (run->fills && run->state == RUN_LIVE && start < to)
        mix_add (mix, run->image,
                 run->millicores / 1e3 * (double)(to - start) / span);
    }
  for (guint i = 0; i < worker->recent->len; i++)
    {
      const recent_t *r = &g_array_index (worker->recent, recent_t, i);
      usec_t start = MAX (from, r->from);

      if (start < r->to)
        mix_add (mix, r->image,
                 r->millicores / 1e3 * (double)(r->to - start) / span);
    }
}

/* What will go on to disturb.  */
static void
mix_now (const shard_t *shard, const worker_t *worker, mix_t *mix)
{
  mix->count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->fills && !run->unneeded)
        mix_add (mix, run->image, run->millicores / 1e3);
    }
}

void
sharing_ended (worker_t *worker, usec_t now, const run_t *run)
{
  recent_t recent = { run->image, run->millicores, run->since, now };

  for (guint i = worker->recent->len; i > 0; i--)
    if (g_array_index (worker->recent, recent_t, i - 1).to < now - REPORT_SPAN)
      g_array_remove_index_fast (worker->recent, i - 1);
  g_array_append_val (worker->recent, recent);
}

static void
learn (shard_t *shard, usec_t now, run_t *run, const mix_t *mix)
{
  interference_observe (shard->interference, run->image, &run->own,
                        run->reported ? now - run->reported : 0, run->measure,
                        mix->rows, mix->count);
  run->reported = now;
  shard->learned_more |= mix->count != 0;
}

void
sharing_listed (shard_t *shard, usec_t now, handle_t handle)
{
  worker_t *worker = worker_get (shard, handle);
  bool over = false;
  mix_t mix;

  if (!worker->serving)
    {
      worker->over_since = 0;
      return;
    }
  mix_of (shard, worker, now - REPORT_SPAN, now, &mix);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      run_t *run = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (!run->target_ms || run->state != RUN_LIVE || run->percent < 100
          || !run->measure)
        continue;
      learn (shard, now, run, &mix);
      if (run->measure > run->target_ms && worker->filling)
        over |= relieve (shard, now, handle, run);
    }
  sharing_count_use (shard, worker);
  if (!over)
    worker->over_since = 0;
  else if (!worker->over_since)
    worker->over_since = now;
  else if (now - worker->over_since > OVER_LIMIT)
    stop_all (shard, now, handle);
}

/* Stops what adds most to the tail of a task that is over its target.
   @return whether anything that disturbs is left */
static bool
relieve (shard_t *shard, usec_t now, handle_t handle, const run_t *served)
{
  const worker_t *worker = worker_get (shard, handle);
  double limit = interference_max_utilization (
      shard->interference, served->image, served->target_ms);
  mix_t mix;

  for (;;)
    {
      handle_t worst = HANDLE_NONE;
      double most = NEGLIGIBLE;

      mix_now (shard, worker, &mix);
      if (!mix.count)
        return false;
      if (served->own.load
              + interference_added_utilization (
                  shard->interference, served->image, mix.rows, mix.count)
          < limit - MARGIN)
        return true;
      for (guint i = 0; i < worker->runs->len; i++)
        {
          handle_t h = g_array_index (worker->runs, handle_t, i);
          const run_t *run = run_get (shard, h);
          double adds = run->millicores / 1e3
                        * interference_slope (shard->interference,
                                              served->image, run->image);

          if (run->fills && !run->unneeded && adds > most)
            {
              most = adds;
              worst = h;
            }
        }
      if (worst == HANDLE_NONE)
        return true;
      log_line (LOG_LEVEL_INFO, "run.disturbs", worker->address,
                "tail_ms=%u target_ms=%u load=%.2f adds=%.2f limit=%.2f",
                served->measure, served->target_ms, served->own.load, most,
                limit);
      run_stop (shard, now, worst, "disturbs a task over its target");
    }
}

static void
stop_all (shard_t *shard, usec_t now, handle_t handle)
{
  GArray *runs = g_array_copy (worker_get (shard, handle)->runs);

  for (guint i = 0; i < runs->len; i++)
    {
      handle_t h = g_array_index (runs, handle_t, i);
      const run_t *run = run_get (shard, h);

      if (run && run->fills)
        run_stop (shard, now, h, "beside a task long over its target");
    }
  g_array_free (runs, TRUE);
}

uint32_t
sharing_other_images (const shard_t *shard, const worker_t *worker,
                      image_id_t image, bool *has)
{
  image_id_t seen[MIX_MAX];
  uint32_t count = 0;

  *has = false;
  for (guint i = 0; i < worker->runs->len && count < MIX_MAX; i++)
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
         - (int64_t)worker->serving_use - (int64_t)worker->fill_millicores;
}

void
sharing_count_use (const shard_t *shard, worker_t *worker)
{
  double use = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->target_ms)
        use += run->millicores * load_ahead (run);
    }
  worker->serving_use = (uint64_t)use;
}

/* Highest load of the run's own that is expected for a second or two.  */
static double
load_ahead (const run_t *run)
{
  if (!run->own.variance)
    return LOAD_UNKNOWN;
  return MIN (run->own.peak, run->own.load + LOAD_RISE);
}

/* Whether a disturbing task of another image runs there whose effect on the
   served image is not known either: one at a time tells the most.  */
static bool
unknown_beside (const shard_t *shard, const worker_t *worker,
                image_id_t served, image_id_t except)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->fills && run->image != except
          && !interference_slope_is_known (shard->interference, served,
                                           run->image))
        return true;
    }
  return false;
}

/* Whether a task bears the disturbance.  */
static bool
bears (const shard_t *shard, const run_t *run, const mix_t *mix)
{
  double added = interference_added_utilization (
      shard->interference, run->image, mix->rows, mix->count);

  return added < NEGLIGIBLE
         || load_ahead (run) + added + MARGIN < interference_max_utilization (
                shard->interference, run->image, run->target_ms);
}

bool
sharing_allows (const shard_t *shard, usec_t now, const worker_t *worker,
                const step_t *step, image_id_t image)
{
  mix_t mix;

  if (!step->best_effort && !step->target_latency_ms)
    return true;
  mix_now (shard, worker, &mix);
  if (step->target_latency_ms)
    return interference_added_utilization (shard->interference, image,
                                           mix.rows, mix.count)
           < NEGLIGIBLE;
  if (!worker->serving)
    return true;
  if (worker->over_since)
    return false;
  mix_add (&mix, image, step->millicores / 1e3);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run
          = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (!run->target_ms)
        continue;
      if (!bears (shard, run, &mix)
          || (!interference_slope_is_known (shard->interference, run->image,
                                            image)
              && (unknown_beside (shard, worker, run->image, image)
                  || !interference_trial_allowed (
                      shard->interference, run->image, image, now, TRY_SPAN))))
        return false;
    }
  return true;
}

void
sharing_placed (shard_t *shard, usec_t now, const worker_t *worker,
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
        slope = MAX (slope, UNKNOWN_SLOPE);
      cost = MAX (cost, step->millicores / 1e3 * slope);
    }
  return cost;
}
