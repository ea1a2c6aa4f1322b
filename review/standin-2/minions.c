/** @file
 * Stand-in of the platform for the cases 6 to 10: the project's own stand-in
 * of the store (standin/fleet_store.c), minions of its own, and a control
 * address by which a case brings about what happens to single minions.
 *
 * The minions do what PROTOCOL.md says of "Running tasks" and "Service
 * discovery".  The spec of a job says what its tasks do, in words:
 *   ms=N     each is at work for N ms
 *   lasts    at work until stopped
 *   gang=N   the N tasks of a step work together: from the moment when all of a
 *            run are there, until all are done
 *   saves    a checkpoint is listed
 * and what must hold of them:
 *   needs=K  only on minions of kind K
 *   apart=N  at most N of a step and an occurrence on one minion
 *   due=M,I  occurrence K not before M + K * I (ms since 1970)
 *   cpu=N    what a task takes, in thousandths of a core
 * Each event is written as a line of JSON to standard output; what breaks a
 * rule has the event "broken".
 *
 * Control calls, all POST:
 *   /crash?minion=ID&down_ms=N                 down now, up again after N ms,
 *                                              with &kind=K and &cpu=N as
 *                                              another kind or size
 *   /store?slow_ms=A&most_ms=B&for_ms=N        the store takes A to B ms longer
 *                                              for each call; with &lose=1 it
 *                                              loses 35% of its answers to
 *                                              appends, which are done
 *   /config?service=S                          a new version of the config, in
 *                                              which queue q1 goes to service S
 *   /drain?minion=ID&for_ms=N                  tells that it leaves, and goes
 *                                              after N ms; up again &down_ms=N later
 *   /flap?minion=ID&period_ms=N&for_ms=N       down and up by turns
 *   /lose?minion=ID&percent=N&for_ms=N         loses answers to calls
 *   /late?minion=ID&percent=N&for_ms=N         starts and stops are not answered
 *                                              and carried out 2 to 6 s later
 */
#include "fleet.h"
#include "net/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define TICK_S 0.002
#define HEARTBEAT (1500 * USEC_PER_MSEC)
#define LEASE_MS 6000
#define RECORD_BYTES 262144U
/* Of appends, whose answers are lost. */
#define LOST_SHARE 0.35
#define APPEND_TIME (2 * USEC_PER_MSEC)
#define APPEND_BYTES_S (20 * 1000000)
#define APPEND_WAIT_MAX (2 * USEC_PER_SEC)
#define GANG_TIMEOUT (3000 * USEC_PER_MSEC)
#define MILLICORES 16000
#define DRAIN_LIMIT (2000 * USEC_PER_MSEC)
#define MEMORY_MB 64000
#define PER_RACK 6U
#define MINIONS_MAX 64U

typedef struct
{
  char *task;
  uint32_t run;
  int64_t millicores;
  usec_t since;
  usec_t ends;   /* 0 while it waits for the rest of its gang */
  usec_t work;   /* how long it is at work */
  uint32_t gang; /* tasks of its gang, 0: none */
  bool lasts;
  bool saves;
  uint32_t saved; /* number of its newest checkpoint */
} run_t;

typedef struct
{
  uint64_t number;
  char *task;
  uint32_t run;
  const char *how;
} end_t;

typedef struct
{
  handle_t http;
  usec_t until;
} hold_t;

typedef struct
{
  char id[80];
  char kind[8];
  char service[8];
  uint32_t index;
  char address[64];
  int64_t capacity; /* thousandths of a core */
  usec_t drains_since;
  usec_t leaves_at;
  usec_t down_then;
  httpd_t *httpd; /* NULL while it is down */
  usec_t born;
  int64_t born_ms;
  uint64_t token;
  int64_t lease_until; /* on its clock */
  GArray *runs;
  GArray *ends;
  GArray *holds;
  GHashTable *highest; /* task -> highest run stopped or ended */
  uint64_t last_end;
  uint64_t lapsed_end; /* last end before its lease last lapsed */
  uint32_t sequence;
  usec_t report_due;
  usec_t up_at;
  usec_t flap_until;
  usec_t flap_half;
  usec_t flap_due;
  uint32_t lose_percent;
  usec_t lose_until;
  uint32_t late_percent;
  usec_t late_until;
  GArray *late;
} minion_t;

/* A call that is carried out later. */
typedef struct
{
  usec_t at;
  bool starts;
  char *body;
} late_t;

/* What is known of a task, of all minions. */
typedef struct
{
  uint32_t running;
  bool done;
  bool noted; /* its end `done` was taken note of */
} task_t;

static GHashTable *tasks;       /* name -> task_t */
static GHashTable *checkpoints; /* "STEP/VALUE" -> 1 */

static fleet_t fleet;
static minion_t minions[MINIONS_MAX];
static uint32_t minion_count;
static uint16_t minion_port;
static uint32_t start_count;
static bool guarded;
static const char *id_prefix = "";

static void put_config (const char *service);
static void on_call (void *ctx, const httpd_request_t *request);
static void on_abandoned (void *ctx, handle_t handle);
static const httpd_ops_t minion_ops
    = { .request = on_call, .abandoned = on_abandoned };

/* Called by the stand-in of the store. */
json_t *
fleet_workers_audit (const workers_t *all)
{
  (void)all;
  return json_pack ("{s:i}", "starts", (int)start_count);
}

uint32_t
fleet_workers_starts (const workers_t *all, const char *job)
{
  (void)all;
  (void)job;
  return start_count;
}

static void
event (const char *what, const char *minion, const char *task, uint32_t run,
       const char *note)
{
  printf ("{\"ms\":%" PRId64 ",\"event\":\"%s\",\"minion\":\"%s\","
          "\"task\":\"%s\",\"run\":%u,\"note\":\"%s\"}\n",
          (int64_t)(g_get_real_time () / 1000), what, minion, task, run, note);
  fflush (stdout);
}

static int64_t
clock_ms (const minion_t *m, usec_t now)
{
  return usec_to_msec (now - m->born) + 1;
}

/* --- One life of a minion --- */

static void
boot (minion_t *m, usec_t now)
{
  httpd_config_t config = { .address = m->address,
                            .max_connections = 256,
                            .max_body = 65536,
                            .timeout = 60 * USEC_PER_SEC };
  err_t err = { 0 };

  m->httpd = httpd_new (fleet.loop, &config, &minion_ops, m, &err);
  if (!m->httpd)
    {
      fprintf (stderr, "%s: %s\n", m->address, err.text);
      m->up_at = now + 50 * USEC_PER_MSEC;
      return;
    }
  m->born = now;
  m->born_ms = g_get_real_time () / 1000;
  m->token = m->last_end = m->lapsed_end = 0;
  m->lease_until = 0;
  m->sequence = 0;
  m->report_due = now;
  m->drains_since = m->leaves_at = 0;
  event ("up", m->id, "", 0, m->kind);
}

static task_t *
task_of (const char *name)
{
  task_t *task = g_hash_table_lookup (tasks, name);

  if (!task)
    {
      task = g_new0 (task_t, 1);
      g_hash_table_insert (tasks, g_strdup (name), task);
    }
  return task;
}

/* @return the name of a task's step: all but its last number */
static char *
step_of (const char *task)
{
  const char *dot = strrchr (task, '.');

  return g_strndup (task, dot ? (gsize)(dot - task) : strlen (task));
}

static void break_gang (const run_t *run);

static void
crash (minion_t *m, usec_t now, usec_t down)
{
  GArray *runs;

  if (!m->httpd)
    return;
  event ("down", m->id, "", 0, "");
  runs = g_array_copy (m->runs);
  for (guint i = 0; i < m->ends->len; i++)
    g_free (g_array_index (m->ends, end_t, i).task);
  for (guint i = 0; i < m->late->len; i++)
    g_free (g_array_index (m->late, late_t, i).body);
  g_array_set_size (m->runs, 0);
  g_array_set_size (m->ends, 0);
  g_array_set_size (m->holds, 0);
  g_array_set_size (m->late, 0);
  g_hash_table_remove_all (m->highest);
  httpd_free (m->httpd);
  m->httpd = NULL;
  m->up_at = now + down;
  for (guint i = 0; i < runs->len; i++)
    {
      run_t *run = &g_array_index (runs, run_t, i);

      event ("gone", m->id, run->task, run->run, "with its minion");
      task_of (run->task)->running--;
      break_gang (run);
      g_free (run->task);
    }
  g_array_free (runs, TRUE);
}

static void
report (minion_t *m, usec_t now)
{
  char rack[16];
  char zone[16];
  char *text;
  json_t *entry;

  m->report_due = now + HEARTBEAT;
  g_snprintf (rack, sizeof rack, "r%u", m->index / PER_RACK);
  g_snprintf (zone, sizeof zone, "z%u", m->index % 2);
  entry = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:I, s:{s:i, s:i, s:i},"
      " s:[s, s]}",
      "service", m->service, "address", m->address, "zone", zone, "version", "1",
      "state",
      m->drains_since ? "draining" : "ready", "slots", 8, "cold_remaining_ms", 0, "sequence",
      (int)++m->sequence, "born", (json_int_t)m->born_ms, "capacity", "cpu",
      (int)m->capacity, "mem_mb", MEMORY_MB, "gpu", 0, "labels", m->kind, rack);
  text = json_dumps (entry, JSON_COMPACT);
  fleet_store_put (fleet.store, "keyed.servers", m->id, text);
  free (text);
  json_decref (entry);
}

/* --- Runs --- */

/* Ends a run; the rest of its gang is told by the caller. */
static void
end_one (minion_t *m, guint index, const char *how)
{
  run_t run = g_array_index (m->runs, run_t, index);
  task_t *task = task_of (run.task);
  end_t end = { ++m->last_end, run.task, run.run, how };

  event ("end", m->id, run.task, run.run, how);
  task->running--;
  task->done |= strcmp (how, "done") == 0;
  g_hash_table_replace (m->highest, g_strdup (run.task),
                        GUINT_TO_POINTER (run.run));
  g_array_append_val (m->ends, end);
  g_array_remove_index (m->runs, index);
}

/* Ends all runs of the gang of RUN, those of other minions too. */
static void
end_gang (const run_t *run, const char *how)
{
  char *step = step_of (run->task);
  uint32_t number = run->run;

  for (uint32_t k = 0; k < minion_count; k++)
    for (guint i = minions[k].runs->len; i > 0; i--)
      {
        const run_t *other = &g_array_index (minions[k].runs, run_t, i - 1);
        char *its = step_of (other->task);

        if (other->gang && other->run == number && strcmp (its, step) == 0)
          end_one (&minions[k], i - 1, how);
        g_free (its);
      }
  g_free (step);
}

static void
break_gang (const run_t *run)
{
  if (run->gang)
    end_gang (run, "broken");
}

static void
end_run (minion_t *m, guint index, const char *how)
{
  run_t run = g_array_index (m->runs, run_t, index);
  char *name = g_strdup (run.task);

  end_one (m, index, how);
  run.task = name;
  if (run.gang && strcmp (how, "done") == 0)
    end_gang (&run, "done");
  else
    break_gang (&run);
  g_free (name);
}

/* A gang begins to work once all of a run are there. */
static void
begin_gang (const run_t *run, usec_t now)
{
  char *step = step_of (run->task);
  uint32_t present = 0;

  for (int pass = 0; pass < 2; pass++)
    for (uint32_t k = 0; k < minion_count; k++)
      for (guint i = 0; i < minions[k].runs->len; i++)
        {
          run_t *other = &g_array_index (minions[k].runs, run_t, i);
          char *its = step_of (other->task);

          if (other->gang && other->run == run->run
              && strcmp (its, step) == 0)
            {
              if (!pass)
                present++;
              else if (present >= run->gang && !other->ends)
                other->ends = now + other->work;
            }
          g_free (its);
        }
  g_free (step);
}

static int64_t
word (const char *spec, const char *name, int64_t preset)
{
  const char *at = strstr (spec, name);

  return at ? g_ascii_strtoll (at + strlen (name), NULL, 10) : preset;
}

static int64_t
used_with (const minion_t *m, const char *spec)
{
  int64_t used = word (spec, "cpu=", 0);

  for (guint i = 0; i < m->runs->len; i++)
    used += g_array_index (m->runs, run_t, i).millicores;
  return used;
}

/* What must hold of a start, as the spec tells. */
static void
check_start (const minion_t *m, const char *task, uint32_t number,
             const char *spec, const char *checkpoint)
{
  const char *needs = strstr (spec, "needs=");
  const char *due = strstr (spec, "due=");
  int64_t apart = word (spec, "apart=", 0);
  char *step = step_of (task);
  uint32_t occurrence = 0;
  int64_t beside = 0;
  int64_t used = used_with (m, spec);
  char text[80];

  if (used > m->capacity)
    {
      g_snprintf (text, sizeof text, "LIMIT: %" PRId64 " of %" PRId64, used,
                  m->capacity);
      event ("broken", m->id, task, number, text);
    }
  if (m->drains_since && clock_now () - m->drains_since > DRAIN_LIMIT)
    event ("drained", m->id, task, number, "DRAIN: started on a minion that leaves");
  if (task_of (task)->running)
    event ("broken", m->id, task, number, "TWICE: two runs at a time");
  if (task_of (task)->noted)
    event ("broken", m->id, task, number, "TWICE: started after its end");
  if (needs && strncmp (needs + 6, m->kind, strlen (m->kind)) != 0)
    event ("broken", m->id, task, number, "ROUTE: not of the kind");
  for (guint i = 0; i < m->runs->len; i++)
    {
      char *its = step_of (g_array_index (m->runs, run_t, i).task);

      beside += strcmp (its, step) == 0;
      g_free (its);
    }
  if (apart && beside >= apart)
    event ("broken", m->id, task, number, "ROUTE: anti_affinity");
  if (due && sscanf (task, "%*16[0-9a-f].%u", &occurrence) == 1)
    {
      char *rest = NULL;
      int64_t first = g_ascii_strtoll (due + 4, &rest, 10);
      int64_t interval = *rest == ',' ? g_ascii_strtoll (rest + 1, NULL, 10)
                                      : 0;

      if (g_get_real_time () / 1000 < first + occurrence * interval - 250)
        event ("broken", m->id, task, number, "ORDER: before its time");
    }
  if (checkpoint && *checkpoint)
    {
      char *key = g_strdup_printf (
          "%s/%s", strstr (spec, "gang=") ? step : task, checkpoint);

      if (!g_hash_table_contains (checkpoints, key))
        event ("broken", m->id, task, number, "UNASKED: not its checkpoint");
      g_free (key);
    }
  g_free (step);
}

static const char *
start (minion_t *m, const json_t *body, usec_t now)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (body, "run_id"));
  int64_t lease = json_integer_value (json_object_get (body, "expiry_ms"));
  run_t run = { .run = number, .since = now };

  if (!task || !spec || !number)
    return "invalid";
  for (guint i = 0; i < m->runs->len; i++)
    if (strcmp (g_array_index (m->runs, run_t, i).task, task) == 0
        && g_array_index (m->runs, run_t, i).run == number)
      return NULL;
  if (GPOINTER_TO_UINT (g_hash_table_lookup (m->highest, task)) >= number)
    return "old";
  if (lease <= clock_ms (m, now))
    return "late";
  if (guarded && used_with (m, spec) > m->capacity)
    return "room";
  check_start (m, task, number, spec,
               json_string_value (json_object_get (body, "checkpoint")));
  run.lasts = strstr (spec, "lasts") != NULL;
  run.saves = strstr (spec, "saves") != NULL;
  run.millicores = word (spec, "cpu=", 0);
  run.gang = (uint32_t)word (spec, "gang=", 0);
  run.work = word (spec, "ms=", 500) * USEC_PER_MSEC;
  run.ends = run.lasts ? INT64_MAX : run.gang ? 0 : now + run.work;
  run.task = g_strdup (task);
  task_of (task)->running++;
  start_count++;
  g_array_append_val (m->runs, run);
  event ("start", m->id, task, number, spec);
  if (run.gang)
    begin_gang (&run, now);
  return NULL;
}

static void
stop (minion_t *m, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (body, "run_id"));
  guint highest;

  if (!task)
    return;
  for (guint i = m->runs->len; i > 0; i--)
    if (i <= m->runs->len
        && strcmp (g_array_index (m->runs, run_t, i - 1).task, task) == 0
        && g_array_index (m->runs, run_t, i - 1).run <= number)
      end_run (m, i - 1, "stopped");
  highest = GPOINTER_TO_UINT (g_hash_table_lookup (m->highest, task));
  g_hash_table_replace (m->highest, g_strdup (task),
                        GUINT_TO_POINTER (MAX (highest, number)));
}

static void
forget_ends (minion_t *m, uint64_t seen)
{
  while (m->ends->len && g_array_index (m->ends, end_t, 0).number <= seen)
    {
      end_t end = g_array_index (m->ends, end_t, 0);

      if (strcmp (end.how, "done") == 0 && end.number > m->lapsed_end)
        task_of (end.task)->noted = true;
      g_free (end.task);
      g_array_remove_index (m->ends, 0);
    }
}

static json_t *
lists (const minion_t *m, usec_t now)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();

  for (guint i = 0; i < m->runs->len; i++)
    {
      const run_t *run = &g_array_index (m->runs, run_t, i);
      char saved[32] = "";
      int percent = run->lasts ? 100
                    : !run->ends
                        ? 0
                        : (int)(99 - (run->ends - now) * 99 / MAX (run->work, 1));

      if (run->saves && run->ends && percent > 0)
        {
          char *step = run->gang ? step_of (run->task) : g_strdup (run->task);

          g_snprintf (saved, sizeof saved, "%08x%02d", run->run, percent);
          g_hash_table_add (checkpoints,
                            g_strdup_printf ("%s/%s", step, saved));
          g_free (step);
        }
      json_array_append_new (running,
                             json_pack ("[s, i, s, i, i]", run->task,
                                        (int)run->run, saved, percent, 1000));
    }
  for (guint i = 0; i < m->ends->len; i++)
    {
      const end_t *end = &g_array_index (m->ends, end_t, i);

      json_array_append_new (
          ended, json_pack ("[I, s, i, s, s]", (json_int_t)end->number,
                            end->task, (int)end->run, end->how, ""));
    }
  return json_pack (
      "{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)clock_ms (m, now),
      "born", (json_int_t)m->born_ms, "running", running, "ended", ended);
}

/* --- Calls --- */

static void
answer (const minion_t *m, handle_t http, int status, const char *reason,
        usec_t now)
{
  json_t *body;

  if (now < m->lose_until
      && g_rand_int_range (fleet.random, 0, 100) < (int)m->lose_percent)
    return; /* the caller never hears of it */
  body = json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (m, now));

  if (reason)
    json_object_set_new (body, "reason", json_string (reason));
  fleet_answer (m->httpd, http, status, body);
}

static void
extend_lease (minion_t *m, int64_t lease, usec_t now)
{
  if (clock_ms (m, now) > m->lease_until)
    m->lapsed_end = m->last_end;
  m->lease_until
      = MAX (m->lease_until, MIN (lease, clock_ms (m, now) + LEASE_MS));
}

static void
on_call (void *ctx, const httpd_request_t *request)
{
  minion_t *m = ctx;
  usec_t now = clock_now ();
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));
  const char *meant
      = httpd_header (m->httpd, request->handle, "Expected-Instance");
  const char *reason;

  if (strcmp (request->path, "/health") == 0)
    fleet_answer (m->httpd, request->handle, 200, json_object ());
  else if (meant && strcmp (meant, m->id) != 0)
    answer (m, request->handle, 421, NULL, now);
  else if (!body)
    answer (m, request->handle, 400, NULL, now);
  else if (now < m->late_until && strcmp (request->path, "/-/hold") != 0
           && g_rand_int_range (fleet.random, 0, 100) < (int)m->late_percent)
    {
      late_t late = { now
                          + g_rand_int_range (fleet.random, 2000, 6000)
                                * USEC_PER_MSEC,
                      strcmp (request->path, "/-/run-start") == 0,
                      g_strndup (request->body.data, request->body.len) };

      g_array_append_val (m->late, late);
    }
  else if (token < m->token)
    answer (m, request->handle, 409, "fence", now);
  else
    {
      m->token = token;
      extend_lease (
          m, json_integer_value (json_object_get (body, "expiry_ms")), now);
      if (strcmp (request->path, "/-/run-start") == 0)
        {
          reason = start (m, body, now);
          answer (m, request->handle, reason ? 409 : 200, reason, now);
        }
      else if (strcmp (request->path, "/-/run-stop") == 0)
        {
          stop (m, body);
          answer (m, request->handle, 200, NULL, now);
        }
      else if (strcmp (request->path, "/-/hold") == 0)
        {
          hold_t hold
              = { request->handle,
                  now
                      + json_integer_value (json_object_get (body, "wait_ms"))
                            * USEC_PER_MSEC };

          forget_ends (m, (uint64_t)json_integer_value (
                              json_object_get (body, "last_seen")));
          g_array_append_val (m->holds, hold);
        }
      else
        answer (m, request->handle, 200, NULL, now);
    }
  json_decref (body);
}

static void
on_abandoned (void *ctx, handle_t handle)
{
  minion_t *m = ctx;

  for (guint i = m->holds->len; i > 0; i--)
    if (g_array_index (m->holds, hold_t, i - 1).http == handle)
      g_array_remove_index_fast (m->holds, i - 1);
}

/* --- The limits on appends, which the stand-in of the store does not have --- */

/* A call that is carried out later. */
typedef struct
{
  usec_t at;
  handle_t http;
  char *path;
  GByteArray *body;
} delayed_t;

static GQueue delayed = G_QUEUE_INIT; /* delayed_t */
static usec_t appends_until;
static usec_t slow_until;
static usec_t slow_least;
static usec_t slow_most;
static usec_t lose_appends_until;

static void
delay_call (const httpd_request_t *request, usec_t at)
{
  delayed_t *call = g_new0 (delayed_t, 1);

  call->at = at;
  call->http = request->handle;
  call->path = g_strdup (request->path);
  call->body = g_byte_array_new ();
  g_byte_array_append (call->body, (const guint8 *)request->body.data,
                       request->body.len);
  g_queue_push_tail (&delayed, call);
}

/* Appends are carried out one at a time; more than 2 s of them are refused.  A
   slow store takes longer for each call. */
static void
queue_call (const httpd_request_t *request, bool appends)
{
  usec_t now = clock_now ();
  usec_t at = now;

  if (appends && appends_until - now > APPEND_WAIT_MAX)
    {
      fleet_answer (fleet.httpd, request->handle, 503, json_object ());
      return;
    }
  if (appends)
    at = appends_until = MAX (appends_until, now) + APPEND_TIME
                         + (usec_t)request->body.len * USEC_PER_SEC
                               / APPEND_BYTES_S;
  if (now < slow_until)
    at += g_rand_int_range (fleet.random, (int)slow_least, (int)slow_most);
  if (at == now)
    fleet_store_ops.request (&fleet, request);
  else
    delay_call (request, at);
}

static void
run_delayed (usec_t now)
{
  GList *next;

  fleet.config.store_lose = now < lose_appends_until ? LOST_SHARE : 0;
  for (GList *l = delayed.head; l; l = next)
    {
      delayed_t *call = l->data;
      httpd_request_t request = { call->http,
                                  "POST",
                                  call->path,
                                  { (const char *)call->body->data,
                                    call->body->len } };

      next = l->next;
      if (now < call->at)
        continue;
      g_queue_delete_link (&delayed, l);
      fleet_store_ops.request (&fleet, &request);
      g_byte_array_unref (call->body);
      g_free (call->path);
      g_free (call);
    }
}

static void
on_store_call (void *ctx, const httpd_request_t *request)
{
  const unsigned char *at = (const unsigned char *)request->body.data;
  const unsigned char *end = at + request->body.len;
  bool appends = strcmp (request->path, "/-/log-append") == 0;

  while (appends && end - at >= 4)
    {
      uint32_t len = (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16
                     | (uint32_t)at[2] << 8 | at[3];

      if (len > RECORD_BYTES)
        {
          event ("refused", "", "", len, "a record of so many bytes");
          fleet_answer (fleet.httpd, request->handle, 400, json_object ());
          return;
        }
      at += MIN ((uint64_t)len + 4, (uint64_t)(end - at));
    }
  (void)ctx;
  queue_call (request, appends);
}

static httpd_ops_t store_ops;

/* --- Control --- */

static httpd_t *control;

static usec_t
query_ms (handle_t http, const char *name)
{
  const char *text = httpd_query (control, http, name);

  return text ? (usec_t)(g_ascii_strtod (text, NULL) * USEC_PER_MSEC) : 0;
}

static void
on_control (void *ctx, const httpd_request_t *request)
{
  usec_t now = clock_now ();
  const char *id = httpd_query (control, request->handle, "minion");
  int status = 404;

  (void)ctx;
  if (strcmp (request->path, "/config") == 0)
    {
      put_config (httpd_query (control, request->handle, "service"));
      status = 200;
    }
  if (strcmp (request->path, "/store") == 0)
    {
      slow_least = query_ms (request->handle, "slow_ms");
      slow_most = MAX (query_ms (request->handle, "most_ms"), slow_least + 1);
      slow_until = now + query_ms (request->handle, "for_ms");
      if (query_ms (request->handle, "lose"))
        lose_appends_until = slow_until;
      status = 200;
    }
  for (uint32_t i = 0; i < minion_count; i++)
    {
      minion_t *m = &minions[i];

      if (!id || strcmp (m->id, id) != 0)
        continue;
      status = 200;
      if (strcmp (request->path, "/crash") == 0)
        {
          const char *kind = httpd_query (control, request->handle, "kind");
          const char *cpu = httpd_query (control, request->handle, "cpu");

          if (kind)
            g_strlcpy (m->kind, kind, sizeof m->kind);
          if (cpu)
            m->capacity = g_ascii_strtoll (cpu, NULL, 10);
          crash (m, now, query_ms (request->handle, "down_ms"));
        }
      else if (strcmp (request->path, "/drain") == 0)
        {
          m->drains_since = now;
          m->leaves_at = now + query_ms (request->handle, "for_ms");
          m->down_then = query_ms (request->handle, "down_ms");
          m->report_due = now;
        }
      else if (strcmp (request->path, "/flap") == 0)
        {
          m->flap_half = query_ms (request->handle, "period_ms") / 2;
          m->flap_until = now + query_ms (request->handle, "for_ms");
          m->flap_due = now;
        }
      else if (strcmp (request->path, "/lose") == 0)
        {
          m->lose_percent = (uint32_t)(query_ms (request->handle, "percent")
                                       / USEC_PER_MSEC);
          m->lose_until = now + query_ms (request->handle, "for_ms");
        }
      else if (strcmp (request->path, "/late") == 0)
        {
          m->late_percent = (uint32_t)(query_ms (request->handle, "percent")
                                       / USEC_PER_MSEC);
          m->late_until = now + query_ms (request->handle, "for_ms");
        }
      else
        status = 404;
    }
  fleet_answer (control, request->handle, status, json_object ());
}

static const httpd_ops_t control_ops = { .request = on_control };

/* --- Time --- */

static void
run_late (minion_t *m, usec_t now)
{
  for (guint i = m->late->len; i > 0; i--)
    {
      late_t late = g_array_index (m->late, late_t, i - 1);
      json_t *body;

      if (now < late.at)
        continue;
      g_array_remove_index_fast (m->late, i - 1);
      body = json_loads (late.body, 0, NULL);
      if ((uint64_t)json_integer_value (
              json_object_get (body, "fencing_token"))
          >= m->token)
        {
          if (late.starts)
            (void)start (m, body, now);
          else
            stop (m, body);
        }
      json_decref (body);
      g_free (late.body);
    }
}

static void
tick_minion (minion_t *m, usec_t now)
{
  if (m->flap_until && now >= m->flap_due)
    {
      if (now >= m->flap_until)
        m->flap_until = 0;
      else
        {
          crash (m, now, m->flap_half);
          m->flap_due = now + 2 * m->flap_half;
        }
    }
  if (!m->httpd)
    {
      if (now >= m->up_at)
        boot (m, now);
      return;
    }
  if (m->leaves_at && now >= m->leaves_at)
    {
      fleet_store_put (fleet.store, "keyed.servers", m->id, "");
      crash (m, now, m->down_then);
      return;
    }
  if (now >= m->report_due)
    report (m, now);
  run_late (m, now);
  for (guint i = m->runs->len; i > 0; i--)
    {
      const run_t *run;

      if (i > m->runs->len)
        continue;
      run = &g_array_index (m->runs, run_t, i - 1);
      if (clock_ms (m, now) > m->lease_until)
        end_run (m, i - 1, "lapsed");
      else if (run->ends && now >= run->ends)
        end_run (m, i - 1, "done");
      else if (!run->ends && now - run->since > GANG_TIMEOUT)
        end_run (m, i - 1, "alone");
    }
  for (guint i = m->holds->len; i > 0; i--)
    {
      hold_t hold = g_array_index (m->holds, hold_t, i - 1);

      if (!m->ends->len && now < hold.until)
        continue;
      g_array_remove_index_fast (m->holds, i - 1);
      fleet_answer (m->httpd, hold.http, 200, lists (m, now));
    }
}

static void
on_tick (EV_P_ ev_timer *timer, int events)
{
  usec_t now = clock_now ();

  (void)loop;
  (void)timer;
  (void)events;
  for (uint32_t i = 0; i < minion_count; i++)
    tick_minion (&minions[i], now);
  run_delayed (now);
  fleet_store_tick (fleet.store, now);
}

static void
on_term (EV_P_ ev_signal *signal, int events)
{
  (void)signal;
  (void)events;
  ev_break (EV_A_ EVBREAK_ALL);
}

/* Two queues with a host and a path each, of two members. */
static const char config_format[]
    = "{\"version\":%u,\"routes\":["
      "{\"name\":\"q1\",\"host\":\"one.example\",\"path_prefix\":\"/q1/\","
      "\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":0,"
      "\"service\":\"%s\",\"attempts\":3,\"stretch\":2},"
      "{\"name\":\"q2\",\"host\":\"two.example\",\"path_prefix\":\"/q2/\","
      "\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":2,"
      "\"service\":\"s\",\"attempts\":3,\"stretch\":2}],"
      "\"services\":[{\"name\":\"s\",\"rejects_overload\":%s},"
      "{\"name\":\"t\",\"rejects_overload\":%s}],"
      "\"limits\":{}}";

static void
put_config (const char *service)
{
  static uint32_t version;
  const char *guards = guarded ? "true" : "false";
  char *text = g_strdup_printf (config_format, ++version, service, guards,
                                guards);

  fleet_store_put (fleet.store, "keyed.op", "config", text);
  event ("config", "", service, version, "");
  g_free (text);
}

/* Minions as "KIND:COUNT[:SERVICE],...". */
static void
add_minions (const char *list, usec_t now)
{
  char **kinds = g_strsplit (list, ",", -1);

  for (char **kind = kinds; *kind; kind++)
    {
      char **parts = g_strsplit (*kind, ":", 3);
      gint64 count = parts[1] ? g_ascii_strtoll (parts[1], NULL, 10) : 1;

      for (gint64 k = 0; k < count && minion_count < MINIONS_MAX; k++)
        {
          minion_t *m = &minions[minion_count];

          m->index = minion_count++;
          m->capacity = MILLICORES;
          g_snprintf (m->id, sizeof m->id, "%si-%u", id_prefix, m->index);
          g_strlcpy (m->kind, parts[0], sizeof m->kind);
          g_strlcpy (m->service, parts[1] && parts[2] ? parts[2] : "s",
                     sizeof m->service);
          g_snprintf (m->address, sizeof m->address, "%s:%u",
                      fleet.config.host, minion_port + m->index);
          m->runs = g_array_new (FALSE, FALSE, sizeof (run_t));
          m->ends = g_array_new (FALSE, FALSE, sizeof (end_t));
          m->holds = g_array_new (FALSE, FALSE, sizeof (hold_t));
          m->late = g_array_new (FALSE, FALSE, sizeof (late_t));
          m->highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              NULL);
          boot (m, now);
        }
      g_strfreev (parts);
    }
  g_strfreev (kinds);
}

static httpd_t *
listen_at (uint16_t port, const httpd_ops_t *ops)
{
  char *address = g_strdup_printf ("%s:%u", fleet.config.host, port);
  httpd_config_t settings = { .address = address,
                              .max_connections = 4096,
                              .max_body = 4U << 20,
                              .timeout = 60 * USEC_PER_SEC };
  err_t err = { 0 };
  httpd_t *httpd = httpd_new (fleet.loop, &settings, ops, &fleet, &err);

  if (!httpd)
    {
      fprintf (stderr, "%s: %s\n", address, err.text);
      exit (2);
    }
  g_free (address);
  return httpd;
}

int
main (int argc, char **argv)
{
  ev_timer tick;
  ev_signal term;

  if (argc != 6 && argc != 7)
    {
      fprintf (stderr, "usage: minions HOST STORE-PORT MINION-PORT"
                       " CONTROL-PORT KIND:COUNT[:SERVICE],..."
                       " [unguarded | PREFIX-OF-IDS]\n");
      return 2;
    }
  guarded = argc == 6 || strcmp (argv[6], "unguarded") != 0;
  if (argc == 7 && guarded)
    id_prefix = argv[6];
  store_ops = fleet_store_ops;
  store_ops.request = on_store_call;
  fleet.config.host = argv[1];
  fleet.config.partitions = 12;
  fleet.loop = ev_default_loop (EVFLAG_AUTO);
  fleet.random = g_rand_new_with_seed (1);
  minion_port = (uint16_t)g_ascii_strtoull (argv[3], NULL, 10);
  fleet.httpd = listen_at ((uint16_t)g_ascii_strtoull (argv[2], NULL, 10),
                           &store_ops);
  control = listen_at ((uint16_t)g_ascii_strtoull (argv[4], NULL, 10),
                       &control_ops);
  tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  checkpoints
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet.store = fleet_store_new (&fleet);
  put_config ("s");
  add_minions (argv[5], clock_now ());
  ev_timer_init (&tick, on_tick, TICK_S, TICK_S);
  ev_timer_start (fleet.loop, &tick);
  ev_signal_init (&term, on_term, SIGTERM);
  ev_signal_start (fleet.loop, &term);
  ev_run (fleet.loop, 0);
  return 0;
}
