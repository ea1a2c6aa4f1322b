/** @file
 * VMs that fail what is sent to them.
 *
 * The share of failures of a VM is compared with that of the better VMs:
 * work that fails wherever it runs says nothing about a VM.  The mean over
 * all attempts would not do, since a VM that fails at once draws most of
 * them, nor the mean over all VMs where most of the VMs of a process fail.
 */
#include "routing/health.h"

#include <glib.h>

#define WEIGHT 0.125      /* of one attempt in the share of failures */
#define EXCESS 0.5        /* over the better VMs: six failures in a row */
#define EXCESS_END 0.15   /* until here a suspect VM stays one */
#define FORGET_BELOW 0.01 /* share of failures */
#define ASIDE_TIME (1 * USEC_PER_SEC) /* doubled each time, up to 8 s */
#define ASIDE_DOUBLINGS 3U
#define CAP_END 8U /* slow start is over at this many slots */

typedef struct
{
  double share;    /* of failures, exponentially weighted */
  usec_t until;    /* aside until here */
  uint32_t times;  /* set aside without a full recovery between */
  uint32_t cap;    /* slots in slow start, 0 for no limit */
  uint32_t streak; /* successes since the cap was raised */
  health_state_t state;
} row_t;

struct health
{
  GHashTable *rows; /* vm -> row_t; VMs that failed lately */
  double sum;       /* of the shares */
  uint32_t fleet;
  uint32_t aside_max;
  uint32_t aside;
};

static row_t *row_of (const health_t *health, handle_t vm);
static double usual_share (const health_t *health);
static bool set_aside (health_t *health, usec_t now, row_t *row);
static bool raise_cap (row_t *row);

health_t *
health_new (void)
{
  health_t *health = g_new0 (health_t, 1);

  health->rows = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return health;
}

void
health_free (health_t *health)
{
  g_hash_table_destroy (health->rows);
  g_free (health);
}

void
health_set_fleet (health_t *health, uint32_t vms, bool shared)
{
  health->fleet = vms;
  health->aside_max = MAX (vms / 2, shared ? 1 : 0);
}

bool
health_note (health_t *health, usec_t now, handle_t vm, bool good)
{
  row_t *row = row_of (health, vm);
  double before;

  if (!row)
    {
      if (good)
        return false;
      row = g_new0 (row_t, 1);
      g_hash_table_insert (health->rows, GUINT_TO_POINTER (vm), row);
    }
  before = row->share;
  row->share += WEIGHT * ((good ? 0.0 : 1.0) - row->share);
  health->sum += row->share - before;
  if (row->state == HEALTH_ASIDE)
    return false;
  if (good && row->cap)
    return raise_cap (row);
  if (good && row->state == HEALTH_SUSPECT
      && row->share < usual_share (health) + EXCESS_END)
    {
      row->state = HEALTH_GOOD;
      return true;
    }
  if (good && row->state == HEALTH_GOOD && row->share < FORGET_BELOW)
    health_forget (health, vm);
  if (good)
    return false;
  return (row->cap
          || (row->share >= EXCESS
              && row->share >= usual_share (health) + EXCESS))
         && set_aside (health, now, row);
}

void
health_forget (health_t *health, handle_t vm)
{
  row_t *row = row_of (health, vm);

  if (!row)
    return;
  health->sum -= row->share;
  health->aside -= row->state == HEALTH_ASIDE;
  g_hash_table_remove (health->rows, GUINT_TO_POINTER (vm));
}

health_state_t
health_state (const health_t *health, handle_t vm)
{
  const row_t *row = row_of (health, vm);

  return row ? row->state : HEALTH_GOOD;
}

uint32_t
health_cap (const health_t *health, handle_t vm)
{
  const row_t *row = row_of (health, vm);

  if (!row)
    return 0;
  return row->state == HEALTH_SUSPECT ? 1 : row->cap;
}

handle_t
health_due (health_t *health, usec_t now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (!health->aside)
    return HANDLE_NONE;
  g_hash_table_iter_init (&iter, health->rows);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      row_t *row = value;

      if (row->state != HEALTH_ASIDE || row->until > now)
        continue;
      row->state = HEALTH_GOOD;
      row->cap = 1;
      row->streak = 0;
      health->aside--;
      return GPOINTER_TO_UINT (key);
    }
  return HANDLE_NONE;
}

usec_t
health_next (const health_t *health)
{
  usec_t next = USEC_NEVER;
  GHashTableIter iter;
  gpointer value;

  if (!health->aside)
    return USEC_NEVER;
  g_hash_table_iter_init (&iter, health->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const row_t *row = value;

      if (row->state == HEALTH_ASIDE
          && (next == USEC_NEVER || row->until < next))
        next = row->until;
    }
  return next;
}

uint32_t
health_aside (const health_t *health)
{
  return health->aside;
}

static row_t *
row_of (const health_t *health, handle_t vm)
{
  return g_hash_table_lookup (health->rows, GUINT_TO_POINTER (vm));
}

/** @return mean share of failures of the VMs that are not worse than the
    mean; 0 for a single VM, which has no others */
static double
usual_share (const health_t *health)
{
  uint32_t known = g_hash_table_size (health->rows);
  uint32_t count = health->fleet > known ? health->fleet - known : 0;
  double mean = health->sum / MAX (health->fleet, 1);
  double sum = 0;
  GHashTableIter iter;
  gpointer value;

  if (health->fleet <= 1)
    return 0;
  g_hash_table_iter_init (&iter, health->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const row_t *row = value;

      if (row->share > mean)
        continue;
      sum += row->share;
      count++;
    }
  return count ? sum / count : mean;
}

/** At most half of the fleet is set aside at once: more would fail the rest
    by overload. */
static bool
set_aside (health_t *health, usec_t now, row_t *row)
{
  bool changed = row->state != HEALTH_SUSPECT;

  if (!health->aside_max)
    return false;
  if (health->aside >= health->aside_max)
    {
      row->state = HEALTH_SUSPECT;
      row->cap = 0;
      return changed;
    }
  row->state = HEALTH_ASIDE;
  row->until = now + (ASIDE_TIME << MIN (row->times, ASIDE_DOUBLINGS));
  row->times++;
  health->aside++;
  return true;
}

static bool
raise_cap (row_t *row)
{
  if (++row->streak < row->cap)
    return false;
  row->streak = 0;
  row->cap *= 2;
  if (row->cap >= CAP_END)
    {
      row->cap = 0;
      row->times = 0;
    }
  return true;
}
