/** @file
 * Workers of the stand-in that leave: their entries say so, they run on for
 * the time that they name and longer, and end with all that they run.  Another
 * worker then comes in their place.
 */
#include "fleet.h"
#include "net/clock.h"

#define NOTICE_MS 2000
/* Half of them stay this much longer, the others that much. */
#define SHORT_MOST_MS 300
#define LONG_MOST_MS 6000
/* Of those that leave, where workers are away: they do not reach the store any
   more, and their entries expire. */
#define AWAY_SHARE 0.5
/* One in so many leaves at a time, at most. */
#define SHARE_MOST 4U

typedef struct
{
  bool leaves;
  usec_t told_at; /* when the store accepted the first notice, 0: not yet */
  usec_t stays;   /* longer than the notice */
} row_t;

struct leaving
{
  fleet_t *fleet;
  usec_t due;
  row_t *rows; /* by worker */
};

leaving_t *
fleet_leaving_new (fleet_t *fleet)
{
  leaving_t *leaving = g_new0 (leaving_t, 1);

  leaving->fleet = fleet;
  leaving->rows = g_new0 (row_t, fleet->config.workers);
  leaving->due = clock_now () + fleet->config.leave_every * USEC_PER_MSEC;
  return leaving;
}

void
fleet_leaving_free (leaving_t *leaving)
{
  g_free (leaving->rows);
  g_free (leaving);
}

void
fleet_leaving_tick (leaving_t *leaving, usec_t now)
{
  fleet_t *fleet = leaving->fleet;
  uint32_t workers = fleet->config.workers;
  gint32 count;

  if (!fleet->config.leave_every || fleet->spells_over || now < leaving->due)
    return;
  leaving->due = now + fleet->config.leave_every * USEC_PER_MSEC;
  count = g_rand_int_range (fleet->random, 1,
                            (gint32)(workers / SHARE_MOST) + 2);
  for (gint32 i = 0; i < count; i++)
    {
      row_t *row
          = &leaving
                 ->rows[g_rand_int_range (fleet->random, 0, (gint32)workers)];
      bool stays_long = g_rand_boolean (fleet->random);

      if (row->leaves)
        continue;
      row->leaves = true;
      row->told_at = 0;
      row->stays = g_rand_int_range (fleet->random, 0,
                                     stays_long ? LONG_MOST_MS : SHORT_MOST_MS)
                   * USEC_PER_MSEC;
    }
}

bool
fleet_leaving_tell (leaving_t *leaving, uint32_t worker, usec_t now,
                    int *remaining_ms)
{
  fleet_t *fleet = leaving->fleet;
  row_t *row = &leaving->rows[worker];

  if (!row->leaves)
    return false;
  if (!row->told_at)
    {
      row->told_at = now;
      fleet_log ("worker %u leaves in %d ms", worker,
                 NOTICE_MS + (int)usec_to_msec (row->stays));
      if (fleet->config.away_every && fleet_chance (fleet, AWAY_SHARE))
        fleet_entry_away (fleet->entries, worker,
                          now + NOTICE_MS * USEC_PER_MSEC + row->stays);
    }
  *remaining_ms = MAX (0, NOTICE_MS - (int)usec_to_msec (now - row->told_at));
  return true;
}

bool
fleet_leaving_is_told (const leaving_t *leaving, uint32_t worker)
{
  return leaving->rows[worker].leaves && leaving->rows[worker].told_at;
}

bool
fleet_leaving_is_over (const leaving_t *leaving, uint32_t worker, usec_t now)
{
  const row_t *row = &leaving->rows[worker];

  return row->leaves && row->told_at
         && now >= row->told_at + NOTICE_MS * USEC_PER_MSEC + row->stays;
}

void
fleet_leaving_reset (leaving_t *leaving, uint32_t worker)
{
  leaving->rows[worker].leaves = false;
}
