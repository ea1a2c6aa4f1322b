/** @file
 * How fast each VM runs its work, compared with the usual run time of the
 * class.  Interference on a VM shows only here.  Does no I/O.
 */
#ifndef ROUTING_SPEEDS_H
#define ROUTING_SPEEDS_H

#include "base/table.h"

typedef struct speeds speeds_t;

speeds_t *speeds_new (void);
void speeds_free (speeds_t *speeds);

/** Notes the run time of an attempt. @param usual of its class
    @return true if speeds_slow of the VM changed */
bool speeds_note (speeds_t *speeds, usec_t now, handle_t vm, usec_t run_time,
                  usec_t usual);
void speeds_forget (speeds_t *speeds, handle_t vm);

/** @return whether a VM takes much longer than usual */
bool speeds_slow (const speeds_t *speeds, handle_t vm);

/** Lets VMs that have run nothing lately count as less slow, so that they are
    tried again.  CHANGED is called for each that is not slow any more.
    @return when to call again, USEC_NEVER if no VM is slow */
usec_t speeds_tick (speeds_t *speeds, usec_t now,
                    void (*changed) (void *ctx, handle_t vm), void *ctx);

#endif
