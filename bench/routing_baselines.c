/** @file
 * Policies without routing_t.  Random, round robin and least connections let
 * an instance queue what finds it full; the others count slots.
 */
#include "routing_policies.h"

typedef struct
{
  uint32_t used[WORLD_MAX_NODES][WORLD_MAX_INSTANCES];
  uint32_t turn[WORLD_MAX_NODES];
  GSequence *queues[WORLD_MAX_NODES]; /* job numbers */
  uint32_t quota;                     /* slots of one VM for one queue */
  bool knows;                         /* run times and failing VMs */
} baseline_t;

static void start (world_t *world);
static void start_static (world_t *world);
static void start_central (world_t *world);
static void start_reference (world_t *world);
static void stop (world_t *world);
static void submit_random (world_t *world, uint32_t job);
static void submit_turn (world_t *world, uint32_t job);
static void submit_least (world_t *world, uint32_t job);
static void submit_queued (world_t *world, uint32_t job);
static void ended (world_t *world, uint32_t job, attempt_end_t end);
static void ended_queued (world_t *world, uint32_t job, attempt_end_t end);
static void finish (world_t *world, uint32_t job, attempt_end_t end);
static uint32_t least_used (world_t *world, uint32_t row, uint32_t quota);
static uint32_t cost (const world_t *world, uint32_t row, uint32_t vm);
static uint32_t row_of (const world_t *world, const job_t *job);
static void pump (world_t *world, uint32_t row, uint32_t sender);
static gint by_arrival (gconstpointer a, gconstpointer b, gpointer data);
static gint by_priority (gconstpointer a, gconstpointer b, gpointer data);

const policy_t baseline_policies[POLICY_COUNT] = {
  [POLICY_RANDOM] = { "random", start, stop, submit_random, ended, NULL },
  [POLICY_ROUND_ROBIN]
  = { "round robin", start, stop, submit_turn, ended, NULL },
  [POLICY_LEAST] = { "least conn", start, stop, submit_least, ended, NULL },
  [POLICY_STATIC]
  = { "static", start_static, stop, submit_queued, ended_queued, NULL },
  [POLICY_FCFS]
  = { "fcfs", start_central, stop, submit_queued, ended_queued, NULL },
  [POLICY_REFERENCE]
  = { "reference", start_reference, stop, submit_queued, ended_queued, NULL }
};

static void
start (world_t *world)
{
  baseline_t *b = g_new0 (baseline_t, 1);

  world->state = b;
  for (uint32_t i = 0; i < WORLD_MAX_NODES; i++)
    {
      b->queues[i] = g_sequence_new (NULL);
      b->turn[i] = g_rand_int (world->random);
    }
}

static void
start_static (world_t *world)
{
  start (world);
  ((baseline_t *)world->state)->quota
      = world->site->slots / world->site->nodes;
}

static void
start_central (world_t *world)
{
  start (world);
  ((baseline_t *)world->state)->quota = world->site->slots;
}

static void
start_reference (world_t *world)
{
  start_central (world);
  ((baseline_t *)world->state)->knows = true;
}

static void
stop (world_t *world)
{
  baseline_t *b = world->state;

  for (uint32_t i = 0; i < WORLD_MAX_NODES; i++)
    g_sequence_free (b->queues[i]);
  g_free (b);
}

static void
submit_random (world_t *world, uint32_t job)
{
  uint32_t vm;

  do
    vm = (uint32_t)g_rand_int_range (world->random, 0,
                                     (gint32)world->site->instances);
  while (world->instances[vm].away);
  world_send (world, job, vm, world_job (world, job)->origin);
}

static void
submit_turn (world_t *world, uint32_t job)
{
  baseline_t *b = world->state;
  uint32_t origin = world_job (world, job)->origin;
  uint32_t vm;

  do
    vm = b->turn[origin]++ % world->site->instances;
  while (world->instances[vm].away);
  world_send (world, job, vm, origin);
}

static void
submit_least (world_t *world, uint32_t job)
{
  baseline_t *b = world->state;
  uint32_t origin = world_job (world, job)->origin;
  uint32_t vm = least_used (world, origin, UINT32_MAX);

  b->used[origin][vm]++;
  world_send (world, job, vm, origin);
}

static void
submit_queued (world_t *world, uint32_t job)
{
  baseline_t *b = world->state;
  const job_t *j = world_job (world, job);
  uint32_t row = row_of (world, j);

  g_sequence_insert_sorted (b->queues[row], GUINT_TO_POINTER (job),
                            b->knows ? by_priority : by_arrival, world);
  pump (world, row, b->quota < world->site->slots ? row : WORLD_CENTRAL);
}

static void
ended (world_t *world, uint32_t job, attempt_end_t end)
{
  baseline_t *b = world->state;
  const job_t *j = world_job (world, job);

  if (b->used[j->origin][j->vm])
    b->used[j->origin][j->vm]--;
  finish (world, job, end);
}

static void
ended_queued (world_t *world, uint32_t job, attempt_end_t end)
{
  baseline_t *b = world->state;
  const job_t *j = world_job (world, job);
  uint32_t row = row_of (world, j);

  b->used[row][j->vm]--;
  finish (world, job, end);
  pump (world, row, j->sender);
}

static void
finish (world_t *world, uint32_t job, attempt_end_t end)
{
  static const job_state_t states[] = { [ATTEMPT_RAN] = JOB_RAN,
                                        [ATTEMPT_NOT_STARTED] = JOB_FAILED,
                                        [ATTEMPT_NO_ANSWER] = JOB_UNKNOWN,
                                        [ATTEMPT_FAILED] = JOB_FAILED };

  world_finish (world, job, states[end]);
}

/** @return the VM with the fewest in the counts of ROW, from a random place
    on; the number of instances if all have QUOTA or more */
static uint32_t
least_used (world_t *world, uint32_t row, uint32_t quota)
{
  const baseline_t *b = world->state;
  uint32_t count = world->site->instances;
  uint32_t from = g_rand_int (world->random) % count;
  uint32_t best = count;

  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t vm = (from + i) % count;

      if (world->instances[vm].away || b->used[row][vm] >= quota
          || (b->knows && world->instances[vm].failing))
        continue;
      if (best == count || cost (world, row, vm) < cost (world, row, best))
        best = vm;
    }
  return best;
}

/** @return what is in use; the reference takes slow VMs last */
static uint32_t
cost (const world_t *world, uint32_t row, uint32_t vm)
{
  const baseline_t *b = world->state;

  return b->used[row][vm]
         + (b->knows && world->instances[vm].slow ? world->site->slots : 0);
}

/** @return the queue and counts of a job: its process's or the only one */
static uint32_t
row_of (const world_t *world, const job_t *job)
{
  const baseline_t *b = world->state;

  return b->quota < world->site->slots ? job->origin : 0;
}

static void
pump (world_t *world, uint32_t row, uint32_t sender)
{
  baseline_t *b = world->state;

  while (!g_sequence_is_empty (b->queues[row]))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (b->queues[row]);
      uint32_t job = GPOINTER_TO_UINT (g_sequence_get (first));
      const job_t *j = world_job (world, job);
      uint32_t vm;

      if (b->knows && world->now + j->service > j->deadline)
        {
          g_sequence_remove (first);
          world_finish (world, job, JOB_REFUSED);
          continue;
        }
      vm = least_used (world, row, b->quota);
      if (vm == world->site->instances)
        return;
      g_sequence_remove (first);
      b->used[row][vm]++;
      world_send (world, job, vm, sender);
    }
}

static gint
by_arrival (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return GPOINTER_TO_INT (a) - GPOINTER_TO_INT (b);
}

static gint
by_priority (gconstpointer a, gconstpointer b, gpointer data)
{
  const world_t *world = data;
  const job_t *x = world_job (world, GPOINTER_TO_UINT (a));
  const job_t *y = world_job (world, GPOINTER_TO_UINT (b));
  const work_t *work = world->site->work;

  if (work[x->kind].priority != work[y->kind].priority)
    return work[x->kind].priority < work[y->kind].priority ? -1 : 1;
  if (x->deadline != y->deadline)
    return x->deadline < y->deadline ? -1 : 1;
  return by_arrival (a, b, data);
}
