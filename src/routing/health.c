/** @file
 * Detection and ejection of failing VMs.
 *
 * The failure rate of a VM is compared with that of the better VMs, because
 * work that fails on every VM is no sign of a faulty VM.  The mean over all
 * attempts is unsuitable: a VM that fails at once frees its slots quickly and
 * so receives most attempts.  The mean over all VMs is unsuitable where most
 * VMs of a process fail.
 */
#include "routing/health.h"

#include <glib.h>

#define ATTEMPT_WEIGHT 0.125 /* of one attempt in the failure rate */
#define EJECT_EXCESS                                                          \
  0.5 /* above the baseline; six failures in a row reach it */
#define SUSPECT_END_EXCESS 0.15 /* below: a suspect VM is healthy again */
#define FORGET_RATE_BELOW 0.01
#define EJECTION_TIME (1 * USEC_PER_SEC) /* doubled each time, up to 8 s */
#define EJECTION_DOUBLINGS_MAX 3U
#define SLOW_START_END_SLOTS 8U /* slow start is over at this many slots */

typedef struct
{
  double failure_rate; /* exponentially weighted */
  usec_t ejected_until;
  uint32_t ejections; /* since the last completed slow start */
  uint32_t cap;       /* slots in slow start, 0 for no limit */
  uint32_t successes; /* since the cap was last raised */
  health_state_t state;
} vm_health_t;

struct health
{
  GHashTable *vms; /* handle_t -> vm_health_t; VMs with recent failures */
  double rate_sum; /* of the failure rates of all VMs */
  uint32_t vm_count;
  uint32_t ejected_max;
  uint32_t ejected;
};

static vm_health_t *find_vm (const health_t *health, handle_t vm);
static double baseline_rate (const health_t *health);
static bool eject (health_t *health, usec_t now, vm_health_t *entry);
static bool raise_cap (vm_health_t *entry);

health_t *
health_new (void)
{
  health_t *health = g_new0 (health_t, 1);

  health->vms = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return health;
}

void
health_free (health_t *health)
{
  g_hash_table_destroy (health->vms);
  g_free (health);
}

void
health_set_vm_count (health_t *health, uint32_t count, bool has_peers)
{
  health->vm_count = count;
  health->ejected_max = MAX (count / 2, has_peers ? 1 : 0);
}

bool
health_record (health_t *health, usec_t now, handle_t vm, bool succeeded)
{
  vm_health_t *entry = find_vm (health, vm);
  double old_rate;

  if (!entry)
    {
      if (succeeded)
        return false;
      entry = g_new0 (vm_health_t, 1);
      g_hash_table_insert (health->vms, GUINT_TO_POINTER (vm), entry);
    }
  old_rate = entry->failure_rate;
  entry->failure_rate
      += ATTEMPT_WEIGHT * ((succeeded ? 0.0 : 1.0) - entry->failure_rate);
  health->rate_sum += entry->failure_rate - old_rate;
  if (entry->state == HEALTH_EJECTED)
    return false;
  if (succeeded && entry->cap)
    return raise_cap (entry);
  if (succeeded && entry->state == HEALTH_SUSPECT
      && entry->failure_rate < baseline_rate (health) + SUSPECT_END_EXCESS)
    {
      entry->state = HEALTH_GOOD;
      return true;
    }
  if (succeeded && entry->state == HEALTH_GOOD
      && entry->failure_rate < FORGET_RATE_BELOW)
    health_forget (health, vm);
  if (succeeded)
    return false;
  return (entry->cap
          || (entry->failure_rate >= EJECT_EXCESS
              && entry->failure_rate >= baseline_rate (health) + EJECT_EXCESS))
         && eject (health, now, entry);
}

void
health_forget (health_t *health, handle_t vm)
{
  vm_health_t *entry = find_vm (health, vm);

  if (!entry)
    return;
  health->rate_sum -= entry->failure_rate;
  health->ejected -= entry->state == HEALTH_EJECTED;
  g_hash_table_remove (health->vms, GUINT_TO_POINTER (vm));
}

health_state_t
health_state (const health_t *health, handle_t vm)
{
  const vm_health_t *entry = find_vm (health, vm);

  return entry ? entry->state : HEALTH_GOOD;
}

uint32_t
health_cap (const health_t *health, handle_t vm)
{
  const vm_health_t *entry = find_vm (health, vm);

  if (!entry)
    return 0;
  return entry->state == HEALTH_SUSPECT ? 1 : entry->cap;
}

handle_t
health_readmit (health_t *health, usec_t now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (!health->ejected)
    return HANDLE_NONE;
  g_hash_table_iter_init (&iter, health->vms);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      vm_health_t *entry = value;

      if (entry->state != HEALTH_EJECTED || entry->ejected_until > now)
        continue;
      entry->state = HEALTH_GOOD;
      entry->cap = 1;
      entry->successes = 0;
      health->ejected--;
      return GPOINTER_TO_UINT (key);
    }
  return HANDLE_NONE;
}

usec_t
health_next_readmission (const health_t *health)
{
  usec_t next = USEC_NEVER;
  GHashTableIter iter;
  gpointer value;

  if (!health->ejected)
    return USEC_NEVER;
  g_hash_table_iter_init (&iter, health->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const vm_health_t *entry = value;

      if (entry->state == HEALTH_EJECTED
          && (next == USEC_NEVER || entry->ejected_until < next))
        next = entry->ejected_until;
    }
  return next;
}

uint32_t
health_ejected (const health_t *health)
{
  return health->ejected;
}

static vm_health_t *
find_vm (const health_t *health, handle_t vm)
{
  return g_hash_table_lookup (health->vms, GUINT_TO_POINTER (vm));
}

/** @return mean failure rate of the VMs that are not above the overall mean;
    0 if there is only one VM */
static double
baseline_rate (const health_t *health)
{
  uint32_t known = g_hash_table_size (health->vms);
  uint32_t count = health->vm_count > known ? health->vm_count - known : 0;
  double mean = health->rate_sum / MAX (health->vm_count, 1);
  double sum = 0;
  GHashTableIter iter;
  gpointer value;

  if (health->vm_count <= 1)
    return 0;
  g_hash_table_iter_init (&iter, health->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const vm_health_t *entry = value;

      if (entry->failure_rate > mean)
        continue;
      sum += entry->failure_rate;
      count++;
    }
  return count ? sum / count : mean;
}

/** Ejects a VM, or marks it suspect if half of the VMs are ejected already:
    ejecting more would overload the rest.
    @return true if the state of the VM changed */
static bool
eject (health_t *health, usec_t now, vm_health_t *entry)
{
  bool changed = entry->state != HEALTH_SUSPECT;

  if (!health->ejected_max)
    return false;
  if (health->ejected >= health->ejected_max)
    {
      entry->state = HEALTH_SUSPECT;
      entry->cap = 0;
      return changed;
    }
  entry->state = HEALTH_EJECTED;
  entry->ejected_until
      = now
        + (EJECTION_TIME << MIN (entry->ejections, EJECTION_DOUBLINGS_MAX));
  entry->ejections++;
  health->ejected++;
  return true;
}

static bool
raise_cap (vm_health_t *entry)
{
  if (++entry->successes < entry->cap)
    return false;
  entry->successes = 0;
  entry->cap *= 2;
  if (entry->cap >= SLOW_START_END_SLOTS)
    {
      entry->cap = 0;
      entry->ejections = 0;
    }
  return true;
}
