/** @file
 * A site on a paused clock.
 */
#include "routing_world.h"

#include <math.h>
#include <stdio.h>
#include <xxhash.h>

#define SETTLE_TIME (4 * USEC_PER_SEC) /* for what is open at the end */
#define FAIL_TIME (1 * USEC_PER_MSEC)
#define DETECT_TIME (20 * USEC_PER_MSEC)
#define SUSPECT_TIME (1000 * USEC_PER_MSEC)
#define REFUSED_SHARE 0.3
#define MAX_RETURNS 5U
#define JITTER_SHARE 0.1     /* mean of the exponential part of a delay */
#define DROP_SHARE 0.001     /* of the messages between zones */
#define DROP_ROUND_TRIPS 3LL /* that a repeated message takes */
#define SAMPLES 200000

typedef void (*handler_t) (world_t *world, const event_t *event);

static void set_up (world_t *world, uint32_t seed);
static double mean_service (const scenario_t *scenario);
static usec_t draw_service (GRand *random, const work_t *work);
static double normal (GRand *random);
static double rate (const world_t *world);
static void on_arrival (world_t *world, const event_t *event);
static void on_return (world_t *world, const event_t *event);
static void on_at_vm (world_t *world, const event_t *event);
static void on_vm_done (world_t *world, const event_t *event);
static void on_answer (world_t *world, const event_t *event);
static void on_fault (world_t *world, const event_t *event);
static void on_noise (world_t *world, const event_t *event);
static void start_work (world_t *world, uint32_t job);
static void answer (world_t *world, uint32_t job, attempt_end_t end);
static void add_job (world_t *world, const job_t *job);
static uint32_t pick_node (world_t *world);
static event_t pop (world_t *world);
static bool before (const event_t *a, const event_t *b);

/* Events without a row here are the policy's. */
static const handler_t handlers[]
    = { [EVENT_ARRIVAL] = on_arrival, [EVENT_AT_VM] = on_at_vm,
        [EVENT_VM_DONE] = on_vm_done, [EVENT_ANSWER] = on_answer,
        [EVENT_FAULT] = on_fault,     [EVENT_RETURN] = on_return,
        [EVENT_NOISE] = on_noise };

world_t *
world_run (const scenario_t *scenario, const policy_t *policy, uint32_t seed)
{
  world_t *world = g_new0 (world_t, 1);
  usec_t end = scenario->duration + SETTLE_TIME;

  world->scenario = scenario;
  world->site = scenario->site;
  world->policy = policy;
  set_up (world, seed);
  policy->start (world);
  while (world->events->len)
    {
      event_t event = pop (world);

      if (event.at > end)
        break;
      world->now = event.at;
      if (event.kind < G_N_ELEMENTS (handlers) && handlers[event.kind])
        handlers[event.kind](world, &event);
      else if (policy->event)
        policy->event (world, &event);
    }
  policy->stop (world);
  return world;
}

void
world_free (world_t *world)
{
  for (uint32_t i = 0; i < world->site->instances; i++)
    g_queue_clear (&world->instances[i].waiting);
  g_rand_free (world->arrivals);
  g_rand_free (world->links);
  g_rand_free (world->noise);
  g_rand_free (world->random);
  g_array_free (world->jobs, TRUE);
  g_array_free (world->events, TRUE);
  g_free (world);
}

job_t *
world_job (const world_t *world, uint32_t job)
{
  return &g_array_index (world->jobs, job_t, job);
}

uint32_t
world_node_zone (const world_t *world, uint32_t node)
{
  return node % world->site->zones;
}

void
world_post (world_t *world, usec_t at, event_kind_t kind, uint32_t a,
            uint32_t b, uint32_t c, uint32_t d)
{
  event_t event = { at, world->order++, kind, a, b, c, d };
  guint i = world->events->len;
  event_t *heap;

  g_array_append_val (world->events, event);
  heap = &g_array_index (world->events, event_t, 0);
  while (i && before (&event, &heap[(i - 1) / 2]))
    {
      heap[i] = heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  heap[i] = event;
}

void
world_send (world_t *world, uint32_t job, uint32_t vm, uint32_t sender)
{
  job_t *j = world_job (world, job);
  usec_t delay = 0;

  j->vm = vm;
  j->sender = sender;
  if (j->attempts++)
    world->retries++;
  if (sender != WORLD_CENTRAL)
    delay = world_link (world, world_node_zone (world, sender),
                        world->instances[vm].zone);
  if (delay < 0)
    world_post (world, world->now + world->site->work[j->kind].run_limit,
                EVENT_ANSWER, job, ATTEMPT_NO_ANSWER, j->attempts, 0);
  else
    world_post (world, world->now + delay, EVENT_AT_VM, job, 0, 0, 0);
}

usec_t
world_link (world_t *world, uint32_t zone_a, uint32_t zone_b)
{
  bool local = zone_a == zone_b;
  usec_t base = local ? world->site->local_delay : world->site->zone_delay;
  double draw = g_rand_double (world->links);
  bool dropped = !local && g_rand_double (world->links) < DROP_SHARE;

  if (world->cut && !local && (zone_a == 0 || zone_b == 0))
    return -1;
  if (dropped)
    base += DROP_ROUND_TRIPS * 2 * base;
  return base + (usec_t)(-log (1.0 - draw) * JITTER_SHARE * (double)base);
}

void
world_finish (world_t *world, uint32_t job, job_state_t state)
{
  job_t *j = world_job (world, job);

  if (j->state != JOB_OPEN)
    return;
  j->state = state;
  j->latency = world->now - j->arrival;
  if (state == JOB_REFUSED && world->scenario->callers_return && j->retry_after
      && j->returns < MAX_RETURNS)
    world_post (world, world->now + j->retry_after, EVENT_RETURN, job, 0, 0,
                0);
}

static void
set_up (world_t *world, uint32_t seed)
{
  const site_t *site = world->site;

  world->arrivals = g_rand_new_with_seed (seed);
  world->links = g_rand_new_with_seed (seed + 1000);
  world->noise = g_rand_new_with_seed (seed + 3000);
  world->random = g_rand_new_with_seed (seed + 2000);
  world->jobs = g_array_new (FALSE, TRUE, sizeof (job_t));
  world->events = g_array_new (FALSE, TRUE, sizeof (event_t));
  world->base_rate
      = site->instances * site->slots / mean_service (world->scenario);
  for (uint32_t i = 0; i < site->nodes; i++)
    world->alive[i] = true;
  for (uint32_t i = 0; i < site->instances; i++)
    {
      instance_t *vm = &world->instances[i];

      snprintf (vm->id, sizeof vm->id, "%s-%u", site->name, i);
      vm->zone = i % site->zones;
      vm->shard = vm->zone * WORLD_SHARDS_PER_ZONE
                  + (uint32_t)(XXH64 (vm->id, sizeof vm->id, 0)
                               % WORLD_SHARDS_PER_ZONE);
      vm->away = world->scenario->fault == FAULT_THIRD_AWAY && i % 3 == 0;
      g_queue_init (&vm->waiting);
      if (world->scenario->noisy)
        world_post (world,
                    g_rand_int_range (world->noise, 0, WORLD_QUIET_TIME),
                    EVENT_NOISE, i, 0, 0, 0);
    }
  world_post (world, 0, EVENT_ARRIVAL, 0, 0, 0, 0);
  if (world->scenario->fault != FAULT_NONE)
    world_post (world, WORLD_EVENT_FROM, EVENT_FAULT, 0, 0, 0, 0);
}

/** The mean over both kinds, whether or not the long one is left out, so
    that the short load is the same with and without it. */
static double
mean_service (const scenario_t *scenario)
{
  GRand *random = g_rand_new_with_seed (99);
  double mean = 0;

  for (int k = 0; k < WORK_KINDS; k++)
    {
      const work_t *work = &scenario->site->work[k];
      double sum = 0;

      for (int i = 0; i < SAMPLES; i++)
        sum += (double)MIN (draw_service (random, work), work->run_limit);
      mean += work->share * sum / SAMPLES;
    }
  g_rand_free (random);
  return mean;
}

static usec_t
draw_service (GRand *random, const work_t *work)
{
  double time = (double)work->median * exp (work->sigma * normal (random));

  if (g_rand_double (random) < work->overrun_share)
    time *= work->overrun_factor;
  return (usec_t)time;
}

static double
normal (GRand *random)
{
  double u = 1.0 - g_rand_double (random);
  double v = g_rand_double (random);

  return sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * v);
}

static double
rate (const world_t *world)
{
  const scenario_t *s = world->scenario;
  bool surge = s->surge > 0 && world->now >= WORLD_EVENT_FROM
               && world->now < WORLD_EVENT_FROM + WORLD_SURGE_TIME;

  return world->base_rate * s->load * (surge ? s->surge : 1.0);
}

static void
on_arrival (world_t *world, const event_t *event)
{
  const scenario_t *s = world->scenario;
  double gap = -log (1.0 - g_rand_double (world->arrivals)) / rate (world);
  const work_t *work;
  job_t job = { .state = JOB_OPEN };
  bool surge = s->surge_of_one_member && world->now >= WORLD_EVENT_FROM
               && world->now < WORLD_EVENT_FROM + WORLD_SURGE_TIME;
  double extra = surge ? 1.0 - 1.0 / s->surge : 0;

  (void)event;
  if (world->now >= s->duration)
    return;
  world_post (world, world->now + (usec_t)gap + 1, EVENT_ARRIVAL, 0, 0, 0, 0);
  job.kind = g_rand_double (world->arrivals) < s->site->work[WORK_LONG].share
                 ? WORK_LONG
                 : WORK_SHORT;
  work = &s->site->work[job.kind];
  job.service = draw_service (world->arrivals, work);
  job.origin = pick_node (world);
  job.member = (uint8_t)g_rand_int_range (world->arrivals, 0, WORLD_MEMBERS);
  if (g_rand_double (world->arrivals) < extra)
    job.member = 0;
  if (!s->no_long || job.kind == WORK_SHORT)
    add_job (world, &job);
}

static void
on_return (world_t *world, const event_t *event)
{
  job_t job = *world_job (world, event->a);

  job.state = JOB_OPEN;
  job.attempts = 0;
  job.forwarded = false;
  job.returns++;
  job.origin = pick_node (world);
  add_job (world, &job);
}

static void
add_job (world_t *world, const job_t *job)
{
  job_t row = *job;

  row.arrival = world->now;
  row.deadline = world->now + world->site->work[job->kind].deadline;
  g_array_append_val (world->jobs, row);
  world->policy->submit (world, world->jobs->len - 1);
}

/** The platform's load balancer: any process that it can reach. */
static uint32_t
pick_node (world_t *world)
{
  uint32_t node;

  do
    node = (uint32_t)g_rand_int_range (world->arrivals, 0,
                                       (gint32)world->site->nodes);
  while (!world->alive[node]
         || (world->cut && world_node_zone (world, node) == 0));
  return node;
}

static void
on_at_vm (world_t *world, const event_t *event)
{
  instance_t *vm = &world->instances[world_job (world, event->a)->vm];

  bool refused
      = world->refusing && g_rand_double (world->links) < REFUSED_SHARE;

  if (vm->failing || refused)
    {
      bool refuses = refused || (vm - world->instances) % 2;

      world_post (world, world->now + FAIL_TIME, EVENT_VM_DONE, event->a, 1,
                  refuses ? ATTEMPT_NOT_STARTED : ATTEMPT_FAILED, 0);
      return;
    }
  if (vm->running < world->site->slots)
    {
      start_work (world, event->a);
      return;
    }
  world->over_slots++;
  g_queue_push_tail (&vm->waiting, GUINT_TO_POINTER (event->a));
}

/** A wave of batch work begins or ends on a VM. */
static void
on_noise (world_t *world, const event_t *event)
{
  instance_t *vm = &world->instances[event->a];
  double mean;

  vm->slow = !vm->slow;
  mean = (double)(vm->slow ? WORLD_NOISY_TIME : WORLD_QUIET_TIME);
  world_post (world,
              world->now
                  + (usec_t)(-log (1.0 - g_rand_double (world->noise)) * mean),
              EVENT_NOISE, event->a, 0, 0, 0);
}

static void
start_work (world_t *world, uint32_t job)
{
  job_t *j = world_job (world, job);
  usec_t limit = world->site->work[j->kind].run_limit;
  usec_t time = world->instances[j->vm].slow ? j->service * WORLD_SLOW_FACTOR
                                             : j->service;
  bool ran = time <= limit;

  world->instances[j->vm].running++;
  j->started = world->now;
  world_post (world, world->now + (ran ? time : limit), EVENT_VM_DONE, job, 0,
              ran ? ATTEMPT_RAN : ATTEMPT_FAILED, 0);
}

static void
on_vm_done (world_t *world, const event_t *event)
{
  instance_t *vm = &world->instances[world_job (world, event->a)->vm];

  if (!event->b)
    {
      vm->running--;
      if (!g_queue_is_empty (&vm->waiting))
        start_work (world, GPOINTER_TO_UINT (g_queue_pop_head (&vm->waiting)));
    }
  answer (world, event->a, (attempt_end_t)event->c);
}

static void
answer (world_t *world, uint32_t job, attempt_end_t end)
{
  const job_t *j = world_job (world, job);
  usec_t at = world->now;
  usec_t delay = 0;

  if (j->sender != WORLD_CENTRAL)
    delay = world_link (world, world->instances[j->vm].zone,
                        world_node_zone (world, j->sender));
  if (delay < 0)
    {
      at = MAX (at, j->started + world->site->work[j->kind].run_limit);
      end = ATTEMPT_NO_ANSWER;
      delay = 0;
    }
  world_post (world, at + delay, EVENT_ANSWER, job, end, j->attempts, 0);
}

static void
on_answer (world_t *world, const event_t *event)
{
  const job_t *j = world_job (world, event->a);

  if (j->sender != WORLD_CENTRAL && !world->alive[j->sender])
    return;
  world->policy->ended (world, event->a, (attempt_end_t)event->b);
}

static void
on_fault (world_t *world, const event_t *event)
{
  fault_t fault = world->scenario->fault;

  if (fault == FAULT_THIRD_FAILS)
    for (uint32_t i = 0; i < world->site->instances; i += 3)
      world->instances[i].failing = true;
  world->refusing = fault == FAULT_REFUSALS;
  if (fault == FAULT_KILL)
    {
      world->alive[0] = world->alive[3] = false;
      for (uint32_t i = 0; i < world->jobs->len; i++)
        if (!world->alive[world_job (world, i)->origin])
          world_finish (world, i, JOB_LOST);
      world_post (world, world->now + DETECT_TIME, EVENT_DETECTED, 0, 0, 0, 0);
    }
  if (fault == FAULT_ZONE_CUT)
    {
      world->cut = !event->a;
      if (!event->a)
        world_post (world, world->now + WORLD_CUT_TIME, EVENT_FAULT, 1, 0, 0,
                    0);
      world_post (world, world->now + SUSPECT_TIME, EVENT_DETECTED, event->a,
                  0, 0, 0);
    }
}

static event_t
pop (world_t *world)
{
  event_t *heap = &g_array_index (world->events, event_t, 0);
  event_t first = heap[0];
  event_t last = heap[world->events->len - 1];
  guint len = world->events->len - 1;
  guint i = 0;

  g_array_set_size (world->events, len);
  while (2 * i + 1 < len)
    {
      guint child = 2 * i + 1;

      if (child + 1 < len && before (&heap[child + 1], &heap[child]))
        child++;
      if (!before (&heap[child], &last))
        break;
      heap[i] = heap[child];
      i = child;
    }
  if (len)
    heap[i] = last;
  return first;
}

static bool
before (const event_t *a, const event_t *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}
