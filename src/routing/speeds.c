/** @file
 * Detection of slow VMs.
 */
#include "routing/speeds.h"

#include <glib.h>

#define RUN_TIME_WEIGHT 0.125 /* of one run time; a VM ends 8 within 0.1 s */
#define RATIO_MAX 3.0         /* limits the effect of a single overrun */
#define SLOW_ABOVE_RATIO 1.5  /* without interference run times vary by 1/4 */
#define SLOW_END_RATIO 1.25
#define DECAY_INTERVAL (500 * USEC_PER_MSEC)
#define DECAY_PART 0.2 /* of the excess over 1, for each idle interval */

typedef struct
{
  double ratio; /* run time to the median of the class, weighted mean */
  usec_t recorded_at;
  bool slow;
} vm_speed_t;

struct speeds
{
  GHashTable *vms; /* handle_t -> vm_speed_t */
  usec_t decayed_at;
};

static bool update_slow (vm_speed_t *entry);

speeds_t *
speeds_new (void)
{
  speeds_t *speeds = g_new0 (speeds_t, 1);

  speeds->vms = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return speeds;
}

void
speeds_free (speeds_t *speeds)
{
  g_hash_table_destroy (speeds->vms);
  g_free (speeds);
}

bool
speeds_record (speeds_t *speeds, usec_t now, handle_t vm, usec_t run_time,
               usec_t median)
{
  vm_speed_t *entry = g_hash_table_lookup (speeds->vms, GUINT_TO_POINTER (vm));
  double ratio = (double)run_time / (double)MAX (median, 1);

  if (!entry)
    {
      entry = g_new0 (vm_speed_t, 1);
      entry->ratio = 1.0;
      g_hash_table_insert (speeds->vms, GUINT_TO_POINTER (vm), entry);
    }
  entry->ratio += RUN_TIME_WEIGHT * (MIN (ratio, RATIO_MAX) - entry->ratio);
  entry->recorded_at = now;
  return update_slow (entry);
}

void
speeds_forget (speeds_t *speeds, handle_t vm)
{
  g_hash_table_remove (speeds->vms, GUINT_TO_POINTER (vm));
}

bool
speeds_is_slow (const speeds_t *speeds, handle_t vm)
{
  const vm_speed_t *entry
      = g_hash_table_lookup (speeds->vms, GUINT_TO_POINTER (vm));

  return entry && entry->slow;
}

usec_t
speeds_tick (speeds_t *speeds, usec_t now,
             void (*changed) (void *ctx, handle_t vm), void *ctx)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  bool any_slow = false;

  if (now - speeds->decayed_at < DECAY_INTERVAL)
    return speeds->decayed_at + DECAY_INTERVAL;
  speeds->decayed_at = now;
  g_hash_table_iter_init (&iter, speeds->vms);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      vm_speed_t *entry = value;

      if (!entry->slow)
        continue;
      any_slow = true;
      if (now - entry->recorded_at < DECAY_INTERVAL)
        continue;
      entry->ratio += DECAY_PART * (1.0 - entry->ratio);
      if (update_slow (entry))
        changed (ctx, GPOINTER_TO_UINT (key));
    }
  return any_slow ? now + DECAY_INTERVAL : USEC_NEVER;
}

/** @return true if the VM became slow or is not slow any more */
static bool
update_slow (vm_speed_t *entry)
{
  bool slow = entry->ratio > (entry->slow ? SLOW_END_RATIO : SLOW_ABOVE_RATIO);
  bool changed = slow != entry->slow;

  entry->slow = slow;
  return changed;
}
