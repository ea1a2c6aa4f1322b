/* Jobs after the users' sites: two kinds, wide steps, run times declared far
   wrong, a long tail.  Tasks that last and interference are left out. */
#include "jobs_world.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>

#define WINDOW (5 * USEC_PER_SEC)
#define LATE_SHARE 0.15
#define LATE_LIMIT 3

/* A kind of job, with the figures of magnolia-coop.  */
typedef struct
{
  const char *queue;
  double share; /* of the jobs */
  double steps;
  double width;
  double seconds;
  double cores;
  uint32_t priority;
  uint32_t stretch; /* percent */
  uint32_t target_ms;
  double worth;
} kind_t;

static const kind_t kinds[]
    = { { "proof", 0.49, 1.6, 6, 0.68, 2.3, 0, 150, 250, 0.379 },
        { "plate", 0.51, 2.0, 8, 1.9, 3.5, 2, 200, 1000, 1.84 } };

/* Deviations of the logarithms of run times, widths and estimates; every
   thirtieth task takes seven times as long. */
#define SPREAD 0.5
#define ESTIMATE_SPREAD 0.5
#define TAIL_SHARE 0.03
#define TAIL_FACTOR 7

static world_job_t *make_job (gsl_rng *random, const kind_t *kind, usec_t at,
                              job_id_t id);
static void set_work (gsl_rng *random, const kind_t *kind, world_job_t *job);
static usec_t real_chain (const world_job_t *job);
static double mean_work (const kind_t *kind);

static uint32_t
around (gsl_rng *random, double mean, double spread)
{
  double value
      = mean * exp (gsl_ran_gaussian (random, spread) - spread * spread / 2);

  return (uint32_t)MAX (1, lround (value));
}

static double
mean_work (const kind_t *kind)
{
  return kind->steps * kind->width * kind->seconds * kind->cores
         * (1 + TAIL_SHARE * (TAIL_FACTOR - 1));
}

jobs_world_t *
jobs_world_new (const world_config_t *config)
{
  jobs_world_t *world = g_new0 (jobs_world_t, 1);
  gsl_rng *random = gsl_rng_alloc (gsl_rng_mt19937);
  double cores = config->workers * (config->millicores / 1e3);
  double work = kinds[0].share * mean_work (&kinds[0])
                + kinds[1].share * mean_work (&kinds[1]);
  double rate = config->load * cores / work;
  double at = 0;

  gsl_rng_set (random, config->seed);
  world->config = *config;
  world->jobs = g_ptr_array_new ();
  for (;;)
    {
      const kind_t *kind
          = &kinds[gsl_rng_uniform (random) < kinds[0].share ? 0 : 1];

      at += gsl_ran_exponential (random, 1 / rate);
      if (at * USEC_PER_SEC >= (double)config->span)
        break;
      g_ptr_array_add (world->jobs,
                       make_job (random, kind, (usec_t)(at * USEC_PER_SEC),
                                 world->jobs->len + 1));
    }
  gsl_rng_free (random);
  return world;
}

static world_job_t *
make_job (gsl_rng *random, const kind_t *kind, usec_t at, job_id_t id)
{
  world_job_t *job = g_new0 (world_job_t, 1);
  submission_t *order = g_new0 (submission_t, 1);

  order->id = id;
  order->queue = g_strdup (kind->queue);
  order->service = g_strdup ("service");
  order->spec = g_strdup ("");
  order->priority = kind->priority;
  order->max_attempts = 3;
  order->stretch_percent = kind->stretch;
  order->target_ms = kind->target_ms;
  order->accepted_ms = at / USEC_PER_MSEC;
  order->step_count = around (random, kind->steps, SPREAD);
  order->steps = g_new0 (step_t, order->step_count);
  job->order = order;
  job->at = at;
  set_work (random, kind, job);
  job->chain = real_chain (job);
  return job;
}

static void
set_work (gsl_rng *random, const kind_t *kind, world_job_t *job)
{
  submission_t *order = job->order;
  double total = 0;

  job->work = g_new0 (usec_t *, order->step_count);
  for (uint32_t s = 0; s < order->step_count; s++)
    {
      step_t *step = &order->steps[s];

      step->count = around (random, kind->width, SPREAD);
      step->millicores = around (random, kind->cores * 1000, SPREAD / 2);
      step->memory_mb = 1;
      step->declared_ms
          = around (random, kind->seconds * 1000, ESTIMATE_SPREAD);
      if (s > 0)
        {
          step->depends_on = g_new0 (uint32_t, 1);
          step->depends_on[0] = s - 1;
          step->depends_on_count = 1;
        }
      job->work[s] = g_new0 (usec_t, step->count);
      for (uint32_t i = 0; i < step->count; i++)
        {
          bool tail = gsl_rng_uniform (random) < TAIL_SHARE;

          job->work[s][i]
              = (usec_t)around (random, kind->seconds * 1000, SPREAD)
                * (tail ? TAIL_FACTOR : 1) * USEC_PER_MSEC;
          total += (double)job->work[s][i] / USEC_PER_SEC * step->millicores
                   / 1e3;
        }
      job->tasks += step->count;
    }
  job->worth = kind->worth * MIN (0.3 + 0.7 * total / mean_work (kind), 4.0);
  job->density = job->worth / total;
}

static usec_t
real_chain (const world_job_t *job)
{
  usec_t chain = 0;

  for (uint32_t s = 0; s < job->order->step_count; s++)
    {
      usec_t longest = 0;

      for (uint32_t i = 0; i < job->order->steps[s].count; i++)
        longest = MAX (longest, job->work[s][i]);
      chain += longest;
    }
  return chain;
}

void
jobs_world_free (jobs_world_t *world)
{
  for (guint i = 0; i < world->jobs->len; i++)
    {
      world_job_t *job = world->jobs->pdata[i];

      for (uint32_t s = 0; s < job->order->step_count; s++)
        g_free (job->work[s]);
      g_free (job->work);
      submission_free (job->order);
      g_free (job);
    }
  g_ptr_array_free (world->jobs, TRUE);
  g_free (world);
}

void
jobs_world_reset (jobs_world_t *world)
{
  for (guint i = 0; i < world->jobs->len; i++)
    ((world_job_t *)world->jobs->pdata[i])->ended = 0;
}

static double
earned_by (const world_job_t *job)
{
  usec_t objective = job->chain * job->order->stretch_percent / 100
                     + job->order->target_ms * USEC_PER_MSEC;
  usec_t took = job->ended - job->at;

  if (!job->ended || took > LATE_LIMIT * objective)
    return 0;
  return job->worth * (took <= objective ? 1 : LATE_SHARE);
}

static gint
compare_tasks (gconstpointer a, gconstpointer b)
{
  const world_job_t *left = *(const world_job_t *const *)a;
  const world_job_t *right = *(const world_job_t *const *)b;

  return (gint)right->tasks - (gint)left->tasks;
}

static double
share_of (GPtrArray *jobs, guint count)
{
  double earned = 0;
  double owed = 0;

  for (guint i = 0; i < count; i++)
    {
      earned += earned_by (jobs->pdata[i]);
      owed += ((const world_job_t *)jobs->pdata[i])->worth;
    }
  return owed > 0 ? earned / owed : 1;
}

world_result_t
jobs_world_result (const jobs_world_t *world)
{
  GPtrArray *sorted = g_ptr_array_copy (world->jobs, NULL, NULL);
  GPtrArray *window = g_ptr_array_new ();
  world_result_t result
      = { .earned = share_of (sorted, sorted->len), .worst_window = 1 };

  g_ptr_array_sort (sorted, compare_tasks);
  result.largest_tenth = share_of (sorted, sorted->len / 10);
  for (usec_t from = 0; from < world->config.span; from += WINDOW)
    {
      double share;

      g_ptr_array_set_size (window, 0);
      for (guint i = 0; i < world->jobs->len; i++)
        {
          const world_job_t *job = world->jobs->pdata[i];

          if (job->at >= from && job->at < from + WINDOW)
            g_ptr_array_add (window, (gpointer)job);
        }
      share = share_of (window, window->len);
      result.worst_window = MIN (result.worst_window, share);
    }
  g_ptr_array_free (sorted, TRUE);
  g_ptr_array_free (window, TRUE);
  return result;
}
