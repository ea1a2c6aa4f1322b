/* Fuzz target: what the platform's store and workers send.  The first byte of
   the input selects what the rest is: an entry of a worker (w), the body of a
   read (r), a page of newest records (p), a configuration (c), an answer of a
   worker (h), rows of partitions (g) or a submission (s). */
#include "fuzz.h"
#include "net/address.h"
#include "platform/platform_private.h"

#include <glib.h>

static platform_t platform;

static void check_worker (const store_record_t *record);
static void check_records (const GArray *rows);
static void check_reply (blob_t body);
static void check_parts (blob_t body);

/* Guards against input that crashes its reader, and against what no one may
   rely on: an id that ends a header, an address that cannot be called,
   capacities and lists out of range. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const blob_t body = { (const char *)data + 1, (uint32_t)size - 1 };
  const store_record_t worker = { .key = blob_of ("i-1"), .value = body };
  const store_record_t config = { .key = blob_of ("config"), .value = body };
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (store_record_t));
  GPtrArray *values = g_ptr_array_new_with_free_func (g_free);
  json_t *page = NULL;
  err_t err = { 0 };

  switch (size ? data[0] : 0)
    {
    case 'w':
      check_worker (&worker);
      break;
    case 'r':
      platform_parse_records (body, 7, rows);
      check_records (rows);
      break;
    case 'p':
      page = platform_parse_page (body, rows, values);
      FUZZ_CHECK (page || !rows->len);
      check_records (rows);
      break;
    case 'c':
      queues_free (platform_config (&platform, &config, &err));
      break;
    case 'h':
      check_reply (body);
      break;
    case 'g':
      check_parts (body);
      break;
    case 's':
      submission_free (platform_submission (&platform, body, &err));
      break;
    default:
      break;
    }
  json_decref (page);
  g_array_free (rows, TRUE);
  g_ptr_array_free (values, TRUE);
  return 0;
}

static void
check_worker (const store_record_t *record)
{
  struct sockaddr_in address;
  shard_worker_t info;
  int code = platform_worker (&platform, record, &info);

  FUZZ_CHECK (code == 0 || code == -ENOENT || code == -EBADMSG);
  FUZZ_CHECK (strlen (info.id) <= record->key.len);
  for (const char *c = info.id; *c; c++)
    FUZZ_CHECK (g_ascii_isgraph (*c));
  FUZZ_CHECK (code != -ENOENT || !record->value.len);
  if (code)
    return;
  FUZZ_CHECK (blob_equals (record->key, info.id) && *info.id);
  FUZZ_CHECK (!address_parse (info.address, &address));
  FUZZ_CHECK (*info.service && *info.zone && info.label && info.rack);
  FUZZ_CHECK (info.started_ms >= 0);
}

static void
check_records (const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    check_worker (&g_array_index (rows, store_record_t, i));
}

static void
check_reply (blob_t body)
{
  const http_answer_t answer
      = { .transfer_result = HTTP_ANSWERED, .status = 200, .body = body };
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (run_report_t));
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (end_report_t));
  shard_reply_t reply = { 0 };
  json_t *json = platform_parse_reply (&answer, &reply, runs, ends);

  FUZZ_CHECK (reply.kind == SHARD_REPLY_OK);
  FUZZ_CHECK (json || !reply.has_lists);
  FUZZ_CHECK (reply.has_lists || (!reply.run_count && !reply.end_count));
  for (size_t i = 0; i < reply.end_count; i++)
    FUZZ_CHECK (reply.ends[i].number > 0);
  json_decref (json);
  g_array_free (runs, TRUE);
  g_array_free (ends, TRUE);
}

static void
check_parts (blob_t body)
{
  json_t *list = json_loadb (body.data, body.len, 0, NULL);
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (store_part_t));

  platform_parse_parts (list, true, rows);
  for (guint i = 0; i < rows->len; i++)
    FUZZ_CHECK (*g_array_index (rows, store_part_t, i).member);
  g_array_set_size (rows, 0);
  platform_parse_parts (list, false, rows);
  json_decref (list);
  g_array_free (rows, TRUE);
}
