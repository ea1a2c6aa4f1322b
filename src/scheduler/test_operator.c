/* The operator's records against a backend that answers when the test says
   so. */
#include "scheduler/sched_private.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>

#define EVACUATE (5 * USEC_PER_SEC)
#define JOB_ID 0x5c0e7a21d94b36f8ULL

/* The read that is in flight. */
typedef struct
{
  store_records_done_t done;
  void *ctx;
  bool latest;     /* a page of the latest records */
  char after[256]; /* key after which the page begins */
  uint64_t from;
  usec_t wait;
} fake_read_t;

/* The append that is in flight. */
typedef struct
{
  store_done_t done;
  void *ctx;
  GByteArray *progress; /* the last progress record appended */
} fake_store_t;

static fake_read_t fake;
static fake_store_t store;
static scheduler_settings_t settings = { .evacuate = EVACUATE };
static scheduler_t *scheduler;
static usec_t now; /* of the last read */

static void
fake_read (void *ctx, const store_read_t *read, store_records_done_t done,
           void *done_ctx)
{
  (void)ctx;
  CU_ASSERT_EQUAL (read->topic, TOPIC_CONFIG);
  fake = (fake_read_t){
    .done = done, .ctx = done_ctx, .from = read->from, .wait = read->wait
  };
}

static void
fake_latest (void *ctx, topic_t topic, uint32_t part, const char *after,
             usec_t timeout, store_records_done_t done, void *done_ctx)
{
  (void)ctx;
  (void)part;
  (void)timeout;
  CU_ASSERT_EQUAL (topic, TOPIC_CONFIG);
  fake = (fake_read_t){ .done = done, .ctx = done_ctx, .latest = true };
  g_strlcpy (fake.after, after, sizeof fake.after);
}

static void
fake_append (void *ctx, const store_append_t *append, store_done_t done,
             void *done_ctx)
{
  (void)ctx;
  store.done = done;
  store.ctx = done_ctx;
  for (size_t i = 0; i < append->count; i++)
    if (append->records[i].key.data[0] == RECORD_PROGRESS)
      {
        g_byte_array_set_size (store.progress, 0);
        g_byte_array_append (store.progress,
                             (const guint8 *)append->records[i].value.data,
                             append->records[i].value.len);
      }
}

/* A configuration's value is its version and, separated by a space, the
   service of its queue. */
static queues_t *
fake_config (void *ctx, const store_record_t *record, err_t *err)
{
  queues_t *queues;
  const char *service;
  char text[32];

  (void)ctx;
  (void)err;
  if (!blob_equals (record->key, "config"))
    return NULL;
  blob_copy (record->value, text, sizeof text);
  queues = queues_new (g_ascii_strtoull (text, NULL, 10));
  service = strchr (text, ' ');
  if (service)
    queues_add (queues,
                &(const queue_rules_t){ .name = g_strdup ("queue"),
                                        .host = g_strdup ("host"),
                                        .path_prefix = g_strdup ("/q/"),
                                        .service = g_strdup (service + 1) });
  return queues;
}

/* The key of a zone is "zone-" and its name. */
static int
fake_zone (void *ctx, const store_record_t *record, zone_record_t *zone)
{
  char key[64];

  (void)ctx;
  blob_copy (record->key, key, sizeof key);
  if (!g_str_has_prefix (key, "zone-"))
    return -ENOENT;
  if (!key[5])
    return -EBADMSG;
  g_strlcpy (zone->zone, key + 5, sizeof zone->zone);
  zone->evacuated = record->value.len != 0;
  return 0;
}

static const backend_ops_t ops = { .append = fake_append,
                                   .read = fake_read,
                                   .read_latest = fake_latest,
                                   .decode_config = fake_config,
                                   .decode_zone = fake_zone };
static const backend_t backend = { &ops, NULL };

static void
set_up (void)
{
  memset (&fake, 0, sizeof fake);
  now = clock_now ();
  scheduler = g_new0 (scheduler_t, 1);
  scheduler->backend = &backend;
  scheduler->settings = &settings;
  scheduler->zones = zones_new ();
}

static void
tear_down (void)
{
  zones_free (scheduler->zones);
  queues_free (scheduler->queues);
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
  operator_tick (scheduler, now);
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

/* Reads a list without records, so that the log is followed. */
static void
load_empty (void)
{
  send_read ();
  answer (STORE_OK, NULL, 0, 5, false);
}

static bool
evacuated (const char *zone)
{
  return zones_is_evacuated (scheduler->zones, zone);
}

static bool
known (void)
{
  return zones_age (scheduler->zones, now) < EVACUATE;
}

/* Guards against records on the second page of the list that are not read, and
   against a state that counts as known before the last page. */
static void
test_pages (void)
{
  const store_record_t first[]
      = { record ("config", "7", 3), record ("zone-a", "{}", 8) };
  const store_record_t second[] = { record ("zone-b", "{}", 9) };

  set_up ();
  send_read ();
  CU_ASSERT (fake.latest);
  answer (STORE_OK, first, 2, 10, true);
  CU_ASSERT (!known ());
  send_read ();
  CU_ASSERT (fake.latest);
  CU_ASSERT_STRING_EQUAL (fake.after, "zone-a");
  answer (STORE_OK, second, 1, 12, false);
  CU_ASSERT (known ());
  CU_ASSERT (evacuated ("a"));
  CU_ASSERT (evacuated ("b"));
  CU_ASSERT_EQUAL (queues_version (scheduler->queues), 7);
  send_read ();
  CU_ASSERT (!fake.latest);
  CU_ASSERT_EQUAL (fake.from, 10);
  tear_down ();
}

/* Guards against a page of an earlier list that is continued after a failed
   read. */
static void
test_failed_page (void)
{
  const store_record_t first[] = { record ("zone-a", "{}", 8) };

  set_up ();
  send_read ();
  answer (STORE_OK, first, 1, 10, true);
  send_read ();
  answer (STORE_UNKNOWN, NULL, 0, 0, false);
  send_read ();
  CU_ASSERT (fake.latest);
  CU_ASSERT_STRING_EQUAL (fake.after, "");
  tear_down ();
}

/* Guards against evacuations that are missed, or that end when the operator
   writes something else or a record that cannot be read. */
static void
test_follow (void)
{
  const store_record_t evacuate[]
      = { record ("zone-a", "{}", 5), record ("zone-b", "{}", 6) };
  const store_record_t others[]
      = { record ("config", "3", 7), record ("zone-", "{}", 8),
          record ("wave/1", "{}", 9) };
  const store_record_t take_back[] = { record ("zone-a", "", 10) };

  set_up ();
  load_empty ();
  send_read ();
  CU_ASSERT_EQUAL (fake.from, 5);
  answer (STORE_OK, evacuate, 2, 7, false);
  CU_ASSERT (evacuated ("a"));
  CU_ASSERT (evacuated ("b"));
  send_read ();
  answer (STORE_OK, others, 3, 10, false);
  CU_ASSERT_EQUAL (queues_version (scheduler->queues), 3);
  CU_ASSERT (evacuated ("a"));
  send_read ();
  answer (STORE_OK, take_back, 1, 11, false);
  CU_ASSERT (!evacuated ("a"));
  CU_ASSERT (evacuated ("b"));
  tear_down ();
}

/* Guards against a zone that stays evacuated because the store has dropped the
   history in which it was taken back. */
static void
test_history_dropped (void)
{
  const store_record_t evacuate[]
      = { record ("zone-a", "{}", 5), record ("zone-b", "{}", 6) };
  const store_record_t latest[] = { record ("zone-b", "{}", 6) };

  set_up ();
  load_empty ();
  send_read ();
  answer (STORE_OK, evacuate, 2, 7, false);
  send_read ();
  answer (STORE_EXPIRED, NULL, 0, 0, false);
  send_read ();
  CU_ASSERT (fake.latest);
  CU_ASSERT (evacuated ("a"));
  answer (STORE_OK, latest, 1, 40, false);
  CU_ASSERT (!evacuated ("a"));
  CU_ASSERT (evacuated ("b"));
  tear_down ();
}

/* Guards against a state that becomes too old for starts because a read that
   follows a failed one waits for a record. */
static void
test_no_wait_after_failure (void)
{
  set_up ();
  load_empty ();
  send_read ();
  CU_ASSERT (fake.wait > 0);
  CU_ASSERT (fake.wait <= EVACUATE / 3);
  answer (STORE_REFUSED, NULL, 0, 0, false);
  send_read ();
  CU_ASSERT_EQUAL (fake.wait, 0);
  answer (STORE_OK, NULL, 0, 5, false);
  send_read ();
  CU_ASSERT (fake.wait > 0);
  tear_down ();
}

/* Guards against a read that was cut off before the end of the log and counts
   as a complete view. */
static void
test_partial_read (void)
{
  const store_record_t config[] = { record ("config", "3", 5) };

  set_up ();
  load_empty ();
  send_read ();
  answer (STORE_OK, config, 1, 6, true);
  CU_ASSERT_EQUAL (zones_age (scheduler->zones, now), USEC_PER_SEC);
  send_read ();
  answer (STORE_OK, NULL, 0, 7, false);
  CU_ASSERT_EQUAL (zones_age (scheduler->zones, now), 0);
  tear_down ();
}

static submission_t *
new_submission (void)
{
  submission_t *submission = g_new0 (submission_t, 1);

  submission->id = JOB_ID;
  submission->queue = g_strdup ("queue");
  submission->service = g_strdup ("old");
  submission->config_version = 1;
  submission->spec = g_strdup ("");
  submission->step_count = 1;
  submission->steps = g_new0 (step_t, 1);
  submission->steps[0].count = 1;
  return submission;
}

/* Makes the process own a shard with a job that it has just taken over. */
static void
own_shard (void)
{
  static const shard_config_t config = { .append_bytes = 65536 };
  submission_t *submission = new_submission ();
  GByteArray *bytes = g_byte_array_new ();
  shard_state_t *state;

  store.progress = g_byte_array_new ();
  sched_set_shards (scheduler, 1);
  state = &scheduler->shards[0];
  shard_free (state->shard);
  state->shard = shard_new (&config, &sched_shard_ops, state, 0);
  submission_encode (submission, bytes);
  submission_free (submission);
  shard_acquire (state->shard, now, 1);
  shard_apply_record (state->shard, now, RECORD_SUBMISSION, JOB_ID,
                      (blob_t){ (char *)bytes->data, bytes->len });
  shard_loaded (state->shard, now);
  g_byte_array_unref (bytes);
}

static void
disown_shard (void)
{
  shard_free (scheduler->shards[0].shard);
  g_free (scheduler->shards);
  g_free (scheduler->owners);
  g_byte_array_unref (store.progress);
}

/* Has the shard store its changes, and checks the service that a later owner
   reads: without a progress record, that of the submission. */
static void
expect_service (const char *service)
{
  job_t *job = job_new (new_submission ());

  shard_ownership_confirmed (scheduler->shards[0].shard, now);
  shard_tick (scheduler->shards[0].shard, now);
  if (store.done)
    store.done (store.ctx, STORE_OK, NULL);
  store.done = NULL;
  if (store.progress->len)
    CU_ASSERT_EQUAL (job_decode (job, (blob_t){ (char *)store.progress->data,
                                                store.progress->len }),
                     0);
  CU_ASSERT_STRING_EQUAL (job->submission->service, service);
  job_free (job);
}

/* Guards against jobs that stay with the service of their acceptance: a
   configuration that comes into force, or that was in force when the shard was
   taken over, has to reach them, and one of a lower version must not. */
static void
test_queue_moved (void)
{
  const store_record_t second[] = { record ("config", "2 new", 6) };
  const store_record_t late[] = { record ("config", "1 old", 7) };

  for (int taken_over_first = 0; taken_over_first < 2; taken_over_first++)
    {
      set_up ();
      load_empty ();
      if (taken_over_first)
        {
          own_shard ();
          expect_service ("old");
        }
      send_read ();
      answer (STORE_OK, second, 1, 7, false);
      if (!taken_over_first)
        own_shard ();
      expect_service ("new");
      send_read ();
      answer (STORE_OK, late, 1, 8, false);
      expect_service ("new");
      disown_shard ();
      tear_down ();
    }
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "pages", test_pages },
    { "failed page", test_failed_page },
    { "follow", test_follow },
    { "history dropped", test_history_dropped },
    { "no wait after a failure", test_no_wait_after_failure },
    { "partial read", test_partial_read },
    { "queue moved", test_queue_moved },
  };

  log_open ("test", LOG_LEVEL_ERR);
  return suite_main ("operator", tests, sizeof tests / sizeof *tests);
}
