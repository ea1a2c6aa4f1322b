/* Unit tests of how long leases last, and of how long their ends are waited
   for. */
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

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
#define SEEDS 200U
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

/* How an owner fails, and how long the store's service counts as disturbed:
   for RESTART_LIMIT to hold, the last CALM_TIME has to be undisturbed. */
typedef struct
{
  usec_t least_gap; /* without an owner */
  usec_t most_gap;
  usec_t disturbed;
} failure_t;

#define CALM_TIME (7 * USEC_PER_SEC)

static const failure_t failures[] = {
  /* killed, and removed from the group by its peers */
  { 100 * USEC_PER_MSEC, 600 * USEC_PER_MSEC, 0 },
  /* frozen or cut off for longer than its membership lasts */
  { 1600 * USEC_PER_MSEC, 2500 * USEC_PER_MSEC, 3500 * USEC_PER_MSEC },
};

/* A worker gives notice and leaves, while its owners change. */
typedef struct
{
  GRand *rand;
  usec_t leaves_at;
  usec_t leases_end;   /* the latest, by a slow clock */
  usec_t disturbed_at; /* last time */
  usec_t restarted_at; /* 0: not yet */
  uint64_t token;
  run_report_t run;
} departure_t;

static usec_t
random_span (departure_t *d, usec_t least, usec_t most)
{
  return least
         + (usec_t)g_rand_double_range (d->rand, 0, (double)(most - least));
}

/* An owner that the store has confirmed now may grant leases until then. */
static void
grant_until_horizon (departure_t *d)
{
  if (fixture.now < d->leaves_at)
    d->leases_end
        = fixture.now + SHORT_HORIZON * 100 / (100 - SLOW_CLOCK_PERCENT);
}

static void
answer_holds (departure_t *d)
{
  d->run.percent = d->run.percent % 100 + 1;
  if (fixture.now < d->leaves_at)
    reply_with_lists ("w1", &d->run, 1, NULL, 0);
  reply_as_ready ("w2");
  for (size_t i = 0; fixture.now >= d->leaves_at && i < fixture.call_count;
       i++)
    if (strcmp (fixture.calls[i].worker, "w1") == 0)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &none);
}

/* The owner works until then, or until it starts the task again. */
static void
own_until (departure_t *d, usec_t end)
{
  while (fixture.now < end && !d->restarted_at)
    {
      fixture.call_count = 0;
      advance (STEP);
      shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
      grant_until_horizon (d);
      answer_holds (d);
      if (last_call (SHARD_START))
        d->restarted_at = fixture.now;
    }
}

static void
load_records (void)
{
  GByteArray *records[]
      = { fixture.progress, fixture.lapsing, fixture.lease_bound };
  static const record_kind_t kinds[]
      = { RECORD_PROGRESS, RECORD_LAPSING, RECORD_LEASE_BOUND };

  add_job (1);
  for (size_t i = 0; i < G_N_ELEMENTS (records); i++)
    if (records[i]->len)
      shard_apply_record (
          fixture.shard, fixture.now, kinds[i],
          kinds[i] == RECORD_PROGRESS ? JOB_ID : 0,
          (blob_t){ (char *)records[i]->data, records[i]->len });
  shard_loaded (fixture.shard, fixture.now);
}

/* The entry of a worker that has left is gone. */
static void
read_worker_list (const departure_t *d)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);

  if (fixture.now < d->leaves_at)
    {
      list_worker_leaving (true);
      g_hash_table_add (listed, (gpointer) "w1");
    }
  list_worker_with ("w2", "10.0.0.2:1", false);
  g_hash_table_add (listed, (gpointer) "w2");
  shard_worker_list_read (fixture.shard, fixture.now, listed);
  g_hash_table_destroy (listed);
}

static void
replace_owner (departure_t *d)
{
  const failure_t *failure = &failures[g_rand_int_range (d->rand, 0, 2)];

  d->disturbed_at = MAX (d->disturbed_at, fixture.now + failure->disturbed);
  shard_release (fixture.shard);
  fixture.now += random_span (d, failure->least_gap, failure->most_gap);
  fixture.leases_unstored = false;
  shard_acquire (fixture.shard, fixture.now, ++d->token);
  load_records ();
  read_worker_list (d);
}

/* The task is started again when no lease can be left, but in time. */
static void
check_restart (const departure_t *d, uint32_t seed, usec_t lease)
{
  usec_t limit
      = MAX (d->leaves_at + RESTART_LIMIT, d->disturbed_at + CALM_TIME)
        - START_TIME;

  CU_ASSERT (d->restarted_at >= d->leases_end);
  CU_ASSERT (d->restarted_at <= limit);
  if (d->restarted_at < d->leases_end || d->restarted_at > limit)
    fprintf (stderr,
             "seed %u lease %d: restarted %d ms after the worker left, leases "
             "until %d ms, limit %d ms\n",
             seed, (int)usec_to_msec (lease),
             (int)usec_to_msec (d->restarted_at - d->leaves_at),
             (int)usec_to_msec (d->leases_end - d->leaves_at),
             (int)usec_to_msec (limit - d->leaves_at));
}

static void
check_departure (uint32_t seed, usec_t lease, int takeovers)
{
  departure_t d
      = { .rand = g_rand_new_with_seed (seed), .token = 1, .run = first_run };

  set_up_leases (lease, SHORT_STALE_LIMIT, SHORT_HORIZON);
  add_placed_run ();
  shard_loaded (fixture.shard, fixture.now);
  list_worker ();
  d.leaves_at = INT64_MAX;
  list_worker_with ("w2", "10.0.0.2:1", false);
  own_until (&d, fixture.now + USEC_PER_SEC);
  list_worker_leaving (true);
  own_until (&d, fixture.now + USEC_PER_SEC);
  d.leaves_at = fixture.now + random_span (&d, USEC_PER_SEC, 4 * USEC_PER_SEC);
  for (int i = 0; i < takeovers; i++)
    {
      own_until (&d, MIN (fixture.now
                              + random_span (&d, 300 * USEC_PER_MSEC,
                                             d.leaves_at + 10 * USEC_PER_SEC
                                                 - fixture.now),
                          d.leaves_at + 10 * USEC_PER_SEC));
      if (!d.restarted_at)
        replace_owner (&d);
    }
  own_until (&d, d.leaves_at + 3 * RESTART_LIMIT);
  check_restart (&d, seed, lease);
  g_rand_free (d.rand);
  tear_down ();
}

/* Guards against a long-running task that is without a run for too long since
   the owner of its worker changes around the worker's departure. */
static void
test_takeovers_around_departure (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      check_departure (seed, 6 * USEC_PER_SEC, 1);
      check_departure (seed, LONG_LEASE, 1);
      check_departure (seed, 6 * USEC_PER_SEC, 2);
      check_departure (seed, LONG_LEASE, 2);
    }
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "task of a worker that left", test_task_of_worker_that_left },
    { "takeovers around a departure", test_takeovers_around_departure },
  };
  int code;

  log_open ("test", LOG_LEVEL_ERR);
  code = suite_main ("shard leases", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}
