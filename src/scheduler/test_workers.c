/* The list of workers against a backend that answers when the test says so. */
#include "scheduler/sched_private.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <xxhash.h>

#define SHRUNK (3 * USEC_PER_SEC)

/* The read that is in flight. */
typedef struct
{
  store_records_done_t done;
  void *ctx;
  bool latest; /* a page of the latest records */
} fake_read_t;

static fake_read_t fake;
static scheduler_settings_t settings
    = { .shrunk = SHRUNK, .partitions = 1, .append_bytes = 65536 };
static scheduler_t *scheduler;
static usec_t now; /* of the last read */

static void
fake_read (void *ctx, const store_read_t *read, store_records_done_t done,
           void *done_ctx)
{
  (void)ctx;
  CU_ASSERT_EQUAL (read->topic, TOPIC_WORKERS);
  fake = (fake_read_t){ .done = done, .ctx = done_ctx };
}

static void
fake_latest (void *ctx, topic_t topic, uint32_t part, const char *after,
             usec_t timeout, store_records_done_t done, void *done_ctx)
{
  (void)ctx;
  (void)part;
  (void)after;
  (void)timeout;
  CU_ASSERT_EQUAL (topic, TOPIC_WORKERS);
  fake = (fake_read_t){ .done = done, .ctx = done_ctx, .latest = true };
}

/* An entry's value is the capacity in millicores and the rack, which may be
   left out, or unreadable. */
static int
fake_worker (void *ctx, const store_record_t *record, shard_worker_t *info)
{
  static char id[16];
  static char rack[16];
  char text[32];

  (void)ctx;
  blob_copy (record->key, id, sizeof id);
  blob_copy (record->value, text, sizeof text);
  g_strlcpy (rack, strchr (text, ' ') ? strchr (text, ' ') + 1 : "r",
             sizeof rack);
  if (!record->key.len || strlen (id) != record->key.len)
    {
      *info = (shard_worker_t){ .id = "" };
      return -EBADMSG;
    }
  *info = (shard_worker_t){ .id = id,
                            .address = "10.0.0.1:1",
                            .service = "s",
                            .label = "a",
                            .rack = rack,
                            .zone = "z",
                            .millicores
                            = (uint32_t)g_ascii_strtoull (text, NULL, 10) };
  if (!text[0])
    return -ENOENT;
  return g_ascii_isdigit (text[0]) ? 0 : -EBADMSG;
}

static const backend_ops_t ops = { .read = fake_read,
                                   .read_latest = fake_latest,
                                   .decode_worker = fake_worker };
static const backend_t backend = { &ops, NULL };

static void
set_up_with_shards (uint32_t count)
{
  memset (&fake, 0, sizeof fake);
  now = clock_now ();
  scheduler = g_new0 (scheduler_t, 1);
  scheduler->backend = &backend;
  scheduler->settings = &settings;
  scheduler->zones = zones_new ();
  scheduler->worker_racks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sched_set_shards (scheduler, count);
  for (uint32_t i = 0; i < count; i++)
    {
      scheduler->shards[i].owned = true;
      shard_acquire (scheduler->shards[i].shard, now, 1);
    }
}

static void
set_up (void)
{
  set_up_with_shards (1);
}

static void
tear_down (void)
{
  for (uint32_t i = 0; i < scheduler->shard_count; i++)
    shard_free (scheduler->shards[i].shard);
  zones_free (scheduler->zones);
  g_hash_table_destroy (scheduler->worker_racks);
  g_free (scheduler->shards);
  g_free (scheduler->owners);
  g_free (scheduler);
}

static store_record_t
record (const char *key, const char *value, uint64_t offset)
{
  return (store_record_t){ blob_of (key), blob_of (value), offset };
}

/* Sends the next read; none may be in flight. */
static void
send_read (void)
{
  fake.done = NULL;
  now += USEC_PER_SEC;
  workers_tick (scheduler, now);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fake.done);
}

static void
answer (store_result_t result, const store_record_t *records, size_t count,
        uint64_t next_offset, bool has_more)
{
  const store_records_t answer = { .result = result,
                                   .records = records,
                                   .count = count,
                                   .next_offset = next_offset,
                                   .has_more = has_more };

  fake.done (fake.ctx, &answer);
}

/* @return a value that shard_dump shows, of the first worker if WORKER */
static json_int_t
dumped (const char *name, bool worker)
{
  json_t *dump = shard_dump (scheduler->shards[0].shard, now);
  const json_t *object
      = worker ? json_array_get (json_object_get (dump, "workers"), 0) : dump;
  json_int_t value = json_integer_value (json_object_get (object, name));

  json_decref (dump);
  return value;
}

/* @return whether the first worker of a shard is listed */
static bool
is_listed (uint32_t shard)
{
  json_t *dump = shard_dump (scheduler->shards[shard].shard, now);
  const json_t *worker = json_array_get (json_object_get (dump, "workers"), 0);
  bool listed = json_is_true (json_object_get (worker, "listed"));

  json_decref (dump);
  return listed;
}

/* @return age of the list of workers when the last read was sent, in ms */
static json_int_t
list_age (void)
{
  return dumped ("workers_age_ms", false);
}

/* Guards against a capacity that is not followed. */
static void
test_capacity (void)
{
  const store_record_t list[] = { record ("w1", "4000", 3) };
  const store_record_t changes[]
      = { record ("w1", "3000", 5), record ("w1", "1000", 6) };

  set_up ();
  send_read ();
  answer (STORE_OK, list, 1, 5, false);
  CU_ASSERT_EQUAL (dumped ("millicores", true), 4000);
  send_read ();
  answer (STORE_OK, changes, 2, 7, false);
  CU_ASSERT_EQUAL (dumped ("millicores", true), 1000);
  tear_down ();
}

/* Guards against an entry with a key that names no worker, or its deletion,
   that unlists the worker whose id the key begins with. */
static void
test_odd_keys (void)
{
  const store_record_t list[] = { record ("w1", "4000", 3) };
  const store_record_t odd[] = { { { "w1\0x", 4 }, blob_of ("x"), 5 },
                                 { { "w1\0x", 4 }, { NULL, 0 }, 6 },
                                 { { "", 0 }, blob_of ("1000"), 7 },
                                 { { "", 0 }, { NULL, 0 }, 8 } };

  set_up ();
  send_read ();
  answer (STORE_OK, list, 1, 5, false);
  send_read ();
  answer (STORE_OK, odd, 4, 9, false);
  CU_ASSERT (is_listed (0));
  CU_ASSERT_EQUAL (dumped ("millicores", true), 4000);
  CU_ASSERT_EQUAL (g_hash_table_size (scheduler->worker_racks), 1);
  tear_down ();
}

/* @return an entry of w1 in a rack of the shard; the text is valid until the
   next call for the shard */
static store_record_t
record_in (uint32_t shard, uint64_t offset)
{
  static char values[2][32];
  char rack[16];
  uint32_t n = 0;

  do
    g_snprintf (rack, sizeof rack, "rack-%u", n++);
  while (XXH64 (rack, strlen (rack), 0) % 2 != shard);
  g_snprintf (values[shard], sizeof values[shard], "4000 %s", rack);
  return record ("w1", values[shard], offset);
}

static size_t
worker_count (uint32_t shard)
{
  json_t *dump = shard_dump (scheduler->shards[shard].shard, now);
  size_t count = json_array_size (json_object_get (dump, "workers"));

  json_decref (dump);
  return count;
}

/* Guards against a worker that is listed in two shards, whose owners then call
   it with different tokens and stop each other's runs, after an entry with
   another rack. */
static void
test_odd_rack (void)
{
  const store_record_t right = record_in (0, 3);
  const store_record_t odd = record_in (1, 4);

  set_up_with_shards (2);
  send_read ();
  answer (STORE_OK, &right, 1, 4, false);
  CU_ASSERT (is_listed (0));
  send_read ();
  answer (STORE_OK, &odd, 1, 5, false);
  CU_ASSERT (!is_listed (0));
  CU_ASSERT_EQUAL (worker_count (1), 0);
  send_read ();
  answer (STORE_OK, &right, 1, 6, false);
  CU_ASSERT (is_listed (0));
  CU_ASSERT_EQUAL (worker_count (1), 0);
  tear_down ();
}

/* Guards against a worker that stays in the wrong shard if an entry with
   another rack was the first that was read. */
static void
test_odd_rack_at_first (void)
{
  const store_record_t odd = record_in (1, 3);
  const store_record_t right[] = { record_in (0, 4), record_in (0, 5) };

  set_up_with_shards (2);
  send_read ();
  answer (STORE_OK, &odd, 1, 4, false);
  send_read ();
  answer (STORE_OK, right, 2, 6, false);
  CU_ASSERT (is_listed (0));
  CU_ASSERT_EQUAL (worker_count (1), 0);
  tear_down ();
}

/* Guards against an owner that does not use a worker any more whose first
   entry named a rack of another owner's shard. */
static void
test_odd_rack_of_other_owner (void)
{
  const store_record_t odd = record_in (1, 3);
  const store_record_t right[] = { record_in (0, 4), record_in (0, 5) };

  set_up_with_shards (2);
  scheduler->shards[1].owned = false;
  shard_release (scheduler->shards[1].shard);
  send_read ();
  answer (STORE_OK, &odd, 1, 4, false);
  send_read ();
  answer (STORE_OK, right, 2, 6, false);
  CU_ASSERT (is_listed (0));
  tear_down ();
}

/* Guards against a list that counts as known before its last page, or from the
   time of its last page. */
static void
test_age_of_pages (void)
{
  const store_record_t first[] = { record ("w1", "4000", 3) };
  const store_record_t second[] = { record ("w2", "4000", 4) };

  set_up ();
  send_read ();
  answer (STORE_OK, first, 1, 5, true);
  CU_ASSERT (list_age () > usec_to_msec (SHRUNK));
  send_read ();
  answer (STORE_OK, second, 1, 5, false);
  CU_ASSERT_EQUAL (list_age (), 1000);
  tear_down ();
}

/* Guards against a list that counts as known although reads fail, or stop
   before the newest record. */
static void
test_age_of_reads (void)
{
  const store_record_t some[] = { record ("w1", "4000", 5) };

  set_up ();
  send_read ();
  answer (STORE_OK, NULL, 0, 5, false);
  CU_ASSERT_EQUAL (list_age (), 0);
  send_read ();
  answer (STORE_UNKNOWN, NULL, 0, 5, false);
  CU_ASSERT_EQUAL (list_age (), 1000);
  send_read ();
  answer (STORE_OK, some, 1, 6, true);
  CU_ASSERT_EQUAL (list_age (), 2000);
  send_read ();
  answer (STORE_OK, NULL, 0, 6, false);
  CU_ASSERT_EQUAL (list_age (), 0);
  tear_down ();
}

/* Guards against an owner that takes the list of its former ownership for
   known. */
static void
test_age_after_takeover (void)
{
  set_up ();
  send_read ();
  answer (STORE_OK, NULL, 0, 5, false);
  shard_release (scheduler->shards[0].shard);
  shard_acquire (scheduler->shards[0].shard, now, 2);
  CU_ASSERT (list_age () > usec_to_msec (SHRUNK));
  tear_down ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "capacity", test_capacity },
    { "odd keys", test_odd_keys },
    { "odd rack", test_odd_rack },
    { "odd rack at first", test_odd_rack_at_first },
    { "odd rack of other owner", test_odd_rack_of_other_owner },
    { "age of pages", test_age_of_pages },
    { "age of reads", test_age_of_reads },
    { "age after takeover", test_age_after_takeover },
  };

  log_open ("test", LOG_LEVEL_ERR);
  return suite_main ("workers", tests, sizeof tests / sizeof *tests);
}
