/* Tests of placement: capacity, quotas, estimates, quarantine, preemption,
   relief and spreading. */
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

/* Number of calls for each action, and the orders of the first and last
   call. */
typedef struct
{
  unsigned count[ACTION_EVICT + 1];
  uint64_t first_order;
  uint64_t last_order;
} relief_log_t;

static void
on_relief (void *ctx, usec_t now, const char *worker, uint64_t order,
           uint64_t attempt, relief_action_t relief)
{
  relief_log_t *log = (relief_log_t *)ctx;

  (void)now;
  (void)worker;
  (void)attempt;
  if (!log->first_order)
    log->first_order = order;
  log->count[relief]++;
  log->last_order = order;
}

static const placement_ops_t ops = { on_relief };

static placement_t *
mixed_fleet_new (GRand *random)
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
make_task (uint64_t order, const char *team, uint64_t millicores,
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

/* Guards against exceeding the capacity of a worker in any dimension
   (invariant 1), new tasks on a leaving worker (invariant 7), and a task that
   waits although no worker is large enough. */
static void
test_capacity (void)
{
  static const choice_t choices[] = {
    { 1000, 1000, 0, PLACE_OK, NULL },
    { 1000, 1000, 2, PLACE_OK, "gpu" },
    { 1000, 1000, 1, PLACE_NO_CAPACITY, NULL },
    { 32000, 1000, 0, PLACE_OK, "large" },
    { 5000, 1000, 0, PLACE_OK, "gpu" },
    { 5000, 1000, 0, PLACE_NO_CAPACITY, NULL },
    { 40000, 1000, 0, PLACE_NO_CAPACITY, NULL },
    { 65000, 1000, 0, PLACE_NEVER_FITS, NULL },
    { 1000, 251000, 0, PLACE_NEVER_FITS, NULL },
    { 1000, 1000, 3, PLACE_NEVER_FITS, NULL },
    { 33000, 1000, 1, PLACE_NEVER_FITS, NULL },
  };
  GRand *random = g_rand_new_with_seed (1);
  placement_t *placement = mixed_fleet_new (random);

  for (size_t i = 0; i < G_N_ELEMENTS (choices); i++)
    {
      const choice_t *choice = &choices[i];
      task_t task = make_task (i, "t", choice->millicores, choice->memory_mb,
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

/* Guards against free capacity that is wrong after adopting and ending
   attempts and after removing workers. */
static void
test_capacity_released (void)
{
  GRand *random = g_rand_new_with_seed (1);
  placement_t *placement = mixed_fleet_new (random);
  uint64_t all = placement_free_millicores (placement);
  task_t big = make_task (1, "t", 40000, 1, 0);
  task_t task = make_task (2, "t", 1000, 1, 0);
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

/* Guards against a team that exceeds its quota, and against quota that is not
   released when an attempt ends. */
static void
test_quota (void)
{
  GRand *random = g_rand_new_with_seed (1);
  placement_t *placement = mixed_fleet_new (random);
  task_t task = make_task (1, "t", 2000, 1, 0);
  const char *worker = NULL;

  placement_set_quota (placement, "t", 3000);
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
equal_fleet_new (GRand *random, unsigned count, relief_log_t *log)
{
  placement_t *placement = placement_new (random, &ops, log);
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

/* Guards against placement by declared sizes when measured usage is known:
   sizes that are too large waste capacity, sizes that are too small overload
   workers. */
static void
test_size_correction (void)
{
  static const struct
  {
    uint64_t used;  /* millicores, of 8000 declared */
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

          if (place (placement, 0, make_task (n, "t", 8000, 1000, 0)))
            placement_record_usage (placement, 0, "w0", n, 1, used, 1000);
          placement_attempt_ended (placement, 0, "w0", n, 1, true, 1);
        }
      while (
          fit < 100
          && place (placement, 0, make_task (1000 + fit, "t", 8000, 1000, 0)))
        fit++;
      CU_ASSERT_TRUE (fit >= cases[i].least && fit <= cases[i].most);
      placement_free (placement);
      g_rand_free (random);
    }
}

/* Guards against a worker that fails every attempt and, being free, attracts
   all tasks, against a quarantine of the whole fleet, and against a quarantine
   that never ends. */
static void
test_quarantine (void)
{
  GRand *random = g_rand_new_with_seed (1);
  placement_t *placement = equal_fleet_new (random, 8, NULL);
  uint64_t all = placement_free_millicores (placement);
  usec_t later = 40 * USEC_PER_SEC;
  task_t task = make_task (500, "t", 32000, 1, 0);
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

/* Guards against urgent tasks that wait for resumable tasks to end, against
   evictions of tasks that are not resumable, and against repeated evictions
   for one order. */
static void
test_urgent_preemption (void)
{
  GRand *random = g_rand_new_with_seed (1);
  relief_log_t log = { { 0 }, 0, 0 };
  placement_t *placement = equal_fleet_new (random, 2, &log);
  task_t plain = make_task (1, "t", 32000, 1, 0);
  task_t resumable = make_task (2, "t", 32000, 1, 0);
  task_t urgent = make_task (3, "t", 16000, 1, 0);
  task_t other = make_task (4, "t", 16000, 1, 0);

  resumable.resumable = true;
  urgent.urgent = true;
  placement_adopt (placement, 0, "w0", &plain);
  placement_adopt (placement, 0, "w1", &resumable);
  CU_ASSERT_PTR_NULL (place (placement, 0, other));
  CU_ASSERT_EQUAL (log.count[ACTION_EVICT], 0);
  CU_ASSERT_PTR_NULL (place (placement, 0, urgent));
  CU_ASSERT_PTR_NULL (place (placement, 0, urgent));
  CU_ASSERT_EQUAL (log.count[ACTION_EVICT], 1);
  CU_ASSERT_EQUAL (log.last_order, 2);
  placement_attempt_ended (placement, 0, "w1", 2, 1, true, 0);
  other.millicores = 20000;
  CU_ASSERT_PTR_NULL (place (placement, 0, other));
  CU_ASSERT_PTR_NOT_NULL (place (placement, 0, urgent));
  placement_free (placement);
  g_rand_free (random);
}

/* Guards against relief that evicts before throttling, that oscillates between
   throttling and unthrottling, or that throttles tasks that do not slow the
   service first. */
static void
test_relief (void)
{
  GRand *random = g_rand_new_with_seed (1);
  relief_log_t log = { { 0 }, 0, 0 };
  placement_t *placement = equal_fleet_new (random, 3, &log);
  task_t quiet = make_task (1, "t", 16000, 1, 0);
  task_t noisy = make_task (2, "t", 8000, 1, 0);
  usec_t now = 0;

  noisy.class_name = "noisy";
  noisy.resumable = quiet.resumable = true;
  /* w0 runs both tasks, w1 only the quiet one, so that their interference can
     be distinguished. */
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
  /* Throttling only the noisy task would not be enough. */
  CU_ASSERT_EQUAL (log.count[ACTION_THROTTLE], 2);
  CU_ASSERT_EQUAL (log.first_order, 2);
  CU_ASSERT_EQUAL (log.count[ACTION_EVICT], 0);
  for (; now < 240 * USEC_PER_SEC; now += USEC_PER_SEC)
    {
      placement_record_slowdown (placement, now, "w0", "quote", 1500);
      placement_tick (placement, now);
    }
  CU_ASSERT_TRUE (log.count[ACTION_EVICT] >= 1);
  CU_ASSERT_TRUE (log.count[ACTION_EVICT] <= 2);
  /* Tasks are unthrottled only below the lower threshold. */
  CU_ASSERT_EQUAL (log.count[ACTION_UNTHROTTLE], 0);
  for (; now < 260 * USEC_PER_SEC; now += USEC_PER_SEC)
    {
      placement_record_slowdown (placement, now, "w0", "quote", 1180);
      placement_tick (placement, now);
    }
  CU_ASSERT_EQUAL (log.count[ACTION_UNTHROTTLE], 0);
  for (; now < 290 * USEC_PER_SEC; now += USEC_PER_SEC)
    {
      placement_record_slowdown (placement, now, "w0", "quote", 1000);
      placement_tick (placement, now);
    }
  CU_ASSERT_TRUE (log.count[ACTION_UNTHROTTLE] >= 1);
  /* New tasks of the noisy class are placed only where no service is slowed.
   */
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

/* Guards against concentrating the attempts of a class in few racks. */
static void
test_spread (void)
{
  GRand *random = g_rand_new_with_seed (1);
  placement_t *placement = equal_fleet_new (random, 16, NULL);
  unsigned racks[4] = { 0 };

  for (unsigned i = 0; i < 16; i++)
    {
      const char *worker
          = place (placement, 0, make_task (i, "t", 20000, 60000, 0));

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
  { "capacity", test_capacity },
  { "capacity is released", test_capacity_released },
  { "quota", test_quota },
  { "size correction", test_size_correction },
  { "quarantine", test_quarantine },
  { "urgent preemption", test_urgent_preemption },
  { "relief", test_relief },
  { "spread", test_spread },
};

int
main (void)
{
  return suite_main ("placement", tests, G_N_ELEMENTS (tests));
}
