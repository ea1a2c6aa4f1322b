/** @file
 * Workers of the stand-in whose capacity shrinks and grows.
 */
#include "fleet.h"
#include "net/clock.h"

#define FULL_CORES 16U
#define SMALL_CORES_MAX 2

/* What a worker has room for since AT. */
typedef struct
{
  usec_t at;
  uint32_t cores;
} change_t;

struct capacity_plan
{
  fleet_t *fleet;
  GArray **changes; /* change_t, by worker; the last one is in force */
  usec_t due;
};

capacity_plan_t *
fleet_capacity_new (fleet_t *fleet)
{
  capacity_plan_t *plan = g_new0 (capacity_plan_t, 1);
  change_t first = { 0, FULL_CORES };

  plan->fleet = fleet;
  plan->due = clock_now () + fleet->config.resize_every * USEC_PER_MSEC;
  plan->changes = g_new0 (GArray *, fleet->config.workers);
  for (uint32_t i = 0; i < fleet->config.workers; i++)
    {
      plan->changes[i] = g_array_new (FALSE, FALSE, sizeof (change_t));
      g_array_append_val (plan->changes[i], first);
    }
  return plan;
}

void
fleet_capacity_free (capacity_plan_t *plan)
{
  for (uint32_t i = 0; i < plan->fleet->config.workers; i++)
    g_array_free (plan->changes[i], TRUE);
  g_free (plan->changes);
  g_free (plan);
}

void
fleet_capacity_tick (capacity_plan_t *plan, usec_t now)
{
  const fleet_config_t *config = &plan->fleet->config;
  GRand *random = plan->fleet->random;
  change_t change = { now, FULL_CORES };

  if (!config->resize_every || now < plan->due)
    return;
  plan->due = now + config->resize_every * USEC_PER_MSEC;
  if (g_rand_boolean (random))
    change.cores = (uint32_t)g_rand_int_range (random, 0, SMALL_CORES_MAX + 1);
  g_array_append_val (
      plan->changes[g_rand_int_range (random, 0, (gint32)config->workers)],
      change);
}

uint32_t
fleet_capacity_cores (const capacity_plan_t *plan, uint32_t worker)
{
  const GArray *changes = plan->changes[worker];

  return g_array_index (changes, change_t, changes->len - 1).cores;
}

uint32_t
fleet_capacity_limit (const capacity_plan_t *plan, uint32_t worker,
                      usec_t since)
{
  const GArray *changes = plan->changes[worker];
  uint32_t most = 0;

  for (guint i = changes->len; i > 0; i--)
    {
      const change_t *change = &g_array_index (changes, change_t, i - 1);

      most = MAX (most, change->cores);
      if (change->at <= since)
        break;
    }
  return most;
}
