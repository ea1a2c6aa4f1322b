/** @file
 * The workers of the stand-in, and the audit of what they are told.
 */
#include "fleet.h"
#include "net/clock.h"

#include <stdio.h>
#include <string.h>

#define LEASE_MS 6000
#define MEMORY_MB 32000
#define REPORTS_MOST 20U
#define LATE_LEAST_MS 1500
#define LATE_MOST_MS 5000
#define RUN_LEAST_MS 60
#define RUN_MOST_MS 900
#define LONG_RUN_MS 2500
/* Of calls during SPELL_LOSS and SPELL_LATE. */
#define SPELL_SHARE 0.5
/* A crashed worker refuses connections for this long. */
#define DOWN_LEAST_MS 1000
#define DOWN_MOST_MS 4000
/* The first task of a job with such a spec crashes each worker that starts it,
   this long after the start at most. */
#define DEADLY_SUFFIX " deadly"
#define DEADLY_MOST_MS 300
/* After so many crashes under a task so many starts are too many. */
#define DEADLY_CRASHES 3U
#define DEADLY_STARTS 3U

/* Tail of the response times of a task that serves: that of an idle one,
   divided by the share of its time that is left.  Each task that fills takes a
   share, each task has one core. */
#define IDLE_TAIL_MS 30.0
#define OWN_LOAD_LEAST 0.2
#define OWN_LOAD_MOST 0.5
#define LOAD_MOST 0.97

/* What the tasks of a job do; its spec has the word. */
typedef enum
{
  KIND_PLAIN,
  KIND_SERVES, /* until it is stopped */
  KIND_FILLS_MILD,
  KIND_FILLS_HARSH /* a task beside it is over its target */
} kind_t;

static const struct
{
  const char *word;
  double added_load; /* to each task that serves beside it */
} kinds[] = { [KIND_PLAIN] = { NULL, 0 },
              [KIND_SERVES] = { " serves", 0 },
              [KIND_FILLS_MILD] = { " mild", 0.01 },
              [KIND_FILLS_HARSH] = { " harsh", 0.5 } };

typedef struct
{
  char *task;
  uint32_t run;
  usec_t ends;
  kind_t kind;
  bool deadly;
} run_t;

typedef struct
{
  uint64_t number;
  char *task;
  uint32_t run;
  const char *how;
  uint32_t starts; /* of the task, until then */
} end_t;

typedef struct
{
  handle_t http;
  usec_t until;
  bool lost;
} hold_t;

/* A call that is carried out later. */
typedef struct
{
  usec_t at;
  bool starts; /* else a stop */
  char *body;
} late_t;

typedef struct
{
  workers_t *all;
  uint32_t index;
  httpd_t *httpd;
  char id[16]; /* another one after the worker has left */
  uint32_t left_count;
  char address[64];
  char inner[64]; /* where it listens, behind its path */
  usec_t born;
  int64_t born_ms;
  usec_t crash_at; /* 0: not due */
  usec_t down_until;
  uint64_t token;
  int64_t lease_until;
  GArray *runs;  /* run_t */
  GArray *ends;  /* end_t */
  GArray *holds; /* hold_t */
  GArray *late;  /* late_t */
  uint64_t last_end;
  uint64_t lapsed_end; /* last end before the lease last lapsed */
  GHashTable *highest; /* task -> run stopped or ended */
} worker_t;

/* What the audit knows of a task. */
typedef struct
{
  uint32_t running;
  uint32_t starts;
  bool done;
  bool confirmed;
  bool serves;           /* has to run until the end */
  uint32_t crashes;      /* of workers, under a deadly task */
  uint32_t starts_after; /* starts after DEADLY_CRASHES */
} task_t;

struct workers
{
  fleet_t *fleet;
  worker_t *rows;
  usec_t register_due;
  GHashTable *tasks; /* name -> task_t */
  GHashTable *specs; /* job -> text */
  uint32_t starts;
  uint32_t done;
  uint32_t lapsed;
  uint32_t crashes;
  uint32_t left;
  uint32_t dropped;
  uint32_t unhealthy;
  uint32_t fills;
  uint32_t deadly_starts; /* most starts of a task after DEADLY_CRASHES */
  uint32_t broken;
  json_t *reports;
};

static void check_capacity (const worker_t *w, const char *name, uint32_t run,
                            usec_t now);
static void on_request (void *ctx, const httpd_request_t *request);
static void on_abandoned (void *ctx, handle_t handle);
static void boot (worker_t *w, usec_t now);
static void clear (worker_t *w);
static const httpd_ops_t worker_ops
    = { .request = on_request, .abandoned = on_abandoned };

static int64_t
clock_ms (const worker_t *w, usec_t now)
{
  return usec_to_msec (now - w->born) + 1;
}

workers_t *
fleet_workers_new (fleet_t *fleet)
{
  workers_t *all = g_new0 (workers_t, 1);

  all->fleet = fleet;
  all->rows = g_new0 (worker_t, fleet->config.workers);
  all->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  all->specs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  all->reports = json_array ();
  for (uint32_t i = 0; i < fleet->config.workers; i++)
    {
      worker_t *w = &all->rows[i];

      w->all = all;
      w->index = i;
      g_snprintf (w->id, sizeof w->id, "i-%u", i);
      g_snprintf (w->address, sizeof w->address, "%s:%u", fleet->config.host,
                  fleet->config.worker_port + i);
      g_snprintf (w->inner, sizeof w->inner, "%s:%u", fleet->config.host,
                  fleet->config.worker_port + FLEET_INNER_PORTS + i);
      w->runs = g_array_new (FALSE, FALSE, sizeof (run_t));
      w->ends = g_array_new (FALSE, FALSE, sizeof (end_t));
      w->holds = g_array_new (FALSE, FALSE, sizeof (hold_t));
      w->late = g_array_new (FALSE, FALSE, sizeof (late_t));
      w->highest
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      boot (w, clock_now ());
    }
  return all;
}

static void
boot (worker_t *w, usec_t now)
{
  httpd_config_t config = { .address = w->inner,
                            .max_connections = 256,
                            .max_body = 65536,
                            .timeout = 60 * USEC_PER_SEC };
  err_t err = { 0 };

  w->born = now;
  w->born_ms = g_get_real_time () / USEC_PER_MSEC;
  w->httpd = httpd_new (w->all->fleet->loop, &config, &worker_ops, w, &err);
  if (!w->httpd)
    fprintf (stderr, "%s: %s\n", w->inner, err.text);
  fleet_path_open (w->all->fleet->paths, w->index, w->address, w->inner);
}

/* Forgets all that a life of the worker knew.  */
static void
clear (worker_t *w)
{
  for (guint k = 0; k < w->runs->len; k++)
    g_free (g_array_index (w->runs, run_t, k).task);
  for (guint k = 0; k < w->ends->len; k++)
    g_free (g_array_index (w->ends, end_t, k).task);
  for (guint k = 0; k < w->late->len; k++)
    g_free (g_array_index (w->late, late_t, k).body);
  g_array_set_size (w->runs, 0);
  g_array_set_size (w->ends, 0);
  g_array_set_size (w->holds, 0);
  g_array_set_size (w->late, 0);
  g_hash_table_remove_all (w->highest);
  w->token = 0;
  w->lease_until = 0;
  w->last_end = 0;
  w->lapsed_end = 0;
}

void
fleet_workers_free (workers_t *all)
{
  for (uint32_t i = 0; i < all->fleet->config.workers; i++)
    {
      worker_t *w = &all->rows[i];

      if (w->httpd)
        httpd_free (w->httpd);
      clear (w);
      g_array_free (w->runs, TRUE);
      g_array_free (w->ends, TRUE);
      g_array_free (w->holds, TRUE);
      g_array_free (w->late, TRUE);
      g_hash_table_destroy (w->highest);
    }
  g_hash_table_destroy (all->tasks);
  g_hash_table_destroy (all->specs);
  json_decref (all->reports);
  g_free (all->rows);
  g_free (all);
}

/* --- Audit --- */

static task_t *
task_of (workers_t *all, const char *name)
{
  task_t *task = g_hash_table_lookup (all->tasks, name);

  if (task)
    return task;
  task = g_new0 (task_t, 1);
  g_hash_table_insert (all->tasks, g_strdup (name), task);
  return task;
}

static void
broken (workers_t *all, const char *name, uint32_t run, const char *rule)
{
  fleet_log ("%s run %u: %s", name, run, rule);
  if (all->broken++ < REPORTS_MOST)
    json_array_append_new (all->reports,
                           json_sprintf ("%s run %u: %s", name, run, rule));
}

/* A spec lists the tasks of each step; each step follows the one before.  */
static void
check_order (workers_t *all, const char *name, uint32_t run, const char *spec)
{
  char job[17];
  unsigned occurrence;
  unsigned step;
  unsigned index;
  char **counts;

  if (sscanf (name, "%16[0-9a-f].%u.%u.%u", job, &occurrence, &step, &index)
          != 4
      || !step)
    return;
  counts = g_strsplit (spec, ",", -1);
  for (unsigned i = 0; g_strv_length (counts) >= step
                       && i < g_ascii_strtoull (counts[step - 1], NULL, 10);
       i++)
    {
      char *earlier
          = g_strdup_printf ("%s.%u.%u.%u", job, occurrence, step - 1, i);

      if (!task_of (all, earlier)->done)
        broken (all, name, run, "started before the step in front is done");
      g_free (earlier);
    }
  g_strfreev (counts);
}

static kind_t
kind_of (const char *spec)
{
  kind_t kind = KIND_PLAIN;

  for (size_t i = KIND_SERVES; i < G_N_ELEMENTS (kinds); i++)
    if (strstr (spec, kinds[i].word))
      kind = (kind_t)i;
  return kind;
}

/* Notes all tasks of a job that serves as soon as the first has started. */
static void
note_serving (workers_t *all, const char *name, const char *spec)
{
  char *job = g_strndup (name, strcspn (name, "."));
  guint64 count = g_ascii_strtoull (spec, NULL, 10);

  for (guint64 i = 0; i < count; i++)
    {
      char *task = g_strdup_printf ("%s.0.0.%" G_GUINT64_FORMAT, job, i);

      task_of (all, task)->serves = true;
      g_free (task);
    }
  g_free (job);
}

/* @return how many tasks that serve do not run */
static int
idle_count (const workers_t *all)
{
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_hash_table_iter_init (&iter, all->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const task_t *task = value;

      count += task->serves && !task->running;
    }
  return count;
}

json_t *
fleet_workers_audit (const workers_t *all)
{
  return json_pack (
      "{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:O}",
      "broken", (int)all->broken, "starts", (int)all->starts, "done",
      (int)all->done, "lapsed", (int)all->lapsed, "crashes", (int)all->crashes,
      "left", (int)all->left, "resets",
      (int)fleet_paths_resets (all->fleet->paths), "dropped",
      (int)all->dropped, "unhealthy", (int)all->unhealthy, "deadly_starts",
      (int)all->deadly_starts, "fills", (int)all->fills, "idle",
      idle_count (all), "reports", all->reports);
}

uint32_t
fleet_workers_starts (const workers_t *all, const char *job)
{
  GHashTableIter iter;
  gpointer name;
  gpointer data;
  size_t len = strlen (job);
  uint32_t starts = 0;

  g_hash_table_iter_init (&iter, all->tasks);
  while (g_hash_table_iter_next (&iter, &name, &data))
    if (strncmp (name, job, len) == 0 && ((const char *)name)[len] == '.')
      starts += ((const task_t *)data)->starts;
  return starts;
}

/* --- Runs --- */

static void
end_run (worker_t *w, guint index, const char *how)
{
  run_t run = g_array_index (w->runs, run_t, index);
  task_t *task = task_of (w->all, run.task);
  end_t end = { ++w->last_end, run.task, run.run, how, task->starts };

  task->running--;
  if (strcmp (how, "done") == 0)
    {
      task->done = true;
      w->all->done++;
    }
  if (strcmp (how, "lapsed") == 0)
    w->all->lapsed++;
  g_hash_table_replace (w->highest, g_strdup (run.task),
                        GUINT_TO_POINTER (run.run));
  g_array_append_val (w->ends, end);
  g_array_remove_index (w->runs, index);
}

static bool
is_deadly (const char *name, const char *spec)
{
  return spec && g_str_has_suffix (spec, DEADLY_SUFFIX)
         && g_str_has_suffix (name, ".0.0.0");
}

static void
start_deadly (worker_t *w, const char *name, uint32_t number, usec_t now,
              bool late)
{
  workers_t *all = w->all;
  task_t *task = task_of (all, name);

  if (!w->crash_at)
    w->crash_at = now
                  + g_rand_int_range (all->fleet->random, 0, DEADLY_MOST_MS)
                        * USEC_PER_MSEC;
  if (task->crashes < DEADLY_CRASHES || late)
    return;
  task->starts_after++;
  all->deadly_starts = MAX (all->deadly_starts, task->starts_after);
  if (all->fleet->config.limit_deadly && task->starts_after == DEADLY_STARTS)
    broken (all, name, number, "started again and again after crashes");
}

/* All that runs there ends with the worker. */
static void
go_down (worker_t *w, usec_t now)
{
  for (guint i = 0; i < w->runs->len; i++)
    task_of (w->all, g_array_index (w->runs, run_t, i).task)->running--;
  fleet_leaving_reset (w->all->fleet->leaving, w->index);
  w->crash_at = 0;
  w->down_until
      = now
        + g_rand_int_range (w->all->fleet->random, DOWN_LEAST_MS, DOWN_MOST_MS)
              * USEC_PER_MSEC;
  fleet_path_close (w->all->fleet->paths, w->index);
  httpd_free (w->httpd);
  w->httpd = NULL;
  clear (w);
}

static void
crash (worker_t *w, usec_t now)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      const run_t *run = &g_array_index (w->runs, run_t, i);

      task_of (w->all, run->task)->crashes += run->deadly;
    }
  fleet_log ("%s crashed, %u runs", w->id, w->runs->len);
  w->all->crashes++;
  go_down (w, now);
}

static void
leave (worker_t *w, usec_t now)
{
  fleet_log ("%s left, %u runs", w->id, w->runs->len);
  w->all->left++;
  go_down (w, now);
  fleet_entry_leave (w->all->fleet->entries, w->index, now);
  w->left_count++;
  g_snprintf (w->id, sizeof w->id, "i-%u",
              w->index + w->left_count * w->all->fleet->config.workers);
}

/* @param late the call arrived before, and was not carried out then */
static const char *
start (worker_t *w, const json_t *body, usec_t now, bool late)
{
  workers_t *all = w->all;
  const char *name = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (body, "run_id"));
  int64_t lease = json_integer_value (json_object_get (body, "expiry_ms"));
  task_t *task = task_of (all, name);
  run_t run = { NULL, number,
                now
                    + g_rand_int_range (all->fleet->random, RUN_LEAST_MS,
                                        RUN_MOST_MS)
                          * USEC_PER_MSEC,
                kind_of (spec ? spec : ""), is_deadly (name, spec) };

  for (guint i = 0; i < w->runs->len; i++)
    if (strcmp (g_array_index (w->runs, run_t, i).task, name) == 0
        && g_array_index (w->runs, run_t, i).run == number)
      return NULL;
  if (GPOINTER_TO_UINT (g_hash_table_lookup (w->highest, name)) >= number)
    return "old";
  if (lease <= clock_ms (w, now))
    return "late";
  if (task->running)
    broken (all, name, number, "two runs at a time");
  if (task->confirmed)
    broken (all, name, number, "started after its end was confirmed");
  if (!late
      && fleet_zone_is_closed (all->fleet->zones, w->index % FLEET_ZONES, now))
    broken (all, name, number, "started in an evacuated zone");
  if (!late && !kinds[run.kind].added_load)
    check_capacity (w, name, number, now);
  check_order (all, name, number, spec ? spec : "");
  if (fleet_chance (all->fleet, all->fleet->config.long_share))
    run.ends = now + LONG_RUN_MS * USEC_PER_MSEC;
  all->fills += kinds[run.kind].added_load > 0;
  if (run.kind == KIND_SERVES)
    {
      run.ends = INT64_MAX;
      note_serving (all, name, spec);
    }
  if (run.deadly)
    {
      run.ends = INT64_MAX; /* its worker crashes first */
      start_deadly (w, name, number, now, late);
    }
  task->running++;
  task->starts++;
  all->starts++;
  run.task = g_strdup (name);
  g_array_append_val (w->runs, run);
  return NULL;
}

/* A smaller capacity counts SHRUNK_MS after the report that follows; a change
   in the moment of a report is later than it.  Tasks that fill use what is
   left. */
static void
check_capacity (const worker_t *w, const char *name, uint32_t run, usec_t now)
{
  uint32_t used = 0;
  const fleet_t *fleet = w->all->fleet;
  usec_t told = now - (usec_t)fleet->config.shrunk_ms * USEC_PER_MSEC;
  usec_t since
      = MIN (told - FLEET_REPORT_INTERVAL,
             fleet_entry_last_report (fleet->entries, w->index, told) - 1);

  for (guint i = 0; i < w->runs->len; i++)
    used += !kinds[g_array_index (w->runs, run_t, i).kind].added_load;
  if (fleet->config.resize_every
      && used >= fleet_capacity_limit (fleet->capacity, w->index, since))
    broken (w->all, name, run, "started beyond the capacity");
}

static void
stop (worker_t *w, const json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "task"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (body, "run_id"));
  guint highest = GPOINTER_TO_UINT (g_hash_table_lookup (w->highest, name));

  for (guint i = w->runs->len; i > 0; i--)
    if (strcmp (g_array_index (w->runs, run_t, i - 1).task, name) == 0
        && g_array_index (w->runs, run_t, i - 1).run <= number)
      end_run (w, i - 1, "stopped");
  g_hash_table_replace (w->highest, g_strdup (name),
                        GUINT_TO_POINTER (MAX (highest, number)));
}

/* The lease of a worker that runs nothing lapses as well. */
static void
extend_lease (worker_t *w, int64_t lease, usec_t now)
{
  if (clock_ms (w, now) > w->lease_until)
    w->lapsed_end = w->last_end;
  w->lease_until
      = MAX (w->lease_until, MIN (lease, clock_ms (w, now) + LEASE_MS));
}

/* An end that is listed anew after the lease has lapsed does not count as
   taken note of: the task may have been started again meanwhile. */
static void
confirm_done (worker_t *w, const end_t *end)
{
  task_t *task = task_of (w->all, end->task);

  if (end->number <= w->lapsed_end)
    return;
  task->confirmed = true;
  if (task->starts > end->starts)
    broken (w->all, end->task, end->run,
            "started again after an end that is confirmed now");
}

static void
confirm (worker_t *w, uint64_t seen)
{
  while (w->ends->len && g_array_index (w->ends, end_t, 0).number <= seen)
    {
      end_t end = g_array_index (w->ends, end_t, 0);

      if (strcmp (end.how, "done") == 0)
        confirm_done (w, &end);
      g_free (end.task);
      g_array_remove_index (w->ends, 0);
    }
}

/* @return the tail of a task that serves on the worker, in milliseconds */
static int
tail_ms (const worker_t *w)
{
  double load = g_rand_double_range (w->all->fleet->random, OWN_LOAD_LEAST,
                                     OWN_LOAD_MOST);

  for (guint i = 0; i < w->runs->len; i++)
    load += kinds[g_array_index (w->runs, run_t, i).kind].added_load;
  return (int)(IDLE_TAIL_MS / (1 - MIN (load, LOAD_MOST)));
}

static json_t *
lists (const worker_t *w, usec_t now)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();
  int tail = tail_ms (w);

  for (guint i = 0; i < w->runs->len; i++)
    {
      const run_t *run = &g_array_index (w->runs, run_t, i);

      bool serves = run->kind == KIND_SERVES;

      json_array_append_new (
          running, json_pack ("[s, i, s, i, i]", run->task, (int)run->run, "",
                              serves ? 100 : 50, serves ? tail : 1000));
    }
  for (guint i = 0; i < w->ends->len; i++)
    {
      const end_t *end = &g_array_index (w->ends, end_t, i);

      json_array_append_new (
          ended, json_pack ("[I, s, i, s, s]", (json_int_t)end->number,
                            end->task, (int)end->run, end->how, ""));
    }
  return json_pack (
      "{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)clock_ms (w, now),
      "born", (json_int_t)w->born_ms, "running", running, "ended", ended);
}

/* --- Calls --- */

static void
answer (worker_t *w, handle_t http, bool lost, int status, const char *reason,
        usec_t now)
{
  json_t *body
      = json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms (w, now));

  if (reason)
    json_object_set_new (body, "reason", json_string (reason));
  if (lost)
    json_decref (body);
  else
    fleet_answer (w->httpd, http, status, body);
}

/* Draws a fault of a call.
   @param share outside of the spell */
static bool
spell_strikes (const worker_t *w, spell_t spell, double share, usec_t now)
{
  fleet_t *fleet = w->all->fleet;
  bool acts = fleet_spell_acts (fleet->spells, w->index, spell, now);

  return fleet_chance (fleet, acts ? MAX (share, SPELL_SHARE) : share);
}

static void
add_late (worker_t *w, const httpd_request_t *request, bool starts, usec_t now)
{
  late_t late = { now
                      + g_rand_int_range (w->all->fleet->random, LATE_LEAST_MS,
                                          LATE_MOST_MS)
                            * USEC_PER_MSEC,
                  starts, g_strndup (request->body.data, request->body.len) };

  g_array_append_val (w->late, late);
}

static void
on_request (void *ctx, const httpd_request_t *request)
{
  worker_t *w = ctx;
  fleet_t *fleet = w->all->fleet;
  usec_t now = clock_now ();
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));
  int64_t lease = json_integer_value (json_object_get (body, "expiry_ms"));
  bool lost = fleet_chance (fleet, fleet->config.lose);
  bool starts = strcmp (request->path, "/-/run-start") == 0;

  if (spell_strikes (w, SPELL_LOSS,
                     fleet->spells_over ? 0 : fleet->config.drop, now))
    w->all->dropped++;
  else if (!fleet_is_meant (w->httpd, request->handle, w->id))
    answer (w, request->handle, lost, 421, NULL, now);
  else if (strcmp (request->path, "/-/hold") != 0
           && spell_strikes (w, SPELL_LATE, starts ? fleet->config.late : 0,
                             now))
    add_late (w, request, starts, now);
  else if (starts
           && fleet_spell_acts (fleet->spells, w->index, SPELL_UNHEALTHY, now))
    {
      w->all->unhealthy++;
      answer (w, request->handle, lost, 503, NULL, now);
    }
  else if (token < w->token)
    answer (w, request->handle, lost, 409, "fence", now);
  else
    {
      w->token = token;
      extend_lease (w, lease, now);
      if (starts)
        {
          const char *reason = start (w, body, now, false);

          answer (w, request->handle, lost, reason ? 409 : 200, reason, now);
        }
      else if (strcmp (request->path, "/-/run-stop") == 0)
        {
          stop (w, body);
          answer (w, request->handle, lost, 200, NULL, now);
        }
      else if (strcmp (request->path, "/-/hold") == 0)
        {
          hold_t hold
              = { request->handle,
                  now
                      + json_integer_value (json_object_get (body, "wait_ms"))
                            * USEC_PER_MSEC,
                  lost };

          confirm (w, (uint64_t)json_integer_value (
                          json_object_get (body, "last_seen")));
          g_array_append_val (w->holds, hold);
        }
      else
        answer (w, request->handle, lost, 200, NULL, now);
    }
  json_decref (body);
}

static void
on_abandoned (void *ctx, handle_t handle)
{
  worker_t *w = ctx;

  for (guint i = w->holds->len; i > 0; i--)
    if (g_array_index (w->holds, hold_t, i - 1).http == handle)
      g_array_remove_index_fast (w->holds, i - 1);
}

static void
run_late (worker_t *w, usec_t now)
{
  for (guint i = w->late->len; i > 0; i--)
    {
      late_t late = g_array_index (w->late, late_t, i - 1);
      json_t *body;

      if (now < late.at)
        continue;
      g_array_remove_index_fast (w->late, i - 1);
      body = json_loads (late.body, 0, NULL);
      if ((uint64_t)json_integer_value (
              json_object_get (body, "fencing_token"))
          >= w->token)
        {
          if (late.starts)
            (void)start (w, body, now, true);
          else
            stop (w, body);
        }
      json_decref (body);
      g_free (late.body);
    }
}

static void
register_all (workers_t *all, usec_t now)
{
  for (uint32_t i = 0; i < all->fleet->config.workers; i++)
    {
      const worker_t *w = &all->rows[i];
      char rack[16];
      char zone[16];
      json_t *entry;
      char *text;
      int remaining_ms = 0;
      bool leaves;

      if (!w->httpd || !fleet_entry_can_report (all->fleet->entries, i, now))
        continue;
      leaves = fleet_leaving_tell (all->fleet->leaving, i, now, &remaining_ms);
      g_snprintf (rack, sizeof rack, "r%u", i / 3);
      g_snprintf (zone, sizeof zone, "z%u", i % FLEET_ZONES);
      entry = json_pack (
          "{s:s, s:s, s:s, s:s, s:I, s:{s:i, s:i, s:i}, s:[s, s]}", "service",
          "s", "address", w->address, "zone", zone, "state",
          leaves ? "draining" : "ready", "born", (json_int_t)w->born_ms,
          "capacity", "cpu",
          (int)fleet_capacity_cores (all->fleet->capacity, i) * 1000, "mem_mb",
          MEMORY_MB, "gpu", 0, "labels", "a", rack);
      if (leaves)
        json_object_set_new (entry, "remaining_ms",
                             json_integer (remaining_ms));
      text = json_dumps (entry, JSON_COMPACT);
      fleet_entry_report (all->fleet->entries, i, now, w->id, text);
      free (text);
      json_decref (entry);
    }
}

/* @return whether the worker is up */
static bool
end_and_boot (worker_t *w, usec_t now)
{
  bool ill
      = fleet_spell_acts (w->all->fleet->spells, w->index, SPELL_CRASH, now);

  if (w->httpd && (ill || (w->crash_at && now >= w->crash_at)))
    crash (w, now);
  else if (w->httpd
           && fleet_leaving_is_over (w->all->fleet->leaving, w->index, now))
    leave (w, now);
  else if (!w->httpd && !ill && now >= w->down_until)
    {
      boot (w, now);
      w->all->register_due = now;
    }
  return w->httpd != NULL;
}

void
fleet_workers_tick (workers_t *all, usec_t now)
{
  if (now >= all->register_due)
    {
      all->register_due = now + FLEET_REPORT_INTERVAL;
      register_all (all, now);
    }
  for (uint32_t k = 0; k < all->fleet->config.workers; k++)
    {
      worker_t *w = &all->rows[k];

      if (!end_and_boot (w, now))
        continue;
      run_late (w, now);
      for (guint i = w->runs->len; i > 0; i--)
        if (clock_ms (w, now) > w->lease_until)
          end_run (w, i - 1, "lapsed");
        else if (now >= g_array_index (w->runs, run_t, i - 1).ends)
          end_run (w, i - 1, "done");
      for (guint i = w->holds->len; i > 0; i--)
        {
          hold_t hold = g_array_index (w->holds, hold_t, i - 1);

          if (!w->ends->len && now < hold.until)
            continue;
          g_array_remove_index_fast (w->holds, i - 1);
          if (!hold.lost)
            fleet_answer (w->httpd, hold.http, 200, lists (w, now));
        }
    }
}
