/* Tests of the ledger of orders: verdicts in log order, walks, snapshots. */
#include "orders/orders.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define EPOCH 5U /* of every shard in these tests */
#define SHARD 3U
#define MANY 400000U

typedef struct
{
  uint64_t epoch;
  unsigned changes;
} world_t;

/* One log entry about order 1 and the verdict and state expected of it. */
typedef struct
{
  char kind; /* A, S, E, R, C as in ACCEPT, START, END, REQUEUE, CANCEL */
  uint64_t attempt;
  uint64_t epoch;
  uint64_t value; /* outcome of E, reason of R */
  order_apply_result_t verdict;
  order_state_t state;
} step_t;

static uint64_t
epoch_of (void *ctx, uint32_t shard)
{
  (void)shard;
  return ((const world_t *)ctx)->epoch;
}

static void
on_changed (void *ctx, usec_t now, const order_t *order)
{
  (void)now;
  (void)order;
  ((world_t *)ctx)->changes++;
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
message_of (const step_t *step)
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

/* Guards against a verdict that lets an attempt run twice, lets a stale
   owner end it, or says not-run of an order that may have run. */
static void
test_verdicts (void)
{
  static const step_t scripts[][8] = {
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
      world_t world = { EPOCH, 0 };
      orders_t *orders = orders_new (&ops, &world);
      unsigned applied = 0;

      for (size_t j = 0; j < G_N_ELEMENTS (scripts[i]); j++)
        {
          const step_t *step = &scripts[i][j];
          message_t message = message_of (step);
          order_id_t id = 0;

          CU_ASSERT_EQUAL (orders_apply (orders, (usec_t)j, j, &message, &id),
                           step->verdict);
          CU_ASSERT_EQUAL (id, 1);
          if (orders_get (orders, 1))
            CU_ASSERT_EQUAL (orders_get (orders, 1)->state, step->state);
          applied += step->verdict == ORDER_APPLIED;
        }
      CU_ASSERT_EQUAL (world.changes, applied);
      orders_free (orders);
    }
}

/* Guards against a member that learns of another member's order. */
static void
test_members_are_apart (void)
{
  world_t world = { EPOCH, 0 };
  orders_t *orders = orders_new (&ops, &world);
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

/* Guards against requeued work that loses its age, and against a walk that
   shows orders in a wrong state or shard. */
static void
test_walks (void)
{
  world_t world = { EPOCH, 0 };
  orders_t *orders = orders_new (&ops, &world);
  static const step_t steps[] = { { 'S', 1, EPOCH, 0, 0, 0 },
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

/* Guards against a fresh reader, whose log begins after the ACCEPT, that
   takes a stale snapshot for the state, and against readers that reach
   different states. */
static void
test_snapshots (void)
{
  static const step_t steps[] = { { 'A', 0, 0, 0, 0, 0 },
                                  { 'S', 1, EPOCH, 0, 0, 0 },
                                  { 'R', 1, EPOCH, REQUEUE_EVICTED, 0, 0 },
                                  { 'S', 2, EPOCH, 0, 0, 0 } };
  world_t world = { EPOCH, 0 };

  /* The snapshot is made after step MADE and lands after step LANDS. */
  for (size_t made = 0; made < 4; made++)
    for (size_t lands = made; lands < 4; lands++)
      {
        orders_t *old = orders_new (&ops, &world);
        orders_t *fresh = orders_new (&ops, &world);
        message_t snapshot = { .type = MSG_ORDER_SNAPSHOT };
        order_apply_result_t verdict
            = made == lands ? ORDER_APPLIED : ORDER_IGNORED;
        order_id_t due;

        for (size_t i = 0; i <= lands; i++)
          {
            message_t message = message_of (&steps[i]);

            orders_apply (old, 0, i, &message, NULL);
            if (i)
              orders_apply (fresh, 0, i, &message, NULL);
            if (i == made)
              orders_snapshot (orders_get (old, 1),
                               &snapshot.u.order_snapshot);
          }
        CU_ASSERT_EQUAL (orders_expiring (old, 1, &due, 1), 1);
        CU_ASSERT_EQUAL (orders_apply (old, 0, 9, &snapshot, NULL), verdict);
        CU_ASSERT_EQUAL (orders_apply (fresh, 0, 9, &snapshot, NULL), verdict);
        CU_ASSERT_EQUAL (orders_expiring (old, 1, &due, 1), made != lands);
        CU_ASSERT_EQUAL (orders_get (fresh, 1) != NULL, made == lands);
        if (made == lands)
          {
            CU_ASSERT_EQUAL (orders_get (fresh, 1)->state,
                             orders_get (old, 1)->state);
            CU_ASSERT_EQUAL (orders_get (fresh, 1)->attempt,
                             orders_get (old, 1)->attempt);
            CU_ASSERT_EQUAL (orders_get (fresh, 1)->may_have_run,
                             orders_get (old, 1)->may_have_run);
          }
        orders_free (old);
        orders_free (fresh);
      }
}

/* Guards against an order that takes too much memory: 400,000 of them must
   fit the process's limit. */
static void
test_memory (void)
{
  world_t world = { EPOCH, 0 };
  orders_t *orders = orders_new (&ops, &world);
  size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  size_t bytes;
  char key[24];

  for (uint64_t id = 1; id <= MANY; id++)
    {
      message_t message;

      snprintf (key, sizeof key, "key-%08u", (unsigned)id);
      message = accept_of (id, "m", key);
      orders_apply (orders, 0, id, &message, NULL);
    }
  bytes = (mallinfo2 ().uordblks + mallinfo2 ().hblkhd - before) / MANY;
  printf ("  %zu bytes an order\n", bytes);
  CU_ASSERT_EQUAL (orders_count (orders, ORDER_WAITING), MANY);
#ifndef __SANITIZE_ADDRESS__
  CU_ASSERT_TRUE (bytes < 600);
#endif
  orders_free (orders);
}

static const suite_test_t tests[] = {
  { "verdicts", test_verdicts },
  { "members are apart", test_members_are_apart },
  { "walks", test_walks },
  { "snapshots", test_snapshots },
  { "memory", test_memory },
};

int
main (void)
{
  return suite_main ("orders", tests, G_N_ELEMENTS (tests));
}
