/* Bench of the order of jobs: what callers get of the product's decisions, of
   three simple orders and of one that knows real run times, on the same jobs
   at 70%, 100% and 150% of the room. */
#include "base/log.h"
#include "jobs_world.h"

#include <stdio.h>

#define SEEDS 5U
#define SPAN (60 * USEC_PER_SEC)

static int
by_age (const world_step_t *a, const world_step_t *b)
{
  return a->job->at < b->job->at ? -1 : a->job->at > b->job->at;
}

static int
by_declared_length (const world_step_t *a, const world_step_t *b)
{
  if (a->declared_left != b->declared_left)
    return a->declared_left < b->declared_left ? -1 : 1;
  return by_age (a, b);
}

/* @return when the last step has to begin, in terms of declared times */
static usec_t
declared_due (const world_step_t *s)
{
  const submission_t *order = s->job->order;
  usec_t chain = 0;

  for (uint32_t i = 0; i < order->step_count; i++)
    chain += order->steps[i].declared_ms * USEC_PER_MSEC;
  return s->job->at + chain * order->stretch_percent / 100
         + order->target_ms * USEC_PER_MSEC;
}

static int
by_due (const world_step_t *a, const world_step_t *b)
{
  usec_t x = declared_due (a);
  usec_t y = declared_due (b);

  return x < y ? -1 : x > y;
}

static usec_t
real_due (const world_step_t *s)
{
  const submission_t *order = s->job->order;

  return s->job->at + s->job->chain * order->stretch_percent / 100
         + order->target_ms * USEC_PER_MSEC;
}

/* Knows real run times: what can be in time first, of that what has begun,
   then what is worth most for its work.  */
static int
by_real_slack (const world_step_t *a, const world_step_t *b)
{
  bool late_a = a->now + a->real_left > real_due (a);
  bool late_b = b->now + b->real_left > real_due (b);
  double x = a->job->density;
  double y = b->job->density;

  if (late_a != late_b)
    return late_a ? 1 : -1;
  if (a->begun != b->begun)
    return a->begun ? -1 : 1;
  return x > y ? -1 : x < y;
}

typedef struct
{
  const char *name;
  world_order_t order; /* NULL: the product */
} row_t;

static const row_t rows[] = {
  { "product", NULL },
  { "first come, first fit", by_age },
  { "shortest declared first", by_declared_length },
  { "earliest due first", by_due },
  { "all-knowing", by_real_slack },
};

static world_result_t
run (const row_t *row, double load)
{
  world_result_t sum = { 0 };

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      world_config_t config = { .workers = 48,
                                .millicores = 32000,
                                .span = SPAN,
                                .load = load,
                                .seed = seed };
      jobs_world_t *world = jobs_world_new (&config);
      world_result_t result;

      if (row->order)
        jobs_run_order (world, row->order);
      else
        jobs_run_product (world);
      result = jobs_world_result (world);
      sum.earned += result.earned / SEEDS;
      sum.largest_tenth += result.largest_tenth / SEEDS;
      sum.worst_window += result.worst_window / SEEDS;
      jobs_world_free (world);
    }
  return sum;
}

int
main (void)
{
  static const double loads[] = { 0.7, 1.0, 1.5 };

  log_open ("bench", LOG_LEVEL_ERR);
  printf ("jobs: mean of %u seeds, %d s of arrivals, 48 workers\n", SEEDS,
          (int)(SPAN / USEC_PER_SEC));
  printf ("%-26s %5s %8s %8s %8s\n", "order", "load", "earned", "largest",
          "window");
  for (size_t l = 0; l < G_N_ELEMENTS (loads); l++)
    for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
      {
        world_result_t result = run (&rows[i], loads[l]);

        printf ("%-26s %5.1f %8.3f %8.3f %8.3f\n", rows[i].name, loads[l],
                result.earned, result.largest_tenth, result.worst_window);
      }
  return 0;
}
