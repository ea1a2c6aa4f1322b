/** @file
 * Model of the interference between co-located tasks: how much a task that
 * uses leftover capacity (the aggressor) raises the tail latency of a task
 * with a latency target (the victim), learned for each pair of images.
 *
 * A victim is modeled as a queue: its tail latency is that of the idle task
 * divided by (1 - utilization).  The utilization is the victim's own load
 * plus, for each aggressor, the slope of the pair of images times the cores
 * in use.  On this scale effects are additive, and a single report of a tail
 * far over its target does not outweigh all others.  A Kalman filter with a
 * diagonal covariance splits each prediction error between the own load,
 * which fluctuates, and the slopes, in proportion to their uncertainty.  Does
 * no I/O and reads no clock.
 */
#ifndef INTERFERENCE_INTERFERENCE_H
#define INTERFERENCE_INTERFERENCE_H

#include "base/types.h"

#include <glib.h>

/** Process-local identifier of an image, 0 for none. */
typedef uint32_t image_id_t;

typedef struct interference interference_t;

/** Cores in use by co-located tasks of one image, averaged over the interval
    of a report. */
typedef struct
{
  image_id_t image;
  double cores;
} disturbance_t;

/** Estimated load of one victim without its aggressors. */
typedef struct
{
  double load;     /**< current utilization */
  double variance; /**< of the load estimate, 0 before the first report */
  double peak;     /**< decaying maximum of the load, which fluctuates
                        within seconds */
} own_load_t;

interference_t *interference_new (void);
void interference_free (interference_t *model);

/** Limits on the names that get an identifier: callers choose them, and they
    are kept until the process ends. */
#define INTERFERENCE_MAX_IMAGES 4096U
#define INTERFERENCE_MAX_NAME_BYTES 127U

/** @return the identifier of an image name, 0 if it is empty, NULL, longer
   than INTERFERENCE_MAX_NAME_BYTES or one more than INTERFERENCE_MAX_IMAGES:
    tasks of such images are treated as those without one */
image_id_t interference_image_id (const char *name);

/** Updates the model from one report of a victim.
    @param own load estimate of the task; zeroed before its first report
    @param elapsed time since the last report of the task
    @param tail_ms reported tail latency
    @param disturbances aggressors during the interval of the report */
void interference_observe (interference_t *model, image_id_t victim,
                           own_load_t *own, usec_t elapsed, double tail_ms,
                           const disturbance_t *disturbances, size_t count);

/** @return the utilization that the disturbances add to the victim */
double interference_added_utilization (const interference_t *model,
                                       image_id_t victim,
                                       const disturbance_t *disturbances,
                                       size_t count);

/** @return the utilization at which the tail latency reaches TARGET_MS, 1 if
    no report of the image was seen */
double interference_max_utilization (const interference_t *model,
                                     image_id_t victim, double target_ms);

/** @return the utilization that one core of AGGRESSOR adds to VICTIM */
double interference_slope (const interference_t *model, image_id_t victim,
                           image_id_t aggressor);

/** @return whether the pair's slope is known with sufficient precision */
bool interference_slope_is_known (const interference_t *model,
                                  image_id_t victim, image_id_t aggressor);

/** Encodes the idle tails and slopes, so that another process can continue
    with them. */
void interference_encode (const interference_t *model, GByteArray *out);

/** Replaces the contents of the model with an encoded model.  Fields that a
    later build has appended are ignored.
    @return 0, or -EBADMSG: rows before the malformed one are kept */
int interference_decode (interference_t *model, blob_t bytes);

/** Limits trials, that is placements of an aggressor whose slope is unknown,
    to one for each pair at a time.
    @return whether no trial of the pair began within SPAN before NOW */
bool interference_trial_allowed (const interference_t *model,
                                 image_id_t victim, image_id_t aggressor,
                                 usec_t now, usec_t span);

/** Records the start of a trial. */
void interference_trial_started (interference_t *model, image_id_t victim,
                                 image_id_t aggressor, usec_t now);

#endif
