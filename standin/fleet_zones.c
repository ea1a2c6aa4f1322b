/** @file
 * The operator of the stand-in: evacuates availability zones and takes them
 * back, several at a time.
 */
#include "fleet.h"
#include "net/clock.h"

/* A zone stays evacuated for this many intervals at most. */
#define INTERVALS_MAX 3

struct zones_plan
{
  fleet_t *fleet;
  usec_t due;
  usec_t since[FLEET_ZONES]; /* evacuated since then, 0: not */
  usec_t until[FLEET_ZONES];
};

static void put (fleet_t *fleet, uint32_t zone, const char *value);

zones_plan_t *
fleet_zones_new (fleet_t *fleet)
{
  zones_plan_t *plan = g_new0 (zones_plan_t, 1);

  plan->fleet = fleet;
  plan->due = clock_now () + fleet->config.evacuate_every * USEC_PER_MSEC;
  return plan;
}

void
fleet_zones_free (zones_plan_t *plan)
{
  g_free (plan);
}

static void
put (fleet_t *fleet, uint32_t zone, const char *value)
{
  char key[32];

  g_snprintf (key, sizeof key, "evacuate/z%u", zone);
  fleet_store_put (fleet->store, "keyed.op", key, value);
}

void
fleet_zones_tick (zones_plan_t *plan, usec_t now)
{
  fleet_t *fleet = plan->fleet;
  usec_t interval = fleet->config.evacuate_every * USEC_PER_MSEC;
  uint32_t zone;

  for (uint32_t i = 0; i < FLEET_ZONES; i++)
    if (plan->since[i] && now >= plan->until[i])
      {
        plan->since[i] = 0;
        put (fleet, i, "");
      }
  if (!interval || fleet->calm || now < plan->due)
    return;
  plan->due = now + interval;
  zone = (uint32_t)g_rand_int_range (fleet->random, 0, FLEET_ZONES);
  plan->until[zone]
      = now
        + interval * g_rand_int_range (fleet->random, 1, INTERVALS_MAX + 1);
  if (plan->since[zone])
    return;
  plan->since[zone] = now;
  /* One record in four has contents that cannot be read. */
  put (fleet, zone, fleet_chance (fleet, 0.25) ? "\xff{" : "{}");
}

bool
fleet_zone_is_closed (const zones_plan_t *plan, uint32_t zone, usec_t now)
{
  return plan->since[zone]
         && now - plan->since[zone]
                > plan->fleet->config.evacuate_ms * USEC_PER_MSEC;
}
