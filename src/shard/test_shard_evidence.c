/* Unit tests of the evidence that ends a run or confirms an end: it arrives in
   bounded time whatever the owner repeats, and counts only for the incarnation
   of the worker that gave it. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define STEP (10 * USEC_PER_MSEC)
/* Longest time until the task of an unanswered start is started elsewhere,
   with stops that are answered and with stops that are not. */
#define ELSEWHERE_LIMIT (6 * USEC_PER_SEC)
#define ELSEWHERE_LIMIT_LEASE (12 * USEC_PER_SEC)

/* Longest time that the platform allows a task to be without a run while there
   is capacity. */
#define TURN_LIMIT (3 * USEC_PER_SEC)

/* Lease of the fixture, and how much later the owner may take it to have
   expired: by the ratio of the clocks, the time of a stop and a margin. */
#define LEASE (6 * USEC_PER_SEC)
#define LEASE_SLACK (USEC_PER_SEC)

/* A call that its worker answers at a time. */
typedef struct
{
  shard_call_t call;
  usec_t due;
} open_call_t;

static GArray *open_calls; /* open_call_t */
static shard_call_t last_start;
static usec_t second_run_at;    /* 0: not started */
static usec_t stop_answered_at; /* 0: none was */
static bool starts_rejected;

static const end_report_t end_of_unknown_run
    = { 1, { JOB_ID + 7, 0, 0, 0, 1 }, RUN_STOPPED, "" };

/* Workers answer holds and list no run; starts time out or are rejected, and
   stops time out if they are lost. */
static void
run_without_starts (usec_t span, bool stops_lost)
{
  const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  const shard_reply_t unhealthy = { .kind = SHARD_REPLY_UNHEALTHY };

  for (usec_t end = fixture.now + span; fixture.now < end; advance (STEP))
    {
      if (fixture.appends)
        shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
      for (size_t i = 0; i < fixture.call_count; i++)
        {
          open_call_t c = { fixture.calls[i], fixture.now };

          c.due += c.call.kind == SHARD_HOLD                  ? c.call.wait
                   : starts_rejected                          ? STEP
                   : c.call.kind == SHARD_START || stops_lost ? c.call.timeout
                                                              : STEP;
          g_array_append_val (open_calls, c);
          if (c.call.kind == SHARD_START)
            {
              last_start = c.call;
              if (c.call.run_id.run == 2 && !second_run_at)
                second_run_at = fixture.now;
            }
        }
      fixture.call_count = 0;
      for (guint i = open_calls->len; i > 0; i--)
        {
          const open_call_t c = g_array_index (open_calls, open_call_t, i - 1);
          const shard_reply_t lists = { .kind = SHARD_REPLY_OK,
                                        .clock_ms = usec_to_msec (fixture.now),
                                        .started_ms = START_WALL_MS,
                                        .has_lists = true };

          if (fixture.now < c.due)
            continue;
          g_array_remove_index_fast (open_calls, i - 1);
          if (c.call.kind == SHARD_STOP && !stops_lost && !stop_answered_at)
            stop_answered_at = fixture.now;
          shard_reply (fixture.shard, fixture.now, c.call.id,
                       c.call.kind == SHARD_HOLD                  ? &lists
                       : c.call.kind == SHARD_STOP && !stops_lost ? &ok
                       : c.call.kind == SHARD_START && starts_rejected
                           ? &unhealthy
                           : &none);
        }
    }
}

static void
set_up_open_calls (usec_t span, bool stops_lost)
{
  set_up ();
  open_calls = g_array_new (FALSE, FALSE, sizeof (open_call_t));
  stop_answered_at = second_run_at = 0;
  starts_rejected = false;
  shard_loaded (fixture.shard, fixture.now);
  list_worker ();
  run_without_starts (span, stops_lost);
}

static void
start_without_answer (usec_t limit, bool stops_lost)
{
  set_up_open_calls (100 * USEC_PER_MSEC, stops_lost);
  add_job (1);
  run_without_starts (100 * USEC_PER_MSEC, stops_lost);
  CU_ASSERT_EQUAL_FATAL (last_start.run_id.run, 1);
  CU_ASSERT_STRING_EQUAL (last_start.worker, "w1");
  list_worker_with ("w2", "10.0.0.2:1", false);
  run_without_starts (limit, stops_lost);
  CU_ASSERT (last_start.run_id.run > 1);
  CU_ASSERT_STRING_EQUAL (last_start.worker, "w2");
  g_array_free (open_calls, TRUE);
  tear_down ();
}

/* Guards against a start that is repeated without end at a worker that answers
   only holds: the task would never go to another one. */
static void
test_unanswered_start_goes_elsewhere (void)
{
  start_without_answer (ELSEWHERE_LIMIT, false);
}

/* The same where stops are not answered either: the last lease that a start
   carried tells when it cannot be carried out any more. */
static void
test_unanswered_start_and_stops (void)
{
  start_without_answer (ELSEWHERE_LIMIT_LEASE, true);
}

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

static void
answer_hold_of (int64_t started_ms, const run_report_t *runs, size_t run_count,
                const end_report_t *ends, size_t end_count)
{
  const shard_reply_t reply = { .kind = SHARD_REPLY_OK,
                                .clock_ms = usec_to_msec (fixture.now),
                                .started_ms = started_ms,
                                .has_lists = true,
                                .runs = runs,
                                .run_count = run_count,
                                .ends = ends,
                                .end_count = end_count };

  shard_reply (fixture.shard, fixture.now, last_call (SHARD_HOLD)->id, &reply);
}

/* Two tasks run on a worker: the start of the first is answered, that of the
   second is not. */
static void
set_up_two_runs (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  const shard_reply_t none = { .kind = SHARD_REPLY_NONE };

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  add_job (2);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (count_calls (SHARD_START), 2);
  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_START)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id,
                   fixture.calls[i].run_id.index ? &none : &ok);
}

/* Guards against an end that is confirmed before it is stored: an append that
   carried an end of a worker's former incarnation was taken to carry that of
   the present one, whose numbers start at 1 again. */
static void
test_end_numbers_of_two_incarnations (void)
{
  const end_report_t first = { 1, { JOB_ID, 0, 0, 0, 1 }, RUN_DONE, "" };
  const end_report_t second = { 1, { JOB_ID, 0, 0, 1, 1 }, RUN_DONE, "" };

  set_up_two_runs ();
  answer_hold_of (START_WALL_MS, NULL, 0, &first, 1);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (fixture.appends, 2);
  advance (USEC_PER_SEC);
  answer_hold_of (START_WALL_MS + 5, NULL, 0, &second, 1);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_SEC);
  CU_ASSERT_EQUAL (fixture.appends, 3);
  CU_ASSERT_EQUAL (last_call (SHARD_HOLD)->acknowledged_end, 0);
  answer_hold_of (START_WALL_MS + 5, NULL, 0, &second, 1);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (last_call (SHARD_HOLD)->acknowledged_end, 1);
  tear_down ();
}

static void
reply_to_last (shard_call_kind_t call, shard_reply_kind_t kind)
{
  const shard_reply_t reply = { .kind = kind };

  CU_ASSERT_PTR_NOT_NULL_FATAL (last_call (call));
  shard_reply (fixture.shard, fixture.now, last_call (call)->id, &reply);
}

/* The worker lists no run COUNT times; stops are not answered. */
static void
list_no_runs (int64_t started_ms, int count)
{
  for (int i = 0; i < count; i++)
    {
      answer_hold_of (started_ms, NULL, 0, NULL, 0);
      advance (USEC_PER_SEC);
      shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
      advance (USEC_PER_MSEC);
      reply_to_last (SHARD_STOP, SHARD_REPLY_NONE);
      advance (USEC_PER_MSEC);
    }
}

/* Guards against a second run of a task: the former incarnation of its worker
   answers a repeated start after the restart is known, and the present one may
   still carry out the first. */
static void
test_start_answered_by_former_incarnation (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  add_job (1);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  reply_to_last (SHARD_START, SHARD_REPLY_NONE);
  answer_hold_of (START_WALL_MS, NULL, 0, NULL, 0);
  advance (500 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (count_calls (SHARD_START), 2);
  advance (USEC_PER_MSEC);
  answer_hold_of (START_WALL_MS + 5, NULL, 0, NULL, 0);
  list_worker_on ("w1", "10.0.0.1:1", "r", START_WALL_MS + 5);
  advance (USEC_PER_MSEC);
  reply_to_last (SHARD_STOP, SHARD_REPLY_NONE);
  reply_to_last (SHARD_START, SHARD_REPLY_OK);
  list_no_runs (START_WALL_MS + 5, 4);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 2);
  advance (USEC_PER_SEC);
  reply_to_last (SHARD_STOP, SHARD_REPLY_OK);
  list_no_runs (START_WALL_MS + 5, 3);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 3);
  CU_ASSERT_EQUAL (last_call (SHARD_START)->run_id.run, 2);
  tear_down ();
}

/* Guards against a task that waits for three full waits of a hold after its
   stop was answered: the first hold was sent before, and two lists have to
   lack the run.  Tries all times at which the stop may fall into a hold. */
static void
test_lists_after_stop (void)
{
  usec_t longest = 0;

  for (usec_t phase = STEP; phase <= USEC_PER_SEC; phase += STEP)
    {
      set_up_open_calls (phase, false);
      add_job (1);
      run_without_starts (1200 * USEC_PER_MSEC, false);
      starts_rejected = true;
      list_worker_with ("w2", "10.0.0.2:1", false);
      run_without_starts (6 * USEC_PER_SEC, false);
      CU_ASSERT_FATAL (stop_answered_at > 0);
      longest = MAX (longest, second_run_at - stop_answered_at);
      g_array_free (open_calls, TRUE);
      tear_down ();
    }
  CU_ASSERT (longest > 0);
  CU_ASSERT (longest <= TURN_LIMIT);
}

/* Guards against a gang that waits for its time limit at the workers after one
   of its starts was rejected: until then its task has no run. */
static void
test_gang_without_member (void)
{
  const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  const shard_reply_t no_room = { .kind = SHARD_REPLY_NO_ROOM };
  submission_t *submission = new_submission (3);

  submission->steps[0].gang = true;
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  apply_submission (submission);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (count_calls (SHARD_START), 3);
  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_START)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id,
                   fixture.calls[i].run_id.index == 1 ? &no_room : &ok);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 2);
  tear_down ();
}

/* Guards against two runs of a task: a worker runs on while connections to it
   are refused in its place, as its entry in the list shows. */
static void
test_refusals_of_a_listed_worker (void)
{
  const shard_reply_t refused = { .kind = SHARD_REPLY_REFUSED };

  set_up_with_placed_run ();
  list_worker ();
  advance (0);
  reply_to_hold (&first_run, 1, NULL, 0);
  reply_to_holds (12, 300 * USEC_PER_MSEC, &refused);
  CU_ASSERT_EQUAL (fixture.appends, 0);
  tear_down ();
}

/* Guards against two runs of a task: a worker runs on that reaches neither the
   store nor the owner, so that its entry has expired, and its calls are
   refused in its place.  Only the lease tells that its runs have ended. */
static void
test_refusals_of_an_unlisted_worker (void)
{
  const shard_reply_t refused = { .kind = SHARD_REPLY_REFUSED };
  usec_t granted;

  set_up_with_placed_run ();
  list_worker ();
  advance (0);
  reply_to_hold (&first_run, 1, NULL, 0);
  granted = fixture.now;
  shard_worker_unlisted (fixture.shard, fixture.now, "w1");
  while (fixture.now < granted + LEASE)
    reply_to_holds (1, 100 * USEC_PER_MSEC, &refused);
  CU_ASSERT_EQUAL (fixture.appends, 0);
  while (fixture.now < granted + LEASE + LEASE_SLACK)
    reply_to_holds (1, 100 * USEC_PER_MSEC, &refused);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  tear_down ();
}

/* Guards against two runs of a task: a worker that is leaving and no longer
   listed, as its entry has expired, rejects holds while its runs go on. */
static void
test_leaving_worker_rejects_holds (void)
{
  const shard_reply_t unhealthy = { .kind = SHARD_REPLY_UNHEALTHY };

  set_up_with_placed_run ();
  list_worker_leaving (true);
  advance (0);
  reply_to_hold (&first_run, 1, NULL, 0);
  reply_to_holds (1, 300 * USEC_PER_MSEC, &unhealthy);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  CU_ASSERT_EQUAL_FATAL (fixture.appends, 1); /* that its worker leaves */
  shard_worker_unlisted (fixture.shard, fixture.now, "w1");
  reply_to_holds (4, 300 * USEC_PER_MSEC, &unhealthy);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  tear_down ();
}

/* A worker that is leaving is silent from its last answer on; its entry goes
   SPAN later, or earlier. */
static void
check_leaving_worker_cut_off (usec_t span)
{
  const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
  usec_t granted;

  set_up_with_placed_run ();
  list_worker_leaving (true);
  advance (0);
  reply_to_hold (&first_run, 1, NULL, 0);
  if (span < 0)
    {
      shard_worker_unlisted (fixture.shard, fixture.now, "w1");
      advance (-span);
      reply_to_hold (&first_run, 1, NULL, 0);
    }
  reply_to_holds (1, USEC_PER_MSEC, &none);
  granted = fixture.now;
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  CU_ASSERT_EQUAL_FATAL (fixture.appends, 1); /* that its worker leaves */
  if (span > 0)
    reply_to_holds (1, span, &none);
  if (span >= 0)
    shard_worker_unlisted (fixture.shard, fixture.now, "w1");
  while (fixture.now < granted + LEASE)
    reply_to_holds (1, 100 * USEC_PER_MSEC, &none);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  while (fixture.now < granted + LEASE + LEASE_SLACK)
    reply_to_holds (1, 100 * USEC_PER_MSEC, &none);
  CU_ASSERT_EQUAL (fixture.appends, 2);
  tear_down ();
}

/* Guards against two runs of a task: a worker that is leaving runs on, cut off
   from the owner, and its entry goes with the store or as it is cut off from
   the store as well. */
static void
test_leaving_worker_cut_off (void)
{
  check_leaving_worker_cut_off (-USEC_PER_SEC);
  check_leaving_worker_cut_off (0);
  check_leaving_worker_cut_off (USEC_PER_SEC);
  check_leaving_worker_cut_off (4 * USEC_PER_SEC);
}

/* A run is on a worker that is leaving, and a new owner takes over. */
static void
set_up_takeover_of_leaving (void)
{
  set_up_with_placed_run ();
  list_worker ();
  advance (0);
  reply_to_hold (&first_run, 1, NULL, 0);
  list_worker_leaving (true);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  shard_release (fixture.shard);
  shard_acquire (fixture.shard, fixture.now, 2);
  add_job (1);
  shard_apply_record (
      fixture.shard, fixture.now, RECORD_PROGRESS, JOB_ID,
      (blob_t){ (char *)fixture.progress->data, fixture.progress->len });
}

/* Guards against two runs of a task: a new owner does not reach a worker that
   was leaving with a former one and is not listed, but runs on.  The list of
   workers may be read before the records or after them. */
static void
check_takeover_of_leaving (bool list_first)
{
  const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  usec_t taken_over;
  uint32_t appends;

  set_up_takeover_of_leaving ();
  taken_over = fixture.now;
  appends = fixture.appends;
  if (list_first)
    shard_worker_list_read (fixture.shard, fixture.now, listed);
  shard_loaded (fixture.shard, fixture.now);
  reply_to_holds (2, 500 * USEC_PER_MSEC, &none);
  if (!list_first)
    shard_worker_list_read (fixture.shard, fixture.now, listed);
  while (fixture.now < taken_over + STALE_LIMIT + LEASE)
    reply_to_holds (1, 100 * USEC_PER_MSEC, &none);
  CU_ASSERT_EQUAL (fixture.appends, appends);
  while (fixture.now < taken_over + STALE_LIMIT + LEASE + LEASE_SLACK)
    reply_to_holds (1, 100 * USEC_PER_MSEC, &none);
  CU_ASSERT_EQUAL (fixture.appends, appends + 1);
  g_hash_table_destroy (listed);
  tear_down ();
}

static void
test_takeover_of_leaving_worker (void)
{
  check_takeover_of_leaving (false);
  check_takeover_of_leaving (true);
}

/* Guards against a task that waits for leases although another worker has the
   address of its own one, which has ended. */
static void
test_other_worker_at_the_address (void)
{
  const shard_reply_t other = { .kind = SHARD_REPLY_OTHER_WORKER };

  set_up_with_placed_run ();
  list_worker ();
  advance (0);
  reply_to_hold (&first_run, 1, NULL, 0);
  reply_to_holds (1, USEC_PER_MSEC, &other);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  tear_down ();
}

/* The hold, which was sent before the entry names another address or after
   that, is answered by another worker there; the run goes on. */
static void
check_other_worker_elsewhere (bool sent_before)
{
  const shard_reply_t other = { .kind = SHARD_REPLY_OTHER_WORKER };
  usec_t granted;

  set_up_with_placed_run ();
  list_worker ();
  advance (0);
  reply_to_hold (&first_run, 1, NULL, 0);
  if (sent_before)
    advance (USEC_PER_MSEC);
  granted = fixture.now;
  list_worker_with ("w1", "10.0.0.2:1", false);
  if (!sent_before)
    advance (USEC_PER_MSEC);
  shard_reply (fixture.shard, fixture.now, last_call (SHARD_HOLD)->id, &other);
  while (fixture.now < granted + LEASE)
    reply_to_holds (1, 100 * USEC_PER_MSEC, &other);
  CU_ASSERT_EQUAL (fixture.appends, 0);
  while (fixture.now < granted + LEASE + LEASE_SLACK)
    reply_to_holds (1, 100 * USEC_PER_MSEC, &other);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  tear_down ();
}

/* Guards against two runs of a task: another worker answers at a former
   address of its worker, or at one that another writer has put into the entry.
 */
static void
test_other_worker_at_another_address (void)
{
  check_other_worker_elsewhere (true);
  check_other_worker_elsewhere (false);
}

/* Guards against starts at an address where the worker has not answered, and
   against a worker that is not used again once its entry is right. */
static void
test_no_start_at_unknown_address (void)
{
  const shard_reply_t other = { .kind = SHARD_REPLY_OTHER_WORKER };

  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  list_worker_with ("w1", "10.0.0.2:1", false);
  add_job (1);
  reply_to_holds (4, 100 * USEC_PER_MSEC, &other);
  CU_ASSERT_EQUAL (fixture.appends, 0);
  list_worker ();
  fixture.call_count = 0;
  advance (USEC_PER_SEC);
  reply_to_hold (NULL, 0, NULL, 0);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 1);
  tear_down ();
}

/* A start is answered while a hold is open; the list in the reply is of
   another incarnation and older than the start. */
static void
set_up_start_during_restart (void)
{
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  advance (USEC_PER_MSEC); /* sends the hold */
  add_job (1);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  reply_to_last (SHARD_START, SHARD_REPLY_OK);
  answer_hold_of (START_WALL_MS + 5, NULL, 0, NULL, 0);
  list_worker_on ("w1", "10.0.0.1:1", "r", START_WALL_MS + 5);
  advance (USEC_PER_MSEC);
}

static void
list_runs_of (int64_t started_ms, const run_report_t *runs, size_t run_count)
{
  for (int i = 0; i < 4; i++)
    {
      answer_hold_of (started_ms, runs, run_count, NULL, 0);
      shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
      advance (100 * USEC_PER_MSEC);
    }
}

/* Guards against two runs of a task: an incarnation that the owner does not
   know yet has accepted its start, and the first list of it is older. */
static void
test_start_accepted_by_new_incarnation (void)
{
  set_up_start_during_restart ();
  list_runs_of (START_WALL_MS + 5, &first_run, 1);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 1);
  CU_ASSERT_EQUAL (count_calls (SHARD_STOP), 0);
  tear_down ();
}

/* Guards against a task that waits for a run which the former incarnation had
   accepted. */
static void
test_start_accepted_by_former_incarnation (void)
{
  set_up_start_during_restart ();
  list_runs_of (START_WALL_MS + 5, NULL, 0);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 2);
  tear_down ();
}

/* The same for a run that is to be stopped, since the start of the other
   member of its gang was rejected. */
static void
test_stop_after_start_at_new_incarnation (void)
{
  const run_report_t run = { { JOB_ID, 0, 0, 0, 1 }, "", 0, 0 };
  submission_t *submission = new_submission (2);

  submission->steps[0].gang = true;
  set_up ();
  shard_loaded (fixture.shard, fixture.now);
  add_ready_worker ();
  advance (USEC_PER_MSEC); /* sends the hold */
  apply_submission (submission);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL_FATAL (count_calls (SHARD_START), 2);
  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_START)
      {
        const shard_reply_t reply
            = { .kind = fixture.calls[i].run_id.index ? SHARD_REPLY_NO_ROOM
                                                      : SHARD_REPLY_OK };

        shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &reply);
      }
  advance (USEC_PER_MSEC);
  reply_to_last (SHARD_STOP, SHARD_REPLY_NONE);
  answer_hold_of (START_WALL_MS + 5, NULL, 0, NULL, 0);
  list_worker_on ("w1", "10.0.0.1:1", "r", START_WALL_MS + 5);
  list_worker_on ("w2", "10.0.0.2:1", "r", START_WALL_MS);
  advance (USEC_PER_MSEC);
  reply_as_ready ("w2");
  list_runs_of (START_WALL_MS + 5, &run, 1);
  CU_ASSERT_EQUAL (count_calls (SHARD_START), 2);
  tear_down ();
}

/* Guards against a task that is started again after its end: a new owner gets
   a list of its worker that has no room for the end. */
static void
test_end_is_not_listed_yet (void)
{
  const shard_reply_t full = { .kind = SHARD_REPLY_OK,
                               .clock_ms = 1000,
                               .started_ms = START_WALL_MS,
                               .has_lists = true,
                               .ends = &end_of_unknown_run,
                               .end_count = 1,
                               .has_more_ends = true };
  const end_report_t end = { 2, first_run.run_id, RUN_DONE, "" };

  set_up_with_placed_run ();
  list_worker ();
  reply_to_holds (3, USEC_PER_SEC, &full);
  CU_ASSERT_EQUAL (fixture.appends, 0);
  fixture.call_count = 0;
  advance (USEC_PER_SEC);
  answer_hold_of (START_WALL_MS, NULL, 0, &end, 1);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_SEC);
  CU_ASSERT_EQUAL (fixture.appends, 1);
  tear_down ();
}

/* Guards against an end that is acknowledged unread: the worker restarts
   unnoticed, and its new incarnation numbers its ends from 1 again. */
static void
test_end_is_acknowledged_once (void)
{
  const end_report_t end = { 1, first_run.run_id, RUN_DONE, "" };

  set_up_with_placed_run ();
  list_worker ();
  advance (0);
  answer_hold_of (START_WALL_MS, NULL, 0, &end, 1);
  advance (USEC_PER_MSEC);
  shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
  advance (USEC_PER_SEC);
  CU_ASSERT_EQUAL (last_call (SHARD_HOLD)->acknowledged_end, 1);
  answer_hold_of (START_WALL_MS, NULL, 0, NULL, 0);
  advance (USEC_PER_MSEC);
  CU_ASSERT_EQUAL (last_call (SHARD_HOLD)->acknowledged_end, 0);
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "end during an unrelated append", test_end_during_unrelated_append },
    { "holds rejected", test_holds_rejected },
    { "unanswered start goes elsewhere",
      test_unanswered_start_goes_elsewhere },
    { "unanswered start and stops", test_unanswered_start_and_stops },
    { "end is not listed yet", test_end_is_not_listed_yet },
    { "end is acknowledged once", test_end_is_acknowledged_once },
    { "end numbers of two incarnations",
      test_end_numbers_of_two_incarnations },
    { "start answered by a former incarnation",
      test_start_answered_by_former_incarnation },
    { "start accepted by a new incarnation",
      test_start_accepted_by_new_incarnation },
    { "stop after a start at a new incarnation",
      test_stop_after_start_at_new_incarnation },
    { "start accepted by a former incarnation",
      test_start_accepted_by_former_incarnation },
    { "lists after a stop", test_lists_after_stop },
    { "refusals of a listed worker", test_refusals_of_a_listed_worker },
    { "refusals of an unlisted worker", test_refusals_of_an_unlisted_worker },
    { "leaving worker rejects holds", test_leaving_worker_rejects_holds },
    { "leaving worker cut off", test_leaving_worker_cut_off },
    { "other worker at the address", test_other_worker_at_the_address },
    { "other worker at another address",
      test_other_worker_at_another_address },
    { "no start at an unknown address", test_no_start_at_unknown_address },
    { "gang without a member", test_gang_without_member },
    { "leaving worker not reached after a takeover",
      test_takeover_of_leaving_worker },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard evidence", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}
