/** @file
 * How fast each VM runs its work.
 */
#include "routing/speeds.h"

#include <glib.h>

#define WEIGHT 0.125  /* of one run time: 8 of them are seen within 0.1 s */
#define RATIO_MAX 3.0 /* one overrun says little about its VM */
#define SLOW_FROM 1.5 /* run times vary by a quarter on a quiet VM */
#define SLOW_UNTIL 1.25
#define DECAY_INTERVAL (500 * USEC_PER_MSEC)
#define DECAY 0.2 /* of the excess, in each interval without a run */

typedef struct
{
  double ratio; /* run time over the usual one */
  usec_t noted_at;
  bool slow;
} row_t;

struct speeds
{
  GHashTable *rows; /* vm -> row_t */
  usec_t decayed_at;
};

static bool update (row_t *row);

speeds_t *
speeds_new (void)
{
  speeds_t *speeds = g_new0 (speeds_t, 1);

  speeds->rows = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return speeds;
}

void
speeds_free (speeds_t *speeds)
{
  g_hash_table_destroy (speeds->rows);
  g_free (speeds);
}

bool
speeds_note (speeds_t *speeds, usec_t now, handle_t vm, usec_t run_time,
             usec_t usual)
{
  row_t *row = g_hash_table_lookup (speeds->rows, GUINT_TO_POINTER (vm));
  double ratio = (double)run_time / (double)MAX (usual, 1);

  if (!row)
    {
      row = g_new0 (row_t, 1);
      row->ratio = 1.0;
      g_hash_table_insert (speeds->rows, GUINT_TO_POINTER (vm), row);
    }
  row->ratio += WEIGHT * (MIN (ratio, RATIO_MAX) - row->ratio);
  row->noted_at = now;
  return update (row);
}

void
speeds_forget (speeds_t *speeds, handle_t vm)
{
  g_hash_table_remove (speeds->rows, GUINT_TO_POINTER (vm));
}

bool
speeds_slow (const speeds_t *speeds, handle_t vm)
{
  const row_t *row = g_hash_table_lookup (speeds->rows, GUINT_TO_POINTER (vm));

  return row && row->slow;
}

usec_t
speeds_tick (speeds_t *speeds, usec_t now,
             void (*changed) (void *ctx, handle_t vm), void *ctx)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  bool any = false;

  if (now - speeds->decayed_at < DECAY_INTERVAL)
    return speeds->decayed_at + DECAY_INTERVAL;
  speeds->decayed_at = now;
  g_hash_table_iter_init (&iter, speeds->rows);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      row_t *row = value;

      if (!row->slow)
        continue;
      any = true;
      if (now - row->noted_at < DECAY_INTERVAL)
        continue;
      row->ratio += DECAY * (1.0 - row->ratio);
      if (update (row))
        changed (ctx, GPOINTER_TO_UINT (key));
    }
  return any ? now + DECAY_INTERVAL : USEC_NEVER;
}

/** @return true if the VM became slow or ceased to be */
static bool
update (row_t *row)
{
  bool slow = row->ratio > (row->slow ? SLOW_UNTIL : SLOW_FROM);
  bool changed = slow != row->slow;

  row->slow = slow;
  return changed;
}
