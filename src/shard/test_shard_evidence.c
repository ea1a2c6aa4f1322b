/* Unit tests of the evidence that ends a run or confirms an end: it arrives in
   bounded time whatever the owner repeats, and counts only for the incarnation
   of the worker that gave it. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

static const end_report_t end_of_unknown_run
    = { 1, { JOB_ID + 7, 0, 0, 0, 1 }, RUN_STOPPED, "" };

/* Guards against an end that is never confirmed to its worker: it changed no
   job, and was listed while an append of something else was in flight. */
static void
test_end_during_unrelated_append (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  add_job (1);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (fixture.appends, 1);
  reply_to_hold (NULL, 0, &end_of_unknown_run, 1);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_SEC);
  CU_ASSERT_EQUAL (last_call (SHARD_HOLD)->acknowledged_end, 1);
  CU_ASSERT (last_call (SHARD_HOLD)->wait > 0);
  tear_down ();
}

/* Guards against leases that count as extended at a worker that rejects every
   hold: its runs end there, and their tasks would wait for it. */
static void
test_holds_rejected (void)
{
  const shard_reply_t unhealthy = { .kind = SHARD_REPLY_UNHEALTHY };

  set_up_with_placed_run ();
  list_worker ();
  advance (0);
  reply_to_hold (&first_run, 1, NULL, 0);
  reply_to_holds (32, 250 * USEC_PER_MSEC, &unhealthy);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "end during an unrelated append", test_end_during_unrelated_append },
    { "holds rejected", test_holds_rejected },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard evidence", tests, sizeof tests / sizeof *tests);
  g_byte_array_unref (fixture.progress);
  return code;
}
