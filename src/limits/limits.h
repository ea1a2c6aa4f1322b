/** @file
 * Slots in use on each VM, counted by the owner of the VM.
 *
 * A VM never gets more work than its slots and connections allow:
 * limits_acquire refuses above the capacity, and the slot of an attempt that
 * got no complete response stays in use until the run limit of the attempt has
 * passed (assumption A3).  Does no I/O.
 */
#ifndef LIMITS_LIMITS_H
#define LIMITS_LIMITS_H

#include "base/table.h"
#include "base/types.h"

#include <jansson.h>

typedef enum
{
  VM_LIVE,
  VM_LEAVING, /**< gets no new work, running attempts may finish */
  VM_GONE
} vm_state_t;

typedef struct
{
  char id[48];
  char address[64]; /**< IP:port */
  uint32_t zone;
  uint32_t shard;
  uint32_t slots;
  uint32_t connections;
  uint32_t in_use; /**< includes slots whose release is delayed */
  vm_state_t state;
} vm_t;

typedef struct limits limits_t;

limits_t *limits_new (void);
void limits_free (limits_t *limits);

/** Adds a VM or updates its state and capacity.
    @return its handle, HANDLE_NONE if the VM is gone and has no slot in use or
    if the table is full */
handle_t limits_set_vm (limits_t *limits, const vm_t *vm);

/** @return the VM, NULL if the handle is stale */
const vm_t *limits_vm (const limits_t *limits, handle_t vm);
handle_t limits_find (const limits_t *limits, const char *id);
handle_t limits_next (const limits_t *limits, handle_t after);

/** Stops new work for a VM that announced that it is leaving. */
void limits_set_leaving (limits_t *limits, handle_t vm);

/** Takes one slot. @return 0, -EBUSY if full, -ESHUTDOWN if leaving or gone,
    -ENOENT if the handle is stale */
int limits_acquire (limits_t *limits, handle_t vm);

/** Releases a slot after a complete response or proof that nothing runs. */
void limits_release (limits_t *limits, handle_t vm);

/** Releases a slot at UNTIL: its attempt got no complete response and may
    still run. */
void limits_release_at (limits_t *limits, handle_t vm, usec_t until);

/** Groups of VMs from which limits_pick chooses.  A new VM belongs to
    LIMITS_GROUP_NONE. */
#define LIMITS_GROUP_NONE 0U
#define LIMITS_GROUPS 5U

/** Puts a VM into a group.
    @param cap maximum of slots in use up to which limits_pick chooses the VM,
    0 for the capacity of the VM */
void limits_set_group (limits_t *limits, handle_t vm, uint32_t group,
                       uint32_t cap);
uint32_t limits_group (const limits_t *limits, handle_t vm);

/** @return the live VM of the group with the smallest share of its slots in
    use, the least recently changed one among equals; HANDLE_NONE if all are
    full.  Constant time. */
handle_t limits_pick (const limits_t *limits, uint32_t group);

/** @return free slots of the VMs of a group, within their caps */
uint64_t limits_free_slots (const limits_t *limits, uint32_t group);
/** @return slots of the live VMs of a group, free or in use, within their
    caps */
uint64_t limits_capacity (const limits_t *limits, uint32_t group);

/** Executes the delayed releases that are due.
    @return when to call again, USEC_NEVER if none is left */
usec_t limits_tick (limits_t *limits, usec_t now);

json_t *limits_dump (const limits_t *limits);

#endif
