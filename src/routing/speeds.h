/** @file
 * Detection of slow VMs by run times, compared with the median of the class.
 * Run times are the only sign of interference on a VM.  Does no I/O.
 */
#ifndef ROUTING_SPEEDS_H
#define ROUTING_SPEEDS_H

#include "base/table.h"

typedef struct speeds speeds_t;

speeds_t *speeds_new (void);
void speeds_free (speeds_t *speeds);

/** Records the run time of an attempt.
    @param median run time of its class
    @return true if speeds_is_slow of the VM changed */
bool speeds_record (speeds_t *speeds, usec_t now, handle_t vm, usec_t run_time,
                    usec_t median);
void speeds_forget (speeds_t *speeds, handle_t vm);

/** @return whether the run times on a VM are much longer than the median */
bool speeds_is_slow (const speeds_t *speeds, handle_t vm);

/** Decays the slowness of VMs without recent attempts, so that they are tried
    again.  Calls CHANGED for each VM that is not slow any more.
    @return when to call again, USEC_NEVER if no VM is slow */
usec_t speeds_tick (speeds_t *speeds, usec_t now,
                    void (*changed) (void *ctx, handle_t vm), void *ctx);

#endif
