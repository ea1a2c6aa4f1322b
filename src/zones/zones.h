/** @file
 * Availability zones that the operator has evacuated: no task is started
 * there until the zone is taken back.
 *
 * The state follows the operator's records, whose versions rise.  Whoever
 * starts tasks has to check the age of the state too, since a record may have
 * been written after the last read.  Does no I/O and reads no clock.
 */
#ifndef ZONES_ZONES_H
#define ZONES_ZONES_H

#include "base/types.h"

#include <jansson.h>

/** Size of a zone's name with its terminating null byte. */
#define ZONE_NAME_SIZE 256U

/** An operator's record about one zone. */
typedef struct
{
  char zone[ZONE_NAME_SIZE];
  bool evacuated; /**< false: the zone is taken back */
  bool damaged;   /**< its contents are unreadable, but not its zone */
} zone_record_t;

typedef struct zones zones_t;

zones_t *zones_new (void);
void zones_free (zones_t *zones);

/** Applies a record unless a later one of the same zone was applied.
    @param version rises with each record
    @return whether a zone was evacuated or taken back */
bool zones_apply (zones_t *zones, usec_t now, const zone_record_t *record,
                  uint64_t version);

/** A complete list of the records that are in force begins.  zones_apply is
    called for each of them, then zones_end_list. */
void zones_begin_list (zones_t *zones);

/** Takes back the zones that are missing from the list.
    @param version records with a lower one are in the list if in force
    @return whether a zone was taken back */
bool zones_end_list (zones_t *zones, usec_t now, uint64_t version);

/** All records that were stored before SENT have been applied. */
void zones_confirm (zones_t *zones, usec_t sent);

/** @return time since the moment up to which all records are known,
    INT64_MAX before the first zones_confirm */
usec_t zones_age (const zones_t *zones, usec_t now);

bool zones_is_evacuated (const zones_t *zones, const char *zone);

/** @return number of evacuated zones */
uint32_t zones_count_evacuated (const zones_t *zones);

/** @return rows of zone, version and age of the evacuation, for operators */
json_t *zones_dump (const zones_t *zones, usec_t now);

#endif
