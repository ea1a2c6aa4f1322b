/** @file
 * A shard under test whose calls and appends are recorded.
 */
#include "support/shard_fixture.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* Length and key of a record as they are appended. */
#define RECORD_OVERHEAD_BYTES 22U
/* Age from which on the state of the zones is too old for starts.  */
#define ZONES_MAX_AGE (4 * USEC_PER_SEC)

/* shard_config_t.copy_percent of the next shard. */
#define COPY_PERCENT 2U
static uint32_t copy_percent = COPY_PERCENT;

static void set_up_config (usec_t lease, usec_t stale_limit,
                           usec_t lease_horizon, uint64_t job_bytes);

fixture_t fixture;

/* 2^32 - 1 ms */
static const guint8 longest_bound[] = { 0xce, 0xff, 0xff, 0xff, 0xff };

static void
on_call (void *ctx, const shard_call_t *call)
{
  (void)ctx;
  CU_ASSERT_FATAL (fixture.call_count < MAX_CALLS);
  fixture.calls[fixture.call_count++] = *call;
}

static void
keep_value (GByteArray *value, const shard_record_t *record)
{
  g_byte_array_set_size (value, 0);
  g_byte_array_append (value, (const guint8 *)record->value.data,
                       record->value.len);
}

static void
on_append (void *ctx, uint64_t sequence, const shard_record_t *records,
           size_t count)
{
  uint32_t bytes = 0;
  bool has_lapsing = false;

  (void)ctx;
  (void)sequence;
  fixture.leases_unstored = true;
  for (size_t i = 0; i < count; i++)
    {
      has_lapsing |= records[i].kind == RECORD_LAPSING;
      fixture.leases_unstored &= records[i].kind == RECORD_LAPSING
                                 || records[i].kind == RECORD_LEASE_BOUND;
    }
  fixture.appends += !fixture.leases_unstored;
  fixture.lapsing_appends += fixture.leases_unstored && has_lapsing;
  for (size_t i = 0; i < count; i++)
    {
      bytes += RECORD_OVERHEAD_BYTES + records[i].value.len;
      fixture.largest_record
          = MAX (fixture.largest_record, records[i].value.len);
    }
  fixture.largest_append = MAX (fixture.largest_append, bytes);
  for (size_t i = 0; i < count; i++)
    if (records[i].kind == RECORD_SUBMISSION)
      {
        fixture.submissions += records[i].value.len != 0;
        fixture.submission_deleted = !records[i].value.len;
      }
    else if (records[i].kind == RECORD_PROGRESS)
      keep_value (fixture.progress, &records[i]);
    else if (records[i].kind == RECORD_INTERFERENCE)
      fixture.models++;
    else if (records[i].kind == RECORD_LAPSING)
      keep_value (fixture.lapsing, &records[i]);
    else if (records[i].kind == RECORD_LEASE_BOUND)
      keep_value (fixture.lease_bound, &records[i]);
}

static void
on_settled (void *ctx, job_id_t job)
{
  (void)ctx;
  (void)job;
  fixture.settled++;
}

static void
on_superseded (void *ctx)
{
  (void)ctx;
  fixture.superseded++;
}

static int64_t
wall_ms (void *ctx)
{
  (void)ctx;
  return START_WALL_MS + usec_to_msec (fixture.now);
}

static bool
rejects_overload (void *ctx, const char *service)
{
  (void)ctx;
  CU_ASSERT_STRING_EQUAL (service, "service");
  fixture.overload_queries++;
  return fixture.workers_reject_overload;
}

static const char *
service_of_queue (void *ctx, const char *queue, uint64_t *version)
{
  (void)ctx;
  CU_ASSERT_STRING_EQUAL (queue, "queue");
  *version = fixture.config_version;
  return fixture.queue_service;
}

static const shard_ops_t ops
    = { on_call, on_append,        on_settled,      on_superseded,
        wall_ms, rejects_overload, service_of_queue };

submission_t *
new_submission_with_id (job_id_t id, uint32_t tasks)
{
  submission_t *submission = g_new0 (submission_t, 1);

  submission->id = id;
  submission->queue = g_strdup ("queue");
  submission->service = g_strdup ("service");
  submission->spec = g_strdup ("spec");
  submission->max_attempts = 2;
  submission->stretch_percent = 150;
  submission->accepted_ms = START_WALL_MS;
  submission->step_count = 1;
  submission->steps = g_new0 (step_t, 1);
  submission->steps[0].count = tasks;
  submission->steps[0].millicores = 1000;
  submission->steps[0].declared_ms = 500;
  return submission;
}

submission_t *
new_submission (uint32_t tasks)
{
  return new_submission_with_id (JOB_ID, tasks);
}

void
apply_submission (submission_t *submission)
{
  GByteArray *bytes = g_byte_array_new ();

  submission_encode (submission, bytes);
  shard_apply_record (fixture.shard, fixture.now, RECORD_SUBMISSION,
                      submission->id,
                      (blob_t){ (char *)bytes->data, bytes->len });
  g_byte_array_unref (bytes);
  submission_free (submission);
}

void
add_job_with_id (job_id_t id, uint32_t tasks)
{
  apply_submission (new_submission_with_id (id, tasks));
}

void
add_job (uint32_t tasks)
{
  add_job_with_id (JOB_ID, tasks);
}

void
set_up (void)
{
  set_up_job_bytes (0);
}

void
set_up_without_copies (void)
{
  copy_percent = 0;
  set_up ();
  copy_percent = COPY_PERCENT;
}

void
set_up_job_bytes (uint64_t job_bytes)
{
  set_up_config (6 * USEC_PER_SEC, STALE_LIMIT, LEASE_HORIZON, job_bytes);
}

void
set_up_leases (usec_t lease, usec_t stale_limit, usec_t lease_horizon)
{
  set_up_config (lease, stale_limit, lease_horizon, 0);
}

static void
set_up_config (usec_t lease, usec_t stale_limit, usec_t lease_horizon,
               uint64_t job_bytes)
{
  zones_t *zones = zones_new ();
  const shard_config_t config = { .lease = lease,
                                  .lease_horizon = lease_horizon,
                                  .stop_limit = 200 * USEC_PER_MSEC,
                                  .poll_busy = USEC_PER_SEC,
                                  .poll_shared = USEC_PER_SEC,
                                  .poll_idle = 2 * USEC_PER_SEC,
                                  .call_timeout = USEC_PER_SEC,
                                  .stale_limit = stale_limit,
                                  .keep_ended = 60 * USEC_PER_SEC,
                                  .append_bytes = 1 << 20,
                                  .zones = zones,
                                  .zones_max_age = ZONES_MAX_AGE,
                                  .workers_max_age = WORKERS_MAX_AGE,
                                  .job_bytes = job_bytes,
                                  .copy_percent = copy_percent };
  GByteArray *progress = fixture.progress;
  GByteArray *lapsing = fixture.lapsing;
  GByteArray *lease_bound = fixture.lease_bound;

  memset (&fixture, 0, sizeof fixture);
  fixture.progress = progress ? progress : g_byte_array_new ();
  fixture.lapsing = lapsing ? lapsing : g_byte_array_new ();
  g_byte_array_set_size (fixture.lapsing, 0);
  fixture.lease_bound = lease_bound ? lease_bound : g_byte_array_new ();
  g_byte_array_set_size (fixture.lease_bound, 0);
  fixture.now = USEC_PER_SEC;
  fixture.zones = zones;
  zones_confirm (zones, fixture.now);
  fixture.shard = shard_new (&config, &ops, NULL, 0);
  shard_acquire (fixture.shard, fixture.now, 1);
  /* So that the shard has nothing to append of its own accord.  */
  shard_apply_record (
      fixture.shard, fixture.now, RECORD_LEASE_BOUND, 0,
      (blob_t){ (const char *)longest_bound, sizeof longest_bound });
}

void
tear_down (void)
{
  shard_free (fixture.shard);
  zones_free (fixture.zones);
}

void
free_fixture (void)
{
  g_byte_array_unref (fixture.progress);
  g_byte_array_unref (fixture.lapsing);
  g_byte_array_unref (fixture.lease_bound);
}

static const shard_worker_t listed_worker = { .started_ms = START_WALL_MS,
                                              .service = "service",
                                              .label = "a",
                                              .rack = "r",
                                              .zone = "z1",
                                              .millicores = 4000,
                                              .memory_mb = 4000 };

void
list_worker_with (const char *id, const char *address, bool leaving)
{
  shard_worker_t info = listed_worker;

  info.id = id;
  info.address = address;
  info.leaving = leaving;
  shard_worker_listed (fixture.shard, fixture.now, &info);
}

void
list_worker_in (const char *id, const char *address, const char *zone)
{
  shard_worker_t info = listed_worker;

  info.id = id;
  info.address = address;
  info.zone = zone;
  shard_worker_listed (fixture.shard, fixture.now, &info);
}

void
list_worker_on (const char *id, const char *address, const char *rack,
                int64_t started_ms)
{
  shard_worker_t info = listed_worker;

  info.id = id;
  info.address = address;
  info.rack = rack;
  info.started_ms = started_ms;
  shard_worker_listed (fixture.shard, fixture.now, &info);
}

void
list_worker_leaving (bool leaving)
{
  list_worker_with ("w1", "10.0.0.1:1", leaving);
}

void
list_worker (void)
{
  list_worker_leaving (false);
}

void
advance (usec_t span)
{
  if (fixture.leases_unstored)
    {
      fixture.leases_unstored = false;
      shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
    }
  fixture.now += span;
  zones_confirm (fixture.zones, fixture.now);
  shard_workers_confirmed (fixture.shard, fixture.now);
  shard_ownership_confirmed (fixture.shard, fixture.now);
  shard_tick (fixture.shard, fixture.now);
}

const shard_call_t *
last_call (shard_call_kind_t kind)
{
  for (size_t i = fixture.call_count; i > 0; i--)
    if (fixture.calls[i - 1].kind == kind)
      return &fixture.calls[i - 1];
  return NULL;
}

size_t
count_calls (shard_call_kind_t kind)
{
  size_t count = 0;

  for (size_t i = 0; i < fixture.call_count; i++)
    count += fixture.calls[i].kind == kind;
  return count;
}

size_t
count_calls_at (shard_call_kind_t kind, const char *worker)
{
  size_t count = 0;

  for (size_t i = 0; i < fixture.call_count; i++)
    count += fixture.calls[i].kind == kind
             && strcmp (fixture.calls[i].worker, worker) == 0;
  return count;
}

void
store_all (void)
{
  uint32_t stored;

  advance (USEC_PER_MSEC);
  do
    {
      stored = fixture.appends;
      shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
      advance (USEC_PER_MSEC);
    }
  while (fixture.appends != stored);
}

void
reply_to_hold (const run_report_t *runs, size_t run_count,
               const end_report_t *ends, size_t end_count)
{
  shard_reply_t reply = { .kind = SHARD_REPLY_OK,
                          .clock_ms = usec_to_msec (fixture.now),
                          .started_ms = START_WALL_MS,
                          .has_lists = true,
                          .runs = runs,
                          .run_count = run_count,
                          .ends = ends,
                          .end_count = end_count };
  const shard_call_t *hold = last_call (SHARD_HOLD);

  CU_ASSERT_PTR_NOT_NULL_FATAL (hold);
  if (hold)
    shard_reply (fixture.shard, fixture.now, hold->id, &reply);
}

void
reply_to_holds (int count, usec_t span, const shard_reply_t *reply)
{
  for (int i = 0; i < count; i++)
    {
      const shard_call_t *hold;

      fixture.call_count = 0;
      advance (span);
      hold = last_call (SHARD_HOLD);
      if (hold)
        shard_reply (fixture.shard, fixture.now, hold->id, reply);
    }
}

void
reply_with_lists (const char *worker, const run_report_t *runs,
                  size_t run_count, const end_report_t *ends, size_t end_count)
{
  const shard_reply_t reply = { .kind = SHARD_REPLY_OK,
                                .clock_ms = usec_to_msec (fixture.now),
                                .started_ms = START_WALL_MS,
                                .has_lists = true,
                                .runs = runs,
                                .run_count = run_count,
                                .ends = ends,
                                .end_count = end_count };

  for (size_t i = 0; i < fixture.call_count; i++)
    if (fixture.calls[i].kind == SHARD_HOLD
        && strcmp (fixture.calls[i].worker, worker) == 0)
      shard_reply (fixture.shard, fixture.now, fixture.calls[i].id, &reply);
}

void
reply_as_ready (const char *worker)
{
  reply_with_lists (worker, NULL, 0, NULL, 0);
}

void
add_ready_worker (void)
{
  list_worker ();
  advance (0);
  reply_to_hold (NULL, 0, NULL, 0);
}

void
add_placed_run (void)
{
  GByteArray *progress = g_byte_array_new ();
  submission_t *submission = new_submission (1);
  job_t *job = job_new (submission);
  place_t place = { (char *)"w1", START_WALL_MS, (char *)"10.0.0.1:1" };

  job_create_due_occurrences (job, START_WALL_MS);
  task_place (job, job_occurrence (job, 0), 0, 0, &place);
  job_encode (job, progress);
  add_job (1);
  shard_apply_record (fixture.shard, fixture.now, RECORD_PROGRESS, JOB_ID,
                      (blob_t){ (char *)progress->data, progress->len });
  g_byte_array_unref (progress);
  job_free (job);
}

void
set_up_with_placed_run (void)
{
  set_up ();
  add_placed_run ();
  shard_loaded (fixture.shard, fixture.now);
}

const run_report_t first_run
    = { .run_id = { JOB_ID, 0, 0, 0, 1 }, .checkpoint = "", .percent = 10 };

int
submit (void)
{
  submission_t *submission = new_submission (1);
  GByteArray *bytes = g_byte_array_new ();
  int code;

  submission_encode (submission, bytes);
  code = shard_submit (fixture.shard, fixture.now, JOB_ID,
                       (blob_t){ (char *)bytes->data, bytes->len });
  g_byte_array_unref (bytes);
  submission_free (submission);
  return code;
}
