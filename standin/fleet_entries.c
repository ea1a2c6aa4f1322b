/** @file
 * Entries of the stand-in's workers in the store: they expire in silence, as a
 * worker does not reach the store, or with an outage of the store, while the
 * worker runs on.
 */
#include "fleet.h"
#include "net/clock.h"

#include <string.h>

/* An entry expires after this time without a report. */
#define SILENCE (3 * FLEET_REPORT_INTERVAL)
/* A worker does not reach the store for so long. */
#define AWAY_LEAST_MS 500
#define AWAY_MOST_MS 9000
/* An entry that expired in an outage is back this much later, and when its
   worker next reports. */
#define BACK_MOST_MS 900
/* Of the outages in which entries expire, half take all and half this share.
 */
#define EXPIRED_SHARE 0.6
#define REPORTS_KEPT 16U

typedef struct
{
  char id[16]; /* empty: no entry */
  usec_t away_until;
  usec_t reports[REPORTS_KEPT]; /* times of the last ones, latest first */
} row_t;

struct entries
{
  fleet_t *fleet;
  usec_t due;
  bool down; /* the store */
  row_t *rows;
};

static void drop (entries_t *entries, row_t *row);

entries_t *
fleet_entries_new (fleet_t *fleet)
{
  entries_t *entries = g_new0 (entries_t, 1);

  entries->fleet = fleet;
  entries->rows = g_new0 (row_t, fleet->config.workers);
  entries->due = clock_now () + fleet->config.away_every * USEC_PER_MSEC;
  return entries;
}

void
fleet_entries_free (entries_t *entries)
{
  g_free (entries->rows);
  g_free (entries);
}

static void
drop (entries_t *entries, row_t *row)
{
  fleet_log ("entry of %s goes", row->id);
  fleet_store_put (entries->fleet->store, "keyed.servers", row->id, "");
  row->id[0] = '\0';
}

bool
fleet_entry_can_report (const entries_t *entries, uint32_t worker, usec_t now)
{
  return !entries->down && now >= entries->rows[worker].away_until;
}

void
fleet_entry_away (entries_t *entries, uint32_t worker, usec_t until)
{
  entries->rows[worker].away_until = until;
}

void
fleet_entry_report (entries_t *entries, uint32_t worker, usec_t now,
                    const char *id, const char *entry)
{
  row_t *row = &entries->rows[worker];

  if (*row->id && strcmp (row->id, id) != 0)
    drop (entries, row);
  g_strlcpy (row->id, id, sizeof row->id);
  memmove (row->reports + 1, row->reports,
           sizeof row->reports - sizeof *row->reports);
  row->reports[0] = now;
  fleet_store_put (entries->fleet->store, "keyed.servers", id, entry);
}

void
fleet_entry_leave (entries_t *entries, uint32_t worker, usec_t now)
{
  row_t *row = &entries->rows[worker];

  if (*row->id && fleet_entry_can_report (entries, worker, now))
    drop (entries, row);
}

usec_t
fleet_entry_last_report (const entries_t *entries, uint32_t worker, usec_t at)
{
  const row_t *row = &entries->rows[worker];

  for (uint32_t i = 0; i < REPORTS_KEPT; i++)
    if (row->reports[i] <= at)
      return row->reports[i];
  return row->reports[REPORTS_KEPT - 1];
}

/* An outage is over: the entries that expired in it are missing for those who
   read the list now. */
static void
expire_with_outage (entries_t *entries, usec_t now)
{
  fleet_t *fleet = entries->fleet;
  double share = g_rand_boolean (fleet->random) ? 1 : EXPIRED_SHARE;

  for (uint32_t i = 0; i < fleet->config.workers; i++)
    {
      row_t *row = &entries->rows[i];

      if (!*row->id || !fleet_chance (fleet, share))
        continue;
      drop (entries, row);
      row->away_until
          = MAX (row->away_until,
                 now
                     + g_rand_int_range (fleet->random, 0, BACK_MOST_MS)
                           * USEC_PER_MSEC);
    }
}

static void
draw_away (entries_t *entries, usec_t now)
{
  fleet_t *fleet = entries->fleet;
  row_t *row;

  if (!fleet->config.away_every || now < entries->due)
    return;
  entries->due = now + fleet->config.away_every * USEC_PER_MSEC;
  row = &entries->rows[g_rand_int_range (fleet->random, 0,
                                         (gint32)fleet->config.workers)];
  row->away_until
      = now
        + g_rand_int_range (fleet->random, AWAY_LEAST_MS, AWAY_MOST_MS)
              * USEC_PER_MSEC;
}

void
fleet_entries_tick (entries_t *entries, usec_t now)
{
  fleet_t *fleet = entries->fleet;
  bool down = fleet_store_is_down (fleet->store, now);

  if (entries->down && !down
      && fleet_chance (fleet, fleet->config.expire_share))
    expire_with_outage (entries, now);
  entries->down = down;
  if (!fleet->spells_over)
    draw_away (entries, now);
  for (uint32_t i = 0; i < fleet->config.workers; i++)
    {
      row_t *row = &entries->rows[i];

      if (fleet->spells_over)
        row->away_until
            = MIN (row->away_until, now + BACK_MOST_MS * USEC_PER_MSEC);
      if (*row->id && !down && fleet->config.expire
          && now - row->reports[0] > SILENCE)
        drop (entries, row);
    }
}
