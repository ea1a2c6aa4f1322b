/* Unit tests of how long leases last, and of how long their ends are waited
   for. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>

#define STEP (50 * USEC_PER_MSEC)
/* The platform asks for the next run of a long-running task this long after
   the last one. */
#define RESTART_LIMIT (9 * USEC_PER_SEC)
/* From the requeue to the start: an append and a call. */
#define START_TIME (100 * USEC_PER_MSEC)
/* Limits of a site whose platform grants leases of up to 10 s. */
#define LONG_LEASE (10 * USEC_PER_SEC)
#define SHORT_STALE_LIMIT (3 * USEC_PER_SEC)
#define SHORT_HORIZON (6500 * USEC_PER_MSEC)
/* A worker's clock may be slow by this much, in percent. */
#define SLOW_CLOCK_PERCENT 2

static const shard_reply_t none = { .kind = SHARD_REPLY_NONE };

/* The run's worker answers holds for SPAN, then none.
   @return the latest end of its leases by a slow clock */
static usec_t
end_worker_after (usec_t span)
{
  usec_t end = fixture.now + span;
  run_report_t run = first_run;
  int64_t until_ms = 0;

  list_worker ();
  while (fixture.now < end)
    {
      fixture.call_count = 0;
      advance (STEP);
      if (!last_call (SHARD_HOLD))
        continue;
      until_ms = MAX (until_ms, last_call (SHARD_HOLD)->lease_until);
      run.percent = run.percent % 100 + 1;
      reply_to_hold (&run, 1, NULL, 0);
    }
  fixture.call_count = 0;
  advance (0);
  until_ms = MAX (until_ms, last_call (SHARD_HOLD)->lease_until);
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_HOLD)->id, &none);
  return fixture.now
         + (until_ms - usec_to_msec (fixture.now)) * USEC_PER_MSEC * 100
               / (100 - SLOW_CLOCK_PERCENT);
}

/* @return when the task is requeued */
static usec_t
time_of_requeue (void)
{
  usec_t limit = fixture.now + 2 * RESTART_LIMIT;

  while (!fixture.appends && fixture.now < limit)
    reply_to_holds (1, STEP, &none);
  return fixture.now;
}

/* Guards against a long-running task that is without a run for too long after
   its worker has left, where the platform grants long leases (review/5). */
static void
test_task_of_worker_that_left (void)
{
  usec_t left;
  usec_t leases_end;

  set_up_leases (LONG_LEASE, SHORT_STALE_LIMIT, SHORT_HORIZON);
  add_placed_run ();
  shard_loaded (fixture.shard, fixture.now);
  leases_end = end_worker_after (15 * USEC_PER_SEC);
  left = fixture.now;
  fixture.appends = 0;
  CU_ASSERT (leases_end > left);
  CU_ASSERT (time_of_requeue () >= leases_end);
  CU_ASSERT (fixture.now <= left + RESTART_LIMIT - START_TIME);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "task of a worker that left", test_task_of_worker_that_left },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard leases", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}
