/** @file
 * Availability zones that the operator has evacuated.
 */
#include "zones/zones.h"
#include "base/counters.h"
#include "base/log.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* Names beyond this number are ignored, so that records with ever new names
   do not use up the memory. */
#define ZONES_MAX 1024U

typedef struct
{
  char name[ZONE_NAME_SIZE];
  bool evacuated;
  bool listed; /* in the list that is being read */
  uint64_t version;
  usec_t changed_at;
} zone_t;

struct zones
{
  GArray *rows; /* zone_t */
  bool confirmed;
  usec_t confirmed_at;
  bool overflow_logged;
};

static zone_t *find (const zones_t *zones, const char *name);
static zone_t *find_or_add (zones_t *zones, const char *name);
static bool set_evacuated (zones_t *zones, usec_t now, zone_t *zone,
                           bool evacuated);

zones_t *
zones_new (void)
{
  zones_t *zones = g_new0 (zones_t, 1);

  zones->rows = g_array_new (FALSE, TRUE, sizeof (zone_t));
  return zones;
}

void
zones_free (zones_t *zones)
{
  if (!zones)
    return;
  g_array_free (zones->rows, TRUE);
  g_free (zones);
}

static zone_t *
find (const zones_t *zones, const char *name)
{
  for (guint i = 0; i < zones->rows->len; i++)
    {
      zone_t *zone = &g_array_index (zones->rows, zone_t, i);

      if (strcmp (zone->name, name) == 0)
        return zone;
    }
  return NULL;
}

static zone_t *
find_or_add (zones_t *zones, const char *name)
{
  zone_t *zone = find (zones, name);

  if (zone)
    return zone;
  if (zones->rows->len >= ZONES_MAX)
    {
      if (!zones->overflow_logged)
        log_line (LOG_LEVEL_ERR, "zone.ignored", NULL,
                  "zone=%s more than %u zones are named", name, ZONES_MAX);
      zones->overflow_logged = true;
      return NULL;
    }
  g_array_set_size (zones->rows, zones->rows->len + 1);
  zone = &g_array_index (zones->rows, zone_t, zones->rows->len - 1);
  g_strlcpy (zone->name, name, sizeof zone->name);
  return zone;
}

bool
zones_apply (zones_t *zones, usec_t now, const zone_record_t *record,
             uint64_t version)
{
  zone_t *zone = find_or_add (zones, record->zone);

  if (!zone)
    return false;
  zone->listed = true;
  /* A list that is read again repeats records, and its pages may be older
     than records that were read one by one. */
  if (zone->changed_at && version <= zone->version)
    return false;
  if (record->damaged)
    log_line (LOG_LEVEL_WARNING, "zone.unreadable", NULL,
              "zone=%s version=%" PRIu64 " taken as a request to evacuate",
              zone->name, version);
  zone->version = version;
  return set_evacuated (zones, now, zone, record->evacuated);
}

static bool
set_evacuated (zones_t *zones, usec_t now, zone_t *zone, bool evacuated)
{
  usec_t before = zone->changed_at ? now - zone->changed_at : 0;
  bool changed = zone->evacuated != evacuated;

  if (changed && evacuated)
    log_line (LOG_LEVEL_NOTICE, "zone.evacuated", NULL,
              "zone=%s version=%" PRIu64, zone->name, zone->version);
  else if (changed)
    log_line (LOG_LEVEL_NOTICE, "zone.returned", NULL,
              "zone=%s version=%" PRIu64 " evacuated_ms=%" PRId64, zone->name,
              zone->version, usec_to_msec (before));
  if (changed || !zone->changed_at)
    zone->changed_at = now;
  zone->evacuated = evacuated;
  counter_set (COUNTER_ZONES_EVACUATED, zones_count_evacuated (zones));
  return changed;
}

void
zones_begin_list (zones_t *zones)
{
  for (guint i = 0; i < zones->rows->len; i++)
    g_array_index (zones->rows, zone_t, i).listed = false;
}

bool
zones_end_list (zones_t *zones, usec_t now, uint64_t version)
{
  bool changed = false;

  for (guint i = 0; i < zones->rows->len; i++)
    {
      zone_t *zone = &g_array_index (zones->rows, zone_t, i);

      if (zone->listed || zone->version >= version)
        continue;
      zone->version = version - 1;
      changed |= set_evacuated (zones, now, zone, false);
    }
  return changed;
}

void
zones_confirm (zones_t *zones, usec_t sent)
{
  zones->confirmed_at
      = zones->confirmed ? MAX (zones->confirmed_at, sent) : sent;
  zones->confirmed = true;
}

usec_t
zones_age (const zones_t *zones, usec_t now)
{
  return zones->confirmed ? now - zones->confirmed_at : INT64_MAX;
}

bool
zones_is_evacuated (const zones_t *zones, const char *name)
{
  const zone_t *zone = find (zones, name);

  return zone && zone->evacuated;
}

uint32_t
zones_count_evacuated (const zones_t *zones)
{
  uint32_t count = 0;

  for (guint i = 0; i < zones->rows->len; i++)
    count += g_array_index (zones->rows, zone_t, i).evacuated;
  return count;
}

json_t *
zones_dump (const zones_t *zones, usec_t now)
{
  json_t *dump = json_array ();

  for (guint i = 0; i < zones->rows->len; i++)
    {
      const zone_t *zone = &g_array_index (zones->rows, zone_t, i);

      if (zone->evacuated)
        json_array_append_new (
            dump,
            json_pack ("{s:s, s:I, s:I}", "zone", zone->name, "version",
                       (json_int_t)zone->version, "evacuated_ms",
                       (json_int_t)usec_to_msec (now - zone->changed_at)));
    }
  return dump;
}
