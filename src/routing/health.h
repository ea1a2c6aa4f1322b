/** @file
 * VMs that fail what is sent to them.
 *
 * A VM that fails far more often than the others is set aside, then gets one
 * request at a time, and more as it succeeds (slow start).  Does no I/O.
 */
#ifndef ROUTING_HEALTH_H
#define ROUTING_HEALTH_H

#include "base/table.h"

typedef struct health health_t;

health_t *health_new (void);
void health_free (health_t *health);

/** Sets the number of VMs that this process may use, aside ones included.
    @param shared peers have VMs too, so that one VM may always be set aside */
void health_set_fleet (health_t *health, uint32_t vms, bool shared);

/** Notes the end of an attempt.
    @return true if health_state or health_cap of the VM changed */
bool health_note (health_t *health, usec_t now, handle_t vm, bool good);

/** Forgets a VM that has been removed. */
void health_forget (health_t *health, handle_t vm);

typedef enum
{
  HEALTH_GOOD,
  HEALTH_SUSPECT, /**< fails, but half of the fleet is aside already: to be
                       used for what would otherwise not run */
  HEALTH_ASIDE
} health_state_t;

health_state_t health_state (const health_t *health, handle_t vm);

/** @return most slots to use on the VM at once, 0 for no limit */
uint32_t health_cap (const health_t *health, handle_t vm);

/** @return a VM whose time aside is over and which may now be tried again,
    HANDLE_NONE if there is none (call until then) */
handle_t health_due (health_t *health, usec_t now);

/** @return when health_due may find one, USEC_NEVER if none is aside */
usec_t health_next (const health_t *health);

/** @return number of VMs set aside */
uint32_t health_aside (const health_t *health);

#endif
