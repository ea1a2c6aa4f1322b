/* Tests of the table of orders: results of entries in log order, iteration,
   snapshots. */
#include "orders/orders.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define EPOCH 5U /* of every shard in these tests */
#define SHARD 3U
#define ORDER_COUNT 400000U

typedef struct
{
  uint64_t epoch;
  unsigned changes;
} fixture_t;

/* A log entry about order 1, with the expected result and state. */
typedef struct
{
  char kind; /* A, S, E, R, C as in ACCEPT, START, END, REQUEUE, CANCEL */
  uint64_t attempt;
  uint64_t epoch;
  uint64_t value; /* outcome of E, reason of R */
  order_apply_result_t result;
  order_state_t state;
} log_step_t;

static uint64_t
epoch_of (void *ctx, uint32_t shard)
{
  (void)shard;
  return ((const fixture_t *)ctx)->epoch;
}

static void
on_changed (void *ctx, usec_t now, const order_t *order)
{
  (void)now;
  (void)order;
  ((fixture_t *)ctx)->changes++;
}

static const orders_ops_t ops = { on_changed, epoch_of };

static message_t
accept_of (uint64_t id, const char *member, const char *key)
{
  return (message_t){ .type = MSG_ORDER_ACCEPT,
                      .u.order_accept = { .order = id,
                                          .member = blob_of (member),
                                          .key = blob_of (key),
                                          .class_name = blob_of ("plates"),
                                          .team = blob_of ("press"),
                                          .millicores = 1000,
                                          .body = blob_of ("a small body") } };
}

static message_t
message_of (const log_step_t *step)
{
  switch (step->kind)
    {
    case 'S':
      return (message_t){ .type = MSG_ORDER_START,
                          .u.order_start = { 1, step->attempt, blob_of ("w1"),
                                             SHARD, step->epoch } };
    case 'E':
      return (message_t){ .type = MSG_ORDER_END,
                          .u.order_end
                          = { 1, step->attempt, SHARD, step->epoch,
                              step->value, 200, blob_of ("done") } };
    case 'R':
      return (message_t){ .type = MSG_ORDER_REQUEUE,
                          .u.order_requeue
                          = { 1, step->attempt, SHARD, step->epoch,
                              step->value, blob_of ("cp") } };
    case 'C':
      return (message_t){ .type = MSG_ORDER_CANCEL,
                          .u.order_cancel = { 1, blob_of ("m") } };
    default:
      return accept_of (1, "m", "k");
    }
}

/* Guards against an attempt that is started twice, an end by a stale owner,
   and the outcome not-run of an order that may have run. */
static void
test_apply_results (void)
{
  static const log_step_t scripts[][8] = {
    { { 'S', 1, EPOCH, 0, ORDER_IGNORED, 0 },
      { 'A', 0, 0, 0, ORDER_APPLIED, ORDER_WAITING },
      { 'A', 0, 0, 0, ORDER_DUPLICATE, ORDER_WAITING },
      { 'S', 2, EPOCH, 0, ORDER_IGNORED, ORDER_WAITING },
      { 'S', 1, EPOCH - 1, 0, ORDER_IGNORED, ORDER_WAITING },
      { 'S', 1, EPOCH, 0, ORDER_APPLIED, ORDER_STARTED },
      { 'S', 1, EPOCH, 0, ORDER_IGNORED, ORDER_STARTED },
      { 'S', 2, EPOCH, 0, ORDER_IGNORED, ORDER_STARTED } },
    { { 'A', 0, 0, 0, ORDER_APPLIED, ORDER_WAITING },
      { 'S', 1, EPOCH, 0, ORDER_APPLIED, ORDER_STARTED },
      { 'E', 1, EPOCH - 1, OUTCOME_RAN, ORDER_IGNORED, ORDER_STARTED },
      { 'E', 2, EPOCH, OUTCOME_RAN, ORDER_IGNORED, ORDER_STARTED },
      { 'E', 1, EPOCH, 0, ORDER_IGNORED, ORDER_STARTED },
      { 'E', 1, EPOCH, OUTCOME_RAN, ORDER_APPLIED, ORDER_ENDED },
      { 'R', 1, EPOCH, REQUEUE_FAILED, ORDER_IGNORED, ORDER_ENDED },
      { 'C', 0, 0, 0, ORDER_IGNORED, ORDER_ENDED } },
    { { 'A', 0, 0, 0, ORDER_APPLIED, ORDER_WAITING },
      { 'S', 1, EPOCH, 0, ORDER_APPLIED, ORDER_STARTED },
      { 'R', 1, EPOCH, REQUEUE_EVICTED, ORDER_APPLIED, ORDER_WAITING },
      { 'R', 1, EPOCH, REQUEUE_EVICTED, ORDER_IGNORED, ORDER_WAITING },
      { 'E', 1, 0, OUTCOME_NOT_RUN, ORDER_IGNORED, ORDER_WAITING },
      { 'S', 1, EPOCH, 0, ORDER_IGNORED, ORDER_WAITING },
      { 'S', 2, EPOCH, 0, ORDER_APPLIED, ORDER_STARTED },
      { 'E', 2, EPOCH, OUTCOME_NOT_RUN, ORDER_IGNORED, ORDER_STARTED } },
    { { 'A', 0, 0, 0, ORDER_APPLIED, ORDER_WAITING },
      { 'C', 0, 0, 0, ORDER_APPLIED, ORDER_WAITING },
      { 'C', 0, 0, 0, ORDER_IGNORED, ORDER_WAITING },
      { 'S', 1, EPOCH, 0, ORDER_IGNORED, ORDER_WAITING },
      { 'E', 0, 0, OUTCOME_RAN, ORDER_IGNORED, ORDER_WAITING },
      { 'E', 0, 0, OUTCOME_NOT_RUN, ORDER_APPLIED, ORDER_ENDED },
      { 'E', 0, 0, OUTCOME_NOT_RUN, ORDER_IGNORED, ORDER_ENDED },
      { 'A', 0, 0, 0, ORDER_DUPLICATE, ORDER_ENDED } },
    { { 'A', 0, 0, 0, ORDER_APPLIED, ORDER_WAITING },
      { 'S', 1, EPOCH, 0, ORDER_APPLIED, ORDER_STARTED },
      { 'R', 1, EPOCH - 1, REQUEUE_NOT_STARTED, ORDER_IGNORED, ORDER_STARTED },
      { 'R', 1, EPOCH, REQUEUE_NOT_STARTED, ORDER_APPLIED, ORDER_WAITING },
      { 'C', 0, 0, 0, ORDER_APPLIED, ORDER_WAITING },
      { 'E', 0, 0, OUTCOME_NOT_RUN, ORDER_IGNORED, ORDER_WAITING },
      { 'E', 1, 0, OUTCOME_NOT_RUN, ORDER_APPLIED, ORDER_ENDED },
      { 'S', 2, EPOCH, 0, ORDER_IGNORED, ORDER_ENDED } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      fixture_t fixture = { EPOCH, 0 };
      orders_t *orders = orders_new (&ops, &fixture);
      unsigned applied = 0;

      for (size_t j = 0; j < G_N_ELEMENTS (scripts[i]); j++)
        {
          const log_step_t *step = &scripts[i][j];
          message_t message = message_of (step);
          order_id_t id = 0;

          CU_ASSERT_EQUAL (orders_apply (orders, (usec_t)j, j, &message, &id),
                           step->result);
          CU_ASSERT_EQUAL (id, 1);
          if (orders_get (orders, 1))
            CU_ASSERT_EQUAL (orders_get (orders, 1)->state, step->state);
          applied += step->result == ORDER_APPLIED;
        }
      CU_ASSERT_EQUAL (fixture.changes, applied);
      orders_free (orders);
    }
}

/* Guards against a member that can see another member's order. */
static void
test_member_isolation (void)
{
  fixture_t fixture = { EPOCH, 0 };
  orders_t *orders = orders_new (&ops, &fixture);
  message_t first = accept_of (1, "m", "k");
  message_t second = accept_of (2, "n", "k");
  json_t *json;

  orders_apply (orders, 0, 0, &first, NULL);
  CU_ASSERT_EQUAL (orders_apply (orders, 0, 1, &second, NULL), ORDER_APPLIED);
  CU_ASSERT_PTR_NULL (orders_get_of_member (orders, 1, "n"));
  CU_ASSERT_PTR_NOT_NULL (orders_get_of_member (orders, 1, "m"));
  CU_ASSERT_EQUAL (orders_by_key (orders, "n", "k")->id, 2);
  CU_ASSERT_PTR_NULL (orders_by_key (orders, "o", "k"));
  json = order_to_json (orders_get (orders, 2));
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (json, "order")),
                          "0000000000000002");
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (json, "state")),
                          "waiting");
  json_decref (json);
  orders_free (orders);
}

static bool
note_id (void *ctx, const order_t *order)
{
  g_string_append_printf ((GString *)ctx, "%d ", (int)order->id);
  return true;
}

static void
note_id_always (void *ctx, const order_t *order)
{
  note_id (ctx, order);
}

/* Guards against a requeued order that loses its position, and against
   iteration over orders of a wrong state or shard. */
static void
test_iteration (void)
{
  fixture_t fixture = { EPOCH, 0 };
  orders_t *orders = orders_new (&ops, &fixture);
  static const log_step_t steps[] = { { 'S', 1, EPOCH, 0, 0, 0 },
                                      { 'R', 1, EPOCH, REQUEUE_EVICTED, 0, 0 },
                                      { 'S', 2, EPOCH, 0, 0, 0 },
                                      { 'E', 2, EPOCH, OUTCOME_RAN, 0, 0 } };
  static const char *const waiting[] = { "2 3 ", "1 2 3 ", "2 3 ", "2 3 " };
  static const char *const on_shard[] = { "1 ", "", "1 ", "" };
  GString *seen = g_string_new (NULL);

  for (uint64_t id = 1; id <= 3; id++)
    {
      char key[2] = { (char)('a' + id), 0 };
      message_t message = accept_of (id, "m", key);

      orders_apply (orders, 0, id, &message, NULL);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      message_t message = message_of (&steps[i]);

      orders_apply (orders, 10, 10 + i, &message, NULL);
      g_string_truncate (seen, 0);
      orders_each (orders, ORDER_WAITING, note_id, seen);
      CU_ASSERT_STRING_EQUAL (seen->str, waiting[i]);
      g_string_truncate (seen, 0);
      orders_each_on_shard (orders, SHARD, note_id_always, seen);
      CU_ASSERT_STRING_EQUAL (seen->str, on_shard[i]);
    }
  g_string_truncate (seen, 0);
  orders_each_of_member (orders, "m", 2, note_id_always, seen);
  CU_ASSERT_STRING_EQUAL (seen->str, "3 2 ");
  orders_remove_ended (orders, 10);
  CU_ASSERT_EQUAL (orders_count (orders, ORDER_ENDED), 1);
  orders_remove_ended (orders, 11);
  CU_ASSERT_EQUAL (orders_count (orders, ORDER_ENDED), 0);
  CU_ASSERT_PTR_NULL (orders_get (orders, 1));
  g_string_free (seen, TRUE);
  orders_free (orders);
}

/* Guards against a new reader, whose log begins after the ACCEPT, that applies
   a stale snapshot, and against readers that reach different states. */
static void
test_snapshots (void)
{
  static const log_step_t steps[] = { { 'A', 0, 0, 0, 0, 0 },
                                      { 'S', 1, EPOCH, 0, 0, 0 },
                                      { 'R', 1, EPOCH, REQUEUE_EVICTED, 0, 0 },
                                      { 'S', 2, EPOCH, 0, 0, 0 } };
  fixture_t fixture = { EPOCH, 0 };

  /* The snapshot is taken after step TAKEN and applied after step APPLIED. */
  for (size_t taken = 0; taken < 4; taken++)
    for (size_t applied = taken; applied < 4; applied++)
      {
        orders_t *old_reader = orders_new (&ops, &fixture);
        orders_t *new_reader = orders_new (&ops, &fixture);
        message_t snapshot = { .type = MSG_ORDER_SNAPSHOT };
        order_apply_result_t result
            = taken == applied ? ORDER_APPLIED : ORDER_IGNORED;
        order_id_t due;

        for (size_t i = 0; i <= applied; i++)
          {
            message_t message = message_of (&steps[i]);

            orders_apply (old_reader, 0, i, &message, NULL);
            if (i)
              orders_apply (new_reader, 0, i, &message, NULL);
            if (i == taken)
              orders_snapshot (orders_get (old_reader, 1),
                               &snapshot.u.order_snapshot);
          }
        CU_ASSERT_EQUAL (orders_expiring (old_reader, 1, &due, 1), 1);
        CU_ASSERT_EQUAL (orders_apply (old_reader, 0, 9, &snapshot, NULL),
                         result);
        CU_ASSERT_EQUAL (orders_apply (new_reader, 0, 9, &snapshot, NULL),
                         result);
        CU_ASSERT_EQUAL (orders_expiring (old_reader, 1, &due, 1),
                         taken != applied);
        CU_ASSERT_EQUAL (orders_get (new_reader, 1) != NULL, taken == applied);
        if (taken == applied)
          {
            CU_ASSERT_EQUAL (orders_get (new_reader, 1)->state,
                             orders_get (old_reader, 1)->state);
            CU_ASSERT_EQUAL (orders_get (new_reader, 1)->attempt,
                             orders_get (old_reader, 1)->attempt);
            CU_ASSERT_EQUAL (orders_get (new_reader, 1)->may_have_run,
                             orders_get (old_reader, 1)->may_have_run);
          }
        orders_free (old_reader);
        orders_free (new_reader);
      }
}

/* Guards against losses of workers that a new reader does not count, and
   against losses that count although an attempt ended otherwise. */
static void
test_early_losses (void)
{
  static const log_step_t steps[]
      = { { 'A', 0, 0, 0, 0, 0 },
          { 'S', 1, EPOCH, 0, 0, 0 },
          { 'R', 1, EPOCH, REQUEUE_LOST_EARLY, 0, 0 },
          { 'S', 2, EPOCH, 0, 0, 0 },
          { 'R', 2, EPOCH, REQUEUE_LOST_EARLY, 0, 0 },
          { 'S', 3, EPOCH, 0, 0, 0 },
          { 'R', 3, EPOCH, REQUEUE_NOT_STARTED, 0, 0 },
          { 'S', 4, EPOCH, 0, 0, 0 },
          { 'R', 4, EPOCH, REQUEUE_LEASE_LAPSED, 0, 0 } };
  static const uint64_t losses[] = { 0, 0, 1, 1, 2, 2, 2, 2, 0 };
  fixture_t fixture = { EPOCH, 0 };
  orders_t *orders = orders_new (&ops, &fixture);

  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      orders_t *reader = orders_new (&ops, &fixture);
      message_t snapshot = { .type = MSG_ORDER_SNAPSHOT };
      message_t message = message_of (&steps[i]);

      orders_apply (orders, 0, i, &message, NULL);
      orders_snapshot (orders_get (orders, 1), &snapshot.u.order_snapshot);
      orders_apply (reader, 0, 99, &snapshot, NULL);
      CU_ASSERT_EQUAL (orders_get (orders, 1)->early_losses, losses[i]);
      CU_ASSERT_EQUAL (orders_get (reader, 1)->early_losses, losses[i]);
      CU_ASSERT_EQUAL (orders_get (reader, 1)->may_have_run,
                       orders_get (orders, 1)->may_have_run);
      orders_free (reader);
    }
  orders_free (orders);
}

/* Guards against orders that take too much memory: 400,000 of them must fit
   into the memory limit of the process. */
static void
test_memory (void)
{
  fixture_t fixture = { EPOCH, 0 };
  orders_t *orders = orders_new (&ops, &fixture);
  size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  size_t bytes;
  char key[24];

  for (uint64_t id = 1; id <= ORDER_COUNT; id++)
    {
      message_t message;

      snprintf (key, sizeof key, "key-%08u", (unsigned)id);
      message = accept_of (id, "m", key);
      orders_apply (orders, 0, id, &message, NULL);
    }
  bytes = (mallinfo2 ().uordblks + mallinfo2 ().hblkhd - before) / ORDER_COUNT;
  printf ("  %zu bytes per order\n", bytes);
  CU_ASSERT_EQUAL (orders_count (orders, ORDER_WAITING), ORDER_COUNT);
#ifndef __SANITIZE_ADDRESS__
  CU_ASSERT_TRUE (bytes < 600);
#endif
  orders_free (orders);
}

static const suite_test_t tests[] = {
  { "results of entries", test_apply_results },
  { "member isolation", test_member_isolation },
  { "early losses", test_early_losses },
  { "iteration over orders", test_iteration },
  { "snapshots", test_snapshots },
  { "memory", test_memory },
};

int
main (void)
{
  return suite_main ("orders", tests, G_N_ELEMENTS (tests));
}
