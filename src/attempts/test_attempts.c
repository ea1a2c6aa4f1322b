/* Tests of the JSON encoding of calls and of the queue of waiting orders. */
#include "attempts/attempts.h"
#include "attempts/waiting.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

/* Guards against a call with a wrong path or a missing field, which a worker
   would reject. */
static void
test_call_encoding (void)
{
  static const struct
  {
    worker_call_kind_t kind;
    const char *path;
    const char *body_part; /* expected in the body, NULL: no body */
  } calls[] = {
    { CALL_LIST, "/attempts", NULL },
    { CALL_START, "/attempts/000000000000002a-3", "\"checkpoint\":\"cp\"" },
    { CALL_START, "/attempts/000000000000002a-3", "\"body_base64\":\"/wA=\"" },
    { CALL_RENEW, "/attempts/000000000000002a-3/renew", "\"lease_ms\":5000" },
    { CALL_CHECKPOINT, "/attempts/000000000000002a-3/checkpoint",
      "\"epoch\":9" },
    { CALL_STOP, "/attempts/000000000000002a-3/stop", "\"shard\":4" },
    { CALL_THROTTLE, "/attempts/000000000000002a-3/throttle",
      "\"percent\":50" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      worker_call_t call = { .kind = calls[i].kind,
                             .shard = 4,
                             .epoch = 9,
                             .order = 42,
                             .attempt = 3,
                             .lease = 5 * USEC_PER_SEC,
                             .percent = 50,
                             .class_name = "blend",
                             .body = { "\xff\0", 2 },
                             .checkpoint = blob_of ("cp") };
      char *path = worker_call_path (&call);
      char *body = worker_call_json (&call);

      CU_ASSERT_STRING_EQUAL (path, calls[i].path);
      CU_ASSERT_EQUAL (body == NULL, calls[i].body_part == NULL);
      if (body && calls[i].body_part)
        CU_ASSERT_PTR_NOT_NULL (strstr (body, calls[i].body_part));
      g_free (path);
      free (body);
    }
}

/* Guards against a malformed response that is taken for an empty list, which
   would mark every attempt of the worker as missing. */
static void
test_report_parsing (void)
{
  static const struct
  {
    const char *body;
    bool valid;
    unsigned count;
  } bodies[] = {
    { "[]", true, 0 },
    { "[{\"id\":\"000000000000002a-3\",\"state\":\"ended\",\"status\":200,"
      "\"result\":\"r\",\"usage\":{\"millicores\":7}}]",
      true, 1 },
    { "{\"id\":\"000000000000002a-3\",\"state\":\"ended\",\"status\":200,"
      "\"result\":\"r\",\"usage\":{\"millicores\":7}}",
      true, 1 },
    { "[{\"id\":\"000000000000002a-3\",\"state\":\"odd\"}]", false, 0 },
    { "[{\"id\":\"2a-3\",\"state\":\"ended\"}]", false, 0 },
    { "{\"id\":\"2a-3\",\"state\":\"ended\"}", false, 0 },
    { "[{\"id\":\"000000000000002a-\",\"state\":\"ended\"}]", false, 0 },
    { "[1]", false, 0 },
    { "3", false, 0 },
    { "", false, 0 },
    { "[", false, 0 },
  };
  GArray *reports = g_array_new (FALSE, TRUE, sizeof (attempt_report_t));

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      json_t *json = worker_reports_parse (blob_of (bodies[i].body), reports);

      CU_ASSERT_EQUAL (json != NULL, bodies[i].valid);
      CU_ASSERT_EQUAL (reports->len, bodies[i].count);
      if (reports->len)
        {
          const attempt_report_t *report
              = &g_array_index (reports, attempt_report_t, 0);

          CU_ASSERT_EQUAL (report->order, 42);
          CU_ASSERT_EQUAL (report->attempt, 3);
          CU_ASSERT_EQUAL (report->state, REPORT_ENDED);
          CU_ASSERT_EQUAL (report->millicores, 7);
          CU_ASSERT_TRUE (blob_equals (report->result, "r"));
        }
      json_decref (json);
    }
  g_array_free (reports, TRUE);
}

/* Large orders (identifier 100 and above) find no room; it is another node's
   turn to place order 9. */
static waiting_visit_t
visit (void *ctx, order_id_t order)
{
  g_string_append_printf ((GString *)ctx, "%d ", (int)order);
  if (order == 9)
    return WAITING_OTHER_NODE;
  return order >= 100 ? WAITING_NO_ROOM : WAITING_DONE;
}

/* Guards against orders that find no room blocking the others, and against
   urgent orders waiting behind them. */
static void
test_waiting_order (void)
{
  static const order_id_t ids[] = { 101, 102, 103, 104, 105, 1, 2, 9, 50 };
  waiting_t *waiting = waiting_new ();
  GString *visited = g_string_new (NULL);
  order_id_t other = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      order_t order = { .id = ids[i],
                        .class_name = "c",
                        .team = "t",
                        .urgent = ids[i] == 50,
                        .millicores = ids[i] >= 100 ? 64000 : 1000,
                        .accepted_at = (usec_t)i };

      waiting_add (waiting, &order, true);
    }
  CU_ASSERT_FALSE (waiting_pass (waiting, 2, visit, visited));
  CU_ASSERT_STRING_EQUAL (visited->str, "50 101 ");
  g_string_truncate (visited, 0);
  CU_ASSERT_TRUE (waiting_pass (waiting, 100, visit, visited));
  CU_ASSERT_STRING_EQUAL (visited->str, "101 102 103 104 1 2 9 ");
  CU_ASSERT_EQUAL (waiting_own_count (waiting), 5);
  CU_ASSERT_EQUAL (waiting_other_count (waiting), 1);
  CU_ASSERT_TRUE (waiting_next_other (waiting, &other));
  CU_ASSERT_EQUAL (other, 9);
  /* Large orders that find no room must not use up the budget of every
     pass. */
  for (order_id_t id = 3; id < 5; id++)
    {
      order_t order = { .id = id,
                        .class_name = "c",
                        .team = "t",
                        .millicores = 1000,
                        .accepted_at = 100 };

      waiting_add (waiting, &order, true);
    }
  g_string_truncate (visited, 0);
  CU_ASSERT_FALSE (waiting_pass (waiting, 4, visit, visited));
  CU_ASSERT_TRUE (waiting_pass (waiting, 4, visit, visited));
  CU_ASSERT_STRING_EQUAL (visited->str, "101 102 103 104 3 4 ");
  g_string_free (visited, TRUE);
  waiting_free (waiting);
}

static const suite_test_t tests[] = {
  { "calls", test_call_encoding },
  { "reports", test_report_parsing },
  { "queue", test_waiting_order },
};

int
main (void)
{
  return suite_main ("attempts", tests, G_N_ELEMENTS (tests));
}
