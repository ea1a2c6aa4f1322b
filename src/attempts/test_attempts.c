/* Tests of the calls as JSON and of the queue of waiting orders. */
#include "attempts/attempts.h"
#include "attempts/waiting.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

/* Guards against a call that a worker cannot read. */
static void
test_calls (void)
{
  static const struct
  {
    worker_call_kind_t kind;
    const char *path;
    const char *body; /* a part of it */
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
      CU_ASSERT_EQUAL (body == NULL, calls[i].body == NULL);
      if (body && calls[i].body)
        CU_ASSERT_PTR_NOT_NULL (strstr (body, calls[i].body));
      g_free (path);
      free (body);
    }
}

/* Guards against a malformed answer that is taken for an empty list, which
   would make every attempt of the worker missing. */
static void
test_reports (void)
{
  static const struct
  {
    const char *body;
    bool good;
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

      CU_ASSERT_EQUAL (json != NULL, bodies[i].good);
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

/* Large orders find no room, order 9 is another node's turn. */
static waiting_visit_t
visit (void *ctx, order_id_t order)
{
  g_string_append_printf ((GString *)ctx, "%d ", (int)order);
  if (order == 9)
    return WAITING_OTHER;
  return order >= 100 ? WAITING_MISS : WAITING_TAKEN;
}

/* Guards against orders without room that hold up the others, and urgent
   ones that wait behind them. */
static void
test_queue (void)
{
  static const order_id_t ids[] = { 101, 102, 103, 104, 105, 1, 2, 9, 50 };
  waiting_t *waiting = waiting_new ();
  GString *seen = g_string_new (NULL);
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
  CU_ASSERT_FALSE (waiting_pass (waiting, 2, visit, seen));
  CU_ASSERT_STRING_EQUAL (seen->str, "50 101 ");
  g_string_truncate (seen, 0);
  CU_ASSERT_TRUE (waiting_pass (waiting, 100, visit, seen));
  CU_ASSERT_STRING_EQUAL (seen->str, "101 102 103 104 1 2 9 ");
  CU_ASSERT_EQUAL (waiting_own (waiting), 5);
  CU_ASSERT_EQUAL (waiting_others (waiting), 1);
  CU_ASSERT_TRUE (waiting_next_other (waiting, &other));
  CU_ASSERT_EQUAL (other, 9);
  /* Large orders that miss must not use up the budget of every pass. */
  for (order_id_t id = 3; id < 5; id++)
    {
      order_t order = { .id = id,
                        .class_name = "c",
                        .team = "t",
                        .millicores = 1000,
                        .accepted_at = 100 };

      waiting_add (waiting, &order, true);
    }
  g_string_truncate (seen, 0);
  CU_ASSERT_FALSE (waiting_pass (waiting, 4, visit, seen));
  CU_ASSERT_TRUE (waiting_pass (waiting, 4, visit, seen));
  CU_ASSERT_STRING_EQUAL (seen->str, "101 102 103 104 3 4 ");
  g_string_free (seen, TRUE);
  waiting_free (waiting);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite ("attempts", NULL, NULL);
  CU_add_test (suite, "calls", test_calls);
  CU_add_test (suite, "reports", test_reports);
  CU_add_test (suite, "queue", test_queue);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? 1 : 0;
}
