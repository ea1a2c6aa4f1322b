/* Tests of placement: room, quotas, impossible and leaving cases. */
#include "placement/placement.h"
#include "support/suite.h"

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

/* Counts of each relief, and the orders concerned first and last. */
typedef struct
{
  unsigned count[ACTION_EVICT + 1];
  uint64_t first;
  uint64_t order;
} reliefs_t;

static void
on_relief (void *ctx, usec_t now, const char *worker, uint64_t order,
           uint64_t attempt, relief_action_t relief)
{
  reliefs_t *reliefs = (reliefs_t *)ctx;

  (void)now;
  (void)worker;
  (void)attempt;
  if (!reliefs->first)
    reliefs->first = order;
  reliefs->count[relief]++;
  reliefs->order = order;
}

static const placement_ops_t ops = { on_relief };

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
    placement_set_worker (placement, 0, &workers[i]);
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
  placement_attempt_ended (placement, 0, "large", 1, 1, true, 1);
  placement_attempt_ended (placement, 0, "large", 1, 1, true, 1);
  CU_ASSERT_EQUAL (placement_free_millicores (placement), 32000);
  placement_remove_worker (placement, "small");
  placement_remove_worker (placement, "gpu");
  CU_ASSERT_EQUAL (placement_free_millicores (placement), 32000);
  placement_attempt_ended (placement, 0, "gpu", 10, 1, true, 1);
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
  placement_attempt_ended (placement, 0, worker, 1, 1, true, 1);
  task.team = "t";
  task.order = 3;
  CU_ASSERT_EQUAL (placement_choose (placement, 0, &task, &worker), PLACE_OK);
  placement_free (placement);
  g_rand_free (random);
}

/* A fleet of equal workers of 32 cores and 128 GB, four to a rack. */
static placement_t *
equal_fleet_new (GRand *random, unsigned count, reliefs_t *reliefs)
{
  placement_t *placement = placement_new (random, &ops, reliefs);
  char id[8];

  for (unsigned i = 0; i < count; i++)
    {
      worker_info_t info = { id, i % 2, i / 4, 32000, 128000, 0, false };

      snprintf (id, sizeof id, "w%u", i);
      placement_set_worker (placement, 0, &info);
    }
  return placement;
}

static const char *
place (placement_t *placement, usec_t now, task_t task)
{
  const char *worker = NULL;

  return placement_choose (placement, now, &task, &worker) == PLACE_OK ? worker
                                                                       : NULL;
}

/* Guards against declared sizes that are believed although measured use is
   known: too large ones waste workers, too small ones crowd them. */
static void
test_correction (void)
{
  static const struct
  {
    uint64_t used;  /* of 8000 declared */
    unsigned least; /* attempts that then fit on 32 cores */
    unsigned most;
  } cases[] = { { 8000, 3, 4 }, { 2000, 10, 15 }, { 16000, 1, 2 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GRand *random = g_rand_new_with_seed (1);
      placement_t *placement = equal_fleet_new (random, 1, NULL);
      unsigned fit = 0;

      for (unsigned n = 0; n < 400; n++)
        {
          uint64_t used = cases[i].used + (uint64_t)(n % 3) * 100;

          if (place (placement, 0, task_of (n, "t", 8000, 1000, 0)))
            placement_record_usage (placement, 0, "w0", n, 1, used, 1000);
          placement_attempt_ended (placement, 0, "w0", n, 1, true, 1);
        }
      while (fit < 100
             && place (placement, 0, task_of (1000 + fit, "t", 8000, 1000, 0)))
        fit++;
      CU_ASSERT_TRUE (fit >= cases[i].least && fit <= cases[i].most);
      placement_free (placement);
      g_rand_free (random);
    }
}

/* Guards against workers that fail everything and draw all work, against a
   fleet that is set aside whole, and against a worker never tried again. */
static void
test_set_aside (void)
{
  GRand *random = g_rand_new_with_seed (1);
  placement_t *placement = equal_fleet_new (random, 8, NULL);
  uint64_t all = placement_free_millicores (placement);
  usec_t later = 40 * USEC_PER_SEC;
  task_t task = task_of (500, "t", 32000, 1, 0);
  char id[8];

  for (unsigned order = 0; order < 5; order++)
    placement_attempt_ended (placement, 0, "w0", 7, order, false, 1);
  CU_ASSERT_EQUAL (placement_free_millicores (placement), all);
  for (unsigned i = 0; i < 8; i++)
    for (unsigned order = 0; order < 5; order++)
      {
        snprintf (id, sizeof id, "w%u", i);
        placement_attempt_ended (placement, 0, id, order, 1, false, 1);
      }
  CU_ASSERT_EQUAL (placement_free_millicores (placement), all / 2);
  placement_tick (placement, later);
  CU_ASSERT_EQUAL (placement_free_millicores (placement), all);
  placement_adopt (placement, later, "w0", &task);
  placement_attempt_ended (placement, later, "w0", 500, 1, false, 1);
  CU_ASSERT_EQUAL (placement_free_millicores (placement), all - 32000);
  placement_attempt_ended (placement, later, "w0", 501, 1, true, 1);
  CU_ASSERT_EQUAL (placement_free_millicores (placement), all);
  placement_free (placement);
  g_rand_free (random);
}

/* Guards against urgent work that waits behind resumable work, against
   evictions of work that cannot resume, and against two plans for one
   order. */
static void
test_urgent (void)
{
  GRand *random = g_rand_new_with_seed (1);
  reliefs_t reliefs = { { 0 }, 0, 0 };
  placement_t *placement = equal_fleet_new (random, 2, &reliefs);
  task_t plain = task_of (1, "t", 32000, 1, 0);
  task_t resumable = task_of (2, "t", 32000, 1, 0);
  task_t urgent = task_of (3, "t", 16000, 1, 0);
  task_t other = task_of (4, "t", 16000, 1, 0);

  resumable.resumable = true;
  urgent.urgent = true;
  placement_adopt (placement, 0, "w0", &plain);
  placement_adopt (placement, 0, "w1", &resumable);
  CU_ASSERT_PTR_NULL (place (placement, 0, other));
  CU_ASSERT_EQUAL (reliefs.count[ACTION_EVICT], 0);
  CU_ASSERT_PTR_NULL (place (placement, 0, urgent));
  CU_ASSERT_PTR_NULL (place (placement, 0, urgent));
  CU_ASSERT_EQUAL (reliefs.count[ACTION_EVICT], 1);
  CU_ASSERT_EQUAL (reliefs.order, 2);
  placement_attempt_ended (placement, 0, "w1", 2, 1, true, 0);
  other.millicores = 20000;
  CU_ASSERT_PTR_NULL (place (placement, 0, other));
  CU_ASSERT_PTR_NOT_NULL (place (placement, 0, urgent));
  placement_free (placement);
  g_rand_free (random);
}

/* Guards against relief that evicts at once, that alternates, or that hits
   work which does not slow the service. */
static void
test_relief (void)
{
  GRand *random = g_rand_new_with_seed (1);
  reliefs_t reliefs = { { 0 }, 0, 0 };
  placement_t *placement = equal_fleet_new (random, 3, &reliefs);
  task_t quiet = task_of (1, "t", 16000, 1, 0);
  task_t noisy = task_of (2, "t", 8000, 1, 0);
  usec_t now = 0;

  noisy.class_name = "noisy";
  noisy.resumable = quiet.resumable = true;
  /* w0 has both, w1 the quiet one alone: what is learned tells them apart. */
  placement_adopt (placement, 0, "w0", &quiet);
  placement_adopt (placement, 0, "w0", &noisy);
  quiet.order = 3;
  placement_adopt (placement, 0, "w1", &quiet);
  for (; now < 200 * USEC_PER_SEC; now += USEC_PER_SEC)
    {
      placement_record_slowdown (placement, now, "w0", "quote", 1500);
      placement_record_slowdown (placement, now, "w1", "quote", 1000);
    }
  for (; now < 204 * USEC_PER_SEC; now += USEC_PER_SEC)
    {
      placement_record_slowdown (placement, now, "w0", "quote", 1500);
      placement_tick (placement, now);
    }
  /* Half the speed of the noisy one alone would not be enough. */
  CU_ASSERT_EQUAL (reliefs.count[ACTION_THROTTLE], 2);
  CU_ASSERT_EQUAL (reliefs.first, 2);
  CU_ASSERT_EQUAL (reliefs.count[ACTION_EVICT], 0);
  for (; now < 240 * USEC_PER_SEC; now += USEC_PER_SEC)
    {
      placement_record_slowdown (placement, now, "w0", "quote", 1500);
      placement_tick (placement, now);
    }
  CU_ASSERT_TRUE (reliefs.count[ACTION_EVICT] >= 1);
  CU_ASSERT_TRUE (reliefs.count[ACTION_EVICT] <= 2);
  /* Between the limits nothing changes; only well below them it does. */
  CU_ASSERT_EQUAL (reliefs.count[ACTION_UNTHROTTLE], 0);
  for (; now < 260 * USEC_PER_SEC; now += USEC_PER_SEC)
    {
      placement_record_slowdown (placement, now, "w0", "quote", 1180);
      placement_tick (placement, now);
    }
  CU_ASSERT_EQUAL (reliefs.count[ACTION_UNTHROTTLE], 0);
  for (; now < 290 * USEC_PER_SEC; now += USEC_PER_SEC)
    {
      placement_record_slowdown (placement, now, "w0", "quote", 1000);
      placement_tick (placement, now);
    }
  CU_ASSERT_TRUE (reliefs.count[ACTION_UNTHROTTLE] >= 1);
  /* New work of the noisy class goes only where no service is slowed. */
  for (noisy.order = 9; noisy.order < 13; noisy.order++)
    {
      const char *worker = place (placement, now, noisy);

      CU_ASSERT_PTR_NOT_NULL (worker);
      if (worker)
        CU_ASSERT_STRING_EQUAL (worker, "w2");
    }
  CU_ASSERT_PTR_NULL (place (placement, now, noisy));
  placement_free (placement);
  g_rand_free (random);
}

/* Guards against a class whose attempts all share a rack or zone. */
static void
test_spread (void)
{
  GRand *random = g_rand_new_with_seed (1);
  placement_t *placement = equal_fleet_new (random, 16, NULL);
  unsigned racks[4] = { 0 };

  for (unsigned i = 0; i < 16; i++)
    {
      const char *worker
          = place (placement, 0, task_of (i, "t", 20000, 60000, 0));

      if (worker)
        racks[(unsigned)g_ascii_strtoull (worker + 1, NULL, 10) / 4]++;
      if (i == 7)
        for (unsigned rack = 0; rack < 4; rack++)
          CU_ASSERT_TRUE (racks[rack] >= 1 && racks[rack] <= 3);
    }
  placement_free (placement);
  g_rand_free (random);
}

static const suite_test_t tests[] = {
  { "room", test_room },           { "room comes back", test_room_comes_back },
  { "quota", test_quota },         { "correction", test_correction },
  { "set aside", test_set_aside }, { "urgent", test_urgent },
  { "relief", test_relief },       { "spread", test_spread },
};

int
main (void)
{
  return suite_main ("placement", tests, G_N_ELEMENTS (tests));
}
