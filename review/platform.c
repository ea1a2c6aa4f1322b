/** @file
 * Stand-in of the users' platform for the cases of the review: the store of
 * standin/fleet_store.c, and minions that a script takes down and up.
 *
 * The script sends "POST /stage/COMMAND?..." to the store's address:
 *   up?minion=N&kind=LABEL&cpu=MILLICORES   a new life of the minion, same id
 *   down?minion=N                           it crashes and refuses connections
 *   restart?minion=N&down=MS                it crashes as it has answered a hold
 *                                           with an end, and is back MS later
 *   flap?minion=N&up=MS&down=MS&for=MS      down and up by turns, then up
 *   store?state=up|busy|silent|partly|late  503 to each call, no answer, 503 to
 *                                           appends to keyed.work, or appends
 *                                           without a producer done delay=MS
 *                                           later and not answered
 *   grey?minion=N&for=MS                    all that it runs fails soon
 * The spec of a job is "DURATION_MS MILLICORES", with the number of members
 * behind it if it is a gang; tasks with the duration 0 last until a stop.  Standard output gets a line for each call that changes something and for each end.
 */
#include "fleet.h"
#include "net/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define TICK_S 0.005
#define MAX_MINIONS 128U
#define MAX_HOLD_MS 6000
#define HEARTBEAT (1500 * USEC_PER_MSEC)
#define MEMORY_MB 128000
#define FIRST_MINION_PORT 100U
#define STARTUP (200 * USEC_PER_MSEC)
/* The list of minions lags behind what they report. */
#define DISCOVERY_LAG (800 * USEC_PER_MSEC)
#define PROXY_PORTS 200U
/* From an answer to the crash. */
#define CRASH_DELAY (20 * USEC_PER_MSEC)
#define GANG_TIMEOUT (3000 * USEC_PER_MSEC)
/* A grey minion fails a run so long after its start. */
#define GREY_FAILS_AFTER (300 * USEC_PER_MSEC)
/* From the end of a member until the others know. */
#define GANG_BREAK_DELAY (20 * USEC_PER_MSEC)

/* One run of a gang. */
typedef struct
{
  uint32_t members;
  uint32_t present;
  usec_t works_since; /* 0: members are missing */
  usec_t broken_at;   /* 0: no member has ended other than done */
} gang_t;

typedef struct
{
  char *task;
  gang_t *gang; /* NULL: none */
  uint32_t run;
  uint32_t millicores;
  usec_t since;
  usec_t duration;
} stage_run_t;

typedef struct
{
  uint64_t number;
  char *task;
  uint32_t run;
  const char *how;
} stage_end_t;

typedef struct
{
  handle_t http;
  usec_t until;
} stage_hold_t;

typedef struct
{
  uint32_t index;
  httpd_t *httpd; /* NULL: down */
  char id[16];
  char address[64];        /* where it listens */
  char public_address[64]; /* of its entry, the same or that of a proxy */
  char kind[16];
  uint32_t millicores;
  usec_t born;
  int64_t born_ms;
  uint64_t token;
  int64_t lease_until;
  uint64_t last_end;
  uint32_t sequence;
  usec_t heartbeat_due;
  uint32_t lives;
  bool listed; /* has an entry, which is removed after three intervals */
  GArray *runs;
  GArray *ends;
  GArray *holds;
  GHashTable *highest; /* task -> run stopped or ended */
  usec_t grey_end; /* it fails all that it runs until then */
  usec_t restart_down; /* it crashes after the next end that it tells */
  usec_t flap_end;
  usec_t flap_due;
  usec_t flap_up;
  usec_t flap_down;
} minion_t;

typedef enum
{
  STORE_UP,
  STORE_BUSY,
  STORE_SILENT,
  STORE_PARTLY,
  STORE_LATE
} store_state_t;

/* A call to the store that is done later; its client has gone by then. */
typedef struct
{
  httpd_request_t request;
  usec_t due;
} late_append_t;

static fleet_t fleet = { .config = { .seed = 1, .partitions = 12 } };
static minion_t minions[MAX_MINIONS];
static uint32_t minion_count = 10;
static uint32_t rack_size = 2;
static int behind_proxy = -1; /* minion */
static char **special_racks; /* their minions are of kind b */
static gboolean guarded = TRUE;
static GHashTable *gangs; /* step and run -> gang_t */
static store_state_t store_state;
static GArray *silenced; /* handle_t */
static GArray *late_appends;
static usec_t late_delay;

static void record (const char *format, ...) G_GNUC_PRINTF (1, 2);
static void on_minion_request (void *ctx, const httpd_request_t *request);
static void on_minion_abandoned (void *ctx, handle_t handle);
static const httpd_ops_t minion_ops
    = { on_minion_request, on_minion_abandoned };

static void
record (const char *format, ...)
{
  va_list args;

  printf ("%.3f ", (double)g_get_real_time () / 1e6);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
  fflush (stdout);
}

static int64_t
clock_ms (const minion_t *m, usec_t now)
{
  return usec_to_msec (now - m->born) + 1;
}

/* --- Life of a minion --- */

static void
forget (minion_t *m)
{
  for (guint i = 0; i < m->runs->len; i++)
    g_free (g_array_index (m->runs, stage_run_t, i).task);
  for (guint i = 0; i < m->ends->len; i++)
    g_free (g_array_index (m->ends, stage_end_t, i).task);
  g_array_set_size (m->runs, 0);
  g_array_set_size (m->ends, 0);
  g_array_set_size (m->holds, 0);
  g_hash_table_remove_all (m->highest);
  m->token = m->last_end = 0;
  m->lease_until = 0;
  m->sequence = 0;
}

static void
go_up (minion_t *m)
{
  httpd_config_t config = { .address = m->address,
                            .max_connections = 64,
                            .max_body = 65536,
                            .timeout = 60 * USEC_PER_SEC };
  err_t err = { 0 };

  if (m->httpd)
    return;
  m->born = clock_now ();
  m->born_ms = g_get_real_time () / 1000;
  m->httpd = httpd_new (fleet.loop, &config, &minion_ops, m, &err);
  if (!m->httpd)
    {
      record ("stage minion=%s cannot listen: %s", m->id, err.text);
      return;
    }
  m->heartbeat_due = m->lives++ ? m->born + DISCOVERY_LAG : 0;
  record ("minion %s up kind=%s cpu=%u born=%" PRId64, m->id, m->kind,
          m->millicores, m->born_ms);
}

static void
go_down (minion_t *m)
{
  if (!m->httpd)
    return;
  record ("minion %s crashes with %u runs", m->id, m->runs->len);
  for (guint i = 0; i < m->runs->len; i++)
    {
      const stage_run_t *run = &g_array_index (m->runs, stage_run_t, i);

      record ("minion %s lost task=%s run=%u", m->id, run->task, run->run);
      if (run->gang && !run->gang->broken_at)
        run->gang->broken_at = clock_now ();
    }
  httpd_free (m->httpd);
  m->httpd = NULL;
  forget (m);
}

static void
heartbeat (minion_t *m, usec_t now)
{
  char rack[16];
  json_t *entry;
  char *text;

  if (!m->httpd && m->listed && now >= m->heartbeat_due + 2 * HEARTBEAT
      && store_state == STORE_UP)
    {
      m->listed = false;
      fleet_store_put (fleet.store, "keyed.servers", m->id, "");
      record ("entry of %s is removed", m->id);
    }
  if (!m->httpd || now < m->heartbeat_due)
    return;
  m->heartbeat_due = now + HEARTBEAT;
  if (store_state == STORE_BUSY || store_state == STORE_SILENT)
    return;
  g_snprintf (rack, sizeof rack, "r%u", m->index / rack_size);
  m->listed = true;
  entry = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, "
      "s:I, s:i}",
      "service", "s", "address", m->public_address, "zone", "z", "version", "v1",
      "slots", 8, "state", "ready", "cold_remaining_ms", 0, "capacity", "cpu",
      (int)m->millicores, "mem_mb", MEMORY_MB, "gpu", 0, "labels", m->kind,
      rack, "clock_ms", (json_int_t)clock_ms (m, now), "born",
      (json_int_t)m->born_ms, "sequence", (int)++m->sequence);
  text = json_dumps (entry, JSON_COMPACT);
  fleet_store_put (fleet.store, "keyed.servers", m->id, text);
  free (text);
  json_decref (entry);
}

static void
end_run (minion_t *m, guint index, const char *how)
{
  stage_run_t run = g_array_index (m->runs, stage_run_t, index);
  stage_end_t end = { ++m->last_end, run.task, run.run, how };

  record ("minion %s end task=%s run=%u how=%s", m->id, run.task, run.run,
          how);
  if (run.gang && !run.gang->broken_at && strcmp (how, "done") != 0)
    run.gang->broken_at = clock_now ();
  g_hash_table_replace (m->highest, g_strdup (run.task),
                        GUINT_TO_POINTER (run.run));
  g_array_append_val (m->ends, end);
  g_array_remove_index (m->runs, index);
}

/* --- Calls --- */

/* Tasks that last are at work STARTUP after their start. */
static int
percent (const stage_run_t *run, usec_t now)
{
  if (!run->duration)
    return now - run->since >= STARTUP ? 100 : 0;
  return (int)((now - run->since) * 100 / run->duration);
}

static json_t *
lists (const minion_t *m, usec_t now)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();

  for (guint i = 0; i < m->runs->len; i++)
    {
      const stage_run_t *run = &g_array_index (m->runs, stage_run_t, i);

      json_array_append_new (
          running,
          json_pack ("[s, i, s, i, i]", run->task, (int)run->run, "",
                     percent (run, now), 1000));
    }
  for (guint i = 0; i < m->ends->len; i++)
    {
      const stage_end_t *end = &g_array_index (m->ends, stage_end_t, i);

      json_array_append_new (ended,
                             json_pack ("[I, s, i, s, s]",
                                        (json_int_t)end->number, end->task,
                                        (int)end->run, end->how, ""));
    }
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms",
                    (json_int_t)clock_ms (m, now), "born",
                    (json_int_t)m->born_ms, "running", running, "ended",
                    ended);
}

static void
answer (minion_t *m, handle_t http, int status, const char *reason)
{
  json_t *body = json_pack ("{s:I}", "clock_ms",
                            (json_int_t)clock_ms (m, clock_now ()));

  if (reason)
    json_object_set_new (body, "reason", json_string (reason));
  fleet_answer (m->httpd, http, status, body);
}

static gang_t *
gang_of (const char *task, uint32_t run, uint32_t members)
{
  char *key = g_strdup_printf ("%.*s/%u", (int)(strrchr (task, '.') - task),
                               task, run);
  gang_t *gang = g_hash_table_lookup (gangs, key);

  if (gang)
    g_free (key);
  else
    {
      gang = g_new0 (gang_t, 1);
      gang->members = members;
      g_hash_table_insert (gangs, key, gang);
    }
  if (++gang->present == members)
    gang->works_since = clock_now ();
  return gang;
}

static uint32_t
cores_in_use (const minion_t *m)
{
  uint32_t used = 0;

  for (guint i = 0; i < m->runs->len; i++)
    used += g_array_index (m->runs, stage_run_t, i).millicores;
  return used;
}

/* @return NULL if the run is there, else why not */
static const char *
start (minion_t *m, const json_t *body, usec_t now)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (body, "run_id"));
  unsigned duration_ms = 1000;
  unsigned millicores = 1000;
  unsigned members = 0;
  stage_run_t run;

  if (!task || !spec)
    return "invalid";
  (void)sscanf (spec, "%u %u %u", &duration_ms, &millicores, &members);
  for (guint i = 0; i < m->runs->len; i++)
    if (strcmp (g_array_index (m->runs, stage_run_t, i).task, task) == 0
        && g_array_index (m->runs, stage_run_t, i).run == number)
      return NULL;
  if (GPOINTER_TO_UINT (g_hash_table_lookup (m->highest, task)) >= number)
    return "old";
  if (json_integer_value (json_object_get (body, "expiry_ms"))
      <= clock_ms (m, now))
    return "late";
  if (guarded && cores_in_use (m) + millicores > m->millicores)
    return "room";
  run = (stage_run_t){ g_strdup (task),
                       members ? gang_of (task, number, members) : NULL,
                       number,
                       millicores,
                       now,
                       duration_ms * USEC_PER_MSEC };
  g_array_append_val (m->runs, run);
  record ("minion %s start task=%s run=%u kind=%s used=%u/%u spec=\"%s\"",
          m->id, task, number, m->kind, cores_in_use (m), m->millicores,
          spec);
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
  record ("minion %s stop task=%s run=%u", m->id, task, number);
  for (guint i = m->runs->len; i > 0; i--)
    if (strcmp (g_array_index (m->runs, stage_run_t, i - 1).task, task) == 0
        && g_array_index (m->runs, stage_run_t, i - 1).run == number)
      end_run (m, i - 1, "stopped");
  highest = GPOINTER_TO_UINT (g_hash_table_lookup (m->highest, task));
  g_hash_table_replace (m->highest, g_strdup (task),
                        GUINT_TO_POINTER (MAX (highest, number)));
}

static void
on_minion_request (void *ctx, const httpd_request_t *request)
{
  minion_t *m = ctx;
  usec_t now = clock_now ();
  const char *meant
      = httpd_header (m->httpd, request->handle, "Expected-Instance");
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));
  int64_t lease = json_integer_value (json_object_get (body, "expiry_ms"));
  const char *reason = NULL;

  if (meant && strcmp (meant, m->id) != 0)
    answer (m, request->handle, 421, NULL);
  else if (!body)
    answer (m, request->handle, 400, NULL);
  else if (token < m->token)
    answer (m, request->handle, 409, "fence");
  else
    {
      m->token = token;
      lease = MIN (lease, clock_ms (m, now) + MAX_HOLD_MS);
      if (strcmp (request->path, "/-/run-start") == 0)
        {
          reason = start (m, body, now);
          if (!reason || strcmp (reason, "late") != 0)
            m->lease_until = MAX (m->lease_until, lease);
          answer (m, request->handle, reason ? 409 : 200, reason);
        }
      else if (strcmp (request->path, "/-/run-stop") == 0)
        {
          stop (m, body);
          answer (m, request->handle, 200, NULL);
        }
      else if (strcmp (request->path, "/-/hold") == 0)
        {
          uint64_t seen = (uint64_t)json_integer_value (
              json_object_get (body, "last_seen"));
          stage_hold_t hold
              = { request->handle,
                  now
                      + json_integer_value (json_object_get (body, "wait_ms"))
                            * USEC_PER_MSEC };

          m->lease_until = MAX (m->lease_until, lease);
          while (m->ends->len
                 && g_array_index (m->ends, stage_end_t, 0).number <= seen)
            {
              stage_end_t end = g_array_index (m->ends, stage_end_t, 0);

              record ("minion %s end noted task=%s run=%u", m->id, end.task,
                      end.run);
              g_free (end.task);
              g_array_remove_index (m->ends, 0);
            }
          g_array_append_val (m->holds, hold);
        }
      else
        answer (m, request->handle, 404, NULL);
    }
  json_decref (body);
}

static void
on_minion_abandoned (void *ctx, handle_t handle)
{
  minion_t *m = ctx;

  for (guint i = m->holds->len; i > 0; i--)
    if (g_array_index (m->holds, stage_hold_t, i - 1).http == handle)
      g_array_remove_index_fast (m->holds, i - 1);
}

static void
flap (minion_t *m, usec_t now)
{
  if (!m->flap_due || now < m->flap_due)
    return;
  if (now >= m->flap_end)
    {
      m->flap_due = 0;
      go_up (m);
    }
  else if (m->httpd)
    {
      go_down (m);
      m->flap_due = now + m->flap_down;
    }
  else
    {
      go_up (m);
      m->flap_due = now + m->flap_up;
    }
}

/* @return how the run ends now, NULL if it goes on */
static const char *
run_ends (const minion_t *m, const stage_run_t *run, usec_t now)
{
  const gang_t *gang = run->gang;
  usec_t since = gang ? gang->works_since : run->since;

  if (clock_ms (m, now) > m->lease_until)
    return "lapsed";
  if (now < m->grey_end && now - run->since >= GREY_FAILS_AFTER)
    return "failed";
  if (gang && gang->broken_at && now - gang->broken_at >= GANG_BREAK_DELAY)
    return "broken";
  if (gang && !since && now - run->since >= GANG_TIMEOUT)
    return "alone";
  return since && run->duration && now - since >= run->duration ? "done"
                                                                : NULL;
}

static void
minion_tick (minion_t *m, usec_t now)
{
  flap (m, now);
  heartbeat (m, now);
  if (!m->httpd)
    return;
  for (guint i = m->runs->len; i > 0; i--)
    {
      const char *how
          = run_ends (m, &g_array_index (m->runs, stage_run_t, i - 1), now);

      if (how)
        end_run (m, i - 1, how);
    }
  for (guint i = m->holds->len; i > 0; i--)
    {
      stage_hold_t hold = g_array_index (m->holds, stage_hold_t, i - 1);

      if (!m->ends->len && now < hold.until)
        continue;
      g_array_remove_index_fast (m->holds, i - 1);
      fleet_answer (m->httpd, hold.http, 200, lists (m, now));
      if (!m->ends->len || !m->restart_down)
        continue;
      record ("minion %s tells %u ends, the last is %s", m->id, m->ends->len,
              g_array_index (m->ends, stage_end_t, m->ends->len - 1).task);
      m->flap_due = now + CRASH_DELAY;
      m->flap_down = m->restart_down;
      m->flap_end = m->flap_due + m->flap_down;
      m->restart_down = 0;
    }
}

/* --- Store and commands --- */

static uint32_t
number_of (handle_t http, const char *name, uint32_t preset)
{
  const char *text = httpd_query (fleet.httpd, http, name);

  return text ? (uint32_t)g_ascii_strtoull (text, NULL, 10) : preset;
}

static void
set_store (const char *state)
{
  store_state = strcmp (state, "busy") == 0     ? STORE_BUSY
                : strcmp (state, "silent") == 0 ? STORE_SILENT
                : strcmp (state, "partly") == 0 ? STORE_PARTLY
                : strcmp (state, "late") == 0   ? STORE_LATE
                                                : STORE_UP;
  record ("store %s", state);
  if (store_state != STORE_UP)
    return;
  for (guint i = 0; i < silenced->len; i++)
    fleet_answer (fleet.httpd, g_array_index (silenced, handle_t, i), 503,
                  json_object ());
  g_array_set_size (silenced, 0);
}

static void
on_command (const char *name, handle_t http)
{
  minion_t *m = &minions[number_of (http, "minion", 0) % MAX_MINIONS];
  const char *kind = httpd_query (fleet.httpd, http, "kind");
  const char *state = httpd_query (fleet.httpd, http, "state");

  if (strcmp (name, "up") == 0)
    {
      if (kind)
        g_strlcpy (m->kind, kind, sizeof m->kind);
      m->millicores = number_of (http, "cpu", m->millicores);
      go_up (m);
    }
  else if (strcmp (name, "down") == 0)
    go_down (m);
  else if (strcmp (name, "restart") == 0)
    m->restart_down = number_of (http, "down", 250) * USEC_PER_MSEC;
  else if (strcmp (name, "grey") == 0)
    {
      m->grey_end = clock_now () + number_of (http, "for", 1000) * USEC_PER_MSEC;
      record ("minion %s fails what it runs", m->id);
    }
  else if (strcmp (name, "flap") == 0)
    {
      m->flap_up = number_of (http, "up", 700) * USEC_PER_MSEC;
      m->flap_down = number_of (http, "down", 700) * USEC_PER_MSEC;
      m->flap_due = clock_now ();
      m->flap_end
          = m->flap_due + number_of (http, "for", 6500) * USEC_PER_MSEC;
    }
  else if (strcmp (name, "store") == 0)
    {
      late_delay = number_of (http, "delay", 5000) * USEC_PER_MSEC;
      set_store (state ? state : "up");
    }
  fleet_answer (fleet.httpd, http, 200, json_object ());
}

static void
append_later (const httpd_request_t *request)
{
  late_append_t late = { *request, clock_now () + late_delay };

  late.request.path = g_strdup (request->path);
  late.request.method = g_strdup (request->method);
  late.request.body.data
      = g_memdup2 (request->body.data, request->body.len);
  g_array_append_val (late_appends, late);
  record ("store leaves an append of %u bytes without answer",
          request->body.len);
}

static void
do_late_appends (usec_t now)
{
  for (guint i = 0; i < late_appends->len; i++)
    {
      late_append_t late = g_array_index (late_appends, late_append_t, i);

      if (now < late.due)
        continue;
      record ("store does an append of %u bytes late", late.request.body.len);
      fleet_store_ops.request (&fleet, &late.request);
      g_free ((char *)late.request.path);
      g_free ((char *)late.request.method);
      g_free ((char *)late.request.body.data);
      g_array_remove_index (late_appends, i--);
    }
}

static void
on_store_request (void *ctx, const httpd_request_t *request)
{
  if (g_str_has_prefix (request->path, "/stage/"))
    on_command (request->path + strlen ("/stage/"), request->handle);
  else if (store_state == STORE_BUSY
           || (store_state == STORE_PARTLY
               && strcmp (request->path, "/-/log-append") == 0
               && g_strcmp0 (httpd_query (fleet.httpd, request->handle,
                                          "topic"),
                             "keyed.work")
                      == 0))
    fleet_answer (fleet.httpd, request->handle, 503, json_object ());
  else if (store_state == STORE_LATE
           && strcmp (request->path, "/-/log-append") == 0
           && !httpd_query (fleet.httpd, request->handle, "producer"))
    append_later (request);
  else if (store_state == STORE_SILENT)
    g_array_append_val (silenced, request->handle);
  else
    fleet_store_ops.request (ctx, request);
}

static void
on_store_abandoned (void *ctx, handle_t handle)
{
  for (guint i = silenced->len; i > 0; i--)
    if (g_array_index (silenced, handle_t, i - 1) == handle)
      g_array_remove_index_fast (silenced, i - 1);
  fleet_store_ops.abandoned (ctx, handle);
}

static void
on_tick (EV_P_ ev_timer *timer, int events)
{
  usec_t now = clock_now ();

  (void)loop;
  (void)timer;
  (void)events;
  do_late_appends (now);
  for (uint32_t i = 0; i < minion_count; i++)
    minion_tick (&minions[i], now);
  if (store_state != STORE_BUSY && store_state != STORE_SILENT)
    fleet_store_tick (fleet.store, now);
}

static void
put_config (void)
{
  char *text = g_strdup_printf (
      "{\"version\":7,\"routes\":["
      "{\"name\":\"r-1\",\"host\":\"jobs.example\",\"path_prefix\":\"/plate/\""
      ",\"route_type\":\"non_idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":1000,\"priority\":2,\"service\":\"s\","
      "\"attempts\":2,\"stretch\":2.0},"
      "{\"name\":\"r-2\",\"host\":\"jobs.example\",\"path_prefix\":\"/proof/\""
      ",\"route_type\":\"non_idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":250,\"priority\":0,\"service\":\"s\","
      "\"attempts\":2,\"stretch\":1.5}],"
      "\"services\":[{\"name\":\"s\",\"health_path\":\"/health\","
      "\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,"
      "\"rejects_overload\":%s,\"standby\":false}],\"limits\":{}}",
      guarded ? "true" : "false");

  fleet_store_put (fleet.store, "keyed.op", "config", text);
  g_free (text);
}

static void
open_minion (uint32_t index)
{
  minion_t *m = &minions[index];
  char rack[16];

  m->index = index;
  g_snprintf (m->id, sizeof m->id, "i-%08x", 0x7f3a9100U + index);
  g_snprintf (m->address, sizeof m->address, "%s:%u", fleet.config.host,
              fleet.config.store_port + FIRST_MINION_PORT + index);
  g_snprintf (m->public_address, sizeof m->public_address, "%s:%u",
              fleet.config.host,
              fleet.config.store_port + FIRST_MINION_PORT + index
                  + ((int)index == behind_proxy ? PROXY_PORTS : 0));
  g_snprintf (rack, sizeof rack, "%u", index / rack_size);
  g_strlcpy (m->kind,
             special_racks
                     ? g_strv_contains ((const char *const *)special_racks,
                                        rack)
                           ? "b"
                           : "a"
             : index ? "a"
                     : "b",
             sizeof m->kind);
  m->millicores = 32000;
  m->runs = g_array_new (FALSE, FALSE, sizeof (stage_run_t));
  m->ends = g_array_new (FALSE, FALSE, sizeof (stage_end_t));
  m->holds = g_array_new (FALSE, FALSE, sizeof (stage_hold_t));
  m->highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  go_up (m);
}

int
main (int argc, char **argv)
{
  static const httpd_ops_t store_ops = { on_store_request, on_store_abandoned };
  int port = 0;
  int count = 10;
  int rack = 2;
  char *special = NULL;
  char *host = NULL;
  gboolean unguarded = FALSE;
  GOptionEntry entries[] = {
    { "host", 0, 0, G_OPTION_ARG_STRING, &host, "Address of all ports", "IP" },
    { "port", 0, 0, G_OPTION_ARG_INT, &port, "Port of the store", "PORT" },
    { "minions", 0, 0, G_OPTION_ARG_INT, &count, "Minions", "N" },
    { "rack", 0, 0, G_OPTION_ARG_INT, &rack, "Minions of a rack", "N" },
    { "special", 0, 0, G_OPTION_ARG_STRING, &special,
      "Racks whose minions are of kind b, else minion 0 is", "N,..." },
    { "proxy", 0, 0, G_OPTION_ARG_INT, &behind_proxy,
      "Minion that is reached 200 ports above its own", "N" },
    { "unguarded", 0, 0, G_OPTION_ARG_NONE, &unguarded,
      "Minions start what does not fit", NULL },
    G_OPTION_ENTRY_NULL
  };
  GOptionContext *context = g_option_context_new ("");
  char address[64];
  httpd_config_t config = { .address = address,
                            .max_connections = 1024,
                            .max_body = 4U << 20,
                            .timeout = 60 * USEC_PER_SEC };
  ev_timer tick;
  err_t err = { 0 };

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || !host || !port)
    return 64;
  minion_count = CLAMP ((uint32_t)count, 1, MAX_MINIONS);
  guarded = !unguarded;
  rack_size = (uint32_t)MAX (rack, 1);
  special_racks = special ? g_strsplit (special, ",", -1) : NULL;
  fleet.loop = ev_default_loop (EVFLAG_AUTO);
  fleet.random = g_rand_new_with_seed (1);
  fleet.config.host = host;
  fleet.config.store_port = (uint16_t)port;
  late_appends = g_array_new (FALSE, FALSE, sizeof (late_append_t));
  silenced = g_array_new (FALSE, FALSE, sizeof (handle_t));
  gangs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_snprintf (address, sizeof address, "%s:%d", host, port);
  fleet.httpd = httpd_new (fleet.loop, &config, &store_ops, &fleet, &err);
  if (!fleet.httpd)
    {
      fprintf (stderr, "%s: %s\n", address, err.text);
      return 1;
    }
  fleet.store = fleet_store_new (&fleet);
  put_config ();
  for (uint32_t i = 0; i < minion_count; i++)
    open_minion (i);
  ev_timer_init (&tick, on_tick, TICK_S, TICK_S);
  ev_timer_start (fleet.loop, &tick);
  ev_run (fleet.loop, 0);
  return 0;
}
