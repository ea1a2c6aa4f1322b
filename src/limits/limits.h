/** @file
 * Slots and connections in use on each instance, counted by its owner.
 *
 * A VM is never given more work than it can hold: limits_acquire refuses above
 * the capacity, and a slot whose attempt was cut off stays taken until its
 * run limit has passed (assumption A3).  Does no I/O.
 */
#ifndef LIMITS_LIMITS_H
#define LIMITS_LIMITS_H

#include "base/table.h"
#include "base/types.h"

#include <jansson.h>

typedef enum
{
  VM_LIVE,
  VM_LEAVING, /**< gets no new work, what runs may finish */
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
  uint32_t in_use; /**< slots taken, lingering ones included */
  vm_state_t state;
} vm_t;

typedef struct limits limits_t;

limits_t *limits_new (void);
void limits_free (limits_t *limits);

/** Adds an instance or updates its state and capacity. @return its handle */
handle_t limits_set_vm (limits_t *limits, const vm_t *vm);

/** @return the VM, NULL if the handle is stale */
const vm_t *limits_vm (const limits_t *limits, handle_t vm);
handle_t limits_find (const limits_t *limits, const char *id);
handle_t limits_next (const limits_t *limits, handle_t after);

/** The VM said that it leaves, or the list did. */
void limits_set_leaving (limits_t *limits, handle_t vm);

/** Takes one slot. @return 0, -EBUSY if full, -ESHUTDOWN if leaving or gone,
    -ENOENT */
int limits_acquire (limits_t *limits, handle_t vm);

/** Gives a slot back after a complete answer or proof that nothing runs. */
void limits_release (limits_t *limits, handle_t vm);

/** Gives a slot back at UNTIL: its attempt was cut off and may still run. */
void limits_release_at (limits_t *limits, handle_t vm, usec_t until);

/** Groups of VMs from which limits_pick chooses.  A new VM is in
    LIMITS_GROUP_NONE. */
#define LIMITS_GROUP_NONE 0U
#define LIMITS_GROUPS 5U

/** Puts a VM into a group.
    @param cap most slots that limits_pick fills, 0 for the VM's own limit */
void limits_set_group (limits_t *limits, handle_t vm, uint32_t group,
                       uint32_t cap);
uint32_t limits_group (const limits_t *limits, handle_t vm);

/** @return the live VM of the group with the smallest share of its slots in
    use, the least recently changed one among equals; HANDLE_NONE if all are
    full.  Constant time. */
handle_t limits_pick (const limits_t *limits, uint32_t group);

/** @return slots that limits_pick can still fill in a group */
uint64_t limits_free_slots (const limits_t *limits, uint32_t group);
/** @return slots of the live VMs of a group, free or not */
uint64_t limits_capacity (const limits_t *limits, uint32_t group);

/** Ends lingering slots that are due. @return when to call again */
usec_t limits_tick (limits_t *limits, usec_t now);

json_t *limits_dump (const limits_t *limits);

#endif
