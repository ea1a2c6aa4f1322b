/* The scheduling process against a fake backend that records its calls.
   Names such as kitakaze-hkd trouble-2 in the comments identify the site and
   the scenario of the benchmark fleetbench in which the failure occurred. */
#include "base/log.h"
#include "net/address.h"
#include "net/http_client.h"
#include "scheduler/sched_private.h"
#include "support/addresses.h"
#include "support/paused_loop.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SHORT_RUN (350 * USEC_PER_MSEC)
#define LONG_RUN (3000 * USEC_PER_MSEC)
/* Longest time from the signal to the end, and the longest pause after it. */
#define SHORT_GRACE (1500 * USEC_PER_MSEC)
#define GRACE (6 * USEC_PER_SEC)
#define ACCEPT_PAUSE (3 * USEC_PER_SEC)
#define STOP_PAUSE (GRACE - 700 * USEC_PER_MSEC)
#define LATE_REQUESTS 40U
/* From the end of the pause to the last requests. */
#define REQUEST_DELAY (5 * USEC_PER_MSEC)
#define SUBMIT_AT (300 * USEC_PER_MSEC)
#define CHECK_AT (2700 * USEC_PER_MSEC)
/* The second join is sent 250 to 410 ms after the start, by the random delay
   of the first, and answered between the leave and the end of the process. */
/* Longest time until a site has a layout: traffic starts then. */
#define LAYOUT_RUN (10 * USEC_PER_SEC)
#define SLOW_JOIN (500 * USEC_PER_MSEC)
#define ANSWER_DELAY (2 * USEC_PER_MSEC)
#define READ_DELAY (50 * USEC_PER_MSEC)
#define SLOW_READ (600 * USEC_PER_MSEC)
#define JOB_ID 0x5c0e7a21d94b36f8ULL
#define JOB_PATH "/q/5c0e7a21d94b36f8"
#define MEMBER_SUFFIX "/0000000000000001"
#define CONFIG_VERSION 9U
#define GENERATION 7U
#define LAPSING_OFFSET 10U
/* Largest record that the platform accepts. */
#define MAX_RECORD_BYTES 262144U

/* Addresses of this process: its own and those of other members. */
static struct
{
  char callers[TEST_ADDRESS_SIZE];
  char ready[TEST_ADDRESS_SIZE];
  char peers[TEST_ADDRESS_SIZE];
  char operators[TEST_ADDRESS_SIZE];
  char store[TEST_ADDRESS_SIZE];
  char live_peer[TEST_ADDRESS_SIZE]; /* accepts connections */
  char former_member[96];            /* an earlier process at PEERS */
  char dead_member[96];              /* its VM refuses connections */
  char live_member[96];
} addresses;

typedef struct
{
  char calls[4096]; /* names of the store calls, in order */
  uint32_t appends;
  uint64_t fence_epoch; /* of the first append */
  size_t fence_records;
  store_result_t fence_result;
  bool appends_hang;     /* no append of records is answered */
  bool appends_refused;  /* every append of records is refused */
  bool unavailable;      /* every call is refused */
  bool slow_joins;       /* joins are slow once the shard is loaded */
  uint32_t lost_leaves;  /* number of leaves to leave unanswered */
  bool no_layout;        /* the layout is not decided, and every other list of
                            workers is empty */
  uint32_t worker_lists; /* number of lists of workers read */
  uint64_t submission_version; /* configuration of the last submission */
  bool layout_proposed;
  bool reads_behind; /* each read of records leaves further ones */
  bool late_record_read;
  uint32_t work_pages;
  const char *layout;      /* record of the layout */
  uint32_t lost_reads;     /* number of reads of records to leave unanswered */
  uint32_t read_sizes[4];  /* of the first reads of records */
  usec_t read_timeouts[4]; /* of the same */
  uint32_t read_count;
  uint32_t lost_appends; /* number of appends of records to leave unanswered */
  record_kind_t lease_record; /* about leases, returned by the first page */
  uint64_t progress_offset;   /* of the record of a job, which follows that of
                                 lapsing workers in the latest records, 0: both
                                 are missing */
  usec_t read_delay;
  GByteArray *late_record; /* submission of JOB_ID that another process has
                              stored, NULL for none */
  usec_t late_record_at;   /* it is in no answer to a read sent before */
  usec_t request_sent;     /* by the caller */
  usec_t answered_at;
  usec_t appended_at;    /* first append of records of a job */
  const char *owner;     /* member that owns the shard, NULL for none */
  char left_member[96];  /* member named in the last leave */
  uint32_t config_count; /* decoded configurations */
  const char *body;      /* of the submission */
  bool submitted;
  int answer_status;    /* of the caller's last request */
  int first_status;     /* of its first request */
  int other_job_status; /* of its request for another job */
  http_client_t *client;
  struct ev_loop *loop;
  GPtrArray *pending; /* store_answer_t */
} fake_store_t;

/* Requests to a process that is stopped and then has no turn.  */
typedef struct
{
  int sockets[LATE_REQUESTS]; /* the first half is connected early */
  usec_t stopped_at;          /* time of the signal */
  usec_t ended_at;            /* of the process */
  bool pause_is_long;         /* until the stop deadline */
  bool all_sent_last;         /* no request arrives in the pause */
  bool paused;
} late_requests_t;

/* A store call that a timer answers later.  */
typedef struct
{
  clock_timer_t timer;
  store_done_t done;
  store_records_done_t records;
  store_parts_done_t parts;
  void *ctx;
  store_result_t result;
  bool assigned;
  const char *owner;
  store_record_t record; /* result of a read if its key is set */
  bool has_more;
  bool owns_ctx; /* the callback would free ctx */
} store_answer_t;

static fake_store_t fake;
static late_requests_t late;

static void
on_answer_due (void *ctx)
{
  store_answer_t *a = ctx;
  store_part_t part = { .part = 0, .member = a->owner };
  store_records_t records = { .result = a->result,
                              .records = &a->record,
                              .count = a->record.key.len ? 1 : 0,
                              .has_more = a->has_more };
  store_parts_t parts = { .result = a->result,
                          .generation = GENERATION,
                          .parts = &part,
                          .count = a->assigned || a->owner ? 1 : 0 };

  g_ptr_array_remove_fast (fake.pending, a);
  if (a->done)
    a->done (a->ctx, a->result, "fake");
  else if (a->records)
    a->records (a->ctx, &records);
  else
    {
      if (a->assigned)
        g_strlcat (fake.calls, "joined ", sizeof fake.calls);
      a->parts (a->ctx, &parts);
    }
  g_free (a);
}

static store_answer_t *
answer_later (const char *name, usec_t delay)
{
  store_answer_t *a = g_new0 (store_answer_t, 1);

  g_strlcat (fake.calls, name, sizeof fake.calls);
  g_strlcat (fake.calls, " ", sizeof fake.calls);
  clock_timer_init (&a->timer, fake.loop, on_answer_due, a);
  a->result = fake.unavailable ? STORE_REFUSED : STORE_OK;
  clock_timer_start (&a->timer, delay);
  g_ptr_array_add (fake.pending, a);
  return a;
}

static bool
has_job_record (const store_append_t *append)
{
  for (size_t i = 0; i < append->count; i++)
    if (append->records[i].key.data[0] == RECORD_SUBMISSION
        || append->records[i].key.data[0] == RECORD_PROGRESS)
      return true;
  return false;
}

static void
note_version (const store_append_t *append)
{
  for (size_t i = 0; i < append->count; i++)
    if (append->records[i].key.data[0] == RECORD_SUBMISSION)
      {
        submission_t *submission
            = submission_decode (append->records[i].value);

        fake.submission_version = submission ? submission->config_version : 0;
        submission_free (submission);
      }
}

static void
fake_append (void *ctx, const store_append_t *append, store_done_t done,
             void *done_ctx)
{
  store_answer_t *a = answer_later (
      "append",
      fake.appends_hang && append->count ? 10 * LONG_RUN : ANSWER_DELAY);

  (void)ctx;
  fake.layout_proposed |= append->topic == TOPIC_LAYOUT;
  note_version (append);
  if (has_job_record (append) && !fake.appended_at)
    fake.appended_at = clock_now ();
  if (!fake.appends++)
    {
      fake.fence_epoch = append->epoch;
      fake.fence_records = append->count;
    }
  a->done = done;
  a->ctx = done_ctx;
  a->owns_ctx = true;
  if (fake.lost_appends && append->count)
    {
      fake.lost_appends--;
      clock_timer_start (&a->timer, append->timeout);
      a->result = STORE_UNKNOWN;
    }
  else if (!fake.unavailable)
    a->result = fake.appends_refused ? STORE_REFUSED : fake.fence_result;
}

/* Has the read return the late record if it was stored before. */
static void
add_late_record (store_answer_t *a)
{
  static char key[RECORD_KEY_MAX + 1];

  if (!fake.late_record || fake.late_record_read
      || clock_now () < fake.late_record_at)
    return;
  fake.late_record_read = true;
  record_key (RECORD_SUBMISSION, JOB_ID, key);
  a->record.key = blob_of (key);
  a->record.value = (blob_t){ (const char *)fake.late_record->data,
                              fake.late_record->len };
}

static void
fake_read (void *ctx, const store_read_t *read, store_records_done_t done,
           void *done_ctx)
{
  store_answer_t *a = answer_later (
      "read", read->topic == TOPIC_WORK && fake.read_delay ? fake.read_delay
                                                           : READ_DELAY);

  (void)ctx;
  if (read->topic == TOPIC_CONFIG)
    a->record.key = blob_of ("config");
  if (read->topic == TOPIC_WORK)
    {
      a->has_more = fake.reads_behind;
      add_late_record (a);
    }
  a->records = done;
  a->ctx = done_ctx;
  a->owns_ctx = read->topic == TOPIC_WORK;
  if (!a->owns_ctx)
    return;
  if (fake.read_count < G_N_ELEMENTS (fake.read_sizes))
    {
      fake.read_sizes[fake.read_count] = read->max_bytes;
      fake.read_timeouts[fake.read_count++] = read->timeout;
    }
  if (!fake.lost_reads)
    return;
  fake.lost_reads--;
  clock_timer_start (&a->timer, read->timeout);
  a->result = STORE_UNKNOWN;
}

/* Has the pages return a record about leases and then that of a job. */
static void
add_work_record (store_answer_t *a)
{
  static char keys[2][RECORD_KEY_MAX + 1];
  uint32_t page = fake.work_pages++;

  if (!fake.progress_offset || page >= G_N_ELEMENTS (keys))
    return;
  record_key (page ? RECORD_PROGRESS : fake.lease_record, page ? JOB_ID : 0,
              keys[page]);
  a->record = (store_record_t){ .key = blob_of (keys[page]),
                                .value = blob_of ("x"),
                                .offset = page ? fake.progress_offset
                                               : LAPSING_OFFSET };
  a->has_more = !page;
}

static void
fake_newest (void *ctx, topic_t topic, uint32_t part, const char *after,
             usec_t timeout, store_records_done_t done, void *done_ctx)
{
  store_answer_t *a = answer_later (
      topic == TOPIC_WORK ? "newest-work" : "newest", ANSWER_DELAY);

  (void)ctx;
  (void)part;
  (void)after;
  (void)timeout;
  a->records = done;
  a->ctx = done_ctx;
  a->owns_ctx = topic == TOPIC_WORK;
  if (topic == TOPIC_WORK)
    add_work_record (a);
  else if (topic == TOPIC_CONFIG)
    a->record.key = blob_of ("config");
  else if (fake.no_layout && topic == TOPIC_WORKERS && fake.worker_lists++ % 2)
    a->record.key = blob_of ("w1");
  else if (!fake.no_layout && topic == TOPIC_LAYOUT)
    a->record = (store_record_t){ .key = blob_of ("layout"),
                                  .value = blob_of (fake.layout) };
}

static void
fake_join (void *ctx, const store_join_t *join, store_parts_done_t done,
           void *done_ctx)
{
  store_answer_t *a = answer_later (
      "join", fake.slow_joins && strstr (fake.calls, "newest-work")
                  ? SLOW_JOIN
                  : ANSWER_DELAY);

  (void)ctx;
  (void)join;
  a->parts = done;
  a->ctx = done_ctx;
  a->assigned = !fake.owner;
}

static void
fake_leave (void *ctx, const store_join_t *join, store_done_t done,
            void *done_ctx)
{
  store_answer_t *a = answer_later ("leave", ANSWER_DELAY);

  (void)ctx;
  g_strlcpy (fake.left_member, join->member, sizeof fake.left_member);
  fake.owner = NULL;
  a->done = done;
  a->ctx = done_ctx;
  if (fake.lost_leaves)
    {
      fake.lost_leaves--;
      a->result = STORE_UNKNOWN;
    }
}

static void
fake_owners (void *ctx, const char *group, usec_t timeout,
             store_parts_done_t done, void *done_ctx)
{
  store_answer_t *a = answer_later ("owners", ANSWER_DELAY);

  (void)ctx;
  (void)group;
  (void)timeout;
  a->parts = done;
  a->ctx = done_ctx;
  a->owner = fake.owner;
}

static queues_t *
fake_config (void *ctx, const store_record_t *record, err_t *err)
{
  const queue_rules_t rules
      = { .name = g_strdup ("queue"),
          .host
          = g_strndup (addresses.callers, strcspn (addresses.callers, ":")),
          .path_prefix = g_strdup ("/q/"),
          .service = g_strdup ("service") };
  /* Each further record has a lower version.  */
  queues_t *queues = queues_new (CONFIG_VERSION - fake.config_count++);

  (void)ctx;
  (void)record;
  (void)err;
  queues_add (queues, &rules);
  return queues;
}

static int
fake_zone (void *ctx, const store_record_t *record, zone_record_t *zone)
{
  (void)ctx;
  if (!blob_equals (record->key, "zone"))
    return -ENOENT;
  g_strlcpy (zone->zone, "z", sizeof zone->zone);
  zone->evacuated = record->value.len != 0;
  return 0;
}

static submission_t *
fake_submission (void *ctx, blob_t body, err_t *err)
{
  submission_t *submission = g_new0 (submission_t, 1);

  (void)ctx;
  (void)err;
  submission->spec = g_strdup ("spec");
  submission->step_count = 1;
  submission->steps = g_new0 (step_t, 1);
  submission->steps[0].count = 1;
  submission->steps[0].image = g_strndup (body.data, body.len);
  return submission;
}

static char *
fake_status_body (void *ctx, job_status_t status)
{
  (void)ctx;
  return strdup (job_status_name (status));
}

static char *
fake_error_body (void *ctx, const char *text)
{
  (void)ctx;
  return strdup (text);
}

static const backend_ops_t ops = {
  .append = fake_append,
  .read = fake_read,
  .read_latest = fake_newest,
  .join = fake_join,
  .leave = fake_leave,
  .list_owners = fake_owners,
  .decode_config = fake_config,
  .decode_zone = fake_zone,
  .decode_submission = fake_submission,
  .status_body = fake_status_body,
  .error_body = fake_error_body,
  .deadline_header = "Deadline",
};

static void
on_run_end (void *ctx)
{
  (void)ctx;
  ev_break (fake.loop, EVBREAK_ALL);
}

static void
on_answer (void *ctx, const http_answer_t *answer)
{
  (void)ctx;
  fake.answer_status = answer->status;
  fake.answered_at = clock_now ();
}

/* @return the URL of a path at an address; valid until the next call */
static const char *
url_of (const char *address, const char *path)
{
  static char url[256];

  g_snprintf (url, sizeof url, "http://%s%s", address, path);
  return url;
}

/* Submits a job; when called again, stops the process if appends hang.  */
static void
on_submit_then_stop (void *ctx)
{
  clock_timer_t *timer = ctx;
  const http_request_t request = { .method = "POST",
                                   .url = url_of (addresses.callers, JOB_PATH),
                                   .body = blob_of (fake.body),
                                   .timeout = 5 * USEC_PER_SEC };

  if (!fake.submitted)
    {
      fake.submitted = true;
      fake.request_sent = clock_now ();
      clock_timer_start (timer, SUBMIT_AT / 2);
      http_client_send (fake.client, &request, on_answer, NULL);
      return;
    }
  if (fake.appends_hang)
    ev_feed_signal_event (fake.loop, SIGTERM);
}

/* The store becomes unavailable as soon as the job is accepted.  */
static void
on_first_answer (void *ctx, const http_answer_t *answer)
{
  (void)ctx;
  fake.first_status = answer->status;
  fake.unavailable = true;
}

static void
on_other_answer (void *ctx, const http_answer_t *answer)
{
  (void)ctx;
  fake.other_job_status = answer->status;
}

/* Submits a job; when called again, during the outage, submits the same job
   and another one.  */
static void
on_submit_again (void *ctx)
{
  http_request_t request = { .method = "POST",
                             .body = blob_of ("{}"),
                             .timeout = 5 * USEC_PER_SEC };

  (void)ctx;
  request.url = url_of (addresses.callers, JOB_PATH);
  if (!fake.submitted)
    {
      fake.submitted = true;
      http_client_send (fake.client, &request, on_first_answer, NULL);
      return;
    }
  http_client_send (fake.client, &request, on_answer, NULL);
  request.url = url_of (addresses.callers, "/q/5c0e7a21d94b36f9");
  http_client_send (fake.client, &request, on_other_answer, NULL);
}

/* Cancels a job; its submission is stored by another process just before if
   the store has a late record.  */
static void
on_cancel (void *ctx)
{
  static const char *const headers[] = { "Deadline: 2000", NULL };
  const http_request_t request = { .method = "DELETE",
                                   .url = url_of (addresses.callers, JOB_PATH),
                                   .headers = headers,
                                   .timeout = 5 * USEC_PER_SEC };

  (void)ctx;
  fake.request_sent = fake.late_record_at = clock_now ();
  http_client_send (fake.client, &request, on_answer, NULL);
}

static int
connect_as_caller (void)
{
  struct sockaddr_in address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_EQUAL (address_parse (addresses.callers, &address), 0);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address),
                   0);
  return fd;
}

static void
on_turn (void *ctx)
{
  (void)ctx;
}

static void
send_late_request (uint32_t i)
{
  char text[256];

  g_snprintf (text, sizeof text,
              "POST /q/5c0e7a21d94b%04x HTTP/1.1\r\nHost: %s\r\n"
              "Content-Length: 2\r\n\r\n{}",
              i, addresses.callers);
  CU_ASSERT (write (late.sockets[i], text, strlen (text)) > 0);
}

/* @return whether the request is sent after the pause */
static bool
is_sent_last (uint32_t i)
{
  return late.all_sent_last || (!late.pause_is_long && i % 2);
}

/* Sends requests on open connections and on new ones, then moves the clock
   without a round of the loop. */
static void
have_no_turn (void)
{
  clock_timer_t turn;
  usec_t until
      = late.stopped_at + (late.pause_is_long ? STOP_PAUSE : ACCEPT_PAUSE);

  for (uint32_t i = LATE_REQUESTS / 2; i < LATE_REQUESTS; i++)
    late.sockets[i] = connect_as_caller ();
  for (uint32_t i = 0; i < LATE_REQUESTS; i++)
    if (!is_sent_last (i))
      send_late_request (i);
  clock_timer_init (&turn, fake.loop, on_turn, NULL);
  clock_timer_start (&turn, until - clock_now ());
  while (clock_now () < until)
    clock_step ();
}

/* Connects, then stops the process, then has it pause, then sends the rest of
   the requests. */
static void
on_stop_without_turn (void *ctx)
{
  clock_timer_t *timer = ctx;

  if (!late.sockets[0])
    {
      for (uint32_t i = 0; i < LATE_REQUESTS / 2; i++)
        late.sockets[i] = connect_as_caller ();
      clock_timer_start (timer, SUBMIT_AT / 2);
    }
  else if (!late.stopped_at)
    {
      late.stopped_at = clock_now ();
      ev_feed_signal_event (fake.loop, SIGTERM);
      clock_timer_start (timer, SUBMIT_AT / 2);
    }
  else if (!late.paused)
    {
      late.paused = true;
      have_no_turn ();
      if (!late.pause_is_long)
        clock_timer_start (timer, REQUEST_DELAY);
    }
  else
    for (uint32_t i = 0; i < LATE_REQUESTS; i++)
      if (is_sent_last (i))
        send_late_request (i);
}

/* @return the number of late requests that got a complete answer */
static uint32_t
read_late_answers (void)
{
  static const char body[] = "\r\n\r\n";
  uint32_t answered = 0;

  for (uint32_t i = 0; i < LATE_REQUESTS; i++)
    {
      char text[1024] = "";
      size_t len = 0;
      ssize_t got;
      const char *end;

      while ((got = read (late.sockets[i], text + len, sizeof text - 1 - len))
             > 0)
        len += (size_t)got;
      close (late.sockets[i]);
      end = strstr (text, body);
      if (!got && g_str_has_prefix (text, "HTTP/1.1 ") && end
          && end[strlen (body)])
        answered++;
    }
  return answered;
}

/* Sends a readiness check.  */
static void
on_check (void *ctx)
{
  const http_request_t request = { .method = "GET",
                                   .url = url_of (addresses.ready, "/-/ready"),
                                   .timeout = USEC_PER_SEC };

  (void)ctx;
  http_client_send (fake.client, &request, on_answer, NULL);
}

/* Frees store calls that the stopped process no longer waits for.  */
static void
free_pending_answers (void)
{
  for (guint i = 0; i < fake.pending->len; i++)
    {
      store_answer_t *a = fake.pending->pdata[i];

      clock_timer_stop (&a->timer);
      if (a->owns_ctx)
        g_free (a->ctx);
      g_free (a);
    }
  g_ptr_array_set_size (fake.pending, 0);
}

typedef enum
{
  SCENARIO_NO_CALLER,      /* no request and no stop */
  SCENARIO_STOP,           /* stopped with a submission that is not stored */
  SCENARIO_SMALL_VM,       /* cpu_share is too small to own shards; the store
                              refuses the appends of a submission */
  SCENARIO_LARGEST_VM,     /* the same, on a site that has no larger one */
  SCENARIO_OUTAGE,         /* a job is submitted before and during a store
                              outage */
  SCENARIO_SLOW_JOINS,     /* stopped; joins take longer than
                              HANDOVER_TIMEOUT */
  SCENARIO_LOST_LEAVES,    /* stopped; two leaves are not answered */
  SCENARIO_FORMER_PROCESS, /* the owner is an earlier process on this
                              address */
  SCENARIO_DEAD_OWNER,     /* the owner has ended */
  SCENARIO_LIVE_OWNER,     /* the owner is alive */
  SCENARIO_NO_LAYOUT,      /* the number of workers keeps changing before the
                              layout is decided */
  SCENARIO_LOST_APPENDS,   /* the answers to two appends are lost */
  SCENARIO_CANCEL_UNKNOWN, /* a job is cancelled that was not submitted */
  SCENARIO_CANCEL_BEHIND,  /* the same while each read leaves records */
  SCENARIO_CANCEL_UNREAD,  /* a job is cancelled whose submission is stored
                              and not read yet */
  SCENARIO_LOST_READS,     /* the answers to three reads of records are lost */
  SCENARIO_LAPSING_LAST,   /* the record of lapsing workers is the last one */
  SCENARIO_LAPSING_OUTDATED, /* it is older than the record of a job */
  SCENARIO_LEASE_BOUND_LAST,
  SCENARIO_LEASE_BOUND_OUTDATED,
  SCENARIO_LARGE_JOB,    /* a job is submitted that takes more bytes than the
                            store accepts in a record */
  SCENARIO_NO_TURN,      /* stopped; has no turn until no more connections are
                            accepted, and requests arrive meanwhile */
  SCENARIO_NO_TURN_LONG, /* the same until the stop deadline */
  SCENARIO_LAST_REQUESTS /* as SCENARIO_NO_TURN; the requests arrive after
                            their connections have been accepted last */
} scenario_t;

/* Opens the socket of a peer that accepts connections and sends nothing.  */
static int
listen_as_peer (void)
{
  struct sockaddr_in address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_EQUAL (address_parse (addresses.live_peer, &address), 0);
  CU_ASSERT_EQUAL (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (listen (fd, 8), 0);
  return fd;
}

static void
choose_addresses (void)
{
  char dead_peer[TEST_ADDRESS_SIZE];

  test_address (0, addresses.callers);
  test_address (0, addresses.ready);
  test_address (0, addresses.peers);
  test_address (0, addresses.operators);
  test_address (1, addresses.store);
  test_address (2, dead_peer);
  test_address (3, addresses.live_peer);
  g_snprintf (addresses.former_member, sizeof addresses.former_member,
              "%s" MEMBER_SUFFIX, addresses.peers);
  g_snprintf (addresses.dead_member, sizeof addresses.dead_member,
              "%s" MEMBER_SUFFIX, dead_peer);
  g_snprintf (addresses.live_member, sizeof addresses.live_member,
              "%s" MEMBER_SUFFIX, addresses.live_peer);
}

static bool
has_lease_record (scenario_t scenario)
{
  return scenario >= SCENARIO_LAPSING_LAST
         && scenario <= SCENARIO_LEASE_BOUND_OUTDATED;
}

static bool
has_no_turn (scenario_t scenario)
{
  return scenario == SCENARIO_NO_TURN || scenario == SCENARIO_NO_TURN_LONG
         || scenario == SCENARIO_LAST_REQUESTS;
}

static char *
settings_text (scenario_t scenario)
{
  return g_strdup_printf (
      "[node]\nname = n1\nzone = z1\n[listen]\ncallers = %s\nready = %s\n"
      "peers = %s\noperators = %s\n[store]\naddress = %s\n"
      "[scheduler]\ngrace_ms = %" PRId64 "\n%s",
      addresses.callers, addresses.ready, addresses.peers, addresses.operators,
      addresses.store,
      usec_to_msec (has_no_turn (scenario) ? GRACE : SHORT_GRACE),
      scenario == SCENARIO_SMALL_VM || scenario == SCENARIO_LARGEST_VM
          ? "[limits]\ncpu_share = 0.03\n"
      : scenario == SCENARIO_NO_LAYOUT ? "[limits]\ncpu_share = 0.5\n"
                                       : "shards = 1\n");
}

static const char *
owner_of (scenario_t scenario)
{
  switch (scenario)
    {
    case SCENARIO_FORMER_PROCESS:
      return addresses.former_member;
    case SCENARIO_DEAD_OWNER:
      return addresses.dead_member;
    case SCENARIO_LIVE_OWNER:
      return addresses.live_member;
    default:
      return NULL;
    }
}

static bool
has_cancel (scenario_t scenario)
{
  return scenario == SCENARIO_CANCEL_UNKNOWN
         || scenario == SCENARIO_CANCEL_BEHIND
         || scenario == SCENARIO_CANCEL_UNREAD;
}

/* @return an encoded submission of JOB_ID */
static GByteArray *
new_record (void)
{
  GByteArray *record = g_byte_array_new ();
  submission_t *submission = fake_submission (NULL, blob_of (""), NULL);

  submission->id = JOB_ID;
  submission->queue = g_strdup ("queue");
  submission->service = g_strdup ("service");
  submission_encode (submission, record);
  submission_free (submission);
  return record;
}

/* @return a body of the largest size that is read */
static const char *
large_body (void)
{
  static char text[MAX_RECORD_BYTES + 1];

  memset (text, 'x', MAX_RECORD_BYTES);
  return text;
}

/* Prepares the fake store and the client. */
static void
set_up_fake (store_result_t fence_result, scenario_t scenario)
{
  memset (&fake, 0, sizeof fake);
  memset (&late, 0, sizeof late);
  fake.fence_result = fence_result;
  fake.pending = g_ptr_array_new ();
  fake.loop = paused_loop_new ();
  fake.no_layout = scenario == SCENARIO_NO_LAYOUT;
  fake.appends_hang = scenario == SCENARIO_STOP
                      || scenario == SCENARIO_SLOW_JOINS
                      || scenario == SCENARIO_LOST_LEAVES;
  fake.slow_joins = scenario == SCENARIO_SLOW_JOINS;
  fake.lost_leaves = scenario == SCENARIO_LOST_LEAVES ? 2 : 0;
  fake.lost_reads = scenario == SCENARIO_LOST_READS ? 3 : 0;
  fake.lost_appends = scenario == SCENARIO_LOST_APPENDS ? 2 : 0;
  fake.owner = owner_of (scenario);
  fake.layout = scenario == SCENARIO_LARGEST_VM ? "1 350 30" : "1 350";
  fake.appends_refused = scenario == SCENARIO_SMALL_VM;
  fake.reads_behind = scenario == SCENARIO_CANCEL_BEHIND;
  if (has_lease_record (scenario))
    fake.progress_offset = scenario == SCENARIO_LAPSING_LAST
                                   || scenario == SCENARIO_LEASE_BOUND_LAST
                               ? LAPSING_OFFSET - 1
                               : LAPSING_OFFSET + 1;
  fake.lease_record = scenario == SCENARIO_LAPSING_LAST
                              || scenario == SCENARIO_LAPSING_OUTDATED
                          ? RECORD_LAPSING
                          : RECORD_LEASE_BOUND;
  if (scenario == SCENARIO_CANCEL_UNREAD)
    {
      fake.read_delay = SLOW_READ;
      fake.late_record = new_record ();
      fake.late_record_at = INT64_MAX;
    }
  late.pause_is_long = scenario == SCENARIO_NO_TURN_LONG;
  late.all_sent_last = scenario == SCENARIO_LAST_REQUESTS;
  fake.body = scenario == SCENARIO_LARGE_JOB ? large_body () : "{}";
  fake.client = http_client_new (fake.loop, COUNTER_UPSTREAM_BYTES);
}

static int
run_scheduler (store_result_t fence_result, scenario_t scenario)
{
  bool outage = scenario == SCENARIO_OUTAGE;
  bool is_long
      = scenario == SCENARIO_NO_LAYOUT || scenario == SCENARIO_LOST_READS;
  bool has_caller = scenario != SCENARIO_NO_CALLER
                    && !has_lease_record (scenario) && !is_long
                    && !owner_of (scenario);
  int peer_socket = scenario == SCENARIO_LIVE_OWNER ? listen_as_peer () : -1;
  char *text = settings_text (scenario);
  GArray *problems = g_array_new (FALSE, TRUE, sizeof (problem_t));
  scheduler_settings_t settings;
  backend_t backend = { &ops, NULL };
  clock_timer_t end;
  clock_timer_t action;
  clock_timer_t check;
  int code;

  scheduler_settings_read (blob_of (text), &settings, problems);
  CU_ASSERT_EQUAL (problems->len, 0);
  g_array_free (problems, TRUE);
  g_free (text);
  set_up_fake (fence_result, scenario);
  clock_timer_init (&action, fake.loop,
                    outage                   ? on_submit_again
                    : has_cancel (scenario)  ? on_cancel
                    : has_no_turn (scenario) ? on_stop_without_turn
                                             : on_submit_then_stop,
                    &action);
  clock_timer_init (&check, fake.loop, outage ? on_submit_again : on_check,
                    NULL);
  clock_timer_init (&end, fake.loop, on_run_end, NULL);
  if (has_caller)
    clock_timer_start (&action, SUBMIT_AT);
  if (scenario == SCENARIO_SMALL_VM || outage)
    clock_timer_start (&check, CHECK_AT);
  clock_timer_start (&end, is_long || has_no_turn (scenario) ? LAYOUT_RUN
                           : has_caller                      ? LONG_RUN
                                                             : SHORT_RUN);
  code = scheduler_main (fake.loop, &settings, &backend);
  late.ended_at = clock_now ();
  free_pending_answers ();
  /* The client reads the answer of the stopped process.  */
  if (fake.appends_hang)
    paused_loop_run (fake.loop, SHORT_RUN);
  scheduler_settings_clear (&settings);
  http_client_free (fake.client);
  g_ptr_array_free (fake.pending, TRUE);
  if (fake.late_record)
    g_byte_array_unref (fake.late_record);
  paused_loop_free (fake.loop);
  if (peer_socket >= 0)
    close (peer_socket);
  return code;
}

/* Guards against a site that is never divided into shards, since the number of
   its workers keeps changing. */
static void
test_layout_with_changing_workers (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_NO_LAYOUT), 0);
  CU_ASSERT (fake.worker_lists > 10);
  CU_ASSERT (fake.layout_proposed);
}

/* A new owner fences before it loads: otherwise a former owner could append
   records after the new one has read the shard (ruedas-plata mix, seed
   697102618399). */
static void
test_fence_before_load (void)
{
  const char *append;
  const char *load;

  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_NO_CALLER), 0);
  append = strstr (fake.calls, "append");
  load = strstr (fake.calls, "newest-work");
  CU_ASSERT_PTR_NOT_NULL_FATAL (append);
  CU_ASSERT_PTR_NOT_NULL_FATAL (load);
  CU_ASSERT (append < load);
  CU_ASSERT_EQUAL (fake.fence_records, 0);
  CU_ASSERT_EQUAL (fake.fence_epoch, GENERATION);
}

/* The record about leases counts in the first scenario, and not in the second.
 */
static void
check_outdated_record (scenario_t last, scenario_t outdated,
                       counter_t discarded)
{
  uint64_t before = counter_get (discarded);

  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, last), 0);
  CU_ASSERT (fake.work_pages > 1);
  CU_ASSERT_EQUAL (counter_get (discarded), before);
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, outdated), 0);
  CU_ASSERT (counter_get (discarded) > before);
}

/* Guards against a record of lapsing workers that is used although an owner
   which does not know such records has appended since and has extended
   leases. */
static void
test_lapsing_record_is_outdated (void)
{
  check_outdated_record (SCENARIO_LAPSING_LAST, SCENARIO_LAPSING_OUTDATED,
                         COUNTER_LAPSING_DISCARDED);
}

/* The same with the bound of all leases. */
static void
test_lease_bound_is_outdated (void)
{
  check_outdated_record (SCENARIO_LEASE_BOUND_LAST,
                         SCENARIO_LEASE_BOUND_OUTDATED,
                         COUNTER_LEASE_BOUND_DISCARDED);
}

/* A shard is not loaded under an epoch that the store has not accepted. */
static void
test_no_load_without_fence (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_UNKNOWN, SCENARIO_NO_CALLER), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (fake.calls, "append"));
  CU_ASSERT_PTR_NULL (strstr (fake.calls, "newest-work"));
}

/* A configuration with a lower version does not come into force. */
static void
test_config_version_rises (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_NO_CALLER), 0);
  CU_ASSERT (fake.config_count > 1);
  CU_ASSERT_EQUAL (counter_get (COUNTER_BUNDLE_VERSION), CONFIG_VERSION);
}

/* A caller whose submission is not stored by the stop deadline gets an answer
   before the connection is closed (magnolia-coop trouble-2, seed
   442584384863). */
static void
test_answer_before_stop (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_STOP), 0);
  CU_ASSERT_EQUAL (fake.answer_status, 504);
}

/* Guards against requests that are cut since the process had no turn until the
   time for it to accept them was over (soak, seed 46004). */
static void
test_requests_without_turn (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_NO_TURN), 0);
  CU_ASSERT_EQUAL (read_late_answers (), LATE_REQUESTS);
  CU_ASSERT (late.ended_at < late.stopped_at + GRACE);
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_LAST_REQUESTS), 0);
  CU_ASSERT_EQUAL (read_late_answers (), LATE_REQUESTS);
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_NO_TURN_LONG), 0);
  CU_ASSERT_EQUAL (read_late_answers (), LATE_REQUESTS);
  CU_ASSERT (late.ended_at < late.stopped_at + GRACE);
}

/* A stopping process is not assigned a shard again if its last join was still
   in flight when it left, or if the leave was lost.  The shard would have no
   owner until the member's lifetime ends. */
static void
test_leave_follows_join (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_SLOW_JOINS), 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (g_strrstr (fake.calls, "leave"));
  CU_ASSERT (g_strrstr (fake.calls, "leave")
             > g_strrstr (fake.calls, "joined"));
  CU_ASSERT (g_strrstr (fake.calls, "leave")
             > g_strrstr (fake.calls, "join "));
  CU_ASSERT (strstr (fake.calls, "leave") < g_strrstr (fake.calls, "joined"));
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_LOST_LEAVES), 0);
  CU_ASSERT_EQUAL (fake.lost_leaves, 0);
}

/* Guards against a job that is answered late, with an error that has it sent
   again, since the store refuses its record for its size. */
static void
test_large_job (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_LARGE_JOB), 0);
  CU_ASSERT_EQUAL (fake.answer_status, 413);
  CU_ASSERT_EQUAL (fake.appended_at, 0);
}

/* If the answer to an append is lost, the owner repeats the append within a
   second: until it is answered, nothing else is stored or started. */
static void
test_lost_append (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_LOST_APPENDS), 0);
  CU_ASSERT_EQUAL (fake.lost_appends, 0);
  CU_ASSERT_EQUAL (fake.answer_status, 200);
  CU_ASSERT (fake.answered_at - fake.request_sent < 700 * USEC_PER_MSEC);
}

/* Guards against reads of the store that are repeated as they are, and never
   get through in time: an owner whose rounds last 100 ms got one window of its
   connection in each (ruedas-plata-grown full-workers-store-in-trouble,
   seed 33). */
static void
test_lost_reads (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_LOST_READS), 0);
  CU_ASSERT_EQUAL_FATAL (fake.read_count, 4);
  CU_ASSERT_EQUAL (fake.read_sizes[0], 0);
  CU_ASSERT (fake.read_sizes[1] > 0);
  CU_ASSERT (fake.read_sizes[2] < fake.read_sizes[1]);
  CU_ASSERT (fake.read_sizes[3] > MAX_RECORD_BYTES);
  CU_ASSERT (fake.read_timeouts[3] > fake.read_timeouts[0]);
}

/* A dead member is evicted: otherwise its shards have no owner until its
   lifetime ends (without evictions, `fleetbench sweep` showed 3.0 s from the
   kill of an owner to the next answer). */
static void
test_evict_dead_member (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_FORMER_PROCESS), 0);
  CU_ASSERT_STRING_EQUAL (fake.left_member, addresses.former_member);
  CU_ASSERT_PTR_NOT_NULL (strstr (fake.calls, "newest-work"));
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_DEAD_OWNER), 0);
  CU_ASSERT_STRING_EQUAL (fake.left_member, addresses.dead_member);
  CU_ASSERT_PTR_NOT_NULL (strstr (fake.calls, "newest-work"));
}

/* A process that starts does not join while the shard has a live owner: the
   rebalance could take the shard from it (kitakaze-hkd trouble-2, seed 103:
   six hand-overs in a restart of all VMs, the last ones while the store was
   slow). */
static void
test_no_join_with_owner (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_LIVE_OWNER), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (fake.calls, "owners"));
  CU_ASSERT_PTR_NULL (strstr (fake.calls, "join"));
  CU_ASSERT_PTR_NULL (strstr (fake.calls, "leave"));
}

/* Some process joins for a shard without an owner, processes do not all join
   at once, and a member without a shard leaves. */
static void
test_membership (void)
{
  shard_state_t part = { 0 };
  scheduler_t s = { .shard_count = 1,
                    .shards = &part,
                    .may_own = true,
                    .started_at = USEC_PER_SEC,
                    .owners_due = INT64_MAX,
                    .incarnation = 7 };
  usec_t now = 5 * USEC_PER_SEC;
  usec_t delay = member_join_delay (now - s.started_at, s.incarnation);

  CU_ASSERT (member_join_delay (USEC_PER_SEC, 7) < member_join_delay (now, 7));
  CU_ASSERT (member_join_delay (0, 7) != member_join_delay (0, 70000));
  CU_ASSERT (member_join_delay (1000 * USEC_PER_SEC, UINT64_MAX)
             < USEC_PER_SEC);
  CU_ASSERT (!member_joins (&s, now, 1));
  CU_ASSERT_EQUAL (s.unowned_since, 0);
  s.unowned = true;
  CU_ASSERT (!member_joins (&s, now, 0));
  CU_ASSERT_EQUAL (s.owners_due, now + delay);
  CU_ASSERT (!member_joins (&s, now + delay - 1, 0));
  CU_ASSERT (member_joins (&s, now + delay, 0));
  s.unassigned_since = now;
  CU_ASSERT (member_stays (&s, now + USEC_PER_SEC));
  CU_ASSERT (!member_stays (&s, now + 10 * USEC_PER_SEC));
  part.owned = true;
  CU_ASSERT (member_stays (&s, now + 10 * USEC_PER_SEC));
  s.unowned = false;
  s.shard_count = 2;
  s.shards = g_new0 (shard_state_t, 2);
  CU_ASSERT (!member_joins (&s, now, 2));
  CU_ASSERT (!member_joins (&s, now, 1));
  CU_ASSERT (member_joins (&s, now + delay, 1));
  s.may_own = false;
  s.unowned = true;
  s.unowned_since = 0;
  CU_ASSERT (!member_joins (&s, now, 0));
  CU_ASSERT (!member_joins (&s, now + USEC_PER_SEC, 0));
  CU_ASSERT (member_joins (&s, now + 10 * USEC_PER_SEC, 0));
  CU_ASSERT (s.fallback_until > now);
  g_free (s.shards);
}

/* Guards against successors that all join at once: the owner ranks its peers,
   one of each zone, and the later ones leave the first one time to join
   (shifted, a zone lost with the owner: three processes joined within 21 ms
   and the shard moved twice, 0.55 s). */
static void
test_succession (void)
{
  static scheduler_settings_t settings
      = { .zone = (char *)"a", .cpu_share = 0.5 };
  scheduler_settings_t peer = settings;
  scheduler_t s = { .settings = &settings, .shard_count = 1, .may_own = true };
  usec_t now = 100 * USEC_PER_SEC;

  s.succession.peers = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  CU_ASSERT_EQUAL (succession_rank (&s, now, 2), 0);
  succession_hello (&s, now, 2, succession_describe (&peer));
  peer.zone = (char *)"b";
  succession_hello (&s, now, 3, succession_describe (&peer));
  succession_hello (&s, now, 4, succession_describe (&peer));
  peer.zone = (char *)"c";
  peer.cpu_share = 0.069;
  succession_hello (&s, now, 5, succession_describe (&peer));
  peer.cpu_share = 1;
  succession_hello (&s, now, 6, succession_describe (&peer));
  succession_hello (&s, now, 7, 0); /* an earlier build */
  now += USEC_PER_SEC;
  CU_ASSERT_EQUAL (succession_rank (&s, now, 6), 1);
  CU_ASSERT_EQUAL (succession_rank (&s, now, 3), 2);
  CU_ASSERT (succession_rank (&s, now, 2) > SUCCESSORS_MAX);
  CU_ASSERT (succession_rank (&s, now, 4) > SUCCESSORS_MAX);
  CU_ASSERT (succession_rank (&s, now, 5) > SUCCESSORS_MAX);
  CU_ASSERT (succession_rank (&s, now, 7) > SUCCESSORS_MAX);
  now += 10 * USEC_PER_SEC;
  succession_heard (&s, now, 4);
  CU_ASSERT_EQUAL (succession_rank (&s, now, 4), 1);
  CU_ASSERT (succession_rank (&s, now, 6) > SUCCESSORS_MAX);

  s.unowned = true;
  s.incarnation = 7;
  s.owners_due = INT64_MAX;
  succession_told (&s, now, 2);
  succession_told (&s, now, 0); /* by an earlier build */
  CU_ASSERT_EQUAL (succession_own_rank (&s, now), 2);
  CU_ASSERT (!member_joins (&s, now, 0));
  CU_ASSERT (member_joins (&s, now + 200 * USEC_PER_MSEC, 0));
  succession_told (&s, now, 1);
  CU_ASSERT (member_joins (&s, now, 0));
  succession_told (&s, now, SUCCESSORS_MAX + 1);
  CU_ASSERT (!member_joins (&s, now + 600 * USEC_PER_MSEC, 0));
  CU_ASSERT (member_joins (&s, now + USEC_PER_SEC, 0));
  CU_ASSERT_EQUAL (succession_own_rank (&s, now + 60 * USEC_PER_SEC), 0);
  g_hash_table_destroy (s.succession.peers);
}

/* A submission is forwarded before this process appends it.  In a hand-over
   while the store was slow, single appends of all processes filled the queue
   of the partition, and the fence of the next owner was refused for eight
   seconds (kitakaze-hkd-grown trouble-2, seed 302). */
static void
test_forward_before_append (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_SMALL_VM), 0);
  CU_ASSERT_FATAL (fake.appended_at > 0);
  CU_ASSERT (fake.appended_at - fake.request_sent > 1500 * USEC_PER_MSEC);
  CU_ASSERT (fake.appended_at - fake.request_sent < 2000 * USEC_PER_MSEC);
}

/* A VM is ready again after the store has refused an append.  A VM that owns
   no shard made no other call that showed that the store worked again
   (ruedas-plata-grown trouble-1: 11 of 32 VMs not ready for five seconds and
   more). */
static void
test_ready_after_store_refusal (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_SMALL_VM), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (fake.calls, "append"));
  CU_ASSERT_PTR_NULL (strstr (fake.calls, "join"));
  CU_ASSERT_EQUAL (fake.answer_status, 200);
}

/* Guards against a site where no VM is as large as the layout needs, and each
   shard waits six seconds for an owner, which leaves after twenty
   (kitakaze-hkd, 300 VMs of 0.1 cores with 3,000 workers). */
static void
test_own_as_largest (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_LARGEST_VM), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (fake.calls, "join"));
}

/* A caller that lost the answer and submits its accepted job again during a
   store outage is not told that the job was refused. */
static void
test_known_job_in_outage (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_OUTAGE), 0);
  CU_ASSERT_EQUAL (fake.first_status, 200);
  CU_ASSERT_EQUAL (fake.answer_status, 200);
  CU_ASSERT_EQUAL (fake.other_job_status, 503);
}

/* A caller is told that a job is unknown only once the owner has read all
   that was stored before the request.  Jobs that another process had stored
   were said to be unknown, and started long after (ruedas-plata-grown, day
   full-workers-store-in-trouble, seed 31). */
static void
test_cancel_of_unknown_job (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_CANCEL_UNKNOWN), 0);
  CU_ASSERT_EQUAL (fake.answer_status, 410);
  CU_ASSERT (fake.answered_at - fake.request_sent < 500 * USEC_PER_MSEC);
  /* Its submission may still be under way: the cancellation is stored. */
  CU_ASSERT (fake.appended_at > fake.request_sent);
  CU_ASSERT (fake.appended_at < fake.answered_at);
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_CANCEL_BEHIND), 0);
  CU_ASSERT_EQUAL (fake.answer_status, 503);
}

/* A job whose submission was stored before it is cancelled, and read after,
   is cancelled: its tasks are not started. */
static void
test_cancel_of_unread_job (void)
{
  CU_ASSERT_EQUAL (run_scheduler (STORE_OK, SCENARIO_CANCEL_UNREAD), 0);
  CU_ASSERT (fake.late_record_read);
  CU_ASSERT_EQUAL (fake.answer_status, 200);
}

/* Creates a scheduler without shards and HTTP servers.  */
static scheduler_t *
new_bare_scheduler (void)
{
  static const backend_t backend = { &ops, NULL };
  const msg_hello_t hello
      = { .protocol = MESSAGE_PROTOCOL_VERSION, .node = 2 };
  scheduler_t *s = g_new0 (scheduler_t, 1);
  err_t err = { 0 };

  s->backend = &backend;
  s->loop = paused_loop_new ();
  s->link = peerlink_new (s->loop, addresses.peers, &hello,
                          &sched_peerlink_ops, s, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (s->link);
  s->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       request_free);
  s->requests_by_http = g_hash_table_new (NULL, NULL);
  s->deferred_queries = g_array_new (FALSE, FALSE, sizeof (deferred_query_t));
  s->worker_racks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->succession.peers = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return s;
}

static void
free_bare_scheduler (scheduler_t *s)
{
  peerlink_free (s->link);
  paused_loop_free (s->loop);
  g_hash_table_destroy (s->requests);
  g_hash_table_destroy (s->requests_by_http);
  g_hash_table_destroy (s->worker_racks);
  g_hash_table_destroy (s->succession.peers);
  g_array_free (s->deferred_queries, TRUE);
  g_free (s);
}

/* A frame from a peer with a number out of range does not crash the process.
 */
static void
test_malformed_frames (void)
{
  scheduler_t *s = new_bare_scheduler ();
  caller_request_t *request = g_new0 (caller_request_t, 1);
  message_t message = { .type = MSG_JOB_TELL };

  request->id = 5;
  request->kind = QUERY_STATUS;
  request->query_sent = 7;
  g_hash_table_insert (s->requests, &request->id, request);
  message.u.job_tell
      = (msg_job_tell_t){ .id = 5, .code = REPLY_KNOWN, .status = 1U << 30 };
  sched_peerlink_ops.message (s, 1, 1, &message);
  message.u.job_tell = (msg_job_tell_t){ .id = 5, .code = 99 };
  sched_peerlink_ops.message (s, 1, 1, &message);
  message.type = MSG_JOB_ASK;
  message.u.job_ask = (msg_job_ask_t){ .id = 6, .kind = 1U << 30 };
  sched_peerlink_ops.message (s, 1, 1, &message);
  message.type = MSG_JOB_SUBMIT;
  message.u.job_submit = (msg_job_submit_t){ .id = 6, .shard = UINT64_MAX };
  sched_peerlink_ops.message (s, 1, 1, &message);
  CU_ASSERT_EQUAL (g_hash_table_size (s->requests), 1);
  CU_ASSERT_EQUAL (request->query_sent, 7);
  CU_ASSERT_EQUAL (s->owner_last_reply, 0);
  free_bare_scheduler (s);
}

/* Guards against a frame whose shard is out of range and stands for another
   one: its job would be said to be unknown by an owner that cannot know it. */
static void
test_frame_for_odd_shard (void)
{
  static const scheduler_settings_t settings
      = { .zone = "z", .append_bytes = 65536 };
  scheduler_t *s = new_bare_scheduler ();
  message_t message = { .type = MSG_JOB_ASK };

  s->settings = &settings;
  s->zones = zones_new ();
  sched_set_shards (s, 1);
  s->shards[0].owned = true;
  message.u.job_ask
      = (msg_job_ask_t){ .id = 6, .kind = QUERY_STATUS, .shard = 1ULL << 32 };
  sched_peerlink_ops.message (s, 1, 1, &message);
  CU_ASSERT_EQUAL (s->deferred_queries->len, 0);
  message.u.job_ask.shard = 0;
  sched_peerlink_ops.message (s, 1, 1, &message);
  CU_ASSERT_EQUAL (s->deferred_queries->len, 1);
  shard_free (s->shards[0].shard);
  g_free (s->shards);
  g_free (s->owners);
  zones_free (s->zones);
  free_bare_scheduler (s);
}

/* Guards against queries of peers for a job whose identifier has capital
   letters that are answered for the one with small letters. */
static void
test_letters_of_peers (void)
{
  static const scheduler_settings_t settings
      = { .zone = "z", .append_bytes = 65536 };
  const job_id_t id = job_id_make (JOB_ID, 1U << 14);
  scheduler_t *s = new_bare_scheduler ();
  message_t message = { .type = MSG_JOB_ASK };
  const deferred_query_t *query;

  s->settings = &settings;
  s->zones = zones_new ();
  sched_set_shards (s, 1);
  s->shards[0].owned = true;
  message.u.job_ask
      = (msg_job_ask_t){ .id = 6,
                         .kind = QUERY_STATUS | 1ULL << (14 + CAPITALS_SHIFT),
                         .job = JOB_ID };
  sched_peerlink_ops.message (s, 1, 1, &message);
  CU_ASSERT_EQUAL_FATAL (s->deferred_queries->len, 1);
  query = &g_array_index (s->deferred_queries, deferred_query_t, 0);
  CU_ASSERT (query->job == id);
  CU_ASSERT_EQUAL (query->kind, QUERY_STATUS);
  shard_free (s->shards[0].shard);
  g_free (s->shards);
  g_free (s->owners);
  zones_free (s->zones);
  free_bare_scheduler (s);
}

/* Guards against an owner that runs out of memory by queries of the callers of
   all other processes that it cannot answer yet. */
static void
test_many_queries (void)
{
  static const scheduler_settings_t settings
      = { .zone = "z", .append_bytes = 65536 };
  scheduler_t *s = new_bare_scheduler ();
  message_t message = { .type = MSG_JOB_ASK };

  s->settings = &settings;
  s->zones = zones_new ();
  sched_set_shards (s, 1);
  s->shards[0].owned = true;
  for (uint64_t i = 1; i <= 2ULL * DEFERRED_QUERIES_MAX; i++)
    {
      message.u.job_ask
          = (msg_job_ask_t){ .id = i, .kind = QUERY_STATUS, .job = i };
      sched_peerlink_ops.message (s, 1, 1, &message);
    }
  CU_ASSERT_EQUAL (s->deferred_queries->len, DEFERRED_QUERIES_MAX);
  shard_free (s->shards[0].shard);
  g_free (s->shards);
  g_free (s->owners);
  zones_free (s->zones);
  free_bare_scheduler (s);
}

/* Guards against a shard without an owner until a membership ends: the store
   serves a join after the leave of its process, which does not know of it
   (ruedas-plata race-15, seed 1: 1.5 s). */
static void
test_leave_after_late_join (void)
{
  static const scheduler_settings_t settings
      = { .listen_peers = "127.0.0.1:1", .zone = "z" };
  scheduler_t *s = new_bare_scheduler ();

  memset (&fake, 0, sizeof fake);
  fake.loop = s->loop;
  fake.pending = g_ptr_array_new ();
  s->settings = &settings;
  s->zones = zones_new ();
  sched_set_shards (s, 1);
  g_strlcpy (s->member, "127.0.0.1:1/2", sizeof s->member);
  fake.owner = s->member;
  group_tick (s, clock_now ());
  paused_loop_run (s->loop, 2 * ANSWER_DELAY);
  group_tick (s, clock_now ());
  CU_ASSERT_STRING_EQUAL (fake.left_member, s->member);
  paused_loop_run (s->loop, 2 * ANSWER_DELAY);
  CU_ASSERT_EQUAL (s->leave_due, 0);
  CU_ASSERT (!s->joined);
  free_pending_answers ();
  g_ptr_array_free (fake.pending, TRUE);
  shard_free (s->shards[0].shard);
  g_free (s->shards);
  g_free (s->owners);
  zones_free (s->zones);
  free_bare_scheduler (s);
}

#define OWNER_NODE 9U

/* Adds a query for the state of a job whose owner is OWNER_NODE. */
static caller_request_t *
add_query (scheduler_t *s, uint64_t id)
{
  caller_request_t *request = g_new0 (caller_request_t, 1);

  request->id = id;
  request->job = id;
  request->kind = QUERY_STATUS;
  request->queue = g_strdup ("queue");
  request->deadline = INT64_MAX;
  g_hash_table_insert (s->requests, &request->id, request);
  callers_tick (s, clock_now ());
  return request;
}

/* Runs the loop for 100 ms and sends the queries that are due.  */
static void
run_queries (scheduler_t *s, int times)
{
  for (int i = 0; i < times; i++)
    {
      paused_loop_run (s->loop, 100 * USEC_PER_MSEC);
      callers_tick (s, clock_now ());
    }
}

/* Guards against a connection to a slow owner that each query without a reply
   replaces, with all other queries on it (ruedas-plata-grown
   full-workers-store-in-trouble, seed 31: 450 replacements a second). */
static void
test_connection_to_slow_owner (void)
{
  int owner_socket = listen_as_peer ();
  scheduler_t *s = new_bare_scheduler ();
  message_t tell = { .type = MSG_JOB_TELL,
                     .u.job_tell = { .id = 1, .code = REPLY_TRY_LATER } };
  uint64_t before;

  s->shard_count = 1;
  s->shards = g_new0 (shard_state_t, 1);
  s->owners = g_new0 (shard_owner_t, 1);
  s->owners[0].node = OWNER_NODE;
  peerlink_add (s->link, OWNER_NODE, addresses.live_peer);
  paused_loop_run (s->loop, 100 * USEC_PER_MSEC);
  before = counter_get (COUNTER_PEER_CONNECTS);
  add_query (s, 1);
  add_query (s, 2);
  run_queries (s, 6);
  sched_peerlink_ops.message (s, OWNER_NODE, 1, &tell);
  run_queries (s, 6);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_CONNECTS), before);
  /* The owner falls silent: the first query replaces the connection, a later
     one was lost with it and is sent again.  */
  add_query (s, 3);
  run_queries (s, 7);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_CONNECTS), before + 1);
  run_queries (s, 4);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_CONNECTS), before + 1);
  run_queries (s, 8);
  CU_ASSERT (counter_get (COUNTER_PEER_CONNECTS) > before + 1);
  g_free (s->shards);
  g_free (s->owners);
  free_bare_scheduler (s);
  close (owner_socket);
}

/* A process that receives requests from callers; the owner of its only shard
   is OWNER_NODE unless the test makes the process own it. */
typedef struct
{
  scheduler_t *s;
  int owner_socket;
  int caller_socket;
} front_t;

static void
set_up_front (front_t *front)
{
  static const scheduler_settings_t settings
      = { .zone = "z", .append_bytes = 65536, .partitions = 1 };
  const httpd_config_t callers = { .address = addresses.callers,
                                   .max_connections = 4,
                                   .max_body = MAX_RECORD_BYTES,
                                   .timeout = 30 * USEC_PER_SEC };
  scheduler_t *s = new_bare_scheduler ();
  err_t err = { 0 };

  memset (&fake, 0, sizeof fake);
  fake.loop = s->loop;
  fake.pending = g_ptr_array_new ();
  front->s = s;
  front->owner_socket = listen_as_peer ();
  s->settings = &settings;
  s->zones = zones_new ();
  s->queues = fake_config (NULL, NULL, NULL);
  sched_set_shards (s, 1);
  s->owners[0].node = OWNER_NODE;
  peerlink_add (s->link, OWNER_NODE, addresses.live_peer);
  s->callers = httpd_new (s->loop, &callers, &sched_caller_ops, s, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (s->callers);
  paused_loop_run (s->loop, 100 * USEC_PER_MSEC);
  front->caller_socket = connect_as_caller ();
}

static void
tear_down_front (front_t *front)
{
  scheduler_t *s = front->s;

  httpd_free (s->callers);
  free_pending_answers ();
  g_ptr_array_free (fake.pending, TRUE);
  shard_free (s->shards[0].shard);
  g_free (s->shards);
  g_free (s->owners);
  queues_free (s->queues);
  zones_free (s->zones);
  close (front->caller_socket);
  close (front->owner_socket);
  free_bare_scheduler (s);
}

static void
run_front (front_t *front, usec_t span)
{
  usec_t until = clock_now () + span;

  while (clock_now () < until)
    {
      paused_loop_run (front->s->loop, 20 * USEC_PER_MSEC);
      callers_tick (front->s, clock_now ());
      queries_tick (front->s, clock_now ());
    }
}

/* Sends a submission of JOB_ID with a body of LEN bytes. */
static void
send_submission (front_t *front, size_t len)
{
  char *body = g_strnfill (len, 'x');
  char *text = g_strdup_printf ("POST " JOB_PATH " HTTP/1.1\r\nHost: %s\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                addresses.callers, len, body);
  size_t left = strlen (text);

  while (left)
    {
      ssize_t sent = send (front->caller_socket, text + strlen (text) - left,
                           left, MSG_DONTWAIT);

      left -= (size_t)MAX (sent, 0);
      run_front (front, 20 * USEC_PER_MSEC);
    }
  g_free (body);
  g_free (text);
}

/* Has the owner reply to the only open request. */
static void
reply_as_owner (front_t *front, reply_code_t code)
{
  message_t tell = { .type = MSG_JOB_TELL };
  GHashTableIter iter;
  gpointer data = NULL;

  g_hash_table_iter_init (&iter, front->s->requests);
  CU_ASSERT_FATAL (g_hash_table_iter_next (&iter, NULL, &data));
  CU_ASSERT (((caller_request_t *)data)->forward_busy);
  tell.u.job_tell
      = (msg_job_tell_t){ .id = ((caller_request_t *)data)->id, .code = code };
  sched_peerlink_ops.message (front->s, OWNER_NODE, 1, &tell);
  run_front (front, 40 * USEC_PER_MSEC);
}

/* Reads what the caller has received, without waiting. */
static void
read_answer (front_t *front, char text[1024])
{
  ssize_t got = recv (front->caller_socket, text, 1023, MSG_DONTWAIT);

  text[MAX (got, 0)] = '\0';
}

static void
check_refused (front_t *front)
{
  char text[1024];

  read_answer (front, text);
  CU_ASSERT (g_str_has_prefix (text, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Retry-After: 1\r\n"));
  run_front (front, LONG_RUN);
  CU_ASSERT_EQUAL (fake.appends, 0);
}

/* Guards against a caller that waits for its time-out as the owner has no
   memory for its job, and against a front that appends the submission past the
   owner, which would read it and keep the job. */
static void
test_owner_is_full (void)
{
  front_t front;
  uint64_t before = counter_get (COUNTER_JOBS_REFUSED);

  set_up_front (&front);
  send_submission (&front, 2);
  reply_as_owner (&front, REPLY_FULL);
  check_refused (&front);
  CU_ASSERT_EQUAL (counter_get (COUNTER_JOBS_REFUSED), before + 1);
  tear_down_front (&front);
}

/* Guards against a submission that does not tell its configuration: an owner
   that has read only an older one would run it by a former service. */
static void
test_submission_version (void)
{
  front_t front;
  char text[1024];

  set_up_front (&front);
  send_submission (&front, 2);
  reply_as_owner (&front, REPLY_TRY_LATER);
  run_front (&front, LONG_RUN);
  read_answer (&front, text);
  CU_ASSERT (g_str_has_prefix (text, "HTTP/1.1 200 "));
  CU_ASSERT_EQUAL (fake.submission_version, CONFIG_VERSION);
  tear_down_front (&front);
}

/* Guards against a refusal of a submission that may be stored: its job would
   run though its caller was told that it does not. */
static void
test_stored_when_owner_is_full (void)
{
  front_t front;
  char text[1024];

  set_up_front (&front);
  send_submission (&front, 2);
  reply_as_owner (&front, REPLY_TRY_LATER);
  reply_as_owner (&front, REPLY_FULL);
  read_answer (&front, text);
  CU_ASSERT_STRING_EQUAL (text, "");
  run_front (&front, LONG_RUN);
  read_answer (&front, text);
  CU_ASSERT (g_str_has_prefix (text, "HTTP/1.1 200 "));
  CU_ASSERT_EQUAL (fake.appends, 1);
  tear_down_front (&front);
}

/* Guards against a caller that is told that its job may have been accepted
   (504) although the owner, which cannot store it, has withdrawn it each time:
   the last forward was unanswered at the deadline. */
static void
test_withdrawn_until_deadline (void)
{
  front_t front;
  char text[1024];

  set_up_front (&front);
  send_submission (&front, 2);
  for (int i = 0; i < 5; i++)
    {
      run_front (&front, 440 * USEC_PER_MSEC);
      reply_as_owner (&front, REPLY_WITHDRAWN);
    }
  run_front (&front, LONG_RUN);
  read_answer (&front, text);
  CU_ASSERT (g_str_has_prefix (text, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Retry-After: 1\r\n"));
  CU_ASSERT_EQUAL (fake.appends, 0);
  tear_down_front (&front);
}

/* Makes the process own its shard, with no memory for any job. */
static void
own_full_shard (front_t *front)
{
  const shard_config_t config = { .job_bytes = 1, .append_bytes = 65536 };
  shard_state_t *state = &front->s->shards[0];

  shard_free (state->shard);
  state->shard = shard_new (&config, &sched_shard_ops, state, 0);
  state->owned = true;
  state->read_due = INT64_MAX;
  shard_acquire (state->shard, clock_now (), 1);
  shard_loaded (state->shard, clock_now ());
}

static void
check_own_full_shard (size_t len)
{
  front_t front;
  uint64_t before = counter_get (COUNTER_JOBS_NO_MEMORY);

  set_up_front (&front);
  own_full_shard (&front);
  front.s->shards[0].read_as_of = INT64_MAX;
  send_submission (&front, len);
  check_refused (&front);
  CU_ASSERT_EQUAL (counter_get (COUNTER_JOBS_NO_MEMORY), before + 1);
  tear_down_front (&front);
}

/* Guards against an owner that takes the refusal of its shard for one that
   another process may get round, also where the submission is so large that
   the caller's process appends it itself. */
static void
test_own_shard_is_full (void)
{
  check_own_full_shard (2);
  check_own_full_shard (220000);
}

/* Guards against the refusal of a job that another process has stored for the
   same caller, and that the owner has not read yet: it will run. */
static void
test_full_owner_reads_first (void)
{
  front_t front;
  shard_state_t *state;
  GByteArray *record = new_record ();
  char text[1024];

  for (int stored = 0; stored < 2; stored++)
    {
      set_up_front (&front);
      own_full_shard (&front);
      state = &front.s->shards[0];
      send_submission (&front, 2);
      read_answer (&front, text);
      CU_ASSERT_STRING_EQUAL (text, "");
      CU_ASSERT (queries_await_read (front.s, 0));
      if (stored)
        {
          shard_apply_record (
              state->shard, clock_now (), RECORD_SUBMISSION, JOB_ID,
              (blob_t){ (const char *)record->data, record->len });
          queries_job_changed (front.s, clock_now (), JOB_ID);
        }
      state->read_as_of = clock_now ();
      queries_read_complete (front.s, clock_now (), 0);
      CU_ASSERT_EQUAL (front.s->deferred_queries->len, 0);
      run_front (&front, 40 * USEC_PER_MSEC);
      read_answer (&front, text);
      CU_ASSERT (
          g_str_has_prefix (text, stored ? "HTTP/1.1 200 " : "HTTP/1.1 503 "));
      tear_down_front (&front);
    }
  g_byte_array_unref (record);
}

/* Guards against a front that appends a submission past a full owner since the
   owner's reads take long, and against a request that is not answered then. */
static void
test_full_owner_reads_nothing (void)
{
  front_t front;
  char text[1024];

  set_up_front (&front);
  own_full_shard (&front);
  send_submission (&front, 2);
  run_front (&front, LONG_RUN);
  read_answer (&front, text);
  CU_ASSERT (g_str_has_prefix (text, "HTTP/1.1 503 "));
  CU_ASSERT_EQUAL (fake.appends, 0);
  tear_down_front (&front);
}

/* Adds a submission that is to be appended by this process. */
static void
add_submission (front_t *front, uint64_t id, guint len)
{
  caller_request_t *request = g_new0 (caller_request_t, 1);

  request->id = request->job = id;
  request->kind = QUERY_SUBMIT;
  request->queue = g_strdup ("queue");
  request->deadline = INT64_MAX;
  request->record = g_byte_array_new ();
  g_byte_array_set_size (request->record, len);
  memset (request->record->data, 0, len);
  g_hash_table_insert (front->s->requests, &request->id, request);
}

static void
check_appends (guint len, uint32_t count, uint32_t most)
{
  front_t front;

  set_up_front (&front);
  for (uint32_t i = 1; i <= count; i++)
    add_submission (&front, i, len);
  fake.appends_hang = true;
  callers_tick (front.s, clock_now ());
  run_front (&front, LONG_RUN);
  CU_ASSERT (fake.appends > 0);
  CU_ASSERT (fake.appends <= most);
  /* The appends in flight are answered, and the others follow. */
  fake.appends_hang = false;
  run_front (&front, 12 * LONG_RUN);
  CU_ASSERT_EQUAL (fake.appends, count);
  CU_ASSERT_EQUAL (g_hash_table_size (front.s->requests), 0);
  CU_ASSERT_EQUAL (front.s->append_bytes_busy, 0);
  tear_down_front (&front);
}

/* Guards against a process that opens a connection to the store and copies the
   record for each request at the same time, as the owner is silent. */
static void
test_many_appends (void)
{
  check_appends (MAX_RECORD_BYTES, 100, 32);
  check_appends (100, 600, 256);
}

/* A site has several shards only if one owner is not sufficient, since tasks
   of a full shard are not moved to another one, and never more shards than
   partitions.  Processes with a small cpu_share leave the decision and large
   shards to others.  The cases include sites of 48 workers with 0.1 cores per
   process, and of 350 and 490 workers with 0.5 cores.  */
static void
test_layout (void)
{
  char text[LAYOUT_TEXT_MAX];
  layout_t layout;

  CU_ASSERT_EQUAL (layout_shards (0, 12, 0.5), 1);
  CU_ASSERT_EQUAL (layout_shards (48, 12, 0.1), 1);
  CU_ASSERT_EQUAL (layout_shards (350, 12, 0.5), 1);
  CU_ASSERT_EQUAL (layout_shards (490, 12, 0.5), 1);
  CU_ASSERT (layout_shards (350, 12, 0.069) > 1);
  CU_ASSERT_EQUAL (layout_shards (14000, 12, 0.5), 12);
  CU_ASSERT_EQUAL (layout_shards (14000, 12, 0.01), 12);
  CU_ASSERT_EQUAL (layout_deferral (1), 0);
  CU_ASSERT (layout_deferral (2) > 0);
  CU_ASSERT_EQUAL (layout_deferral (4000), layout_deferral (5000));
  layout_format (&(layout_t){ 2, 350, 69 }, text);
  CU_ASSERT (layout_parse (text, 12, &layout));
  CU_ASSERT (layout.shards == 2 && layout.workers == 350
             && layout.millicores == 69);
  CU_ASSERT (layout_parse ("2 350", 12, &layout));
  CU_ASSERT (!layout.millicores);
  CU_ASSERT (!layout_parse ("2", 12, &layout));
  CU_ASSERT (!layout_parse ("13 9000", 12, &layout));
  CU_ASSERT (!layout_parse ("0 1", 12, &layout));
  CU_ASSERT (layout_may_own (0.1, &(layout_t){ 1, 48, 100 }));
  CU_ASSERT (!layout_may_own (0.069, &(layout_t){ 2, 350, 0 }));
  CU_ASSERT (!layout_may_own (0.069, &(layout_t){ 2, 350, 500 }));
  CU_ASSERT (layout_may_own (0.5, &(layout_t){ 1, 490, 500 }));
  CU_ASSERT (layout_may_own (0.1, &(layout_t){ 12, 3000, 100 }));
}

/* All problems of a file are reported.  Several ports at one address are
   valid; more shards than partitions are one problem. */
static void
test_settings (void)
{
  GArray *problems = g_array_new (FALSE, TRUE, sizeof (problem_t));
  scheduler_settings_t settings;

  scheduler_settings_read (blob_of ("[node]\nname = n1\n"), &settings,
                           problems);
  CU_ASSERT (problems->len >= 3); /* zone, [listen], [store] */
  scheduler_settings_clear (&settings);
  g_array_set_size (problems, 0);
  scheduler_settings_read (
      blob_of ("[node]\nname = n\nzone = z\n[listen]\ncallers = 10.0.0.1:1\n"
               "ready = 10.0.0.1:2\npeers = 10.0.0.1:3\n"
               "operators = 10.0.0.1:4\n[store]\naddress = 10.0.0.2:1\n"
               "partitions = 4\n[scheduler]\nshards = 5\n"),
      &settings, problems);
  CU_ASSERT_EQUAL (problems->len, 1);
  scheduler_settings_clear (&settings);
  g_array_free (problems, TRUE);
}

#define VALID_SETTINGS                                                        \
  "[node]\nname = n\nzone = z\n[listen]\ncallers = 10.0.0.1:1\n"              \
  "ready = 10.0.0.1:2\npeers = 10.0.0.1:3\noperators = 10.0.0.1:4\n"          \
  "[store]\naddress = 10.0.0.2:1\n"

static bool
settings_usable (const char *text, guint problem_count)
{
  GArray *problems = g_array_new (FALSE, TRUE, sizeof (problem_t));
  scheduler_settings_t settings;
  bool usable;

  scheduler_settings_read (blob_of (text), &settings, problems);
  usable = scheduler_settings_usable (problems);
  CU_ASSERT_EQUAL (problems->len, problem_count);
  scheduler_settings_clear (&settings);
  g_array_free (problems, TRUE);
  return usable;
}

/* Guards against a rollback after which no process starts, since the settings
   file has a key of the later build.  The key is reported all the same. */
static void
test_settings_of_later_build (void)
{
  CU_ASSERT (settings_usable (VALID_SETTINGS, 0));
  CU_ASSERT (settings_usable (VALID_SETTINGS "later_ms = 3000\n", 1));
  CU_ASSERT (settings_usable (VALID_SETTINGS "[later]\nkey = 1\n", 1));
  CU_ASSERT (!settings_usable (VALID_SETTINGS "partitions = many\n", 1));
  CU_ASSERT (!settings_usable ("[node]\nname = n\nzone = z\nlater = 1\n", 3));
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "fence before load", test_fence_before_load },
    { "lapsing record is outdated", test_lapsing_record_is_outdated },
    { "lease bound is outdated", test_lease_bound_is_outdated },
    { "no load without a fence", test_no_load_without_fence },
    { "configuration version rises", test_config_version_rises },
    { "answer before the stop", test_answer_before_stop },
    { "requests without a turn", test_requests_without_turn },
    { "leave follows join", test_leave_follows_join },
    { "many queries", test_many_queries },
    { "leave after a late join", test_leave_after_late_join },
    { "evict dead member", test_evict_dead_member },
    { "no join with an owner", test_no_join_with_owner },
    { "forward before append", test_forward_before_append },
    { "membership", test_membership },
    { "succession", test_succession },
    { "large job", test_large_job },
    { "lost append", test_lost_append },
    { "lost reads", test_lost_reads },
    { "ready after a store refusal", test_ready_after_store_refusal },
    { "own as the largest", test_own_as_largest },
    { "known job in an outage", test_known_job_in_outage },
    { "cancel of an unknown job", test_cancel_of_unknown_job },
    { "cancel of an unread job", test_cancel_of_unread_job },
    { "malformed frames", test_malformed_frames },
    { "frame for odd shard", test_frame_for_odd_shard },
    { "letters of peers", test_letters_of_peers },
    { "connection to a slow owner", test_connection_to_slow_owner },
    { "owner is full", test_owner_is_full },
    { "withdrawn until the deadline", test_withdrawn_until_deadline },
    { "submission version", test_submission_version },
    { "stored when the owner is full", test_stored_when_owner_is_full },
    { "own shard is full", test_own_shard_is_full },
    { "many appends", test_many_appends },
    { "full owner reads first", test_full_owner_reads_first },
    { "full owner reads nothing", test_full_owner_reads_nothing },
    { "layout", test_layout },
    { "layout with changing workers", test_layout_with_changing_workers },
    { "settings", test_settings },
    { "settings of a later build", test_settings_of_later_build },
  };

  log_open ("test", LOG_LEVEL_ERR);
  choose_addresses ();
  return suite_main ("scheduler", tests, sizeof tests / sizeof *tests);
}
