/* Unit tests of gangs whose runs fail: a gang fails once with each run,
   however many of its members tell of it. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define MEMBERS 3U
#define ATTEMPTS 2U
#define PAUSE (7 * USEC_PER_SEC) /* longer than a worker is avoided */

static const char *const ids[MEMBERS] = { "w1", "w2", "w3" };
static const char *const addresses[MEMBERS]
    = { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" };

/* Number of the next end of each worker. */
static uint64_t end_numbers[MEMBERS];

static void
list_workers (void)
{
  for (uint32_t i = 0; i < MEMBERS; i++)
    list_worker_with (ids[i], addresses[i], false);
}

static submission_t *
new_gang (void)
{
  submission_t *submission = new_submission (MEMBERS);

  submission->steps[0].gang = true;
  submission->steps[0].max_per_worker = 1;
  submission->max_attempts = ATTEMPTS;
  return submission;
}

/* Answers the holds under way, and forgets all calls. */
static void
answer_holds (void)
{
  for (uint32_t i = 0; i < MEMBERS; i++)
    reply_as_ready (ids[i]);
  fixture.call_count = 0;
}

static void
answer_starts (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };

  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_START)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &ok);
}

/* Starts the gang. @return the number of the run, 0 if it was not started */
static uint32_t
start_gang (void)
{
  uint32_t run;

  for (uint32_t tries = 0; tries < 20 && !last_call (SHARD_START); tries++)
    {
      answer_holds ();
      list_workers ();
      store_all ();
      for (uint32_t i = 0; i < MEMBERS; i++)
        reply_as_ready (ids[i]);
      advance (USEC_PER_SEC);
      if (!last_call (SHARD_START))
        store_all ();
    }
  if (!last_call (SHARD_START))
    return 0;
  CU_ASSERT_EQUAL (count_calls (SHARD_START), MEMBERS);
  run = last_call (SHARD_START)->run_id.run;
  answer_starts ();
  return run;
}

static void
set_up_gang (void)
{
  set_up ();
  for (uint32_t i = 0; i < MEMBERS; i++)
    end_numbers[i] = 1;
  shard_loaded (fixture.shard, fixture.now);
  apply_submission (new_gang ());
}

/* The worker that the member was started on in its latest run. */
static uint32_t
worker_of (uint32_t member)
{
  uint32_t worker = 0;

  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_START
        && fixture.calls[i].run_id.index == member)
      for (uint32_t w = 0; w < MEMBERS; w++)
        if (strcmp (fixture.calls[i].worker, ids[w]) == 0)
          worker = w;
  return worker;
}

/* The member's worker lists the end of a run. */
static void
end_member (uint32_t member, uint32_t worker, uint32_t run, run_end_t how)
{
  const end_report_t end = { .number = end_numbers[worker]++,
                             .run_id = { JOB_ID, 0, 0, member, run },
                             .end = how,
                             .checkpoint = "" };

  advance (USEC_PER_MSEC);
  reply_with_lists (ids[worker], NULL, 0, &end, 1);
}

/* Ends the run of the gang: each member as ENDS tells, in the order of the
   members or the other way round. */
static void
end_gang (uint32_t run, const run_end_t ends[MEMBERS], bool backwards)
{
  uint32_t workers[MEMBERS];

  for (uint32_t i = 0; i < MEMBERS; i++)
    workers[i] = worker_of (i);
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      uint32_t member = backwards ? MEMBERS - 1 - i : i;

      end_member (member, workers[member], run, ends[member]);
    }
  answer_holds ();
  store_all ();
  advance (PAUSE);
  store_all ();
}

static job_status_t
status (void)
{
  job_status_t status = JOB_QUEUED;

  CU_ASSERT_EQUAL (shard_status (fixture.shard, JOB_ID, &status), 0);
  return status;
}

static const run_end_t all_failed[MEMBERS]
    = { RUN_FAILED, RUN_FAILED, RUN_FAILED };
static const run_end_t two_failed[MEMBERS]
    = { RUN_GANG_BROKEN, RUN_FAILED, RUN_FAILED };

/* Guards against a gang that is shown as failed after one run, as two of its
   members ended as failed. */
static void
test_members_fail (void)
{
  const run_end_t *ends[] = { all_failed, two_failed };

  for (uint32_t i = 0; i < 4; i++)
    {
      uint32_t run;

      set_up_gang ();
      run = start_gang ();
      CU_ASSERT_EQUAL (run, 1);
      end_gang (run, ends[i / 2], i % 2);
      CU_ASSERT_EQUAL (status (), JOB_RUNNING);
      CU_ASSERT_EQUAL (start_gang (), 2);
      tear_down ();
    }
}

/* Guards against a gang that is started more often than it may fail. */
static void
test_attempts (void)
{
  set_up_gang ();
  for (uint32_t run = 1; run <= ATTEMPTS; run++)
    {
      CU_ASSERT_EQUAL (start_gang (), run);
      end_gang (run, run % 2 ? all_failed : two_failed, false);
    }
  CU_ASSERT_EQUAL (status (), JOB_FAILED);
  CU_ASSERT_EQUAL (start_gang (), 0);
  tear_down ();
}

/* Guards against a run that counts again with each list, or after the next one
   has begun. */
static void
test_told_late (void)
{
  uint32_t worker;

  set_up_gang ();
  CU_ASSERT_EQUAL (start_gang (), 1);
  worker = worker_of (0);
  end_gang (1, two_failed, false);
  CU_ASSERT_EQUAL (start_gang (), 2);
  for (uint32_t i = 0; i < 3; i++)
    end_member (0, worker, 1, RUN_FAILED);
  CU_ASSERT_EQUAL (status (), JOB_RUNNING);
  tear_down ();
}

/* The next owner loads what this one has stored. */
static void
take_over (uint64_t token)
{
  const blob_t progress
      = { (const char *)fixture.progress->data, fixture.progress->len };

  shard_release (fixture.shard);
  shard_acquire (fixture.shard, fixture.now, token);
  apply_submission (new_gang ());
  shard_apply_record (fixture.shard, fixture.now, RECORD_PROGRESS, JOB_ID,
                      progress);
  shard_loaded (fixture.shard, fixture.now);
  fixture.call_count = 0;
  list_workers ();
  advance (USEC_PER_MSEC);
}

/* Guards against a second count by the next owner, to whom other members tell
   of the run. */
static void
test_takeover_between (void)
{
  uint32_t workers[MEMBERS];

  set_up_gang ();
  CU_ASSERT_EQUAL (start_gang (), 1);
  for (uint32_t i = 0; i < MEMBERS; i++)
    workers[i] = worker_of (i);
  advance (USEC_PER_MSEC);
  end_member (1, workers[1], 1, RUN_FAILED);
  store_all ();
  take_over (2);
  end_member (0, workers[0], 1, RUN_FAILED);
  end_member (2, workers[2], 1, RUN_GANG_BROKEN);
  answer_holds ();
  store_all ();
  CU_ASSERT_EQUAL (status (), JOB_RUNNING);
  advance (PAUSE);
  CU_ASSERT_EQUAL (start_gang (), 2);
  end_gang (2, two_failed, true);
  CU_ASSERT_EQUAL (status (), JOB_FAILED);
  tear_down ();
}

/* Guards against members that are lost with their worker and count as failed
   beside those that have. */
static void
test_failed_and_lost (void)
{
  uint32_t workers[MEMBERS];
  const shard_reply_t reborn = { .kind = SHARD_REPLY_OK,
                                 .clock_ms = 1,
                                 .started_ms = START_WALL_MS + 5000,
                                 .has_lists = true };

  set_up_gang ();
  CU_ASSERT_EQUAL (start_gang (), 1);
  for (uint32_t i = 0; i < MEMBERS; i++)
    workers[i] = worker_of (i);
  advance (USEC_PER_MSEC);
  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_HOLD
        && strcmp (fixture.calls[i].worker, ids[workers[2]]) == 0)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &reborn);
  end_member (0, workers[0], 1, RUN_FAILED);
  end_member (1, workers[1], 1, RUN_FAILED);
  answer_holds ();
  store_all ();
  CU_ASSERT_EQUAL (status (), JOB_RUNNING);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "members fail", test_members_fail },
    { "attempts", test_attempts },
    { "told late", test_told_late },
    { "takeover between", test_takeover_between },
    { "failed and lost", test_failed_and_lost },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard gangs", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}
