/* Tests of admission, queueing, choice of the VM or peer and retries, with
   simulated time.  Each callback appends a word to the log: d:VM (dispatch),
   f:PEER (forward) or g:OUTCOME (give up). */
#include "routing/routing.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define MS USEC_PER_MSEC

typedef struct
{
  limits_t *limits;
  GRand *random;
  routing_t *routing;
  char log[512];
  handle_t last_request; /* of the last callback */
  usec_t retry_after;
  const char *member;
  const char *class_name;
  uint32_t denied_shard; /* for which may_act returns false */
} fixture_t;

static fixture_t *fixture_new (uint32_t slots, uint32_t max_queue);
static void fixture_free (fixture_t *fx);
static void add_vm (fixture_t *fx, const char *id, uint32_t zone,
                    uint32_t slots);
static handle_t submit (fixture_t *fx, usec_t now, uint32_t priority,
                        usec_t deadline, bool idempotent, uint32_t hops);
static void expect_log (fixture_t *fx, const char *log);

/* Guards against a queue that serves in order of arrival instead of by
   priority and then by deadline. */
static void
test_order (void)
{
  fixture_t *fx = fixture_new (1, 10);
  handle_t first = submit (fx, 0, 1, 500 * MS, false, 0);
  handle_t late = submit (fx, 0, 1, 400 * MS, false, 0);
  handle_t early = submit (fx, 0, 1, 300 * MS, false, 0);
  handle_t urgent = submit (fx, 0, 0, 450 * MS, false, 0);
  handle_t expected[] = { urgent, early, late };

  for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      routing_attempt_ended (fx->routing, 10 * MS, first, ATTEMPT_RAN, MS);
      CU_ASSERT_EQUAL (fx->last_request, expected[i]);
      first = expected[i];
    }
  expect_log (fx, "d:a d:a d:a d:a");
  fixture_free (fx);
}

/* Guards against a member that floods the queue, so that other members do not
   get their fair share. */
static void
test_fair_shares (void)
{
  fixture_t *fx = fixture_new (1, 10);
  handle_t running;
  handle_t other;

  for (usec_t t = 0; t < 200 * MS; t += 10 * MS)
    {
      submit (fx, t, 1, 900 * MS, false, 0);
      routing_attempt_ended (fx->routing, t, fx->last_request, ATTEMPT_RAN,
                             10 * MS);
    }
  running = submit (fx, 200 * MS, 1, 600 * MS, false, 0);
  for (int i = 0; i < 3; i++)
    submit (fx, 200 * MS, 1, 600 * MS, false, 0);
  fx->member = "n";
  other = submit (fx, 200 * MS, 1, 900 * MS, false, 0);
  CU_ASSERT_EQUAL (routing_backlog (fx->routing), 1);
  routing_attempt_ended (fx->routing, 210 * MS, running, ATTEMPT_RAN, 10 * MS);
  CU_ASSERT_EQUAL (fx->last_request, other);
  fixture_free (fx);
}

/* Guards against long work that takes all slots, so that short work waits
   behind it; against reserved slots that stay idle while long work misses its
   deadline; and against overruns that count as short work until they end. */
static void
test_lanes (void)
{
  fixture_t *fx = fixture_new (16, 100);

  for (int i = 0; i < 40; i++)
    {
      fx->class_name = i % 4 ? "proof" : "sheet";
      submit (fx, 0, 1, 2000 * MS, false, 0);
      routing_attempt_ended (fx->routing, 0, fx->last_request, ATTEMPT_RAN,
                             i % 4 ? 1000 * MS : 6000 * MS);
    }
  fx->class_name = "proof";
  for (int i = 0; i < 4; i++)
    submit (fx, 0, 1, 90000 * MS, false, 0);
  fx->class_name = "sheet";
  for (int i = 0; i < 12; i++)
    submit (fx, 5000 * MS, 1, 90000 * MS, false, 0);
  CU_ASSERT_EQUAL (routing_queued (fx->routing), 4);
  CU_ASSERT_EQUAL (routing_free_slots (fx->routing), 4);
  fx->class_name = "proof";
  submit (fx, 5000 * MS, 1, 90000 * MS, false, 0);
  CU_ASSERT_EQUAL (routing_free_slots (fx->routing), 3);
  routing_tick (fx->routing, 60000 * MS);
  CU_ASSERT_TRUE (routing_free_slots (fx->routing) < 3);
  fixture_free (fx);
}

/* Guards against an unbounded queue, and against dropping the more important
   request when the queue is full. */
static void
test_full_queue (void)
{
  fixture_t *fx = fixture_new (1, 1);
  handle_t kept;

  submit (fx, 0, 1, 500 * MS, false, 0);
  kept = submit (fx, 0, 1, 400 * MS, false, 0);
  CU_ASSERT_EQUAL (submit (fx, 0, 2, 300 * MS, false, 0), HANDLE_NONE);
  expect_log (fx, "d:a g:1");
  CU_ASSERT_TRUE (fx->retry_after > 0);
  submit (fx, 0, 0, 450 * MS, false, 0);
  CU_ASSERT_EQUAL (fx->last_request, kept);
  expect_log (fx, "g:1");
  CU_ASSERT_EQUAL (routing_queued (fx->routing), 1);
  fixture_free (fx);
}

/* Guards against refused callers that all retry at the same time. */
static void
test_retry_after (void)
{
  fixture_t *fx = fixture_new (1, 0);
  int early = 0;

  submit (fx, 0, 1, 500 * MS, false, 0);
  for (int i = 0; i < 100; i++)
    {
      submit (fx, 0, 1, 500 * MS, false, 0);
      early += fx->retry_after < 1000 * MS;
    }
  CU_ASSERT_TRUE (early > 5 && early < 20);
  CU_ASSERT_TRUE (fx->retry_after > 5000 * MS);
  fixture_free (fx);
}

/* Guards against requests that stay queued although they can no longer meet
   their deadline. */
static void
test_deadline (void)
{
  fixture_t *fx = fixture_new (1, 100);
  usec_t next;

  for (int i = 0; i < 20; i++)
    {
      submit (fx, 0, 1, 500 * MS, false, 0);
      routing_attempt_ended (fx->routing, 0, fx->last_request, ATTEMPT_RAN,
                             100 * MS);
    }
  fx->log[0] = 0;
  CU_ASSERT_EQUAL (submit (fx, 0, 1, 50 * MS, false, 0), HANDLE_NONE);
  expect_log (fx, "g:1");
  submit (fx, 0, 1, 500 * MS, false, 0);
  submit (fx, 0, 1, 300 * MS, false, 0);
  expect_log (fx, "d:a");
  next = routing_tick (fx->routing, 100 * MS);
  /* Run times are measured to a quarter of a factor of two. */
  CU_ASSERT_TRUE (next > 175 * MS && next <= 201 * MS);
  expect_log (fx, "");
  routing_tick (fx->routing, next);
  expect_log (fx, "g:1");
  fixture_free (fx);
}

/* Guards against starting requests after their deadline when the process was
   paused between two ticks. */
static void
test_paused_process (void)
{
  fixture_t *fx = fixture_new (1, 10);
  handle_t running = submit (fx, 0, 1, 900 * MS, false, 0);

  submit (fx, 0, 1, 100 * MS, false, 0);
  submit (fx, 0, 1, 900 * MS, false, 0);
  routing_attempt_ended (fx->routing, 500 * MS, running, ATTEMPT_RAN, MS);
  expect_log (fx, "d:a g:1 d:a");
  fixture_free (fx);
}

/* Guards against idle slots at a peer while requests wait in this process,
   more forwards than reported slots, a second forward of a request, and VMs of
   another zone used before those of the own zone. */
static void
test_peers (void)
{
  fixture_t *fx = fixture_new (1, 10);
  handle_t forwarded;

  add_vm (fx, "far", 2, 1);
  routing_update_peer (fx->routing, 0, 7, 1, 1, 0, MS, true);
  routing_update_peer (fx->routing, 0, 8, 1, 9, 0, MS, false);
  submit (fx, 0, 1, 500 * MS, false, 0);
  submit (fx, 0, 1, 500 * MS, false, 0);
  submit (fx, 0, 1, 500 * MS, false, 1);
  expect_log (fx, "d:a d:far");
  forwarded = submit (fx, 0, 1, 100 * MS, false, 0);
  submit (fx, 0, 1, 100 * MS, false, 0);
  expect_log (fx, "f:7");
  CU_ASSERT_EQUAL (routing_queued (fx->routing), 2);
  routing_update_peer (fx->routing, MS, 7, 1, 1, 0, MS, true);
  expect_log (fx, "f:7");
  routing_forward_ended (fx->routing, MS, forwarded, ATTEMPT_NO_ANSWER);
  expect_log (fx, "g:3");
  routing_update_peer (fx->routing, MS, 7, 1, 1, 0, MS, true);
  forwarded = submit (fx, MS, 1, 100 * MS, false, 0);
  submit (fx, MS, 1, 100 * MS, false, 0);
  expect_log (fx, "f:7");
  routing_forward_ended (fx->routing, 2 * MS, forwarded, ATTEMPT_RAN);
  routing_tick (fx->routing, 2 * MS);
  expect_log (fx, "f:7");
  fixture_free (fx);
}

/* Guards against peers that choose by an outdated load, against reports of an
   unchanged load and against many reports in one burst. */
static void
test_report_due (void)
{
  fixture_t *fx = fixture_new (4, 10);

  CU_ASSERT_TRUE (routing_report_due (fx->routing, 100 * MS));
  CU_ASSERT_FALSE (routing_report_due (fx->routing, 200 * MS));
  for (int i = 0; i < 4; i++)
    submit (fx, 200 * MS, 1, 900 * MS, false, 0);
  CU_ASSERT_TRUE (routing_report_due (fx->routing, 200 * MS));
  routing_attempt_ended (fx->routing, 210 * MS, fx->last_request, ATTEMPT_RAN,
                         MS);
  CU_ASSERT_FALSE (routing_report_due (fx->routing, 210 * MS));
  CU_ASSERT_TRUE (routing_report_due (fx->routing, 230 * MS));
  fixture_free (fx);
}

/* Guards invariants 2, 5 and 6: a request that may have run is retried only if
   it is idempotent and its first attempt has certainly ended, and its outcome
   is never not-run. */
static void
test_retries (void)
{
  static const struct
  {
    bool idempotent;
    attempt_end_t end;
    usec_t deadline;
    usec_t before; /* no retry until then */
    const char *at_end;
    const char *later;
  } rows[] = {
    { false, ATTEMPT_NOT_STARTED, 500 * MS, 4 * MS, "", "d:a" },
    { false, ATTEMPT_NOT_STARTED, 12 * MS, 0, "g:1", "" },
    { false, ATTEMPT_NO_ANSWER, 500 * MS, 0, "g:3", "" },
    { true, ATTEMPT_NO_ANSWER, 500 * MS, 210 * MS - 1, "", "d:a" },
    { true, ATTEMPT_NO_ANSWER, 150 * MS, 0, "g:3", "" },
    { false, ATTEMPT_FAILED, 500 * MS, 0, "", "" },
    { false, ATTEMPT_RAN, 500 * MS, 0, "", "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fixture_t *fx = fixture_new (1, 10);
      handle_t r = submit (fx, 0, 1, rows[i].deadline, rows[i].idempotent, 0);

      fx->log[0] = 0;
      routing_attempt_ended (fx->routing, 10 * MS, r, rows[i].end, MS);
      routing_tick (fx->routing, rows[i].before);
      expect_log (fx, rows[i].at_end);
      routing_tick (fx->routing, 250 * MS);
      expect_log (fx, rows[i].later);
      fixture_free (fx);
    }
}

/* Guards against retries that multiply the load: apart from the initial tokens
   they are limited to a tenth of the load, and a forwarded request adds tokens
   only in the process that received it from the caller. */
static void
test_retry_budget (void)
{
  fixture_t *fx = fixture_new (1000, 10);
  int retries = 0;

  for (uint32_t i = 0; i < 2000; i++)
    {
      handle_t r = submit (fx, 0, 1, 500 * MS, false, i % 2);

      fx->log[0] = 0;
      routing_attempt_ended (fx->routing, 0, r, ATTEMPT_NOT_STARTED, 0);
      retries += fx->log[0] == 0;
    }
  CU_ASSERT_TRUE (retries >= 100 && retries <= 110);
  fixture_free (fx);
}

/* Guards against a VM that fails all requests at once and so attracts most of
   them, against ejecting more than half of the VMs when the work itself fails,
   and against full load on a VM that has just been readmitted. */
static void
test_failing_vms (void)
{
  static const struct
  {
    const char *failing; /* names of the VMs that fail */
    int max_failed;      /* of 400 attempts */
    uint64_t min_free;   /* slots after the attempts */
  } rows[] = { { "b", 10, 24 }, { "bc", 20, 16 }, { "abcd", 400, 16 } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fixture_t *fx = fixture_new (8, 10);
      int failed = 0;

      add_vm (fx, "b", 1, 8);
      add_vm (fx, "c", 1, 8);
      add_vm (fx, "d", 1, 8);
      for (int k = 0; k < 400; k++)
        {
          handle_t r = submit (fx, 0, 1, 500 * MS, false, 0);
          bool fails = strchr (rows[i].failing, fx->log[2]) != NULL;

          failed += fails;
          routing_attempt_ended (fx->routing, 0, r,
                                 fails ? ATTEMPT_FAILED : ATTEMPT_RAN, MS);
          fx->log[0] = 0;
        }
      CU_ASSERT_TRUE (failed <= rows[i].max_failed);
      CU_ASSERT_TRUE (routing_free_slots (fx->routing) >= rows[i].min_free);
      routing_tick (fx->routing, 2000 * MS);
      if (i == 0)
        CU_ASSERT_EQUAL (routing_free_slots (fx->routing), 25);
      fixture_free (fx);
    }
}

/* Guards against using a VM that interference slows down while other VMs have
   free slots, and against never using that VM again. */
static void
test_slow_vm (void)
{
  fixture_t *fx = fixture_new (4, 10);

  add_vm (fx, "b", 1, 4);
  for (int k = 0; k < 200; k++)
    {
      handle_t r = submit (fx, 0, 1, 900 * MS, false, 0);
      bool slow = fx->log[2] == 'b';

      routing_attempt_ended (fx->routing, 0, r, ATTEMPT_RAN,
                             slow ? 30 * MS : 10 * MS);
      fx->log[0] = 0;
    }
  for (int k = 0; k < 5; k++)
    submit (fx, 0, 1, 90000 * MS, false, 0);
  expect_log (fx, "d:a d:a d:a d:a d:b");
  CU_ASSERT_EQUAL (routing_free_slots (fx->routing), 0);
  for (usec_t t = 0; t < 20000 * MS; t += 500 * MS)
    routing_tick (fx->routing, t);
  CU_ASSERT_EQUAL (routing_free_slots (fx->routing), 3);
  fixture_free (fx);
}

/* Guards against a dispatch to a shard whose lease has expired, and against a
   shard that stays unused after its lease is regained. */
static void
test_may_act (void)
{
  fixture_t *fx = fixture_new (1, 10);

  fx->denied_shard = 1;
  submit (fx, 0, 1, 500 * MS, false, 0);
  expect_log (fx, "");
  CU_ASSERT_EQUAL (routing_free_slots (fx->routing), 0);
  fx->denied_shard = 0;
  routing_tick (fx->routing, 60 * MS);
  expect_log (fx, "d:a");
  fixture_free (fx);
}

/* Guards against answering a caller that has disconnected, and against losing
   the slot of its request. */
static void
test_abandon (void)
{
  fixture_t *fx = fixture_new (1, 10);
  handle_t running = submit (fx, 0, 1, 500 * MS, true, 0);
  handle_t waiting = submit (fx, 0, 1, 500 * MS, true, 0);

  routing_abandon (fx->routing, 0, waiting);
  routing_abandon (fx->routing, 0, running);
  CU_ASSERT_EQUAL (routing_queued (fx->routing), 0);
  routing_attempt_ended (fx->routing, 0, running, ATTEMPT_NOT_STARTED, 0);
  expect_log (fx, "d:a");
  CU_ASSERT_EQUAL (routing_free_slots (fx->routing), 1);
  fixture_free (fx);
}

/* Guards against a forwarded request that waits until its deadline in a
   process whose last VM is leaving, while other processes have free slots. */
static void
test_no_own_vm (void)
{
  fixture_t *fx = fixture_new (1, 10);

  submit (fx, 0, 1, 500 * MS, false, 0);
  submit (fx, 0, 1, 500 * MS, false, 1);
  expect_log (fx, "d:a");
  CU_ASSERT_EQUAL (routing_queued (fx->routing), 1);
  limits_set_leaving (fx->limits, limits_find (fx->limits, "a"));
  routing_refresh (fx->routing, MS);
  expect_log (fx, "g:1");
  submit (fx, MS, 1, 500 * MS, false, 1);
  expect_log (fx, "g:1");
  submit (fx, MS, 1, 500 * MS, false, 0);
  expect_log (fx, "");
  CU_ASSERT_EQUAL (routing_queued (fx->routing), 1);
  fixture_free (fx);
}

/* Guards against a request that waits until its deadline in a process without
   VMs because its member had used more than its share when the last VM left,
   while a peer reports neither free slots nor a queue: its VMs are regarded as
   slow and are idle. */
static void
test_over_share_without_own_vm (void)
{
  fixture_t *fx = fixture_new (1, 10);

  for (usec_t t = 0; t < 200 * MS; t += 10 * MS)
    {
      fx->member = t == 100 * MS ? "n" : "m";
      submit (fx, t, 1, 900 * MS, false, 0);
      routing_attempt_ended (fx->routing, t, fx->last_request, ATTEMPT_RAN,
                             10 * MS);
      fx->log[0] = 0;
    }
  routing_update_peer (fx->routing, 200 * MS, 7, 1, 1, 0, MS, true);
  routing_update_peer (fx->routing, 200 * MS, 7, 1, 0, 0, MS, true);
  submit (fx, 200 * MS, 1, 900 * MS, false, 0);
  submit (fx, 200 * MS, 1, 900 * MS, false, 0);
  expect_log (fx, "d:a");
  limits_set_leaving (fx->limits, limits_find (fx->limits, "a"));
  routing_refresh (fx->routing, 201 * MS);
  expect_log (fx, "f:7");
  fixture_free (fx);
}

static const suite_test_t tests[] = {
  { "no own VM", test_no_own_vm },
  { "over share without own VM", test_over_share_without_own_vm },
  { "order", test_order },
  { "fair shares", test_fair_shares },
  { "lanes", test_lanes },
  { "full queue", test_full_queue },
  { "retry after", test_retry_after },
  { "deadline", test_deadline },
  { "paused process", test_paused_process },
  { "peers", test_peers },
  { "report due", test_report_due },
  { "retries", test_retries },
  { "retry budget", test_retry_budget },
  { "failing VMs", test_failing_vms },
  { "slow VM", test_slow_vm },
  { "may act", test_may_act },
  { "abandon", test_abandon },
};

int
main (void)
{
  return suite_main ("routing", tests, G_N_ELEMENTS (tests));
}

static void
log_callback (fixture_t *fx, handle_t request, const char *kind,
              const char *target)
{
  size_t used = strlen (fx->log);

  snprintf (fx->log + used, sizeof fx->log - used, "%s%s:%s", used ? " " : "",
            kind, target);
  fx->last_request = request;
}

static void
on_dispatch (void *ctx, usec_t now, handle_t request, handle_t vm)
{
  fixture_t *fx = ctx;

  (void)now;
  log_callback (fx, request, "d", limits_vm (fx->limits, vm)->id);
}

static void
on_forward (void *ctx, usec_t now, handle_t request, node_id_t peer)
{
  char text[16];

  (void)now;
  snprintf (text, sizeof text, "%u", peer);
  log_callback (ctx, request, "f", text);
}

static void
on_give_up (void *ctx, usec_t now, handle_t request, int outcome,
            usec_t retry_after)
{
  fixture_t *fx = ctx;
  char text[16];

  (void)now;
  snprintf (text, sizeof text, "%d", outcome);
  log_callback (fx, request, "g", text);
  fx->retry_after = retry_after;
}

static bool
on_may_act (void *ctx, uint32_t shard)
{
  const fixture_t *fx = ctx;

  return shard != fx->denied_shard;
}

/** Creates a process in zone 1 with VM "a" of the same zone (shard 1). */
static fixture_t *
fixture_new (uint32_t slots, uint32_t max_queue)
{
  static const routing_ops_t ops
      = { on_dispatch, on_forward, on_give_up, on_may_act };
  routing_config_t config = { .zone = 1,
                              .max_queue = max_queue,
                              .retry_min = 10 * MS,
                              .retry_percent = 10 };
  fixture_t *fx = g_new0 (fixture_t, 1);

  fx->member = "m";
  fx->class_name = "proof";
  fx->limits = limits_new ();
  fx->random = g_rand_new_with_seed (1);
  fx->routing = routing_new (&config, fx->limits, fx->random, &ops, fx);
  add_vm (fx, "a", 1, slots);
  return fx;
}

static void
fixture_free (fixture_t *fx)
{
  routing_free (fx->routing);
  limits_free (fx->limits);
  g_rand_free (fx->random);
  g_free (fx);
}

static void
add_vm (fixture_t *fx, const char *id, uint32_t zone, uint32_t slots)
{
  vm_t vm = { .zone = zone,
              .shard = zone,
              .slots = slots,
              .connections = slots,
              .state = VM_LIVE };

  snprintf (vm.id, sizeof vm.id, "%s", id);
  limits_set_vm (fx->limits, &vm);
  routing_refresh (fx->routing, 0);
}

static handle_t
submit (fixture_t *fx, usec_t now, uint32_t priority, usec_t deadline,
        bool idempotent, uint32_t hops)
{
  request_info_t info = { .class_name = fx->class_name,
                          .member = fx->member,
                          .priority = priority,
                          .weight = 1,
                          .deadline = deadline,
                          .run_limit = 200 * MS,
                          .idempotent = idempotent,
                          .hops = hops };

  return routing_submit (fx->routing, now, &info);
}

/** Checks the callbacks logged since the last call and clears the log. */
static void
expect_log (fixture_t *fx, const char *log)
{
  CU_ASSERT_STRING_EQUAL (fx->log, log);
  if (strcmp (fx->log, log) != 0)
    printf ("callbacks: \"%s\", expected: \"%s\"\n", fx->log, log);
  fx->log[0] = 0;
}
