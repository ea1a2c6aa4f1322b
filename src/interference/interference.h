/** @file
 * How much tasks that use leftover capacity raise the tail latency of tasks
 * with a target, learned for each pair of images.
 *
 * A task with a target is seen as a queue: its tail is that of an idle one
 * divided by (1 - utilization).  The utilization is its own load plus, for
 * each disturbing task beside it, a slope of the pair of images times the
 * cores in use.  In these terms effects add up, and one report of a tail far
 * over its target does not outweigh all others.  A Kalman filter with a
 * diagonal covariance divides each surprise between the own load, which
 * swings, and the slopes, by how uncertain each is.  Does no I/O and reads no
 * clock.
 */
#ifndef INTERFERENCE_INTERFERENCE_H
#define INTERFERENCE_INTERFERENCE_H

#include "base/types.h"

#include <glib.h>

/** An image as a small number, 0 for none. */
typedef uint32_t image_id_t;

typedef struct interference interference_t;

/** Cores in use by tasks of one image, averaged over the span of a report. */
typedef struct
{
  image_id_t image;
  double cores;
} disturbance_t;

/** What is known of one task with a target. */
typedef struct
{
  double load;     /**< its own utilization at present */
  double variance; /**< of that estimate, 0 before the first report */
  double peak;     /**< highest of late; loads swing within seconds */
} own_load_t;

interference_t *interference_new (void);
void interference_free (interference_t *model);

/** @return the number of an image; the same for the same name */
image_id_t interference_image_id (const char *name);

/** Learns from one report.
    @param own of the task; zeroed before its first report
    @param elapsed since its last report
    @param tail_ms its reported tail latency
    @param beside what disturbed it during the span of the report */
void interference_observe (interference_t *model, image_id_t served,
                           own_load_t *own, usec_t elapsed, double tail_ms,
                           const disturbance_t *beside, size_t count);

/** @return the utilization that the disturbance adds */
double interference_added_utilization (const interference_t *model,
                                       image_id_t served,
                                       const disturbance_t *beside,
                                       size_t count);

/** @return the utilization at which the tail reaches TARGET_MS */
double interference_max_utilization (const interference_t *model,
                                     image_id_t served, double target_ms);

/** @return what one core of DISTURBING adds to the utilization of SERVED */
double interference_slope (const interference_t *model, image_id_t served,
                           image_id_t disturbing);

/** @return whether enough reports told the pair's slope */
bool interference_slope_is_known (const interference_t *model,
                                  image_id_t served, image_id_t disturbing);

/** Encodes what was learned, so that another process can go on with it. */
void interference_encode (const interference_t *model, GByteArray *out);

/** Takes over what was learned elsewhere, in place of the model's own.
    @return 0, or -EBADMSG: rows up to the malformed one are taken */
int interference_decode (interference_t *model, blob_t bytes);

/** Asks to place a task whose effect is not known: one a pair at a time.
    @return whether no other one was begun within SPAN before NOW */
bool interference_trial_allowed (const interference_t *model,
                                 image_id_t served, image_id_t disturbing,
                                 usec_t now, usec_t span);

/** A task whose effect is not known was placed. */
void interference_trial_started (interference_t *model, image_id_t served,
                                 image_id_t disturbing, usec_t now);

#endif
