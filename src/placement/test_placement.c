/* Tests of placement: room, quotas, impossible and leaving cases. */
#include "placement/placement.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
  place_result_t result;
  const char *worker;
} choice_t;

static const placement_ops_t ops = { NULL };

static placement_t *
fleet_new (GRand *random)
{
  static const worker_info_t workers[] = {
    { "small", 0, 1, 4000, 16000, 0, false },
    { "large", 0, 1, 32000, 125000, 0, false },
    { "gpu", 1, 2, 8000, 64000, 2, false },
    { "leaving", 1, 2, 64000, 250000, 0, true },
  };
  placement_t *placement = placement_new (random, &ops, NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (workers); i++)
    placement_worker (placement, 0, &workers[i]);
  return placement;
}

static task_t
task_of (uint64_t order, const char *team, uint64_t millicores,
         uint64_t memory_mb, uint64_t accelerators)
{
  return (task_t){ .order = order,
                   .attempt = 1,
                   .class_name = "blend",
                   .team = team,
                   .millicores = millicores,
                   .memory_mb = memory_mb,
                   .accelerators = accelerators };
}

/* Guards against a worker that is given more than it holds in any dimension
   (invariant 1), new work on a leaving worker (invariant 7), and an
   impossible job that waits for ever. */
static void
test_room (void)
{
  static const choice_t choices[] = {
    { 1000, 1000, 0, PLACE_OK, NULL },
    { 1000, 1000, 2, PLACE_OK, "gpu" },
    { 1000, 1000, 1, PLACE_NO_ROOM, NULL },
    { 32000, 1000, 0, PLACE_OK, "large" },
    { 5000, 1000, 0, PLACE_OK, "gpu" },
    { 5000, 1000, 0, PLACE_NO_ROOM, NULL },
    { 40000, 1000, 0, PLACE_NO_ROOM, NULL },
    { 65000, 1000, 0, PLACE_NEVER_FITS, NULL },
    { 1000, 251000, 0, PLACE_NEVER_FITS, NULL },
    { 1000, 1000, 3, PLACE_NEVER_FITS, NULL },
    { 33000, 1000, 1, PLACE_NEVER_FITS, NULL },
  };
  GRand *random = g_rand_new_with_seed (1);
  placement_t *placement = fleet_new (random);

  for (size_t i = 0; i < G_N_ELEMENTS (choices); i++)
    {
      const choice_t *choice = &choices[i];
      task_t task = task_of (i, "t", choice->millicores, choice->memory_mb,
                             choice->accelerators);
      const char *worker = NULL;

      CU_ASSERT_EQUAL (placement_choose (placement, 0, &task, &worker),
                       choice->result);
      if (choice->worker && worker)
        CU_ASSERT_STRING_EQUAL (worker, choice->worker);
    }
  placement_free (placement);
  g_rand_free (random);
}

/* Guards against room that is lost or gained over adopt, done and remove. */
static void
test_room_comes_back (void)
{
  GRand *random = g_rand_new_with_seed (1);
  placement_t *placement = fleet_new (random);
  uint64_t all = placement_free_millicores (placement);
  task_t big = task_of (1, "t", 40000, 1, 0);
  task_t task = task_of (2, "t", 1000, 1, 0);
  const char *worker = NULL;

  CU_ASSERT_EQUAL (all, 44000);
  placement_adopt (placement, 0, "large", &big);
  placement_adopt (placement, 0, "large", &big);
  CU_ASSERT_EQUAL (placement_free_millicores (placement), all - 32000);
  for (unsigned i = 0; i < 12; i++)
    {
      task.order = 10 + i;
      CU_ASSERT_EQUAL (placement_choose (placement, 0, &task, &worker),
                       PLACE_OK);
      CU_ASSERT_STRING_NOT_EQUAL (worker, "large");
    }
  placement_done (placement, 0, "large", 1, 1, true, 1);
  placement_done (placement, 0, "large", 1, 1, true, 1);
  CU_ASSERT_EQUAL (placement_free_millicores (placement), 32000);
  placement_remove (placement, "small");
  placement_remove (placement, "gpu");
  CU_ASSERT_EQUAL (placement_free_millicores (placement), 32000);
  placement_done (placement, 0, "gpu", 10, 1, true, 1);
  CU_ASSERT_EQUAL (placement_free_millicores (placement), 32000);
  placement_free (placement);
  g_rand_free (random);
}

/* Guards against a team that runs over its quota or never gets it back. */
static void
test_quota (void)
{
  GRand *random = g_rand_new_with_seed (1);
  placement_t *placement = fleet_new (random);
  task_t task = task_of (1, "t", 2000, 1, 0);
  const char *worker = NULL;

  placement_quota (placement, "t", 3000);
  CU_ASSERT_EQUAL (placement_choose (placement, 0, &task, &worker), PLACE_OK);
  task.order = 2;
  CU_ASSERT_EQUAL (placement_choose (placement, 0, &task, &worker),
                   PLACE_OVER_QUOTA);
  task.team = "u";
  CU_ASSERT_EQUAL (placement_choose (placement, 0, &task, &worker), PLACE_OK);
  placement_done (placement, 0, worker, 1, 1, true, 1);
  task.team = "t";
  task.order = 3;
  CU_ASSERT_EQUAL (placement_choose (placement, 0, &task, &worker), PLACE_OK);
  placement_free (placement);
  g_rand_free (random);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite ("placement", NULL, NULL);
  CU_add_test (suite, "room", test_room);
  CU_add_test (suite, "room comes back", test_room_comes_back);
  CU_add_test (suite, "quota", test_quota);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? 1 : 0;
}
