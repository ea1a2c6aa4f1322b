/** @file
 * Stand-in of the platform for the cases 6 to 10: the project's own stand-in
 * of the store (standin/fleet_store.c), minions of its own, and a control
 * address by which a case brings about what happens to single minions.
 *
 * The minions do what PROTOCOL.md says of "Running tasks" and "Service
 * discovery".  A task takes the milliseconds that its spec names as "ms=N"; one
 * whose spec contains "lasts" is at work until it is stopped.  Each event is
 * written as a line of JSON to standard output.
 *
 * Control calls, all POST:
 *   /crash?minion=ID&down_ms=N                 down now, up again after N ms
 *   /flap?minion=ID&period_ms=N&for_ms=N       down and up by turns
 */
#include "fleet.h"
#include "net/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define TICK_S 0.005
#define HEARTBEAT (1500 * USEC_PER_MSEC)
#define LEASE_MS 6000
#define MILLICORES 16000
#define MEMORY_MB 64000
#define PER_RACK 6U
#define MINIONS_MAX 64U

typedef struct
{
  char *task;
  uint32_t run;
  int64_t millicores;
  usec_t since;
  usec_t ends;
  bool lasts;
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
  char id[16];
  char kind[8];
  uint32_t index;
  char address[64];
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
  uint32_t sequence;
  usec_t report_due;
  usec_t up_at;
  usec_t flap_until;
  usec_t flap_half;
  usec_t flap_due;
} minion_t;

static fleet_t fleet;
static minion_t minions[MINIONS_MAX];
static uint32_t minion_count;
static uint16_t minion_port;
static uint32_t start_count;

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
  m->token = m->last_end = 0;
  m->lease_until = 0;
  m->sequence = 0;
  m->report_due = now;
  event ("up", m->id, "", 0, m->kind);
}

static void
crash (minion_t *m, usec_t now, usec_t down)
{
  if (!m->httpd)
    return;
  event ("down", m->id, "", 0, "");
  for (guint i = 0; i < m->runs->len; i++)
    {
      run_t *run = &g_array_index (m->runs, run_t, i);

      event ("gone", m->id, run->task, run->run, "with its minion");
      g_free (run->task);
    }
  for (guint i = 0; i < m->ends->len; i++)
    g_free (g_array_index (m->ends, end_t, i).task);
  g_array_set_size (m->runs, 0);
  g_array_set_size (m->ends, 0);
  g_array_set_size (m->holds, 0);
  g_hash_table_remove_all (m->highest);
  httpd_free (m->httpd);
  m->httpd = NULL;
  m->up_at = now + down;
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
      "service", "s", "address", m->address, "zone", zone, "version", "1",
      "state", "ready", "slots", 8, "cold_remaining_ms", 0, "sequence",
      (int)++m->sequence, "born", (json_int_t)m->born_ms, "capacity", "cpu",
      MILLICORES, "mem_mb", MEMORY_MB, "gpu", 0, "labels", m->kind, rack);
  text = json_dumps (entry, JSON_COMPACT);
  fleet_store_put (fleet.store, "keyed.servers", m->id, text);
  free (text);
  json_decref (entry);
}

/* --- Runs --- */

static void
end_run (minion_t *m, guint index, const char *how)
{
  run_t run = g_array_index (m->runs, run_t, index);
  end_t end = { ++m->last_end, run.task, run.run, how };

  event ("end", m->id, run.task, run.run, how);
  g_hash_table_replace (m->highest, g_strdup (run.task),
                        GUINT_TO_POINTER (run.run));
  g_array_append_val (m->ends, end);
  g_array_remove_index (m->runs, index);
}

static const char *
start (minion_t *m, const json_t *body, usec_t now)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (body, "run_id"));
  int64_t lease = json_integer_value (json_object_get (body, "expiry_ms"));
  const char *ms = spec ? strstr (spec, "ms=") : NULL;
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
  run.lasts = strstr (spec, "lasts") != NULL;
  run.ends = run.lasts
                 ? INT64_MAX
                 : now
                       + (ms ? g_ascii_strtoll (ms + 3, NULL, 10) : 500)
                             * USEC_PER_MSEC;
  run.task = g_strdup (task);
  g_array_append_val (m->runs, run);
  start_count++;
  event ("start", m->id, task, number, spec);
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
    if (strcmp (g_array_index (m->runs, run_t, i - 1).task, task) == 0
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
      g_free (g_array_index (m->ends, end_t, 0).task);
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
      int percent
          = run->lasts ? 100
                       : (int)((now - run->since) * 99
                               / MAX (run->ends - run->since, 1));

      json_array_append_new (running,
                             json_pack ("[s, i, s, i, i]", run->task,
                                        (int)run->run, "", percent, 1000));
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
  json_t *body
      = json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (m, now));

  if (reason)
    json_object_set_new (body, "reason", json_string (reason));
  fleet_answer (m->httpd, http, status, body);
}

static void
extend_lease (minion_t *m, int64_t lease, usec_t now)
{
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

/* --- Control --- */

static httpd_t *control;

static usec_t
query_ms (handle_t http, const char *name)
{
  const char *text = httpd_query (control, http, name);

  return (text ? g_ascii_strtoll (text, NULL, 10) : 0) * USEC_PER_MSEC;
}

static void
on_control (void *ctx, const httpd_request_t *request)
{
  usec_t now = clock_now ();
  const char *id = httpd_query (control, request->handle, "minion");
  int status = 404;

  (void)ctx;
  for (uint32_t i = 0; i < minion_count; i++)
    {
      minion_t *m = &minions[i];

      if (!id || strcmp (m->id, id) != 0)
        continue;
      status = 200;
      if (strcmp (request->path, "/crash") == 0)
        crash (m, now, query_ms (request->handle, "down_ms"));
      else if (strcmp (request->path, "/flap") == 0)
        {
          m->flap_half = query_ms (request->handle, "period_ms") / 2;
          m->flap_until = now + query_ms (request->handle, "for_ms");
          m->flap_due = now;
        }
      else
        status = 404;
    }
  fleet_answer (control, request->handle, status, json_object ());
}

static const httpd_ops_t control_ops = { .request = on_control };

/* --- Time --- */

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
  if (now >= m->report_due)
    report (m, now);
  for (guint i = m->runs->len; i > 0; i--)
    if (clock_ms (m, now) > m->lease_until)
      end_run (m, i - 1, "lapsed");
    else if (now >= g_array_index (m->runs, run_t, i - 1).ends)
      end_run (m, i - 1, "done");
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
  fleet_store_tick (fleet.store, now);
}

static void
on_term (EV_P_ ev_signal *signal, int events)
{
  (void)signal;
  (void)events;
  ev_break (EV_A_ EVBREAK_ALL);
}

/* Two queues with a path each, of two members of the cooperative. */
static const char config[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"q1\",\"host\":\"one.example\",\"path_prefix\":\"/q1/\","
      "\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":0,"
      "\"service\":\"s\",\"attempts\":3,\"stretch\":2},"
      "{\"name\":\"q2\",\"host\":\"two.example\",\"path_prefix\":\"/q2/\","
      "\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":2,"
      "\"service\":\"s\",\"attempts\":3,\"stretch\":2}],"
      "\"services\":[{\"name\":\"s\",\"rejects_overload\":true}],"
      "\"limits\":{}}";

/* Minions as "KIND:COUNT,KIND:COUNT". */
static void
add_minions (const char *list, usec_t now)
{
  char **kinds = g_strsplit (list, ",", -1);

  for (char **kind = kinds; *kind; kind++)
    {
      char **parts = g_strsplit (*kind, ":", 2);
      gint64 count = parts[1] ? g_ascii_strtoll (parts[1], NULL, 10) : 1;

      for (gint64 k = 0; k < count && minion_count < MINIONS_MAX; k++)
        {
          minion_t *m = &minions[minion_count];

          m->index = minion_count++;
          g_snprintf (m->id, sizeof m->id, "i-%u", m->index);
          g_strlcpy (m->kind, parts[0], sizeof m->kind);
          g_snprintf (m->address, sizeof m->address, "%s:%u",
                      fleet.config.host, minion_port + m->index);
          m->runs = g_array_new (FALSE, FALSE, sizeof (run_t));
          m->ends = g_array_new (FALSE, FALSE, sizeof (end_t));
          m->holds = g_array_new (FALSE, FALSE, sizeof (hold_t));
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

  if (argc != 6)
    {
      fprintf (stderr, "usage: minions HOST STORE-PORT MINION-PORT"
                       " CONTROL-PORT KIND:COUNT,...\n");
      return 2;
    }
  fleet.config.host = argv[1];
  fleet.config.partitions = 12;
  fleet.loop = ev_default_loop (EVFLAG_AUTO);
  fleet.random = g_rand_new_with_seed (1);
  minion_port = (uint16_t)g_ascii_strtoull (argv[3], NULL, 10);
  fleet.httpd = listen_at ((uint16_t)g_ascii_strtoull (argv[2], NULL, 10),
                           &fleet_store_ops);
  control = listen_at ((uint16_t)g_ascii_strtoull (argv[4], NULL, 10),
                       &control_ops);
  fleet.store = fleet_store_new (&fleet);
  fleet_store_put (fleet.store, "keyed.op", "config", config);
  add_minions (argv[5], clock_now ());
  ev_timer_init (&tick, on_tick, TICK_S, TICK_S);
  ev_timer_start (fleet.loop, &tick);
  ev_signal_init (&term, on_term, SIGTERM);
  ev_signal_start (fleet.loop, &term);
  ev_run (fleet.loop, 0);
  return 0;
}
