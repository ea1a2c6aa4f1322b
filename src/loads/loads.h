/** @file
 * Forecast of the loads of tasks that serve users.
 *
 * The tasks of one step share the requests of the same users, so that their
 * loads rise and fall together.  Their reports of the last seconds are
 * collected in one history; a curve with one period, that fits all histories
 * best, is fitted to each.  There is no forecast as long as no period explains
 * the histories much better than their means.  Does no I/O and reads no clock.
 */
#ifndef LOADS_LOADS_H
#define LOADS_LOADS_H

#include "base/types.h"

typedef struct loads loads_t;

/** Identifies the tasks that share a history. */
typedef uint64_t load_key_t;

loads_t *loads_new (void);
void loads_free (loads_t *loads);

/** Adds a reported load.
    @param variance of the report */
void loads_observe (loads_t *loads, load_key_t key, usec_t now, double load,
                    double variance);

/** Fits the curves anew if that is due, and drops histories without recent
    reports. */
void loads_refit (loads_t *loads, usec_t now);

/** @param load set to the expected load at a time
    @return false if there is no forecast */
bool loads_expected (const loads_t *loads, load_key_t key, usec_t at,
                     double *load);

/** @param load set to the highest load that is expected in a span of time
    @return false if there is no forecast */
bool loads_expected_max (const loads_t *loads, load_key_t key, usec_t from,
                         usec_t to, double *load);

/** @return the period of all curves in seconds, 0 for none */
double loads_period_s (const loads_t *loads);

#endif
