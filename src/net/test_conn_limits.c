/* Decisions on which connection of an HTTP server is closed. */
#include "net/conn_limits.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <glib.h>

#define BUDGET 1000U
#define TIMEOUT 3U

static conn_limits_t *
new_limits (uint32_t max_connections)
{
  conn_limits_config_t config = { .max_connections = max_connections,
                                  .budget_bytes = BUDGET,
                                  .timeout_sweeps = TIMEOUT };

  return conn_limits_new (&config);
}

static void
sweep (conn_limits_t *limits, uint32_t count)
{
  while (count--)
    conn_limits_sweep (limits);
}

/* Serves one request of CONN, so that it counts as answered. */
static void
serve (conn_limits_t *limits, conn_t *conn)
{
  conn_limits_enter (limits, conn, CONN_BODY);
  conn_limits_enter (limits, conn, CONN_RUNNING);
  conn_limits_enter (limits, conn, CONN_ANSWERING);
  conn_limits_end_request (limits, conn, true);
}

/* Guards against closing clients that behave before those that never sent a
   complete request. */
static void
test_connection_order (void)
{
  conn_limits_t *limits = new_limits (4);
  conn_t *idle = conn_limits_add (limits, NULL);
  conn_t *body = conn_limits_add (limits, NULL);
  conn_t *fresh = conn_limits_add (limits, NULL);
  conn_t *later;

  serve (limits, idle);
  CU_ASSERT_FALSE (conn_limits_full (limits));
  later = conn_limits_add (limits, NULL);
  CU_ASSERT_TRUE (conn_limits_full (limits));
  serve (limits, later);
  conn_limits_enter (limits, body, CONN_BODY);
  CU_ASSERT_PTR_EQUAL (conn_limits_evictable (limits), fresh);
  conn_limits_close (limits, fresh);
  CU_ASSERT_FALSE (conn_limits_full (limits));
  CU_ASSERT_PTR_EQUAL (conn_limits_evictable (limits), body);
  conn_limits_remove (limits, fresh);
  conn_limits_remove (limits, body);
  CU_ASSERT_PTR_EQUAL (conn_limits_evictable (limits), idle);
  conn_limits_remove (limits, idle);
  CU_ASSERT_PTR_EQUAL (conn_limits_evictable (limits), later);
  conn_limits_remove (limits, later);
  CU_ASSERT_EQUAL (conn_limits_count (limits), 0);
  conn_limits_free (limits);
}

/* Guards against closing a connection whose request has been dispatched: it
   may have run. */
static void
test_running_stays (void)
{
  conn_limits_t *limits = new_limits (2);
  conn_t *running = conn_limits_add (limits, NULL);
  conn_t *answering = conn_limits_add (limits, NULL);

  conn_limits_enter (limits, running, CONN_RUNNING);
  conn_limits_enter (limits, answering, CONN_ANSWERING);
  CU_ASSERT_TRUE (conn_limits_reserve (limits, running, BUDGET));
  CU_ASSERT_PTR_NULL (conn_limits_evictable (limits));
  CU_ASSERT_PTR_NULL (conn_limits_slowest (limits));
  sweep (limits, 100 * TIMEOUT);
  CU_ASSERT_PTR_EQUAL (conn_limits_overdue (limits), answering);
  conn_limits_close (limits, answering);
  CU_ASSERT_PTR_NULL (conn_limits_overdue (limits));
  conn_limits_remove (limits, answering);
  conn_limits_remove (limits, running);
  conn_limits_free (limits);
}

/* Guards against bytes that are counted twice, never or not released. */
static void
test_budget (void)
{
  conn_limits_t *limits = new_limits (4);
  conn_t *a = conn_limits_add (limits, NULL);
  conn_t *b = conn_limits_add (limits, NULL);

  CU_ASSERT_TRUE (conn_limits_reserve (limits, a, 600));
  CU_ASSERT_FALSE (conn_limits_reserve (limits, b, 401));
  CU_ASSERT_EQUAL (conn_limits_bytes (limits), 600);
  CU_ASSERT_TRUE (conn_limits_reserve (limits, b, 400));
  conn_limits_close (limits, b);
  CU_ASSERT_EQUAL (conn_limits_bytes (limits), 600);
  conn_limits_end_request (limits, b, false);
  conn_limits_remove (limits, b);
  CU_ASSERT_EQUAL (conn_limits_bytes (limits), 600);
  conn_limits_release (limits, a);
  conn_limits_release (limits, a);
  CU_ASSERT_EQUAL (conn_limits_bytes (limits), 0);
  CU_ASSERT_TRUE (conn_limits_reserve (limits, a, BUDGET));
  conn_limits_remove (limits, a);
  CU_ASSERT_EQUAL (conn_limits_bytes (limits), 0);
  conn_limits_free (limits);
}

/* Guards against a budget that unread answers do not count toward. */
static void
test_answers (void)
{
  conn_limits_t *limits = new_limits (4);
  conn_t *a = conn_limits_add (limits, NULL);
  conn_t *b = conn_limits_add (limits, NULL);

  conn_limits_hold_answer (limits, a, BUDGET - 1);
  CU_ASSERT_TRUE (conn_limits_admits (limits));
  CU_ASSERT_FALSE (conn_limits_reserve (limits, b, 2));
  conn_limits_hold_answer (limits, b, BUDGET);
  CU_ASSERT_FALSE (conn_limits_admits (limits));
  /* The response exists until the request ends. */
  conn_limits_close (limits, a);
  CU_ASSERT_EQUAL (conn_limits_bytes (limits), 2 * BUDGET - 1);
  conn_limits_end_request (limits, a, false);
  conn_limits_end_request (limits, b, true);
  CU_ASSERT_TRUE (conn_limits_admits (limits));
  CU_ASSERT_EQUAL (conn_limits_bytes (limits), 0);
  conn_limits_remove (limits, a);
  conn_limits_remove (limits, b);
  conn_limits_free (limits);
}

/* Guards against closing the request that has just arrived in favour of one
   that has stopped. */
static void
test_slowest (void)
{
  conn_limits_t *limits = new_limits (4);
  conn_t *stopped = conn_limits_add (limits, NULL);
  conn_t *steady = conn_limits_add (limits, NULL);
  conn_t *waiting = conn_limits_add (limits, NULL);
  conn_t *late = conn_limits_add (limits, NULL);

  conn_limits_enter (limits, stopped, CONN_BODY);
  conn_limits_received (stopped, 900);
  CU_ASSERT_PTR_EQUAL (conn_limits_slowest (limits), stopped);
  sweep (limits, 8);
  serve (limits, steady);
  conn_limits_enter (limits, steady, CONN_BODY);
  conn_limits_received (steady, 500);
  sweep (limits, 2);
  conn_limits_enter (limits, late, CONN_BODY);
  /* 90 bytes a sweep, 250 bytes a sweep, not known yet. */
  CU_ASSERT_PTR_EQUAL (conn_limits_slowest (limits), stopped);
  conn_limits_remove (limits, stopped);
  CU_ASSERT_PTR_EQUAL (conn_limits_slowest (limits), steady);
  conn_limits_remove (limits, steady);
  CU_ASSERT_PTR_EQUAL (conn_limits_slowest (limits), late);
  conn_limits_remove (limits, late);
  CU_ASSERT_PTR_NULL (conn_limits_slowest (limits));
  conn_limits_remove (limits, waiting);
  conn_limits_free (limits);
}

/* Guards against a timeout that bytes renew, and against one that ends before
   whole sweeps of it have run. */
static void
test_timeout (void)
{
  conn_limits_t *limits = new_limits (4);
  conn_t *idle = conn_limits_add (limits, NULL);
  conn_t *slow = conn_limits_add (limits, NULL);

  serve (limits, idle);
  conn_limits_sweep (limits);
  conn_limits_enter (limits, slow, CONN_BODY);
  for (uint32_t i = 0; i < TIMEOUT; i++)
    {
      CU_ASSERT_PTR_NULL (conn_limits_overdue (limits));
      conn_limits_received (slow, 1);
      conn_limits_sweep (limits);
    }
  CU_ASSERT_PTR_EQUAL (conn_limits_overdue (limits), idle);
  conn_limits_close (limits, idle);
  CU_ASSERT_PTR_NULL (conn_limits_overdue (limits));
  conn_limits_sweep (limits);
  CU_ASSERT_PTR_EQUAL (conn_limits_overdue (limits), slow);
  /* The next phase has its own time. */
  conn_limits_enter (limits, slow, CONN_ANSWERING);
  CU_ASSERT_PTR_NULL (conn_limits_overdue (limits));
  conn_limits_remove (limits, idle);
  conn_limits_remove (limits, slow);
  conn_limits_free (limits);
}

enum
{
  CONNECTIONS = 24,
  STEPS = 40000
};

typedef struct
{
  conn_limits_t *limits;
  GRand *random;
  conn_t *conns[CONNECTIONS];
  uint64_t reserved[CONNECTIONS];
} world_t;

/* Does something with a connection.  */
static void
act (world_t *world)
{
  int i = g_rand_int_range (world->random, 0, CONNECTIONS);
  uint32_t bytes = (uint32_t)g_rand_int_range (world->random, 1, 200);
  conn_t *conn = world->conns[i];

  switch (g_rand_int_range (world->random, 0, 5))
    {
    case 0:
    case 1:
      conn_limits_enter (world->limits, conn,
                         (conn_phase_t)g_rand_int_range (
                             world->random, CONN_WAITING, CONN_ANSWERING + 1));
      break;
    case 2:
    case 3:
      if (conn_limits_reserve (world->limits, conn, bytes))
        world->reserved[i] += bytes;
      break;
    default:
      conn_limits_end_request (world->limits, conn, bytes & 1);
      world->reserved[i] = 0;
      break;
    }
}

/* Chooses a connection to be closed by one of the rules, NULL for none. */
static conn_t *
choose (world_t *world)
{
  conn_t *chosen;

  switch (g_rand_int_range (world->random, 0, 5))
    {
    case 0:
      conn_limits_sweep (world->limits);
      chosen = conn_limits_overdue (world->limits);
      CU_ASSERT_TRUE (!chosen || conn_phase (chosen) != CONN_RUNNING);
      return chosen;
    case 1:
      chosen = conn_limits_evictable (world->limits);
      CU_ASSERT_TRUE (!chosen || conn_phase (chosen) == CONN_WAITING
                      || conn_phase (chosen) == CONN_BODY);
      return chosen;
    case 2:
      chosen = conn_limits_slowest (world->limits);
      CU_ASSERT_TRUE (!chosen || conn_phase (chosen) == CONN_BODY);
      return chosen;
    default:
      return NULL;
    }
}

/* Guards against bytes that are lost in some order of events, a budget that is
   exceeded by bodies, and a choice of a connection that runs. */
static void
test_random (void)
{
  world_t world = { .limits = new_limits (CONNECTIONS),
                    .random = g_rand_new_with_seed (20261206) };

  for (int i = 0; i < CONNECTIONS; i++)
    world.conns[i] = conn_limits_add (world.limits, GINT_TO_POINTER (i));
  for (int step = 0; step < STEPS; step++)
    {
      conn_t *chosen;
      uint64_t sum = 0;

      act (&world);
      chosen = choose (&world);
      if (chosen)
        {
          int i = GPOINTER_TO_INT (conn_owner (chosen));

          conn_limits_close (world.limits, chosen);
          CU_ASSERT_EQUAL (conn_limits_count (world.limits), CONNECTIONS - 1);
          conn_limits_remove (world.limits, chosen);
          world.conns[i] = conn_limits_add (world.limits, GINT_TO_POINTER (i));
          world.reserved[i] = 0;
        }
      for (int k = 0; k < CONNECTIONS; k++)
        sum += world.reserved[k];
      CU_ASSERT_EQUAL (conn_limits_bytes (world.limits), sum);
      CU_ASSERT_TRUE (sum <= BUDGET);
    }
  for (int i = 0; i < CONNECTIONS; i++)
    conn_limits_remove (world.limits, world.conns[i]);
  CU_ASSERT_EQUAL (conn_limits_bytes (world.limits), 0);
  CU_ASSERT_EQUAL (conn_limits_count (world.limits), 0);
  g_rand_free (world.random);
  conn_limits_free (world.limits);
}

int
main (void)
{
  static const suite_test_t tests[] = {
    { "connections that have been of use are closed last",
      test_connection_order },
    { "a running request is never closed", test_running_stays },
    { "the budget holds and is released once", test_budget },
    { "answers count toward the budget", test_answers },
    { "the slowest body makes room", test_slowest },
    { "a phase as a whole has a timeout", test_timeout },
    { "random events", test_random },
  };

  return suite_main ("conn_limits", tests, G_N_ELEMENTS (tests));
}
