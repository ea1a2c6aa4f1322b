/* Unit tests of leases that a worker got by calls meant for its former
   incarnation.  The platform grants leases of up to 10 s, of which the owner
   asks for 6.5 s. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>

#define LONG_LEASE (10 * USEC_PER_SEC)
#define SHORT_STALE_LIMIT (3 * USEC_PER_SEC)
#define SHORT_HORIZON (6500 * USEC_PER_MSEC)
#define STEP (50 * USEC_PER_MSEC)
/* Of the former incarnation, ahead of that of the next one. */
#define FORMER_CLOCK_MS 1000000
#define NEXT_START_MS (START_WALL_MS + 5000)
/* A worker's clock may be slow by this much, in percent. */
#define SLOW_CLOCK_PERCENT 2
/* The platform asks for the next run of a long-running task this long after
   the last one. */
#define RESTART_LIMIT (9 * USEC_PER_SEC)

static const shard_reply_t none = { .kind = SHARD_REPLY_NONE };

/* Latest end, by a slow clock, of the longest lease that is granted now. */
static usec_t
longest_lease_end (void)
{
  return fixture.now + LONG_LEASE * 100 / (100 - SLOW_CLOCK_PERCENT);
}

/* The worker answers the last hold, with the run unless RUN is NULL. */
static void
answer_hold (int64_t started_ms, int64_t clock_ms, const run_report_t *run)
{
  const shard_reply_t reply = { .kind = SHARD_REPLY_OK,
                                .clock_ms = clock_ms,
                                .started_ms = started_ms,
                                .has_lists = true,
                                .runs = run,
                                .run_count = run != NULL };

  shard_reply (fixture.shard, fixture.now, last_call (SHARD_HOLD)->id, &reply);
}

/* The worker has answered, and the task is about to be started there. */
static void
set_up_start (usec_t lease, bool long_running)
{
  submission_t *submission = new_submission (1);

  submission->steps[0].long_running = long_running;
  set_up_leases (lease, SHORT_STALE_LIMIT, SHORT_HORIZON);
  shard_loaded (fixture.shard, fixture.now);
  list_worker ();
  /* Leases of former owners have expired by then. */
  for (usec_t end = fixture.now + 15 * USEC_PER_SEC; fixture.now < end;)
    {
      fixture.call_count = 0;
      advance (STEP);
      if (last_call (SHARD_HOLD))
        answer_hold (START_WALL_MS,
                     FORMER_CLOCK_MS + usec_to_msec (fixture.now), NULL);
    }
  apply_submission (submission);
  store_all ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_START));
}

/* The next incarnation gets the start, which brings it the longest lease, and
   is heard of soon after.
   @return the latest end of that lease */
static usec_t
restart_before_start (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  usec_t end = longest_lease_end ();

  shard_reply (fixture.shard, fixture.now, last_call (SHARD_START)->id, &ok);
  advance (STEP);
  answer_hold (NEXT_START_MS, 150, &first_run);
  return end;
}

/* No call is answered from now on.  @return when the task is requeued */
static usec_t
time_of_requeue (void)
{
  usec_t limit = fixture.now + 3 * RESTART_LIMIT;

  store_all ();
  if (last_call (SHARD_HOLD))
    shard_reply (fixture.shard, fixture.now, last_call (SHARD_HOLD)->id,
                 &none);
  fixture.appends = 0;
  while (!fixture.appends && fixture.now < limit)
    reply_to_holds (1, STEP, &none);
  return fixture.now;
}

/* Guards against a second run of a task beside one that a start meant for the
   former incarnation has brought up. */
static void
test_start (void)
{
  usec_t end;

  set_up_start (LONG_LEASE, false);
  end = restart_before_start ();
  advance (STEP);
  CU_ASSERT (time_of_requeue () >= end);
  CU_ASSERT (fixture.now <= end + USEC_PER_SEC);
  tear_down ();
}

/* The same where nothing but the clock in the answer tells of the restart. */
static void
test_unheard (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK, .clock_ms = 100 };
  usec_t end;

  set_up_start (LONG_LEASE, false);
  end = longest_lease_end ();
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_START)->id, &ok);
  CU_ASSERT (time_of_requeue () >= end);
  tear_down ();
}

/* Guards against answers that overtake each other and are taken for those of
   another incarnation. */
static void
test_answers_in_disorder (void)
{
  shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  usec_t lost;

  set_up_start (LONG_LEASE, false);
  ok.clock_ms = FORMER_CLOCK_MS + usec_to_msec (fixture.now);
  fixture.now += 600 * USEC_PER_MSEC;
  answer_hold (START_WALL_MS, FORMER_CLOCK_MS + usec_to_msec (fixture.now),
               NULL);
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_START)->id, &ok);
  lost = fixture.now;
  CU_ASSERT (time_of_requeue () <= lost + RESTART_LIMIT);
  tear_down ();
}

/* The same, by a call that ends only when the next incarnation is known. */
static void
test_call_under_way (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK, .clock_ms = 700 };
  usec_t end;

  set_up_start (LONG_LEASE, false);
  advance (STEP);
  answer_hold (NEXT_START_MS, 150, NULL);
  fixture.now += 900 * USEC_PER_MSEC;
  end = longest_lease_end ();
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_START)->id, &ok);
  CU_ASSERT (time_of_requeue () >= end);
  tear_down ();
}

/* The next owner loads what this one has stored. */
static void
take_over (void)
{
  GByteArray *bound = g_byte_array_new ();
  GByteArray *progress = g_byte_array_new ();

  g_byte_array_append (bound, fixture.lease_bound->data,
                       fixture.lease_bound->len);
  g_byte_array_append (progress, fixture.progress->data,
                       fixture.progress->len);
  shard_release (fixture.shard);
  shard_acquire (fixture.shard, fixture.now, 2);
  apply_submission (new_submission (1));
  shard_apply_record (fixture.shard, fixture.now, RECORD_PROGRESS, JOB_ID,
                      (blob_t){ (char *)progress->data, progress->len });
  shard_apply_record (fixture.shard, fixture.now, RECORD_LEASE_BOUND, 0,
                      (blob_t){ (char *)bound->data, bound->len });
  shard_loaded (fixture.shard, fixture.now);
  list_worker ();
  g_byte_array_unref (bound);
  g_byte_array_unref (progress);
}

/* Guards against a second run started by the next owner, which does not reach
   the worker. */
static void
test_takeover (void)
{
  usec_t end;

  set_up_start (LONG_LEASE, false);
  end = restart_before_start ();
  store_all ();
  fixture.now += 500 * USEC_PER_MSEC;
  take_over ();
  CU_ASSERT (time_of_requeue () >= end);
  CU_ASSERT (fixture.now <= end + 2 * USEC_PER_SEC);
  tear_down ();
}

/* Guards against a second run where a call of the former owner has reached the
   next incarnation, and only the list of workers tells the new owner of it. */
static void
test_unnoticed (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  usec_t end;

  set_up_start (LONG_LEASE, false);
  shard_release (fixture.shard);
  shard_acquire (fixture.shard, fixture.now, 2);
  shard_apply_record (
      fixture.shard, fixture.now, RECORD_LEASE_BOUND, 0,
      (blob_t){ (char *)fixture.lease_bound->data, fixture.lease_bound->len });
  list_worker_on ("w1", "10.0.0.1:1", "r",
                  START_WALL_MS + usec_to_msec (fixture.now) - 300);
  shard_loaded (fixture.shard, fixture.now);
  apply_submission (new_submission (1));
  end = longest_lease_end ();
  fixture.call_count = 0;
  advance (0);
  answer_hold (START_WALL_MS + usec_to_msec (fixture.now) - 300, 300, NULL);
  store_all ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (SHARD_START));
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_START)->id, &ok);
  advance (STEP);
  CU_ASSERT (time_of_requeue () >= end);
  tear_down ();
}

/* Guards against long-running tasks that wait when a site starts: all workers
   are young, and no owner has called them before. */
static void
test_first_owner (void)
{
  submission_t *submission = new_submission (1);

  submission->steps[0].long_running = true;
  set_up_leases (LONG_LEASE, SHORT_STALE_LIMIT, SHORT_HORIZON);
  shard_release (fixture.shard);
  shard_acquire (fixture.shard, fixture.now, 2);
  shard_loaded (fixture.shard, fixture.now);
  list_worker ();
  advance (0);
  answer_hold (START_WALL_MS, 300, NULL);
  apply_submission (submission);
  store_all ();
  CU_ASSERT_PTR_NOT_NULL (last_call (SHARD_START));
  tear_down ();
}

/* The next incarnation answers for SPAN.
   @return the latest end of its leases, LEASE_END or later */
static usec_t
answer_for (usec_t span, usec_t lease_end)
{
  run_report_t run = first_run;

  for (usec_t end = fixture.now + span; fixture.now < end;)
    {
      const shard_call_t *hold;
      int64_t clock_ms;

      advance (STEP);
      shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
      hold = last_call (SHARD_HOLD);
      if (!hold)
        continue;
      clock_ms = usec_to_msec (fixture.now);
      if (hold->lease_until)
        lease_end = MAX (lease_end, fixture.now
                                        + (hold->lease_until - clock_ms)
                                              * USEC_PER_MSEC * 100
                                              / (100 - SLOW_CLOCK_PERCENT));
      run.percent = run.percent % 100 + 1;
      answer_hold (NEXT_START_MS, clock_ms, &run);
      fixture.call_count = 0;
    }
  return lease_end;
}

/* Moves the cut past the restart, and the takeover past the cut. */
static void
test_sweep (void)
{
  const usec_t step = 500 * USEC_PER_MSEC;

  for (int cut = 0; cut <= 16; cut++)
    for (int takeover = 0; takeover <= 16; takeover++)
      {
        usec_t end;
        usec_t silent;

        set_up_start (LONG_LEASE, false);
        end = restart_before_start ();
        store_all ();
        end = answer_for (cut * step, end);
        store_all ();
        silent = fixture.now;
        if (last_call (SHARD_HOLD))
          shard_reply (fixture.shard, fixture.now, last_call (SHARD_HOLD)->id,
                       &none);
        fixture.appends = 0;
        while (!fixture.appends && fixture.now < silent + takeover * step)
          reply_to_holds (1, STEP, &none);
        if (!fixture.appends && takeover < 16)
          {
            take_over ();
            time_of_requeue ();
          }
        while (!fixture.appends && fixture.now < silent + 3 * RESTART_LIMIT)
          reply_to_holds (1, STEP, &none);
        CU_ASSERT (fixture.now >= end);
        CU_ASSERT (fixture.now
                   <= MAX (end, silent + takeover * step) + RESTART_LIMIT);
        tear_down ();
      }
}

/* Guards against a long-running task whose next run is late, since it was
   started where stray leases are to be waited for. */
static void
test_long_running (void)
{
  const shard_reply_t full = { .kind = SHARD_REPLY_NO_ROOM, .clock_ms = 100 };

  set_up_start (LONG_LEASE, true);
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_START)->id, &full);
  advance (STEP);
  answer_hold (NEXT_START_MS, 150, NULL);
  list_worker_on ("w1", "10.0.0.1:1", "r", NEXT_START_MS);
  for (usec_t end = fixture.now + 3 * USEC_PER_SEC; fixture.now < end;)
    {
      fixture.call_count = 0;
      store_all ();
      advance (STEP);
      CU_ASSERT_PTR_NULL (last_call (SHARD_START));
      if (last_call (SHARD_HOLD))
        answer_hold (NEXT_START_MS, usec_to_msec (fixture.now), NULL);
    }
  for (usec_t end = fixture.now + 2 * USEC_PER_SEC;
       fixture.now < end && !last_call (SHARD_START);)
    {
      fixture.call_count = 0;
      store_all ();
      advance (STEP);
      if (last_call (SHARD_HOLD))
        answer_hold (NEXT_START_MS, usec_to_msec (fixture.now), NULL);
    }
  CU_ASSERT_PTR_NOT_NULL (last_call (SHARD_START));
  tear_down ();
}

/* Guards against waits and records where the owner asks for the longest leases
   that are granted. */
static void
test_short_leases (void)
{
  uint32_t bound_len;
  usec_t lost;

  set_up_start (SHORT_HORIZON - USEC_PER_SEC, false);
  bound_len = fixture.lease_bound->len;
  restart_before_start ();
  lost = fixture.now;
  store_all ();
  CU_ASSERT_EQUAL (fixture.lease_bound->len, bound_len);
  CU_ASSERT (time_of_requeue () <= lost + RESTART_LIMIT);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "start", test_start },
    { "unheard", test_unheard },
    { "answers in disorder", test_answers_in_disorder },
    { "call under way", test_call_under_way },
    { "takeover", test_takeover },
    { "unnoticed", test_unnoticed },
    { "first owner", test_first_owner },
    { "sweep", test_sweep },
    { "long-running", test_long_running },
    { "short leases", test_short_leases },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard stray", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}
