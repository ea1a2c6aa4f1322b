/** @file
 * Stand-ins of workers, which crash and start again.
 */
#define _GNU_SOURCE
#include "site.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_MS 6000
#define HEARTBEAT_MS 1500
#define RUNS_MAX 512
#define ENDS_MAX 4096
#define TASKS_MAX 400000
#define WORKER_MEMORY 64000
#define TASK_MEMORY 100

typedef struct
{
  char task[48];
  unsigned run;
  int64_t ends_at;
  int cpu;
  bool gang;
  bool works; /* all members of the gang are present */
  int64_t begun_at;
  int ms;
} run_t;

typedef struct
{
  char task[48];
  unsigned run;
  uint64_t number;
  const char *how;
} end_t;

typedef struct
{
  char task[48];
  unsigned highest; /* run stopped or ended in this life */
} past_t;

typedef struct
{
  char id[32];
  char address[48];
  unsigned life;
  bool up;
  int64_t born;
  int64_t born_wall;
  int64_t back_at;
  int64_t crash_at; /* 0: not due */
  int64_t report_due;
  uint64_t token;
  int64_t lease_until;
  run_t runs[RUNS_MAX];
  int run_count;
  end_t ends[ENDS_MAX];
  int end_count;
  uint64_t last_end;
  uint64_t lapsed_end; /* last end before the lease last lapsed */
  past_t *past;
  int past_count;
  int past_room;
} worker_t;

/* What the audit knows of a task. */
typedef struct
{
  char name[48];
  unsigned starts;
  unsigned done;      /* runs that ended so */
  unsigned noted;     /* of them, taken note of: last_seen has reached them */
  unsigned failed;
  unsigned gone;      /* runs lost with their worker */
  unsigned after_note; /* starts after that */
  int64_t last_busy;   /* of a job: when a task of it was last under way */
  unsigned failed_runs; /* of a job */
  unsigned last_failed; /* of a job: the latest of them */
} task_t;

typedef struct
{
  char id[32];
  int64_t at;
} removal_t;

static worker_t workers[WORKERS_MAX];
static task_t *tasks;
static int task_count;
static int table[1 << 20];
static removal_t removals[64];
static int64_t crash_due;
static bool crash_armed; /* the next worker that lists ends crashes */
static int crashes;
static int foreign_calls; /* for another life */
static int twice;
static int unasked;
static int64_t grey_until;
static int alone;
static int doubled;
static int64_t half_used_at; /* half of the capacity was last in use */
static unsigned born_count;

static void boot (worker_t *w, bool new_id);
static void end_one (worker_t *w, int i, const char *how);
static task_t *job_of (const char *task);
static void break_gang (const char *task, unsigned run, const char *how);

static worker_t *
worker_at (int i)
{
  return &workers[i];
}

unsigned
worker_life (int i)
{
  return workers[i].up ? workers[i].life : 0;
}

static int64_t
clock_of (const worker_t *w)
{
  return now_ms () - w->born + 1;
}

static task_t *
task_of (const char *name)
{
  unsigned hash = 2166136261u;

  for (const char *c = name; *c; c++)
    hash = (hash ^ (unsigned char)*c) * 16777619u;
  for (hash &= (1 << 20) - 1; table[hash]; hash = (hash + 1) & ((1 << 20) - 1))
    if (strcmp (tasks[table[hash] - 1].name, name) == 0)
      return &tasks[table[hash] - 1];
  if (task_count == TASKS_MAX)
    exit (2);
  table[hash] = ++task_count;
  snprintf (tasks[task_count - 1].name, sizeof tasks->name, "%s", name);
  return &tasks[task_count - 1];
}

static void
report_entry (worker_t *w)
{
  char rack[16];
  json_t *entry;
  char *text;
  int i = (int)(w - workers);

  snprintf (rack, sizeof rack, "r%d", i / opt.rack);
  entry = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:{s:i, s:i, s:i}, s:[s, "
      "s]}",
      "service", "s", "address", w->address, "zone", "z", "state", "ready",
      "version", "v1", "slots", 8, "cold_remaining_ms", 0, "sequence",
      (json_int_t)(clock_of (w) / HEARTBEAT_MS), "born",
      (json_int_t)w->born_wall, "capacity", "cpu", opt.worker_cpu, "mem_mb",
      WORKER_MEMORY, "gpu", 0, "labels",
      i == opt.workers - 1 && opt.special_every ? "b" : "a", rack);
  text = json_dumps (entry, JSON_COMPACT);
  store_put ("keyed.servers", w->id, text);
  free (text);
  json_decref (entry);
  w->report_due = now_ms () + HEARTBEAT_MS;
}

void
workers_init (void)
{
  static const char config[]
      = "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"jobs.example\","
        "\"path_prefix\":\"/q/\",\"timeout_ms\":3000,"
        "\"target_latency_ms\":1000,\"priority\":0,\"service\":\"s\","
        "\"attempts\":2,\"stretch\":2}],\"services\":[{\"name\":\"s\","
        "\"rejects_overload\":true}],\"limits\":{}}";

  tasks = calloc (TASKS_MAX, sizeof *tasks);
  store_put ("keyed.op", "config", config);
  for (int i = 0; i < opt.workers; i++)
    {
      worker_t *w = worker_at (i);

      snprintf (w->address, sizeof w->address, "%s.%d:%d", opt.net, 100 + i,
                opt.port);
      boot (w, true);
    }
}

static void
boot (worker_t *w, bool new_id)
{
  if (new_id)
    snprintf (w->id, sizeof w->id, "i-%04x%02x", 0x1000 + ++born_count,
              draw (256));
  w->life++;
  w->up = true;
  w->born = now_ms ();
  w->born_wall = wall_ms ();
  w->token = 0;
  w->lease_until = 0;
  w->run_count = w->end_count = w->past_count = 0;
  w->last_end = w->lapsed_end = 0;
  w->report_due = now_ms () + (trouble ? opt.report_lag_ms : 0);
}

static void
crash (worker_t *w)
{
  crashes++;
  record ("crash %s at %s, %d runs, %d ends not taken note of", w->id,
          w->address, w->run_count, w->end_count);
  w->up = false;
  for (int i = 0; i < w->run_count; i++)
    {
      task_of (w->runs[i].task)->gone++;
      if (w->runs[i].gang)
        break_gang (w->runs[i].task, w->runs[i].run, "broken");
    }
  w->crash_at = 0;
  w->back_at = now_ms () + opt.crash_down_ms;
  w->run_count = w->end_count = 0;
  if (!opt.crash_keeps_id)
    for (int i = 0; i < 64; i++)
      if (!removals[i].at)
        {
          /* Three check-in intervals of silence. */
          removals[i].at = now_ms () + 3 * HEARTBEAT_MS;
          snprintf (removals[i].id, sizeof removals[i].id, "%s", w->id);
          break;
        }
}

static unsigned *
past_of (worker_t *w, const char *task)
{
  for (int i = w->past_count; i > 0; i--)
    if (strcmp (w->past[i - 1].task, task) == 0)
      return &w->past[i - 1].highest;
  if (w->past_count == w->past_room)
    {
      w->past_room = w->past_room ? 2 * w->past_room : 256;
      w->past = realloc (w->past, (size_t)w->past_room * sizeof (past_t));
    }
  snprintf (w->past[w->past_count].task, sizeof w->past->task, "%s", task);
  w->past[w->past_count].highest = 0;
  return &w->past[w->past_count++].highest;
}

static bool
is_of_gang (const run_t *a, const char *task, unsigned run)
{
  return a->gang && a->run == run && strncmp (a->task, task, 16) == 0;
}

static void end_run (worker_t *w, int i, const char *how);

/* The other members end with one that ends. */
static void
break_gang (const char *task, unsigned run, const char *how)
{
  for (int k = 0; k < opt.workers; k++)
    for (int i = workers[k].run_count; workers[k].up && i > 0; i--)
      if (is_of_gang (&workers[k].runs[i - 1], task, run))
        {
          workers[k].runs[i - 1].gang = false;
          end_run (worker_at (k), i - 1, how);
        }
}

static bool
is_grey (int worker)
{
  return trouble && worker >= opt.workers - opt.grey
         && now_ms () < grey_until;
}

/* Those on workers that fail what they start end as failed at the moment when
   the gang begins to work, the others are broken then. */
static bool
fail_grey_members (const char *first, unsigned run)
{
  char task[48];
  bool failed = false;

  memcpy (task, first, sizeof task);
  for (int k = 0; k < opt.workers; k++)
    for (int i = workers[k].run_count; workers[k].up && i > 0; i--)
      if (is_grey (k) && is_of_gang (&workers[k].runs[i - 1], task, run))
        {
          end_one (worker_at (k), i - 1, "failed");
          failed = true;
        }
  if (failed)
    break_gang (task, run, "broken");
  return failed;
}

/* The members work once all are present. */
static void
gang_tick (worker_t *w, int i)
{
  run_t *run = &w->runs[i];
  int present = 0;

  if (run->works)
    return;
  for (int k = 0; k < opt.workers; k++)
    for (int j = 0; workers[k].up && j < workers[k].run_count; j++)
      present += is_of_gang (&workers[k].runs[j], run->task, run->run);
  if (present < opt.tasks)
    {
      run->ends_at = INT64_MAX;
      return;
    }
  if (fail_grey_members (run->task, run->run))
    return;
  for (int k = 0; k < opt.workers; k++)
    for (int j = 0; workers[k].up && j < workers[k].run_count; j++)
      if (is_of_gang (&workers[k].runs[j], run->task, run->run))
        {
          workers[k].runs[j].works = true;
          workers[k].runs[j].ends_at = now_ms () + run->ms;
        }
}

static void
end_run (worker_t *w, int i, const char *how)
{
  bool gang = w->runs[i].gang;
  char task[48];
  unsigned number = w->runs[i].run;
  bool works = w->runs[i].works;

  memcpy (task, w->runs[i].task, sizeof task);
  w->runs[i].gang = false;
  end_one (w, i, how);
  if (gang)
    break_gang (task, number,
                works && strcmp (how, "done") == 0 ? "done" : "broken");
}

static void
end_one (worker_t *w, int i, const char *how)
{
  run_t *run = &w->runs[i];
  unsigned *highest = past_of (w, run->task);
  end_t *end;

  if (run->run > *highest)
    *highest = run->run;
  if (w->end_count < ENDS_MAX)
    {
      end = &w->ends[w->end_count++];
      memcpy (end->task, run->task, sizeof end->task);
      end->run = run->run;
      end->number = ++w->last_end;
      end->how = how;
    }
  record ("end %s run %u on %s: %s, number %d", run->task, run->run, w->id, how,
          (int)w->last_end);
  if (strcmp (how, "done") == 0)
    task_of (run->task)->done++;
  if (strcmp (how, "failed") == 0 && job_of (run->task)->last_failed != run->run)
    {
      job_of (run->task)->failed_runs++;
      job_of (run->task)->last_failed = run->run;
    }
  w->runs[i] = w->runs[--w->run_count];
}

unsigned
workers_failed_runs (const char *job)
{
  return job_of (job)->failed_runs;
}

static task_t *
job_of (const char *task)
{
  char id[17];

  snprintf (id, sizeof id, "%.16s", task);
  return task_of (id);
}

static int64_t
used_of (const worker_t *w)
{
  int64_t used = 0;

  for (int i = 0; i < w->run_count; i++)
    used += w->runs[i].cpu;
  return used;
}

void
workers_tick (void)
{
  int64_t now = now_ms ();
  int64_t used = 0;

  for (int i = 0; i < 64; i++)
    if (removals[i].at && now >= removals[i].at)
      {
        store_put ("keyed.servers", removals[i].id, "");
        removals[i].at = 0;
      }
  for (int k = 0; k < opt.workers; k++)
    {
      worker_t *w = worker_at (k);

      if (!w->up && now >= w->back_at)
        {
          boot (w, !opt.crash_keeps_id);
          record ("boot %s at %s", w->id, w->address);
        }
      if (!w->up)
        continue;
      for (int i = 0; i < w->run_count; i++)
        job_of (w->runs[i].task)->last_busy = now;
      used += used_of (w);
      if (w->crash_at && now >= w->crash_at)
        {
          crash (w);
          continue;
        }
      if (now >= w->report_due)
        report_entry (w);
      for (int i = w->run_count; i > 0; i--)
        if (i > w->run_count)
          continue;
        else if (clock_of (w) > w->lease_until)
          end_run (w, i - 1, "lapsed");
        else if (w->runs[i - 1].gang && !w->runs[i - 1].works
                 && now - w->runs[i - 1].begun_at > 3000)
          {
            record ("alone %s run %u", w->runs[i - 1].task,
                    w->runs[i - 1].run);
            alone++;
            end_run (w, i - 1, "alone");
          }
        else if (now >= w->runs[i - 1].ends_at)
          end_run (w, i - 1, "done");
    }
  if (trouble && opt.grey && !grey_until)
    {
      grey_until = now + opt.grey_ms;
      record ("%d workers fail what they start for %d ms", opt.grey,
              opt.grey_ms);
    }
  if (2 * used >= (int64_t)opt.worker_cpu * opt.workers)
    half_used_at = now;
  if (!trouble || !opt.crash_every_ms)
    return;
  if (!crash_due)
    crash_due = now + 500;
  if (now >= crash_due)
    {
      worker_t *w = worker_at (opt.crash_only >= 0
                                   ? opt.crash_only
                                   : (int)draw ((unsigned)opt.workers));

      crash_due = now + opt.crash_every_ms;
      crash_armed = opt.crash_listed;
      if (!opt.crash_listed && w->up && (!opt.crash_most || crashes < opt.crash_most))
        crash (w);
    }
}

static void
reply (const worker_t *w, answer_t *answer, int status, const char *reason)
{
  json_t *body
      = json_pack ("{s:I}", "clock_ms", (json_int_t)clock_of (w));

  if (reason)
    json_object_set_new (body, "reason", json_string (reason));
  answer_json (answer, status, body);
}

/* @return a reason to reject the start, or NULL */
static const char *
start (worker_t *w, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  unsigned run
      = (unsigned)json_integer_value (json_object_get (body, "run_id"));
  int64_t expiry = json_integer_value (json_object_get (body, "expiry_ms"));
  int used = 0;
  int ms = 300;
  unsigned index = 0;
  bool gang;
  task_t *known;
  run_t *row;

  for (int i = 0; i < w->run_count; i++)
    {
      used += w->runs[i].cpu;
      if (strcmp (w->runs[i].task, task) == 0 && w->runs[i].run == run)
        return NULL;
    }
  if (*past_of (w, task) >= run)
    return "old";
  if (expiry <= clock_of (w))
    return "late";
  if (used + opt.task_cpu > opt.worker_cpu || w->run_count == RUNS_MAX)
    return "room";
  gang = spec && *spec == 'g';
  spec += gang;
  /* The spec has the time of each task. */
  sscanf (task, "%*[^.].%*u.%*u.%u", &index);
  for (unsigned i = 0; spec && *spec && i <= index; i++)
    {
      ms = atoi (spec);
      spec = strchr (spec, ',');
      spec = spec ? spec + 1 : NULL;
    }
  known = task_of (task);
  record ("start %s run %u on %s, %d ms", task, run, w->id, ms);
  if (!callers_have_sent (task))
    {
      unasked++;
      record ("BROKEN UNASKED %s run %u starts on %s, and no caller has sent "
              "a job with this ID", task, run, w->id);
    }
  if (known->noted)
    {
      known->after_note++;
      twice++;
      record ("BROKEN TWICE %s run %u starts on %s, its end done was taken "
              "note of", task, run, w->id);
    }
  known->starts++;
  row = &w->runs[w->run_count++];
  snprintf (row->task, sizeof row->task, "%s", task);
  row->run = run;
  row->cpu = opt.task_cpu;
  row->ends_at = now_ms () + ms;
  row->ms = ms;
  row->works = false;
  row->begun_at = now_ms ();
  row->gang = gang;
  for (int k = 0; k < opt.workers; k++)
    for (int j = 0; workers[k].up && j < workers[k].run_count; j++)
      if (&workers[k].runs[j] != row
          && strcmp (workers[k].runs[j].task, task) == 0)
        {
          doubled++;
          record ("BROKEN TWICE %s run %u starts on %s while run %u is on %s",
                  task, run, w->id, workers[k].runs[j].run, workers[k].id);
        }
  if (gang)
    gang_tick (w, w->run_count - 1);
  return NULL;
}

static void
stop (worker_t *w, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  unsigned run
      = (unsigned)json_integer_value (json_object_get (body, "run_id"));
  unsigned *highest = past_of (w, task);

  if (run > *highest)
    *highest = run;
  for (int i = w->run_count; i > 0; i--)
    if (strcmp (w->runs[i - 1].task, task) == 0 && w->runs[i - 1].run <= run)
      end_run (w, i - 1, "stopped");
}

/* Ends up to SEEN are forgotten. */
static void
forget (worker_t *w, uint64_t seen)
{
  int kept = 0;

  for (int i = 0; i < w->end_count; i++)
    {
      if (w->ends[i].number > seen)
        {
          w->ends[kept++] = w->ends[i];
          continue;
        }
      if (strcmp (w->ends[i].how, "done") == 0)
        {
          task_t *task = task_of (w->ends[i].task);

          if (w->ends[i].number > w->lapsed_end)
            task->noted++;
          record ("noted %s run %u on %s: done, number %d, last_seen %d",
                  task->name, w->ends[i].run, w->id, (int)w->ends[i].number,
                  (int)seen);
          if (task->starts > task->done + task->gone)
            record ("other run of %s is open", task->name);
        }
    }
  w->end_count = kept;
}

static void
hold (int index, unsigned life, const json_t *body, answer_t *answer)
{
  worker_t *w = worker_at (index);
  int64_t until
      = now_ms () + json_integer_value (json_object_get (body, "wait_ms"));
  json_t *running;
  json_t *ended;
  uint64_t seen;

  seen = (uint64_t)json_integer_value (json_object_get (body, "last_seen"));
  if (seen)
    record ("hold on %s, last_seen %d of %d", w->id, (int)seen,
            (int)w->last_end);
  forget (w, seen);
  while (worker_life (index) == life && !w->end_count && now_ms () < until)
    wait_changed ();
  if (worker_life (index) != life)
    {
      answer->none = true;
      return;
    }
  running = json_array ();
  ended = json_array ();
  for (int i = 0; i < w->run_count; i++)
    json_array_append_new (
        running, json_pack ("[s, i, s, i, i]", w->runs[i].task,
                            (int)w->runs[i].run, "",
                            50 + (int)(now_ms () / 500 % 50), 500));
  for (int i = 0; i < w->end_count && i < 500; i++)
    json_array_append_new (
        ended, json_pack ("[I, s, i, s, s]", (json_int_t)w->ends[i].number,
                          w->ends[i].task, (int)w->ends[i].run, w->ends[i].how,
                          ""));
  if (crash_armed && w->end_count)
    {
      crash_armed = false;
      w->crash_at = now_ms () + 5;
    }
  answer_json (answer, 200,
               json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms",
                          (json_int_t)clock_of (w), "born",
                          (json_int_t)w->born_wall, "running", running,
                          "ended", ended));
}

void
worker_serve (int index, const request_t *request, answer_t *answer)
{
  worker_t *w = worker_at (index);
  json_t *body = json_loadb (request->body, request->body_len, 0, NULL);
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));
  int64_t expiry = json_integer_value (json_object_get (body, "expiry_ms"));

  if (*request->instance && strcmp (request->instance, w->id) != 0)
    {
      foreign_calls++;
      record ("421 %s for %s, %s is there, run %s", request->path,
              request->instance, w->id,
              json_is_string (json_object_get (body, "task"))
                  ? json_string_value (json_object_get (body, "task"))
                  : "-");
      reply (w, answer, 421, NULL);
      json_decref (body);
      return;
    }
  if (token < w->token)
    {
      reply (w, answer, 409, "fence");
      json_decref (body);
      return;
    }
  w->token = token;
  if (expiry > clock_of (w) + LEASE_MS)
    expiry = clock_of (w) + LEASE_MS;
  /* The lease of a worker that runs nothing lapses as well. */
  if (clock_of (w) > w->lease_until)
    w->lapsed_end = w->last_end;
  if (expiry > w->lease_until)
    w->lease_until = expiry;
  if (strcmp (request->path, "/-/run-start") == 0)
    {
      const char *reason = start (w, body);

      reply (w, answer, reason ? 409 : 200, reason);
    }
  else if (strcmp (request->path, "/-/run-stop") == 0)
    {
      stop (w, body);
      reply (w, answer, 200, NULL);
    }
  else if (strcmp (request->path, "/-/hold") == 0)
    hold (index, w->life, body, answer);
  else
    reply (w, answer, 200, NULL);
  json_decref (body);
}

int64_t
workers_idle_ms (const char *job)
{
  int64_t busy = task_of (job)->last_busy;

  return now_ms () - (busy > half_used_at ? busy : half_used_at);
}

void
workers_report (json_t *out)
{
  int starts = 0;

  for (int i = 0; i < task_count; i++)
    starts += (int)tasks[i].starts;
  json_object_set_new (out, "crashes", json_integer (crashes));
  json_object_set_new (out, "calls_for_another_life",
                       json_integer (foreign_calls));
  json_object_set_new (out, "starts", json_integer (starts));
  json_object_set_new (out, "twice", json_integer (twice));
  json_object_set_new (out, "doubled", json_integer (doubled));
  json_object_set_new (out, "unasked", json_integer (unasked));
  json_object_set_new (out, "alone", json_integer (alone));
}
