/** @file
 * Detection and ejection of failing VMs.
 *
 * A VM that fails far more often than the others is ejected for some time.
 * Then it gets one request at a time, and more as these succeed (slow start).
 * Does no I/O.
 */
#ifndef ROUTING_HEALTH_H
#define ROUTING_HEALTH_H

#include "base/table.h"

typedef struct health health_t;

health_t *health_new (void);
void health_free (health_t *health);

/** Sets the number of VMs that this process may use, ejected ones included.
    @param has_peers peers have VMs too, so that a single VM may be ejected */
void health_set_vm_count (health_t *health, uint32_t count, bool has_peers);

/** Records the result of an attempt.
    @return true if health_state or health_cap of the VM changed */
bool health_record (health_t *health, usec_t now, handle_t vm, bool succeeded);

/** Discards the record of a removed VM. */
void health_forget (health_t *health, handle_t vm);

typedef enum
{
  HEALTH_GOOD,
  HEALTH_SUSPECT, /**< fails, but half of the VMs are ejected already: use it
                       only for requests that would not run otherwise */
  HEALTH_EJECTED
} health_state_t;

health_state_t health_state (const health_t *health, handle_t vm);

/** @return maximum number of slots to use on the VM, 0 for no limit */
uint32_t health_cap (const health_t *health, handle_t vm);

/** Readmits one VM whose ejection has ended, in slow start.
    @return the VM, HANDLE_NONE if there is none left (call until then) */
handle_t health_readmit (health_t *health, usec_t now);

/** @return when the next ejection ends, USEC_NEVER if no VM is ejected */
usec_t health_next_readmission (const health_t *health);

/** @return number of ejected VMs */
uint32_t health_ejected (const health_t *health);

#endif
