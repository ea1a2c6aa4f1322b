/** @file
 * JSON encoding of calls to workers, parsing of their responses.
 */
#include "attempts/attempts.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ORDER_ID_HEX_DIGITS 16

static void set_blob (json_t *object, const char *name, blob_t blob);
static bool parse_report (json_t *json, attempt_report_t *report);
static bool parse_id (const char *id, attempt_report_t *report);
static blob_t get_string (json_t *object, const char *name);
static uint64_t get_number (json_t *object, const char *name);

static const char *const path_suffixes[]
    = { [CALL_LIST] = "",        [CALL_START] = "",
        [CALL_RENEW] = "/renew", [CALL_CHECKPOINT] = "/checkpoint",
        [CALL_STOP] = "/stop",   [CALL_THROTTLE] = "/throttle" };

static const char *const report_states[] = { [REPORT_RUNNING] = "running",
                                             [REPORT_ENDED] = "ended",
                                             [REPORT_STOPPED] = "stopped" };

char *
worker_call_path (const worker_call_t *call)
{
  if (call->kind == CALL_LIST)
    return g_strdup ("/attempts");
  return g_strdup_printf ("/attempts/%016" PRIx64 "-%" PRIu64 "%s",
                          call->order, call->attempt,
                          path_suffixes[call->kind]);
}

char *
worker_call_json (const worker_call_t *call)
{
  json_t *object;
  char order[ORDER_ID_HEX_DIGITS + 1];
  char *text;

  if (call->kind == CALL_LIST)
    return NULL;
  snprintf (order, sizeof order, "%016" PRIx64, call->order);
  object
      = json_pack ("{s:s, s:I, s:I, s:I}", "order", order, "attempt",
                   (json_int_t)call->attempt, "shard", (json_int_t)call->shard,
                   "epoch", (json_int_t)call->epoch);
  if (call->lease)
    json_object_set_new (object, "lease_ms",
                         json_integer (call->lease / USEC_PER_MSEC));
  if (call->kind == CALL_THROTTLE)
    json_object_set_new (object, "percent", json_integer (call->percent));
  if (call->kind == CALL_START)
    {
      json_object_set_new (object, "class", json_string (call->class_name));
      json_object_set_new (object, "millicores",
                           json_integer ((json_int_t)call->millicores));
      json_object_set_new (object, "memory_mb",
                           json_integer ((json_int_t)call->memory_mb));
      json_object_set_new (object, "accelerators",
                           json_integer ((json_int_t)call->accelerators));
      set_blob (object, "body", call->body);
      if (call->checkpoint.len)
        set_blob (object, "checkpoint", call->checkpoint);
    }
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

json_t *
worker_reports_parse (blob_t body, GArray *reports)
{
  json_t *json = json_loadb (body.data ? body.data : "", body.len,
                             JSON_ALLOW_NUL, NULL);
  attempt_report_t report = { 0 };
  json_t *item;
  size_t i;

  bool valid = json_is_array (json);

  g_array_set_size (reports, 0);
  if (json_is_object (json))
    {
      valid = parse_report (json, &report);
      g_array_append_val (reports, report);
    }
  json_array_foreach (json, i, item)
  {
    valid = valid && parse_report (item, &report);
    g_array_append_val (reports, report);
  }
  if (valid)
    return json;
  g_array_set_size (reports, 0);
  json_decref (json);
  return NULL;
}

/* Bytes that are not valid UTF-8 cannot be a JSON string and are sent as
   base64 under NAME_base64. */
static void
set_blob (json_t *object, const char *name, blob_t blob)
{
  json_t *text = json_stringn (blob.data ? blob.data : "", blob.len);
  char *encoded;
  char *encoded_name;

  if (text)
    {
      json_object_set_new (object, name, text);
      return;
    }
  encoded = g_base64_encode ((const guchar *)blob.data, blob.len);
  encoded_name = g_strdup_printf ("%s_base64", name);
  json_object_set_new (object, encoded_name, json_string (encoded));
  g_free (encoded_name);
  g_free (encoded);
}

static bool
parse_report (json_t *json, attempt_report_t *report)
{
  const char *id = json_string_value (json_object_get (json, "id"));
  const char *state = json_string_value (json_object_get (json, "state"));
  json_t *usage = json_object_get (json, "usage");
  size_t state_index = 0;

  memset (report, 0, sizeof *report);
  if (!id || !state || !parse_id (id, report))
    return false;
  while (state_index < G_N_ELEMENTS (report_states)
         && strcmp (state, report_states[state_index]) != 0)
    state_index++;
  if (state_index == G_N_ELEMENTS (report_states))
    return false;
  report->state = (report_state_t)state_index;
  report->status = get_number (json, "status");
  report->millicores = get_number (usage, "millicores");
  report->memory_mb = get_number (usage, "memory_mb");
  report->result = get_string (json, "result");
  report->checkpoint = get_string (json, "checkpoint");
  return true;
}

static bool
parse_id (const char *id, attempt_report_t *report)
{
  char *end;

  report->order = g_ascii_strtoull (id, &end, 16);
  if (end != id + ORDER_ID_HEX_DIGITS || *end != '-')
    return false;
  id = end + 1;
  report->attempt = g_ascii_strtoull (id, &end, 10);
  return end != id && !*end;
}

static blob_t
get_string (json_t *object, const char *name)
{
  json_t *value = json_object_get (object, name);

  return (blob_t){ json_string_value (value),
                   (uint32_t)json_string_length (value) };
}

static uint64_t
get_number (json_t *object, const char *name)
{
  json_t *value = json_object_get (object, name);

  return json_is_integer (value) && json_integer_value (value) > 0
             ? (uint64_t)json_integer_value (value)
             : 0;
}
