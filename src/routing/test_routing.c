/* Tests of admission, queueing, choice and retries on a paused clock.  The
   callbacks write one line of words each: d (dispatch) with the VM, f
   (forward) with the peer, g (give up) with the outcome. */
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
  handle_t last; /* request of the last callback */
  usec_t retry_after;
  const char *member;
  const char *class_name;
  uint32_t denied; /* shard on which may_act says no */
} world_t;

static world_t *world_new (uint32_t slots, uint32_t max_queue);
static void world_free (world_t *w);
static void add_vm (world_t *w, const char *id, uint32_t zone, uint32_t slots);
static handle_t submit (world_t *w, usec_t now, uint32_t priority,
                        usec_t deadline, bool idempotent, uint32_t hops);
static void expect (world_t *w, const char *log);

/* Guards against a queue that serves by arrival: the more important request
   goes first, then the one with the earlier deadline. */
static void
test_order (void)
{
  world_t *w = world_new (1, 10);
  handle_t first = submit (w, 0, 1, 500 * MS, false, 0);
  handle_t late = submit (w, 0, 1, 400 * MS, false, 0);
  handle_t early = submit (w, 0, 1, 300 * MS, false, 0);
  handle_t urgent = submit (w, 0, 0, 450 * MS, false, 0);
  handle_t expected[] = { urgent, early, late };

  for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      routing_attempt_ended (w->routing, 10 * MS, first, ATTEMPT_RAN, MS);
      CU_ASSERT_EQUAL (w->last, expected[i]);
      first = expected[i];
    }
  expect (w, "d:a d:a d:a d:a");
  world_free (w);
}

/* Guards against a member that floods the queue and keeps the others from
   their share. */
static void
test_fair_shares (void)
{
  world_t *w = world_new (1, 10);
  handle_t running;
  handle_t other;

  for (usec_t t = 0; t < 200 * MS; t += 10 * MS)
    {
      submit (w, t, 1, 900 * MS, false, 0);
      routing_attempt_ended (w->routing, t, w->last, ATTEMPT_RAN, 10 * MS);
    }
  running = submit (w, 200 * MS, 1, 600 * MS, false, 0);
  for (int i = 0; i < 3; i++)
    submit (w, 200 * MS, 1, 600 * MS, false, 0);
  w->member = "n";
  other = submit (w, 200 * MS, 1, 900 * MS, false, 0);
  CU_ASSERT_EQUAL (routing_backlog (w->routing), 1);
  routing_attempt_ended (w->routing, 210 * MS, running, ATTEMPT_RAN, 10 * MS);
  CU_ASSERT_EQUAL (w->last, other);
  world_free (w);
}

/* Guards against long work that takes all slots, so that short work waits
   behind it; against kept slots that stay idle while long work runs out of
   time; and against an overrun that counts as short work for ever. */
static void
test_lanes (void)
{
  world_t *w = world_new (16, 100);

  for (int i = 0; i < 40; i++)
    {
      w->class_name = i % 4 ? "proof" : "sheet";
      submit (w, 0, 1, 2000 * MS, false, 0);
      routing_attempt_ended (w->routing, 0, w->last, ATTEMPT_RAN,
                             i % 4 ? 1000 * MS : 6000 * MS);
    }
  w->class_name = "proof";
  for (int i = 0; i < 4; i++)
    submit (w, 0, 1, 90000 * MS, false, 0);
  w->class_name = "sheet";
  for (int i = 0; i < 12; i++)
    submit (w, 5000 * MS, 1, 90000 * MS, false, 0);
  CU_ASSERT_EQUAL (routing_queued (w->routing), 4);
  CU_ASSERT_EQUAL (routing_free_slots (w->routing), 4);
  w->class_name = "proof";
  submit (w, 5000 * MS, 1, 90000 * MS, false, 0);
  CU_ASSERT_EQUAL (routing_free_slots (w->routing), 3);
  routing_tick (w->routing, 60000 * MS);
  CU_ASSERT_TRUE (routing_free_slots (w->routing) < 3);
  world_free (w);
}

/* Guards against a queue without bound and against keeping the less
   important one when it is full. */
static void
test_full_queue (void)
{
  world_t *w = world_new (1, 1);
  handle_t kept;

  submit (w, 0, 1, 500 * MS, false, 0);
  kept = submit (w, 0, 1, 400 * MS, false, 0);
  CU_ASSERT_EQUAL (submit (w, 0, 2, 300 * MS, false, 0), HANDLE_NONE);
  expect (w, "d:a g:1");
  CU_ASSERT_TRUE (w->retry_after > 0);
  submit (w, 0, 0, 450 * MS, false, 0);
  CU_ASSERT_EQUAL (w->last, kept);
  expect (w, "g:1");
  CU_ASSERT_EQUAL (routing_queued (w->routing), 1);
  world_free (w);
}

/* Guards against refused callers that all come back together. */
static void
test_retry_after (void)
{
  world_t *w = world_new (1, 0);
  int early = 0;

  submit (w, 0, 1, 500 * MS, false, 0);
  for (int i = 0; i < 100; i++)
    {
      submit (w, 0, 1, 500 * MS, false, 0);
      early += w->retry_after < 1000 * MS;
    }
  CU_ASSERT_TRUE (early > 5 && early < 20);
  CU_ASSERT_TRUE (w->retry_after > 5000 * MS);
  world_free (w);
}

/* Guards against work that waits for a slot although it cannot meet its
   deadline any more. */
static void
test_deadline (void)
{
  world_t *w = world_new (1, 100);
  usec_t next;

  for (int i = 0; i < 20; i++)
    {
      submit (w, 0, 1, 500 * MS, false, 0);
      routing_attempt_ended (w->routing, 0, w->last, ATTEMPT_RAN, 100 * MS);
    }
  w->log[0] = 0;
  CU_ASSERT_EQUAL (submit (w, 0, 1, 50 * MS, false, 0), HANDLE_NONE);
  expect (w, "g:1");
  submit (w, 0, 1, 500 * MS, false, 0);
  submit (w, 0, 1, 300 * MS, false, 0);
  expect (w, "d:a");
  next = routing_tick (w->routing, 100 * MS);
  /* The run time is known to a quarter of an octave. */
  CU_ASSERT_TRUE (next > 175 * MS && next <= 201 * MS);
  expect (w, "");
  routing_tick (w->routing, next);
  expect (w, "g:1");
  world_free (w);
}

/* Guards against work started after its deadline because the process was
   paused between two ticks. */
static void
test_paused_process (void)
{
  world_t *w = world_new (1, 10);
  handle_t running = submit (w, 0, 1, 900 * MS, false, 0);

  submit (w, 0, 1, 100 * MS, false, 0);
  submit (w, 0, 1, 900 * MS, false, 0);
  routing_attempt_ended (w->routing, 500 * MS, running, ATTEMPT_RAN, MS);
  expect (w, "d:a g:1 d:a");
  world_free (w);
}

/* Guards against idle slots at a peer while work waits here, more forwards
   than a peer reported slots, a second hop, and a VM of another zone used
   before a near one. */
static void
test_peers (void)
{
  world_t *w = world_new (1, 10);
  handle_t forwarded;

  add_vm (w, "far", 2, 1);
  routing_update_peer (w->routing, 0, 7, 1, 1, 0, MS, true);
  routing_update_peer (w->routing, 0, 8, 1, 9, 0, MS, false);
  submit (w, 0, 1, 500 * MS, false, 0);
  submit (w, 0, 1, 500 * MS, false, 0);
  submit (w, 0, 1, 500 * MS, false, 1);
  expect (w, "d:a d:far");
  forwarded = submit (w, 0, 1, 100 * MS, false, 0);
  submit (w, 0, 1, 100 * MS, false, 0);
  expect (w, "f:7");
  CU_ASSERT_EQUAL (routing_queued (w->routing), 2);
  routing_update_peer (w->routing, MS, 7, 1, 1, 0, MS, true);
  expect (w, "f:7");
  routing_forward_ended (w->routing, MS, forwarded, ATTEMPT_NO_ANSWER);
  expect (w, "g:3");
  routing_update_peer (w->routing, MS, 7, 1, 1, 0, MS, true);
  forwarded = submit (w, MS, 1, 100 * MS, false, 0);
  submit (w, MS, 1, 100 * MS, false, 0);
  expect (w, "f:7");
  routing_forward_ended (w->routing, 2 * MS, forwarded, ATTEMPT_RAN);
  routing_tick (w->routing, 2 * MS);
  expect (w, "f:7");
  world_free (w);
}

/* Guards against peers that choose by an old load, and against reports while
   nothing changes or many for one burst. */
static void
test_report_due (void)
{
  world_t *w = world_new (4, 10);

  CU_ASSERT_TRUE (routing_report_due (w->routing, 100 * MS));
  CU_ASSERT_FALSE (routing_report_due (w->routing, 200 * MS));
  for (int i = 0; i < 4; i++)
    submit (w, 200 * MS, 1, 900 * MS, false, 0);
  CU_ASSERT_TRUE (routing_report_due (w->routing, 200 * MS));
  routing_attempt_ended (w->routing, 210 * MS, w->last, ATTEMPT_RAN, MS);
  CU_ASSERT_FALSE (routing_report_due (w->routing, 210 * MS));
  CU_ASSERT_TRUE (routing_report_due (w->routing, 230 * MS));
  world_free (w);
}

/* Guards invariants 2, 5 and 6: what may have run is sent again only if it
   is idempotent and its first attempt has surely ended, and is never called
   not-run. */
static void
test_retries (void)
{
  static const struct
  {
    bool idempotent;
    attempt_end_t end;
    usec_t deadline;
    usec_t before; /* nothing may happen until here */
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
      world_t *w = world_new (1, 10);
      handle_t r = submit (w, 0, 1, rows[i].deadline, rows[i].idempotent, 0);

      w->log[0] = 0;
      routing_attempt_ended (w->routing, 10 * MS, r, rows[i].end, MS);
      routing_tick (w->routing, rows[i].before);
      expect (w, rows[i].at_end);
      routing_tick (w->routing, 250 * MS);
      expect (w, rows[i].later);
      world_free (w);
    }
}

/* Guards against retries that multiply the load: a tenth of it at most,
   after the few that are allowed from the start, and counted once for a
   request that is forwarded. */
static void
test_retry_budget (void)
{
  world_t *w = world_new (1000, 10);
  int retries = 0;

  for (uint32_t i = 0; i < 2000; i++)
    {
      handle_t r = submit (w, 0, 1, 500 * MS, false, i % 2);

      w->log[0] = 0;
      routing_attempt_ended (w->routing, 0, r, ATTEMPT_NOT_STARTED, 0);
      retries += w->log[0] == 0;
    }
  CU_ASSERT_TRUE (retries >= 100 && retries <= 110);
  world_free (w);
}

/* Guards against a VM that fails everything at once and so draws the work,
   against setting aside more than half when the work itself fails, and
   against full load on a VM that has just come back. */
static void
test_failing_vms (void)
{
  static const struct
  {
    const char *failing; /* names of the VMs that fail */
    int most;            /* attempts on them out of 400 */
    uint64_t least_free; /* slots at the end */
  } rows[] = { { "b", 10, 24 }, { "bc", 20, 16 }, { "abcd", 400, 16 } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      world_t *w = world_new (8, 10);
      int failed = 0;

      add_vm (w, "b", 1, 8);
      add_vm (w, "c", 1, 8);
      add_vm (w, "d", 1, 8);
      for (int k = 0; k < 400; k++)
        {
          handle_t r = submit (w, 0, 1, 500 * MS, false, 0);
          bool fails = strchr (rows[i].failing, w->log[2]) != NULL;

          failed += fails;
          routing_attempt_ended (w->routing, 0, r,
                                 fails ? ATTEMPT_FAILED : ATTEMPT_RAN, MS);
          w->log[0] = 0;
        }
      CU_ASSERT_TRUE (failed <= rows[i].most);
      CU_ASSERT_TRUE (routing_free_slots (w->routing) >= rows[i].least_free);
      routing_tick (w->routing, 2000 * MS);
      if (i == 0)
        CU_ASSERT_EQUAL (routing_free_slots (w->routing), 25);
      world_free (w);
    }
}

/* Guards against work on a VM slowed by its neighbours while others have
   room, and against one that is shunned for ever. */
static void
test_slow_vm (void)
{
  world_t *w = world_new (4, 10);

  add_vm (w, "b", 1, 4);
  for (int k = 0; k < 200; k++)
    {
      handle_t r = submit (w, 0, 1, 900 * MS, false, 0);
      bool slow = w->log[2] == 'b';

      routing_attempt_ended (w->routing, 0, r, ATTEMPT_RAN,
                             slow ? 30 * MS : 10 * MS);
      w->log[0] = 0;
    }
  for (int k = 0; k < 5; k++)
    submit (w, 0, 1, 90000 * MS, false, 0);
  expect (w, "d:a d:a d:a d:a d:b");
  CU_ASSERT_EQUAL (routing_free_slots (w->routing), 0);
  for (usec_t t = 0; t < 20000 * MS; t += 500 * MS)
    routing_tick (w->routing, t);
  CU_ASSERT_EQUAL (routing_free_slots (w->routing), 3);
  world_free (w);
}

/* Guards against a dispatch to a shard whose lease has lapsed, and against
   one that stays unused after the lease is back. */
static void
test_may_act (void)
{
  world_t *w = world_new (1, 10);

  w->denied = 1;
  submit (w, 0, 1, 500 * MS, false, 0);
  expect (w, "");
  CU_ASSERT_EQUAL (routing_free_slots (w->routing), 0);
  w->denied = 0;
  routing_tick (w->routing, 60 * MS);
  expect (w, "d:a");
  world_free (w);
}

/* Guards against an answer for a caller that has gone, and a slot lost with
   it. */
static void
test_abandon (void)
{
  world_t *w = world_new (1, 10);
  handle_t running = submit (w, 0, 1, 500 * MS, true, 0);
  handle_t waiting = submit (w, 0, 1, 500 * MS, true, 0);

  routing_abandon (w->routing, 0, waiting);
  routing_abandon (w->routing, 0, running);
  CU_ASSERT_EQUAL (routing_queued (w->routing), 0);
  routing_attempt_ended (w->routing, 0, running, ATTEMPT_NOT_STARTED, 0);
  expect (w, "d:a");
  CU_ASSERT_EQUAL (routing_free_slots (w->routing), 1);
  world_free (w);
}

/* Guards against a forwarded request that waits until its deadline at a
   process whose last VM leaves, while others have free slots. */
static void
test_no_own_vm (void)
{
  world_t *w = world_new (1, 10);

  submit (w, 0, 1, 500 * MS, false, 0);
  submit (w, 0, 1, 500 * MS, false, 1);
  expect (w, "d:a");
  CU_ASSERT_EQUAL (routing_queued (w->routing), 1);
  limits_set_leaving (w->limits, limits_find (w->limits, "a"));
  routing_refresh (w->routing, MS);
  expect (w, "g:1");
  submit (w, MS, 1, 500 * MS, false, 1);
  expect (w, "g:1");
  submit (w, MS, 1, 500 * MS, false, 0);
  expect (w, "");
  CU_ASSERT_EQUAL (routing_queued (w->routing), 1);
  world_free (w);
}

static const suite_test_t tests[] = {
  { "no own VM", test_no_own_vm },
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
note (world_t *w, handle_t request, const char *kind, const char *what)
{
  size_t used = strlen (w->log);

  snprintf (w->log + used, sizeof w->log - used, "%s%s:%s", used ? " " : "",
            kind, what);
  w->last = request;
}

static void
on_dispatch (void *ctx, usec_t now, handle_t request, handle_t vm)
{
  world_t *w = ctx;

  (void)now;
  note (w, request, "d", limits_vm (w->limits, vm)->id);
}

static void
on_forward (void *ctx, usec_t now, handle_t request, node_id_t peer)
{
  char text[16];

  (void)now;
  snprintf (text, sizeof text, "%u", peer);
  note (ctx, request, "f", text);
}

static void
on_give_up (void *ctx, usec_t now, handle_t request, int outcome,
            usec_t retry_after)
{
  world_t *w = ctx;
  char text[16];

  (void)now;
  snprintf (text, sizeof text, "%d", outcome);
  note (w, request, "g", text);
  w->retry_after = retry_after;
}

static bool
on_may_act (void *ctx, uint32_t shard)
{
  const world_t *w = ctx;

  return shard != w->denied;
}

/** A process in zone 1 with the near VM "a" (shard 1). */
static world_t *
world_new (uint32_t slots, uint32_t max_queue)
{
  static const routing_ops_t ops
      = { on_dispatch, on_forward, on_give_up, on_may_act };
  routing_config_t config = { .zone = 1,
                              .max_queue = max_queue,
                              .retry_min = 10 * MS,
                              .retry_percent = 10 };
  world_t *w = g_new0 (world_t, 1);

  w->member = "m";
  w->class_name = "proof";
  w->limits = limits_new ();
  w->random = g_rand_new_with_seed (1);
  w->routing = routing_new (&config, w->limits, w->random, &ops, w);
  add_vm (w, "a", 1, slots);
  return w;
}

static void
world_free (world_t *w)
{
  routing_free (w->routing);
  limits_free (w->limits);
  g_rand_free (w->random);
  g_free (w);
}

static void
add_vm (world_t *w, const char *id, uint32_t zone, uint32_t slots)
{
  vm_t vm = { .zone = zone,
              .shard = zone,
              .slots = slots,
              .connections = slots,
              .state = VM_LIVE };

  snprintf (vm.id, sizeof vm.id, "%s", id);
  limits_set_vm (w->limits, &vm);
  routing_refresh (w->routing, 0);
}

static handle_t
submit (world_t *w, usec_t now, uint32_t priority, usec_t deadline,
        bool idempotent, uint32_t hops)
{
  request_info_t info = { .class_name = w->class_name,
                          .member = w->member,
                          .priority = priority,
                          .weight = 1,
                          .deadline = deadline,
                          .run_limit = 200 * MS,
                          .idempotent = idempotent,
                          .hops = hops };

  return routing_submit (w->routing, now, &info);
}

/** Compares the callbacks since the last call and forgets them. */
static void
expect (world_t *w, const char *log)
{
  CU_ASSERT_STRING_EQUAL (w->log, log);
  if (strcmp (w->log, log) != 0)
    printf ("saw \"%s\" for \"%s\"\n", w->log, log);
  w->log[0] = 0;
}
