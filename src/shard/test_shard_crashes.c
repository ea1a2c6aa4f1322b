/* Unit tests of tasks that crash their workers: they are given up, and tasks
   that only ran beside them are not. */
#include "base/counters.h"
#include "base/log.h"
#include "support/shard_fixture.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define WORKERS 8U
#define RACKS 4U
#define GANG_MEMBERS 3U
#define STEP (10 * USEC_PER_MSEC)
#define DOWN_TIME (3 * USEC_PER_SEC)
#define DARK_TIME (10 * USEC_PER_SEC)
#define LEAVING_WORKERS 3U
#define NOTICE_DELAY (100 * USEC_PER_MSEC)
#define GANG_TIMEOUT (3 * USEC_PER_SEC)
#define OTHER_JOB 0x77ULL
/* The users' limit: three starts after three workers have crashed. */
#define MAX_STARTS 5U
/* Starts of a task all of whose crashes are noticed for what they are. */
#define STARTS_IF_CLEAR 3U

typedef enum
{
  WORKER_UP,
  WORKER_REFUSES, /* its process has ended */
  WORKER_SILENT   /* without power */
} worker_state_t;

typedef struct
{
  char id[8];
  char address[16];
  char rack[4];
  worker_state_t state;
  usec_t back_at;
  int64_t started_ms;
  bool leaving;
  GArray *runs; /* run_id_t */
  GArray *ends; /* end_report_t */
} sim_worker_t;

/* A call that is answered later. */
typedef struct
{
  shard_call_t call;
  usec_t answer_at;
} waiting_call_t;

static sim_worker_t workers[WORKERS];
static GArray *waiting; /* waiting_call_t */
static uint32_t starts; /* of the task that crashes its worker */
static bool crashes;    /* the first task of JOB_ID crashes its worker */
static shard_reply_kind_t fatal_reply; /* to the start of that task */
static bool gang;                      /* all tasks are members of one */
static uint32_t lost_starts;           /* of each run of that task */
static bool notice_after_crash;    /* crashed workers are listed as leaving */
static bool one_leaves_with_crash; /* a leaving worker ends with each crash */
static usec_t silent_for;          /* before connections are refused */
static uint32_t coincidences; /* crashes at which an idle one crashes too */
static uint32_t dark_crashes; /* crashes that are silent until after the
                                 lease */
static usec_t crash_delay;    /* after the start */
static sim_worker_t *crashing;
static usec_t crash_at;
static sim_worker_t *unanswering; /* the last start there had no answer */
static usec_t append_delay;       /* of every other append */
static usec_t append_due;
static uint32_t appends_done;
static bool
    lists_before_records;      /* successors read the list of workers first */
static usec_t late_list_pause; /* of the owner after each start, which then
                                  reads a list from before the crash */

static sim_worker_t *
find_worker (const char *id)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    if (strcmp (workers[i].id, id) == 0)
      return &workers[i];
  return NULL;
}

static void
list_workers (void)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    if (workers[i].leaving)
      list_worker_with (workers[i].id, workers[i].address, true);
    else if (workers[i].state == WORKER_UP)
      list_worker_on (workers[i].id, workers[i].address, workers[i].rack,
                      workers[i].started_ms);
}

static void
set_up_workers (void)
{
  set_up ();
  waiting = g_array_new (FALSE, FALSE, sizeof (waiting_call_t));
  starts = 0;
  crashes = true;
  fatal_reply = SHARD_REPLY_OK;
  gang = false;
  lost_starts = 0;
  notice_after_crash = false;
  one_leaves_with_crash = false;
  late_list_pause = 0;
  silent_for = 0;
  coincidences = 0;
  crash_delay = 0;
  dark_crashes = 0;
  crashing = NULL;
  unanswering = NULL;
  append_delay = 0;
  lists_before_records = false;
  append_due = 0;
  appends_done = 0;
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      sim_worker_t *w = &workers[i];

      *w = (sim_worker_t){ .started_ms = START_WALL_MS };
      g_snprintf (w->id, sizeof w->id, "w%u", i);
      g_snprintf (w->address, sizeof w->address, "10.0.0.%u:1", i);
      g_snprintf (w->rack, sizeof w->rack, "r%u", i % RACKS);
      w->runs = g_array_new (FALSE, FALSE, sizeof (run_id_t));
      w->ends = g_array_new (FALSE, TRUE, sizeof (end_report_t));
    }
  shard_loaded (fixture.shard, fixture.now);
  list_workers ();
}

static void
tear_down_workers (void)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      g_array_free (workers[i].runs, TRUE);
      g_array_free (workers[i].ends, TRUE);
    }
  g_array_free (waiting, TRUE);
  tear_down ();
}

/* Ends the other members of a gang. */
static void
break_gang (void)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    for (guint k = workers[i].runs->len; k > 0; k--)
      {
        end_report_t end = { workers[i].ends->len + 1,
                             g_array_index (workers[i].runs, run_id_t, k - 1),
                             RUN_GANG_BROKEN, "" };

        g_array_append_val (workers[i].ends, end);
        g_array_remove_index (workers[i].runs, k - 1);
      }
}

/* Members that wait for the others end after a while. */
static void
end_partial_gang (void)
{
  static usec_t complete_at;
  uint32_t members = 0;

  for (uint32_t i = 0; i < WORKERS; i++)
    members += workers[i].runs->len;
  if (!members || members == GANG_MEMBERS || fixture.now < complete_at)
    complete_at = fixture.now;
  else if (fixture.now - complete_at >= GANG_TIMEOUT)
    break_gang ();
}

static void
stop_worker (sim_worker_t *w, worker_state_t state)
{
  w->state = state;
  w->back_at = fixture.now + DOWN_TIME;
  g_array_set_size (w->runs, 0);
  g_array_set_size (w->ends, 0);
  if (gang)
    break_gang ();
}

static void
send_late_notices (void)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    if (workers[i].state == WORKER_REFUSES
        && fixture.now >= workers[i].back_at - DOWN_TIME + NOTICE_DELAY)
      workers[i].leaving = true;
}

static void
revive_workers (void)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    if (workers[i].state == WORKER_SILENT && silent_for
        && fixture.now >= workers[i].back_at - DOWN_TIME + silent_for)
      workers[i].state = WORKER_REFUSES;
  for (uint32_t i = 0; i < WORKERS; i++)
    if (workers[i].state != WORKER_UP && fixture.now >= workers[i].back_at)
      {
        workers[i].state = WORKER_UP;
        workers[i].started_ms = START_WALL_MS + usec_to_msec (fixture.now);
      }
}

static void
answer_hold (sim_worker_t *w, const shard_call_t *call, usec_t now)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (run_report_t));
  shard_reply_t lists = { .kind = SHARD_REPLY_OK,
                          .clock_ms = usec_to_msec (now),
                          .started_ms = w->started_ms,
                          .has_lists = true };

  for (guint i = 0; i < w->runs->len; i++)
    {
      run_report_t row = { .run_id = g_array_index (w->runs, run_id_t, i),
                           .checkpoint = "",
                           .percent = (uint32_t)(now / 30000) };

      g_array_append_val (rows, row);
    }
  lists.runs = (const run_report_t *)(void *)rows->data;
  lists.run_count = rows->len;
  lists.ends = (const end_report_t *)(void *)w->ends->data;
  lists.end_count = w->ends->len;
  shard_reply (fixture.shard, fixture.now, call->id, &lists);
  g_array_free (rows, TRUE);
}

/* Has the owner read a list of now after a pause. */
static void
read_late_list (sim_worker_t *w)
{
  usec_t now = fixture.now;

  fixture.now += late_list_pause;
  for (guint i = 0; i < waiting->len; i++)
    {
      shard_call_t call = g_array_index (waiting, waiting_call_t, i).call;

      if (call.kind != SHARD_HOLD || strcmp (call.worker, w->id) != 0)
        continue;
      g_array_remove_index (waiting, i);
      answer_hold (w, &call, now);
      return;
    }
}

static sim_worker_t *
idle_worker (void)
{
  uint32_t i = 0;

  while (i < WORKERS - 1
         && (workers[i].runs->len || workers[i].state != WORKER_UP))
    i++;
  return &workers[i];
}

static void
crash_when_due (void)
{
  if (!crashing || fixture.now < crash_at)
    return;
  stop_worker (crashing,
               silent_for || dark_crashes ? WORKER_SILENT : WORKER_REFUSES);
  if (dark_crashes)
    {
      dark_crashes--;
      crashing->back_at = fixture.now + DARK_TIME;
    }
  crashing = NULL;
}

static void
answer_start (sim_worker_t *w, const shard_call_t *call)
{
  const shard_reply_t last = { .kind = fatal_reply };
  static const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  static const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
  static uint32_t lost;
  bool fatal = crashes && call->run_id.job == JOB_ID && !call->run_id.index;

  if (fatal && lost < lost_starts)
    {
      lost++;
      unanswering = w;
      shard_reply (fixture.shard, fixture.now, call->id, &none);
      return;
    }
  lost = 0;
  starts += call->run_id.job == JOB_ID && !call->run_id.index;
  g_array_append_val (w->runs, call->run_id);
  shard_reply (fixture.shard, fixture.now, call->id, fatal ? &last : &ok);
  if (fatal && late_list_pause)
    read_late_list (w);
  if (fatal && one_leaves_with_crash)
    stop_worker (&workers[WORKERS - 1 - starts % LEAVING_WORKERS],
                 WORKER_REFUSES);
  if (fatal && coincidences)
    {
      coincidences--;
      stop_worker (idle_worker (), WORKER_REFUSES);
    }
  crashing = fatal ? w : crashing;
  crash_at = fatal ? fixture.now + crash_delay : crash_at;
  crash_when_due ();
}

static void
drop_run (sim_worker_t *w, const run_id_t *run_id)
{
  for (guint i = 0; i < w->runs->len; i++)
    if (memcmp (&g_array_index (w->runs, run_id_t, i), run_id, sizeof *run_id)
        == 0)
      {
        g_array_remove_index_fast (w->runs, i);
        return;
      }
}

static void
answer_call (const waiting_call_t *c)
{
  static const shard_reply_t ok = { .kind = SHARD_REPLY_OK };
  static const shard_reply_t refused = { .kind = SHARD_REPLY_REFUSED };
  static const shard_reply_t none = { .kind = SHARD_REPLY_NONE };
  sim_worker_t *w = find_worker (c->call.worker);

  if (w->state != WORKER_UP)
    shard_reply (fixture.shard, fixture.now, c->call.id,
                 w->state == WORKER_SILENT ? &none : &refused);
  else if (c->call.kind == SHARD_HOLD)
    answer_hold (w, &c->call, fixture.now);
  else if (c->call.kind == SHARD_START)
    answer_start (w, &c->call);
  else
    {
      drop_run (w, &c->call.run_id);
      shard_reply (fixture.shard, fixture.now, c->call.id, &ok);
    }
}

/* @return when the worker answers a call: at once if it refuses the
   connection */
static usec_t
answer_time (const waiting_call_t *c)
{
  switch (find_worker (c->call.worker)->state)
    {
    case WORKER_REFUSES:
      return fixture.now;
    case WORKER_SILENT:
      return c->answer_at - c->call.wait + c->call.timeout;
    default:
      return c->answer_at;
    }
}

static void
answer_due_calls (void)
{
  for (guint i = 0; i < waiting->len;)
    {
      waiting_call_t c = g_array_index (waiting, waiting_call_t, i);

      if (fixture.now < answer_time (&c))
        {
          i++;
          continue;
        }
      g_array_remove_index (waiting, i);
      answer_call (&c);
    }
}

static void
finish_append (void)
{
  if (fixture.appends != appends_done)
    append_due = fixture.now + (fixture.appends % 2 ? append_delay : 0);
  appends_done = fixture.appends;
  if (fixture.now >= append_due)
    shard_append_done (fixture.shard, fixture.now, SHARD_STORED);
}

static void
run_workers (usec_t span)
{
  for (usec_t end = fixture.now + span; fixture.now < end;)
    {
      for (size_t i = 0; i < fixture.call_count; i++)
        {
          waiting_call_t c
              = { fixture.calls[i], fixture.now + fixture.calls[i].wait };

          g_array_append_val (waiting, c);
        }
      fixture.call_count = 0;
      answer_due_calls ();
      revive_workers ();
      if (notice_after_crash)
        send_late_notices ();
      if (gang)
        end_partial_gang ();
      list_workers ();
      crash_when_due ();
      finish_append ();
      advance (STEP);
    }
}

static job_status_t
status_of (job_id_t job)
{
  job_status_t status = JOB_QUEUED;

  shard_status (fixture.shard, job, &status);
  return status;
}

static void
check_given_up (void)
{
  run_workers (20 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= MAX_STARTS);
}

/* Guards against a task that crashes one worker after another. */
static void
test_task_crashes_workers (void)
{
  uint64_t before = counter_get (COUNTER_TASKS_GIVEN_UP);

  set_up_workers ();
  add_job (1);
  check_given_up ();
  CU_ASSERT_EQUAL (counter_get (COUNTER_TASKS_GIVEN_UP), before + 1);
  tear_down_workers ();
}

/* The same with starts that the crashing worker does not answer. */
static void
test_unanswered_start (void)
{
  set_up_workers ();
  fatal_reply = SHARD_REPLY_NONE;
  add_job (1);
  check_given_up ();
  tear_down_workers ();
}

/* The same with starts that are repeated on a new connection, which the
   crashed worker refuses. */
static void
test_refused_start (void)
{
  set_up_workers ();
  fatal_reply = SHARD_REPLY_REFUSED;
  add_job (1);
  check_given_up ();
  tear_down_workers ();
}

/* Guards against long-running tasks, which have no limit of attempts. */
static void
test_long_running_task (void)
{
  submission_t *submission = new_submission (2);

  submission->steps[0].long_running = true;
  set_up_workers ();
  apply_submission (submission);
  check_given_up ();
  tear_down_workers ();
}

/* Guards against gangs, whose members start and stop together. */
static void
test_gang (void)
{
  submission_t *submission = new_submission (GANG_MEMBERS);

  submission->steps[0].gang = true;
  set_up_workers ();
  gang = true;
  apply_submission (submission);
  check_given_up ();
  tear_down_workers ();
}

/* Guards against a crash that is blamed on the tasks beside its cause. */
static void
test_neighbours_go_on (void)
{
  set_up_workers ();
  for (uint32_t i = 0; i < 20; i++)
    add_job_with_id (OTHER_JOB + i, 1);
  add_job (1);
  check_given_up ();
  for (uint32_t i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (status_of (OTHER_JOB + i), JOB_RUNNING);
  tear_down_workers ();
}

static void
list_all_workers (void)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    list_worker_on (workers[i].id, workers[i].address, workers[i].rack,
                    workers[i].started_ms);
}

/* Has a successor take over with what is stored.
   @param loading time until it has loaded the records */
static void
take_over (uint64_t token, usec_t loading)
{
  GByteArray *progress = g_byte_array_new ();

  g_byte_array_append (progress, fixture.progress->data,
                       fixture.progress->len);
  shard_acquire (fixture.shard, fixture.now, token);
  g_array_set_size (waiting, 0);
  fixture.call_count = 0;
  add_job (1);
  shard_apply_record (fixture.shard, fixture.now, RECORD_PROGRESS, JOB_ID,
                      (blob_t){ (char *)progress->data, progress->len });
  fixture.now += loading;
  if (lists_before_records)
    list_all_workers ();
  shard_loaded (fixture.shard, fixture.now);
  g_byte_array_unref (progress);
  list_all_workers ();
}

/* Guards against a count that a successor does not know. */
static void
test_successor (void)
{
  set_up_workers ();
  add_job (1);
  for (int k = 0; k < 3000 && starts < 3; k++)
    run_workers (STEP);
  run_workers (300 * USEC_PER_MSEC);
  take_over (2, 0);
  check_given_up ();
  CU_ASSERT_EQUAL (starts, 3);
  tear_down_workers ();
}

/* Guards against a crash that nobody counts: the worker is back in another
   incarnation before the successor has loaded the records. */
static void
test_successor_finds_worker_back (void)
{
  set_up_workers ();
  add_job (1);
  for (int k = 0; k < 3000 && starts < 3; k++)
    run_workers (STEP);
  fixture.now += DOWN_TIME;
  revive_workers ();
  take_over (2, 2 * USEC_PER_SEC);
  check_given_up ();
  CU_ASSERT_EQUAL (starts, 3);
  tear_down_workers ();
}

/* Guards against crashes that an owner notices late, since it was paused. */
static void
test_paused_owner (void)
{
  set_up_workers ();
  add_job (1);
  for (int i = 0; i < 3000 && status_of (JOB_ID) != JOB_FAILED; i++)
    {
      uint32_t before = starts;

      run_workers (STEP);
      if (starts != before)
        fixture.now += 4 * USEC_PER_SEC;
    }
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= STARTS_IF_CLEAR);
  tear_down_workers ();
}

/* Guards against suspects that crash a worker together, so that nothing tells
   which of them is the cause.  One worker is left for all. */
static void
test_suspects_one_by_one (void)
{
  set_up_workers ();
  for (uint32_t w = 1; w < WORKERS; w++)
    workers[w].leaving = true;
  for (uint32_t i = 0; i < 3; i++)
    add_job_with_id (OTHER_JOB + i, 1);
  add_job (1);
  run_workers (40 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= MAX_STARTS);
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (status_of (OTHER_JOB + i), JOB_RUNNING);
  tear_down_workers ();
}

/* @return a worker that runs a task of JOB_ID, NULL if there is none */
static sim_worker_t *
worker_of_job (void)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    for (guint k = 0; k < workers[i].runs->len; k++)
      if (g_array_index (workers[i].runs, run_id_t, k).job == JOB_ID)
        return &workers[i];
  return NULL;
}

/* Stops all workers of the rack of the first task of JOB_ID. */
static void
stop_rack (worker_state_t state)
{
  const sim_worker_t *w = worker_of_job ();

  for (uint32_t i = 0; w && i < WORKERS; i++)
    if (strcmp (workers[i].rack, w->rack) == 0)
      stop_worker (&workers[i], state);
}

static void
stop_worker_of_job (void)
{
  sim_worker_t *w = worker_of_job ();

  CU_ASSERT_PTR_NOT_NULL (w);
  if (w)
    stop_worker (w, WORKER_REFUSES);
}

static void
lose_power (worker_state_t state, usec_t after)
{
  set_up_workers ();
  crashes = false;
  add_job (1);
  for (int i = 0; i < 6; i++)
    {
      uint32_t before = starts;

      for (int k = 0; k < 3000 && starts == before; k++)
        run_workers (STEP);
      run_workers (after);
      stop_rack (state);
    }
  run_workers (12 * USEC_PER_SEC);
  CU_ASSERT (starts >= 6);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_RUNNING);
  tear_down_workers ();
}

/* Guards against jobs that fail because their racks crash. */
static void
test_racks_crash (void)
{
  lose_power (WORKER_REFUSES, 100 * USEC_PER_MSEC);
}

/* Guards against jobs that fail because workers lose power or are cut off, at
   any time after a start. */
static void
test_racks_are_silent (void)
{
  for (usec_t after = STEP; after <= 600 * USEC_PER_MSEC; after += STEP)
    lose_power (WORKER_SILENT, after);
}

static void
add_job_of_rack (job_id_t id)
{
  submission_t *submission = new_submission_with_id (id, 1);

  submission->steps[0].required_label = g_strdup ("r0");
  submission->steps[0].millicores = 3000;
  apply_submission (submission);
}

/* The same for tasks that cannot run elsewhere: both have just started
   whenever the rack crashes. */
static void
test_rack_of_bound_tasks_crashes (void)
{
  set_up_workers ();
  crashes = false;
  add_job_of_rack (JOB_ID);
  add_job_of_rack (OTHER_JOB);
  for (int i = 0; i < 6; i++)
    {
      uint32_t before = starts;

      for (int k = 0; k < 3000 && starts == before; k++)
        run_workers (STEP);
      run_workers (100 * USEC_PER_MSEC);
      stop_rack (WORKER_REFUSES);
    }
  CU_ASSERT (starts >= 6);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_RUNNING);
  CU_ASSERT_EQUAL (status_of (OTHER_JOB), JOB_RUNNING);
  tear_down_workers ();
}

/* Guards against jobs that fail because many workers crash at once. */
static void
test_workers_crash_together (void)
{
  set_up_workers ();
  crashes = false;
  add_job (1);
  for (int i = 0; i < 6; i++)
    {
      uint32_t before = starts;

      for (int k = 0; k < 3000 && starts == before; k++)
        run_workers (STEP);
      run_workers (100 * USEC_PER_MSEC);
      for (uint32_t w = 0; w < WORKERS; w++)
        if (workers[w].runs->len)
          {
            stop_worker (&workers[w], WORKER_REFUSES);
            stop_worker (&workers[(w + 1) % WORKERS], WORKER_REFUSES);
            break;
          }
    }
  run_workers (12 * USEC_PER_SEC);
  CU_ASSERT (starts >= 6);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_RUNNING);
  tear_down_workers ();
}

/* Guards against crashes long after the start that are blamed on the task. */
static void
test_late_crashes (void)
{
  set_up_workers ();
  crashes = false;
  add_job (1);
  for (int i = 0; i < 6; i++)
    {
      run_workers (8 * USEC_PER_SEC);
      for (uint32_t w = 0; w < WORKERS; w++)
        if (workers[w].runs->len)
          stop_worker (&workers[w], WORKER_REFUSES);
    }
  run_workers (4 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (starts, 7);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_RUNNING);
  tear_down_workers ();
}

/* Guards against crashes that are blamed on a task which had run for longer
   than it takes, though no list has shown it yet. */
static void
test_crashes_before_second_list (void)
{
  static const usec_t after[]
      = { 1300 * USEC_PER_MSEC, 1300 * USEC_PER_MSEC, 100 * USEC_PER_MSEC };

  set_up_workers ();
  crashes = false;
  add_job (1);
  for (uint32_t i = 0; i < G_N_ELEMENTS (after); i++)
    {
      for (int k = 0; k < 3000 && starts == i; k++)
        run_workers (STEP);
      run_workers (after[i]);
      stop_worker_of_job ();
    }
  run_workers (12 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (starts, G_N_ELEMENTS (after) + 1);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_RUNNING);
  tear_down_workers ();
}

/* Guards against planned stops of workers that are blamed on their tasks. */
static void
test_leaving_workers (void)
{
  set_up_workers ();
  crashes = false;
  add_job (1);
  for (int i = 0; i < 6; i++)
    {
      uint32_t before = starts;

      for (int k = 0; k < 300 && starts == before; k++)
        run_workers (STEP);
      for (uint32_t w = 0; w < WORKERS; w++)
        if (workers[w].runs->len)
          {
            workers[w].leaving = true;
            list_workers ();
            stop_worker (&workers[w], WORKER_REFUSES);
          }
    }
  run_workers (USEC_PER_SEC);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_RUNNING);
  tear_down_workers ();
}

/* Guards against a gang that waits for good: its members are suspects, and a
   single worker is left for them. */
static void
test_gang_of_suspects (void)
{
  submission_t *submission = new_submission (GANG_MEMBERS);

  submission->steps[0].gang = true;
  set_up_workers ();
  gang = true;
  crashes = false;
  for (uint32_t w = 1; w < WORKERS; w++)
    workers[w].leaving = true;
  apply_submission (submission);
  for (uint32_t i = 1; i <= 2; i++)
    {
      for (int k = 0; k < 3000 && starts < i; k++)
        run_workers (STEP);
      run_workers (100 * USEC_PER_MSEC);
      stop_worker (&workers[0], WORKER_REFUSES);
    }
  run_workers (12 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (starts, 3);
  CU_ASSERT_EQUAL (workers[0].runs->len, GANG_MEMBERS);
  tear_down_workers ();
}

/* Guards against a suspicion that a successor does not know to be lifted. */
static void
test_successor_of_cleared_task (void)
{
  set_up_workers ();
  crashes = false;
  add_job (1);
  for (uint32_t i = 1; i <= 2; i++)
    {
      for (int k = 0; k < 3000 && starts < i; k++)
        run_workers (STEP);
      run_workers (100 * USEC_PER_MSEC);
      stop_worker_of_job ();
    }
  run_workers (20 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (starts, 3);
  take_over (2, 0);
  list_workers ();
  stop_worker_of_job ();
  run_workers (12 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_RUNNING);
  CU_ASSERT_EQUAL (starts, 4);
  tear_down_workers ();
}

/* Guards against a start that is not answered at first, and is carried out
   long after it was first sent. */
static void
test_start_repeated_for_long (void)
{
  set_up_workers ();
  lost_starts = 2;
  add_job (1);
  check_given_up ();
  tear_down_workers ();
}

/* Guards against crashes that are taken for planned stops, since the worker's
   notice to leave is read after the crash. */
static void
test_notice_after_crash (void)
{
  set_up_workers ();
  notice_after_crash = true;
  add_job (1);
  check_given_up ();
  tear_down_workers ();
}

/* Guards against crashes that are taken for ones with a common cause, since
   other workers leave at the same moments. */
static void
test_workers_leave_meanwhile (void)
{
  set_up_workers ();
  for (uint32_t i = WORKERS - LEAVING_WORKERS; i < WORKERS; i++)
    workers[i].leaving = true;
  one_leaves_with_crash = true;
  run_workers (USEC_PER_SEC);
  add_job (1);
  check_given_up ();
  tear_down_workers ();
}

/* Guards against a suspect that is given up for a crash which a task beside it
   has caused that had not been started before.  One worker is left. */
static void
test_fresh_task_beside_suspect (void)
{
  set_up_workers ();
  for (uint32_t w = 1; w < WORKERS; w++)
    workers[w].leaving = true;
  add_job_with_id (OTHER_JOB, 1);
  for (uint32_t i = 1; i <= 2; i++)
    {
      for (int k = 0; k < 3000 && !workers[0].runs->len; k++)
        run_workers (STEP);
      run_workers (100 * USEC_PER_MSEC);
      stop_worker (&workers[0], WORKER_REFUSES);
    }
  add_job (1);
  for (int k = 0; k < 3000 && !workers[0].runs->len; k++)
    run_workers (STEP);
  run_workers (500 * USEC_PER_MSEC);
  CU_ASSERT_EQUAL (starts, 0);
  run_workers (30 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= MAX_STARTS);
  CU_ASSERT_EQUAL (status_of (OTHER_JOB), JOB_RUNNING);
  tear_down_workers ();
}

static void
add_small_job_of_rack (job_id_t id)
{
  submission_t *submission = new_submission_with_id (id, 1);

  submission->steps[0].required_label = g_strdup ("r0");
  apply_submission (submission);
}

/* Guards against a suspect that is given up for a crash which a task has
   caused that had started shortly before it.  One worker of the rack is left.
 */
static void
test_fresh_task_before_suspect (void)
{
  set_up_workers ();
  workers[RACKS].leaving = true;
  crash_delay = 700 * USEC_PER_MSEC;
  add_small_job_of_rack (OTHER_JOB);
  for (uint32_t i = 0; i < 3; i++)
    {
      for (int k = 0; k < 3000 && !workers[0].runs->len; k++)
        run_workers (STEP);
      run_workers (100 * USEC_PER_MSEC);
      stop_worker (&workers[0], WORKER_REFUSES);
      if (!i)
        stop_worker (&workers[1], WORKER_REFUSES);
    }
  add_small_job_of_rack (JOB_ID);
  run_workers (60 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= MAX_STARTS);
  CU_ASSERT_EQUAL (status_of (OTHER_JOB), JOB_RUNNING);
  tear_down_workers ();
}

/* Guards against a suspect that is given up for a crash which a task has
   caused that was placed in the same pass, before it. */
static void
test_fresh_task_placed_with_suspect (void)
{
  submission_t *submission = new_submission_with_id (OTHER_JOB, 1);

  submission->priority = 1;
  set_up_workers ();
  for (uint32_t w = 1; w < WORKERS; w++)
    workers[w].leaving = true;
  apply_submission (submission);
  for (uint32_t i = 1; i <= 2; i++)
    {
      for (int k = 0; k < 3000 && !workers[0].runs->len; k++)
        run_workers (STEP);
      run_workers (100 * USEC_PER_MSEC);
      stop_worker (&workers[0], WORKER_REFUSES);
    }
  add_job (1);
  run_workers (40 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= MAX_STARTS);
  CU_ASSERT_EQUAL (status_of (OTHER_JOB), JOB_RUNNING);
  tear_down_workers ();
}

/* Guards against crashes that a successor finds at its takeover and takes for
   ones with a common cause, since an idle worker is down as well. */
static void
test_successors_one_after_another (void)
{
  sim_worker_t *idle = &workers[WORKERS - 1];

  set_up_workers ();
  g_strlcpy (idle->rack, "r9", sizeof idle->rack);
  list_workers ();
  add_job (1);
  for (uint64_t token = 2; token < 12 && status_of (JOB_ID) != JOB_FAILED;
       token++)
    {
      uint32_t before = starts;

      for (int k = 0; k < 1500 && starts == before; k++)
        run_workers (STEP);
      run_workers (100 * USEC_PER_MSEC);
      if (!idle->runs->len)
        stop_worker (idle, WORKER_REFUSES);
      take_over (token, 0);
    }
  check_given_up ();
  tear_down_workers ();
}

static void
check_late_list (usec_t pause, uint32_t most_starts)
{
  set_up_workers ();
  add_job (1);
  late_list_pause = pause;
  for (int i = 0; i < 3000 && status_of (JOB_ID) != JOB_FAILED; i++)
    run_workers (STEP);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= most_starts);
  tear_down_workers ();
}

/* Guards against a task that is cleared by a list from before the crash, which
   a paused owner reads late. */
static void
test_list_read_after_pause (void)
{
  check_late_list (1500 * USEC_PER_MSEC, MAX_STARTS);
  check_late_list (2500 * USEC_PER_MSEC, STARTS_IF_CLEAR);
}

static void
check_silent_crash (usec_t silence)
{
  set_up_workers ();
  silent_for = silence;
  add_job (1);
  run_workers (40 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= MAX_STARTS);
  tear_down_workers ();
}

/* Guards against crashes that are not counted since the worker did not answer
   for a while before it refused connections. */
static void
test_crash_after_silence (void)
{
  for (usec_t silence = 1500; silence <= 2900; silence += 100)
    check_silent_crash (silence * USEC_PER_MSEC);
}

/* The same for a worker that answers in another incarnation without having
   refused connections. */
static void
test_silent_crash (void)
{
  check_silent_crash (DOWN_TIME);
}

/* Guards against a task that is started again and again since its first
   crashes fell together with others. */
static void
test_crash_beside_another (void)
{
  set_up_workers ();
  coincidences = 3;
  add_job (1);
  check_given_up ();
  tear_down_workers ();
}

/* The same for workers that lose their power with the first crashes, so that
   only the leases of their runs end. */
static void
test_dark_crashes (void)
{
  set_up_workers ();
  dark_crashes = 3;
  add_job (1);
  run_workers (60 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= MAX_STARTS);
  tear_down_workers ();
}

/* Guards against losses that a successor does not know. */
static void
test_successor_knows_losses (void)
{
  set_up_workers ();
  coincidences = 3;
  add_job (1);
  for (int k = 0; k < 3000 && starts < 3; k++)
    run_workers (STEP);
  run_workers (DOWN_TIME + 300 * USEC_PER_MSEC);
  take_over (2, 0);
  check_given_up ();
  tear_down_workers ();
}

/* Guards against a series of starts whose crashes cannot be told from those
   with another cause, and against delays after which users take the job for
   lost. */
static void
test_starts_are_delayed (void)
{
  usec_t started = 0;
  usec_t idle;
  uint32_t before = 0;

  set_up_workers ();
  coincidences = UINT32_MAX;
  add_job (1);
  for (int k = 0; k < 5000 && starts < 12; k++)
    {
      run_workers (STEP);
      if (starts == before)
        continue;
      idle = fixture.now - started - DOWN_TIME;
      CU_ASSERT (starts == 1 || idle < 3 * USEC_PER_SEC);
      CU_ASSERT (starts <= 6 || idle >= 2 * USEC_PER_SEC);
      started = fixture.now;
      before = starts;
    }
  CU_ASSERT_EQUAL (starts, 12);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_RUNNING);
  tear_down_workers ();
}

/* Guards against crashes during a pause of the owner that is too short to be
   told from an idle time of the worker. */
static void
check_paused_owner (usec_t pause)
{
  set_up_workers ();
  add_job (1);
  for (int i = 0; i < 3000 && status_of (JOB_ID) != JOB_FAILED; i++)
    {
      uint32_t before = starts;

      run_workers (STEP);
      if (starts != before)
        fixture.now += pause;
    }
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= MAX_STARTS);
  tear_down_workers ();
}

static void
test_briefly_paused_owner (void)
{
  for (usec_t pause = 900; pause <= 2100; pause += 100)
    check_paused_owner (pause * USEC_PER_MSEC);
}

/* Guards against strong suspects that start together since the store was slow
   between their placements.  One worker is left. */
static void
test_slow_append_between_suspects (void)
{
  set_up_workers ();
  for (uint32_t w = 1; w < WORKERS; w++)
    workers[w].leaving = true;
  append_delay = 1300 * USEC_PER_MSEC;
  crash_delay = 200 * USEC_PER_MSEC;
  for (uint32_t i = 0; i < 3; i++)
    add_job_with_id (OTHER_JOB + i, 1);
  add_job (1);
  run_workers (60 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_FAILED);
  CU_ASSERT (starts >= 2 && starts <= MAX_STARTS);
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (status_of (OTHER_JOB + i), JOB_RUNNING);
  tear_down_workers ();
}

/* @return crashes of the first task of JOB_ID in its record */
static uint32_t
stored_crashes (void)
{
  job_t *job = job_new (new_submission (1));
  uint32_t count = UINT32_MAX;

  if (!job_decode (job, (blob_t){ (char *)fixture.progress->data,
                                  fixture.progress->len }))
    count = job_task (job, 0, 0, 0)->crashes;
  job_free (job);
  return count;
}

/* Guards against a crash that each owner counts anew, since the run whose
   start was not answered is not settled yet. */
static void
test_crash_counts_once (void)
{
  set_up_workers ();
  lost_starts = 1;
  add_job (1);
  for (int k = 0; k < 3000 && !unanswering; k++)
    run_workers (STEP);
  CU_ASSERT_PTR_NOT_NULL (unanswering);
  if (!unanswering)
    return;
  crashes = false;
  stop_worker (unanswering, WORKER_REFUSES);
  for (int k = 0; k < 1000 && unanswering->state != WORKER_UP; k++)
    run_workers (STEP);
  run_workers (STEP);
  CU_ASSERT_EQUAL (stored_crashes (), 1);
  take_over (2, 0);
  run_workers (10 * STEP);
  CU_ASSERT_EQUAL (stored_crashes (), 1);
  tear_down_workers ();
}

/* Guards against a crash that a successor does not count: the list of workers
   is read before the records, and already has the next incarnation. */
static void
test_successor_reads_list_first (void)
{
  set_up_workers ();
  add_job (1);
  for (uint64_t token = 2; token < 12 && status_of (JOB_ID) != JOB_FAILED;
       token++)
    {
      uint32_t before = starts;

      for (int k = 0; k < 1500 && starts == before; k++)
        run_workers (STEP);
      fixture.now += DOWN_TIME;
      revive_workers ();
      lists_before_records = true;
      take_over (token, 300 * USEC_PER_MSEC);
    }
  check_given_up ();
  tear_down_workers ();
}

/* Guards against jobs that fail because their workers are cut off until their
   leases have expired. */
static void
test_workers_are_cut_off (void)
{
  set_up_workers ();
  crashes = false;
  add_job (1);
  for (int i = 0; i < 6; i++)
    {
      uint32_t before = starts;
      sim_worker_t *w;

      for (int k = 0; k < 3000 && starts == before; k++)
        run_workers (STEP);
      w = worker_of_job ();
      CU_ASSERT_PTR_NOT_NULL (w);
      if (!w)
        break;
      w->state = WORKER_SILENT;
      w->back_at = INT64_MAX;
      for (int k = 0; k < 3000 && status_of (JOB_ID) == JOB_RUNNING
                      && worker_of_job () == w && starts == before + 1;
           k++)
        run_workers (STEP);
      g_array_set_size (w->runs, 0);
      w->state = WORKER_UP;
    }
  run_workers (12 * USEC_PER_SEC);
  CU_ASSERT (starts >= 6);
  CU_ASSERT_EQUAL (status_of (JOB_ID), JOB_RUNNING);
  tear_down_workers ();
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "task crashes workers", test_task_crashes_workers },
    { "unanswered start", test_unanswered_start },
    { "refused start", test_refused_start },
    { "long-running task", test_long_running_task },
    { "gang", test_gang },
    { "neighbours go on", test_neighbours_go_on },
    { "successor", test_successor },
    { "successor finds worker back", test_successor_finds_worker_back },
    { "paused owner", test_paused_owner },
    { "suspects one by one", test_suspects_one_by_one },
    { "racks crash", test_racks_crash },
    { "rack of bound tasks crashes", test_rack_of_bound_tasks_crashes },
    { "workers crash together", test_workers_crash_together },
    { "racks are silent", test_racks_are_silent },
    { "late crashes", test_late_crashes },
    { "crashes before the second list", test_crashes_before_second_list },
    { "leaving workers", test_leaving_workers },
    { "gang of suspects", test_gang_of_suspects },
    { "successor of a cleared task", test_successor_of_cleared_task },
    { "start repeated for long", test_start_repeated_for_long },
    { "notice after a crash", test_notice_after_crash },
    { "workers leave meanwhile", test_workers_leave_meanwhile },
    { "fresh task beside a suspect", test_fresh_task_beside_suspect },
    { "fresh task before a suspect", test_fresh_task_before_suspect },
    { "fresh task placed with a suspect",
      test_fresh_task_placed_with_suspect },
    { "successors one after another", test_successors_one_after_another },
    { "list read after a pause", test_list_read_after_pause },
    { "crash after silence", test_crash_after_silence },
    { "silent crash", test_silent_crash },
    { "crash beside another", test_crash_beside_another },
    { "dark crashes", test_dark_crashes },
    { "successor knows losses", test_successor_knows_losses },
    { "starts are delayed", test_starts_are_delayed },
    { "briefly paused owner", test_briefly_paused_owner },
    { "slow append between suspects", test_slow_append_between_suspects },
    { "crash counts once", test_crash_counts_once },
    { "successor reads list first", test_successor_reads_list_first },
    { "workers are cut off", test_workers_are_cut_off },
  };
  int code;

  log_open ("test", g_getenv ("TEST_LOG") ? LOG_LEVEL_DEBUG : LOG_LEVEL_ERR);
  code = suite_main ("shard crashes", tests, sizeof tests / sizeof *tests);
  free_fixture ();
  return code;
}
