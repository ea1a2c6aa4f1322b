/* Tests of the slot counting: capacity, leaving, lingering, choice. */
#include "limits/limits.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <errno.h>
#include <stdio.h>

#define MS USEC_PER_MSEC

static handle_t add (limits_t *limits, const char *id, uint32_t slots,
                     vm_state_t state);

/* Guards invariant 1: a slot above the capacity is never handed out, and a
   cut attempt keeps its slot until its run limit has passed. */
static void
test_capacity (void)
{
  limits_t *limits = limits_new ();
  handle_t vm = add (limits, "a", 2, VM_LIVE);

  CU_ASSERT_EQUAL (limits_acquire (limits, vm), 0);
  CU_ASSERT_EQUAL (limits_acquire (limits, vm), 0);
  CU_ASSERT_EQUAL (limits_acquire (limits, vm), -EBUSY);
  limits_release_at (limits, vm, 20 * MS);
  limits_release_at (limits, vm, 10 * MS);
  CU_ASSERT_EQUAL (limits_tick (limits, 9 * MS), 10 * MS);
  CU_ASSERT_EQUAL (limits_acquire (limits, vm), -EBUSY);
  CU_ASSERT_EQUAL (limits_tick (limits, 10 * MS), 20 * MS);
  CU_ASSERT_EQUAL (limits_acquire (limits, vm), 0);
  CU_ASSERT_EQUAL (limits_tick (limits, 20 * MS), USEC_NEVER);
  limits_release (limits, vm);
  limits_release (limits, vm);
  limits_release (limits, vm);
  CU_ASSERT_EQUAL (limits_vm (limits, vm)->in_use, 0);
  CU_ASSERT_EQUAL (limits_acquire (limits, HANDLE_NONE), -ENOENT);
  limits_free (limits);
}

/* Guards invariant 7: a list that lags must not bring back a VM that said
   that it leaves; a VM that is gone keeps its row while slots linger. */
static void
test_leaving (void)
{
  limits_t *limits = limits_new ();
  handle_t vm = add (limits, "a", 2, VM_LIVE);

  limits_set_group (limits, vm, 1, 0);
  limits_acquire (limits, vm);
  limits_set_leaving (limits, vm);
  add (limits, "a", 2, VM_LIVE);
  CU_ASSERT_EQUAL (limits_acquire (limits, vm), -ESHUTDOWN);
  CU_ASSERT_EQUAL (limits_pick (limits, 1), HANDLE_NONE);
  CU_ASSERT_EQUAL (limits_free_slots (limits, 1), 0);
  add (limits, "a", 2, VM_LEAVING);
  add (limits, "a", 2, VM_LIVE);
  CU_ASSERT_EQUAL (limits_pick (limits, 1), vm);
  add (limits, "a", 2, VM_GONE);
  CU_ASSERT_PTR_NOT_NULL (limits_vm (limits, vm));
  limits_release (limits, vm);
  CU_ASSERT_PTR_NULL (limits_vm (limits, vm));
  CU_ASSERT_EQUAL (limits_find (limits, "a"), HANDLE_NONE);
  CU_ASSERT_EQUAL (add (limits, "b", 2, VM_GONE), HANDLE_NONE);
  limits_free (limits);
}

/* Guards against a choice that is not the least used VM, that ignores the
   cap, or that crosses groups. */
static void
test_pick (void)
{
  limits_t *limits = limits_new ();
  handle_t a = add (limits, "a", 4, VM_LIVE);
  handle_t b = add (limits, "b", 8, VM_LIVE);
  handle_t c = add (limits, "c", 8, VM_LIVE);

  limits_set_group (limits, a, 1, 0);
  limits_set_group (limits, b, 1, 2);
  limits_set_group (limits, c, 2, 0);
  CU_ASSERT_EQUAL (limits_free_slots (limits, 1), 6);
  for (int i = 0; i < 6; i++)
    limits_acquire (limits, limits_pick (limits, 1));
  CU_ASSERT_EQUAL (limits_vm (limits, a)->in_use, 4);
  CU_ASSERT_EQUAL (limits_vm (limits, b)->in_use, 2);
  CU_ASSERT_EQUAL (limits_pick (limits, 1), HANDLE_NONE);
  CU_ASSERT_EQUAL (limits_capacity (limits, 1), 6);
  CU_ASSERT_EQUAL (limits_pick (limits, 2), c);
  limits_set_group (limits, c, LIMITS_GROUP_NONE, 0);
  CU_ASSERT_EQUAL (limits_pick (limits, 2), HANDLE_NONE);
  limits_release (limits, b);
  CU_ASSERT_EQUAL (limits_pick (limits, 1), b);
  limits_free (limits);
}

static const suite_test_t tests[] = {
  { "capacity", test_capacity },
  { "leaving", test_leaving },
  { "pick", test_pick },
};

int
main (void)
{
  return suite_main ("limits", tests, G_N_ELEMENTS (tests));
}

static handle_t
add (limits_t *limits, const char *id, uint32_t slots, vm_state_t state)
{
  vm_t vm = { .slots = slots, .connections = 64, .state = state };

  snprintf (vm.id, sizeof vm.id, "%s", id);
  return limits_set_vm (limits, &vm);
}
