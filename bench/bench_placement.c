/* Bench of placement: cost of one decision by size of the fleet, and a
   simulated mix of services and batch work against first fit by declared
   size that evicts the youngest.  Seeds are fixed. */
#include "placement/placement.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define SECONDS (2 * 3600)
#define WORKERS 65U
#define WORKER_MILLICORES 48000U /* of 64 cores; the rest is the services' */
#define WORKER_MEMORY_MB 250000U
#define MAX_RUNNING 400U
#define LAG 5U              /* seconds by which reports are late */
#define RESTART_COST 30.0   /* seconds of work lost by an eviction */
#define DEADLINE 1.5        /* slowdown beyond which a deadline is missed */
#define HOT 1.25            /* slowdown at which the baseline evicts */
#define BASELINE_PAUSE 2U   /* seconds between two evictions on a worker */
#define SERVICE_SHARE 0.6   /* workers that carry a service */
#define ARRIVAL_FACTOR 1.15 /* offered work by what the fleet holds */

typedef struct
{
  const char *name;
  double declared_cores;
  double true_ratio; /* mean of used by declared */
  double spread;     /* of the ratio between tasks */
  double memory_mb;
  double least_seconds;
  double alpha; /* of the run times' Pareto distribution */
  double slows; /* the service, per share of cores */
  bool resumable;
} class_t;

static const class_t classes[] = {
  { "blend", 8.0, 0.35, 0.10, 8000, 300, 1.5, 0.3, true },
  { "kiln", 1.0, 1.00, 0.10, 2000, 1200, 1.3, 0.0, true },
  { "plate", 4.0, 1.60, 0.20, 6000, 120, 1.8, 0.4, false },
  { "noisy", 4.0, 0.80, 0.10, 12000, 200, 1.5, 3.0, true },
};
#define CLASSES G_N_ELEMENTS (classes)
#define NOISY (CLASSES - 1)
#define WAVE_SECONDS 900U
#define WAVE_TASKS 300U

typedef struct
{
  uint64_t id;
  uint64_t attempt;
  unsigned class_;
  double cores; /* truly used */
  double left;  /* seconds of work */
  double seconds_lost;
  unsigned since;
  double speed;
  bool evicted;
  int failed_on;
} task_sim_t;

typedef struct
{
  char id[12];
  task_sim_t tasks[MAX_RUNNING];
  unsigned count;
  double declared; /* baseline: reserved cores */
  double declared_mb;
  bool has_service;
  bool fails;
  double phase;
  double slowdown[LAG + 1];
  unsigned relieved_at;
} worker_sim_t;

typedef struct
{
  bool waves;   /* of the noisy class */
  bool learned; /* the policy under test, else the baseline */
  GRand *random;
  placement_t *placement;
  worker_sim_t *workers;
  GQueue pending[CLASSES]; /* task_sim_t */
  uint64_t next_id;
  unsigned now;
  double core_seconds;
  double of_class[CLASSES];
  double service_weight;
  double missed_weight;
  double worst_slowdown;
  unsigned evictions;
  unsigned throttles;
  double overload_seconds;
} sim_t;

static usec_t
usec_of (const sim_t *sim)
{
  return (usec_t)sim->now * USEC_PER_SEC;
}

static double
pareto (GRand *random, double least, double alpha)
{
  double value
      = least / pow (1.0 - g_rand_double_range (random, 0, 0.999), 1 / alpha);

  return MIN (value, least * 50.0);
}

/* Demand swings between 0.3 and 1 over 20 minutes, with short peaks. */
static double
demand (const sim_t *sim, const worker_sim_t *worker)
{
  double angle = 2 * G_PI * (sim->now / 1200.0 + worker->phase);
  bool peak = sim->now % 900 < 40;

  return (0.65 + 0.35 * sin (angle)) * (peak ? 1.5 : 1.0);
}

static void
on_relief (void *ctx, usec_t now, const char *id, uint64_t order,
           uint64_t attempt, relief_action_t relief)
{
  sim_t *sim = (sim_t *)ctx;
  worker_sim_t *worker = &sim->workers[g_ascii_strtoull (id + 1, NULL, 10)];

  (void)now;
  (void)attempt;
  for (unsigned i = 0; i < worker->count; i++)
    {
      task_sim_t *task = &worker->tasks[i];

      if (task->id != order)
        continue;
      task->evicted = relief == ACTION_EVICT;
      if (relief == ACTION_THROTTLE)
        task->speed = 0.5;
      if (relief == ACTION_UNTHROTTLE)
        task->speed = 1.0;
      sim->throttles += relief == ACTION_THROTTLE;
    }
}

static const placement_ops_t ops = { on_relief };

static worker_sim_t *
choose (sim_t *sim, const task_sim_t *task)
{
  const class_t *class_ = &classes[task->class_];
  task_t info
      = { .order = task->id,
          .attempt = task->attempt,
          .class_name = class_->name,
          .team = "t",
          .millicores = (uint64_t)(class_->declared_cores * 1000),
          .memory_mb = (uint64_t)class_->memory_mb,
          .resumable = class_->resumable,
          .avoid
          = task->failed_on < 0 ? NULL : sim->workers[task->failed_on].id };
  const char *id = NULL;

  if (sim->learned)
    return placement_choose (sim->placement, usec_of (sim), &info, &id)
                   == PLACE_OK
               ? &sim->workers[g_ascii_strtoull (id + 1, NULL, 10)]
               : NULL;
  for (unsigned i = 0; i < WORKERS; i++)
    {
      worker_sim_t *worker = &sim->workers[i];

      if (worker->declared + class_->declared_cores
              <= WORKER_MILLICORES / 1000.0
          && worker->declared_mb + class_->memory_mb <= WORKER_MEMORY_MB
          && (int)i != task->failed_on)
        return worker;
    }
  return NULL;
}

static void
arrive_one (sim_t *sim, unsigned class_number)
{
  task_sim_t *task = g_new0 (task_sim_t, 1);
  const class_t *class_ = &classes[class_number];

  task->id = ++sim->next_id;
  task->attempt = 1;
  task->class_ = class_number;
  task->cores
      = class_->declared_cores
        * MAX (class_->true_ratio
                   + class_->spread * (g_rand_double (sim->random) * 4 - 2),
               0.05);
  task->left = pareto (sim->random, class_->least_seconds, class_->alpha);
  task->failed_on = -1;
  g_queue_push_tail (&sim->pending[class_number], task);
}

static void
arrive (sim_t *sim)
{
  const unsigned kinds = CLASSES;
  double rate = 0.0;
  unsigned count;

  for (unsigned i = 0;
       sim->waves && sim->now % WAVE_SECONDS == WAVE_SECONDS - 1
       && i < WAVE_TASKS;
       i++)
    arrive_one (sim, NOISY);
  for (unsigned i = 0; i < CLASSES; i++)
    rate += classes[i].declared_cores * classes[i].true_ratio
            * classes[i].least_seconds * classes[i].alpha
            / (classes[i].alpha - 1) / kinds;
  rate = ARRIVAL_FACTOR * WORKERS * (WORKER_MILLICORES / 1000.0) / rate;
  count = (unsigned)rate;
  count += g_rand_double (sim->random) < rate - count;
  for (unsigned i = 0; i < count; i++)
    arrive_one (sim,
                (unsigned)g_rand_int_range (
                    sim->random, 0, (gint32)(sim->waves ? NOISY : CLASSES)));
}

static void
place_pending (sim_t *sim)
{
  for (unsigned i = 0; i < CLASSES; i++)
    while (sim->pending[i].length)
      {
        task_sim_t *task = (task_sim_t *)g_queue_peek_head (&sim->pending[i]);
        worker_sim_t *worker = choose (sim, task);

        if (!worker || worker->count == MAX_RUNNING)
          break;
        task->since = sim->now;
        task->speed = 1.0;
        task->evicted = false;
        worker->declared += classes[i].declared_cores;
        worker->declared_mb += classes[i].memory_mb;
        worker->tasks[worker->count++] = *task;
        g_free (g_queue_pop_head (&sim->pending[i]));
      }
}

static void
leave (sim_t *sim, worker_sim_t *worker, unsigned index, bool ok, bool again)
{
  task_sim_t *task = &worker->tasks[index];
  const class_t *class_ = &classes[task->class_];

  worker->declared -= class_->declared_cores;
  worker->declared_mb -= class_->memory_mb;
  if (sim->learned)
    placement_attempt_ended (
        sim->placement, usec_of (sim), worker->id, task->id, task->attempt, ok,
        again && ok ? 0 : (sim->now - task->since) * USEC_PER_SEC);
  if (again)
    {
      task->attempt++;
      g_queue_push_head (&sim->pending[task->class_],
                         g_memdup2 (task, sizeof *task));
    }
  *task = worker->tasks[--worker->count];
}

static void
report (sim_t *sim, worker_sim_t *worker)
{
  for (unsigned i = 0; i < worker->count; i++)
    {
      const task_sim_t *task = &worker->tasks[i];

      if (sim->now >= task->since + LAG)
        placement_record_usage (sim->placement, usec_of (sim), worker->id,
                                task->id, task->attempt,
                                (uint64_t)(task->cores * task->speed * 1000),
                                (uint64_t)classes[task->class_].memory_mb);
    }
  if (worker->has_service)
    placement_record_slowdown (
        sim->placement, usec_of (sim), worker->id, "quote",
        (uint64_t)(worker->slowdown[(sim->now + 1) % (LAG + 1)] * 1000));
}

/* The baseline evicts the youngest as long as the service is slow. */
static void
evict_youngest (sim_t *sim, worker_sim_t *worker)
{
  task_sim_t *youngest = NULL;

  if (worker->slowdown[(sim->now + 1) % (LAG + 1)] < HOT
      || sim->now < worker->relieved_at + BASELINE_PAUSE)
    return;
  for (unsigned i = 0; i < worker->count; i++)
    if (classes[worker->tasks[i].class_].resumable
        && (!youngest || worker->tasks[i].since >= youngest->since))
      youngest = &worker->tasks[i];
  if (youngest)
    youngest->evicted = true;
  worker->relieved_at = sim->now;
}

static void
run_worker (sim_t *sim, worker_sim_t *worker)
{
  double use = 0.0;
  double slowdown = 1.0;
  double weight = demand (sim, worker);
  double squeeze;

  for (unsigned i = 0; i < worker->count; i++)
    {
      const task_sim_t *task = &worker->tasks[i];
      double cores = task->cores * task->speed;

      use += cores;
      slowdown += classes[task->class_].slows * weight * cores * 1000
                  / WORKER_MILLICORES;
    }
  squeeze = MIN (1.0, WORKER_MILLICORES / 1000.0 / MAX (use, 1e-9));
  if (squeeze < 1.0)
    {
      slowdown += 2.0 * (1.0 / squeeze - 1.0) * weight;
      sim->overload_seconds += 1.0;
    }
  worker->slowdown[sim->now % (LAG + 1)] = slowdown;
  if (worker->has_service)
    {
      sim->service_weight += weight;
      sim->missed_weight += slowdown > DEADLINE ? weight : 0.0;
      sim->worst_slowdown = MAX (sim->worst_slowdown, slowdown);
    }
  for (unsigned i = worker->count; i-- > 0;)
    {
      task_sim_t *task = &worker->tasks[i];

      if (worker->fails && sim->now >= task->since + 5)
        {
          task->failed_on = (int)(worker - sim->workers);
          leave (sim, worker, i, false, true);
          continue;
        }
      if (!worker->fails)
        {
          task->left -= task->speed * squeeze;
          sim->core_seconds += task->cores * task->speed * squeeze;
          sim->of_class[task->class_] += task->cores * task->speed * squeeze;
        }
      if (task->left <= 0)
        leave (sim, worker, i, true, false);
      else if (task->evicted)
        {
          sim->evictions++;
          sim->core_seconds -= RESTART_COST * task->cores;
          task->left += RESTART_COST;
          leave (sim, worker, i, true, true);
        }
    }
}

static void
sim_begin (sim_t *sim, bool learned, guint32 seed, unsigned failing,
           unsigned without)
{
  bool waves = sim->waves;

  memset (sim, 0, sizeof *sim);
  sim->waves = waves;
  sim->learned = learned;
  sim->random = g_rand_new_with_seed (seed);
  sim->placement = placement_new (sim->random, &ops, sim);
  sim->workers = g_new0 (worker_sim_t, WORKERS);
  for (unsigned i = 0; i < CLASSES; i++)
    g_queue_init (&sim->pending[i]);
  for (unsigned i = 0; i < WORKERS; i++)
    {
      worker_sim_t *worker = &sim->workers[i];
      worker_info_t info
          = { worker->id,       i % 4, i / 8,          WORKER_MILLICORES,
              WORKER_MEMORY_MB, 0,     i % 3 < without };

      snprintf (worker->id, sizeof worker->id, "w%u", i);
      worker->has_service = g_rand_double (sim->random) < SERVICE_SHARE;
      worker->phase = g_rand_double (sim->random);
      worker->fails = i % 3 < failing;
      if (i % 3 < without)
        worker->declared = 1e9;
      for (unsigned j = 0; j <= LAG; j++)
        worker->slowdown[j] = 1.0;
      placement_set_worker (sim->placement, 0, &info);
    }
}

static void
sim_run (sim_t *sim, bool learned, guint32 seed, unsigned failing,
         unsigned without)
{
  sim_begin (sim, learned, seed, failing, without);
  for (sim->now = 0; sim->now < SECONDS; sim->now++)
    {
      arrive (sim);
      place_pending (sim);
      for (unsigned i = 0; i < WORKERS; i++)
        {
          run_worker (sim, &sim->workers[i]);
          if (learned)
            report (sim, &sim->workers[i]);
          else
            evict_youngest (sim, &sim->workers[i]);
        }
      if (learned)
        placement_tick (sim->placement, usec_of (sim));
    }
  for (unsigned i = 0; i < CLASSES; i++)
    g_queue_clear_full (&sim->pending[i], g_free);
  placement_free (sim->placement);
  g_rand_free (sim->random);
  g_free (sim->workers);
}

static void
compare (guint32 seed, bool waves)
{
  static const char *const names[]
      = { "first fit, evict youngest", "learned" };
  sim_t sim;

  for (int learned = 0; learned < 2; learned++)
    {
      sim.waves = waves;
      sim_run (&sim, learned, seed, 0, 0);
      printf ("  seed %u  %-26s %8.0f core-hours  %7.4f%% missed  %6u "
              "evictions  %6u throttles  %5.2f%% worker time overloaded\n",
              seed, names[learned], sim.core_seconds / 3600,
              100 * sim.missed_weight / sim.service_weight, sim.evictions,
              sim.throttles, 100 * sim.overload_seconds / SECONDS / WORKERS);
      printf ("         worst slowdown %.2f; core-hours by class",
              sim.worst_slowdown);
      for (unsigned i = 0; i < CLASSES; i++)
        printf ("  %s %.0f", classes[i].name, sim.of_class[i] / 3600);
      printf ("\n");
    }
}

static void
failing_third (guint32 seed)
{
  for (int learned = 0; learned < 2; learned++)
    {
      sim_t failing = { 0 };
      sim_t without = { 0 };

      sim_run (&failing, learned, seed, 1, 0);
      sim_run (&without, learned, seed, 0, 1);
      printf ("  seed %u  a third of the workers fails everything: %s does "
              "%.1f%% of the work it does without them\n",
              seed, learned ? "learned" : "first fit",
              100 * failing.core_seconds / without.core_seconds);
    }
}

static double
microseconds (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/* Fills the fleet to a share of its cores, then replaces tasks one by one;
   FULL asks for more than is free. */
static void
cost (unsigned workers, double fill, const char *name, uint64_t millicores,
      bool services)
{
  GRand *random = g_rand_new_with_seed (5);
  placement_t *placement = placement_new (random, &ops, NULL);
  const unsigned tasks = (unsigned)(fill * workers * 16);
  const unsigned rounds = 20000;
  const char **where = g_new0 (const char *, tasks);
  unsigned placed = 0;
  double worst = 0.0;
  double sum = 0.0;
  double tick;
  task_t task = { .class_name = "blend",
                  .team = "t",
                  .memory_mb = 4000,
                  .millicores = 2000,
                  .attempt = 1 };
  char id[12];

  for (unsigned i = 0; i < workers; i++)
    {
      worker_info_t info = { id, i % 38, i / 6, 32000, 125000, 2, false };

      snprintf (id, sizeof id, "w%u", i);
      placement_set_worker (placement, 0, &info);
      if (services)
        placement_record_slowdown (placement, 0, id, "quote", 1050);
    }
  for (unsigned i = 0; i < tasks; i++)
    {
      task.order = i;
      placement_choose (placement, 0, &task, &where[i]);
    }
  task.millicores = millicores;
  for (unsigned i = 0; i < rounds; i++)
    {
      unsigned slot = (unsigned)g_rand_int_range (random, 0, (gint32)tasks);
      const char *worker = NULL;
      double begin;

      if (millicores == 2000 && where[slot])
        placement_attempt_ended (placement, 0, where[slot], slot, 1, true, 1);
      task.order = slot;
      begin = microseconds ();
      placement_choose (placement, 0, &task, &worker);
      begin = microseconds () - begin;
      sum += begin;
      placed += worker != NULL;
      worst = MAX (worst, begin);
      where[slot] = worker ? worker : where[slot];
    }
  tick = microseconds ();
  placement_tick (placement, USEC_PER_SEC);
  tick = microseconds () - tick;
  printf ("  %5u workers, %-24s %6.2f us a decision, worst %7.1f us, %3u%% "
          "placed, tick %6.0f us\n",
          workers, name, sum / rounds, worst, placed * 100 / rounds, tick);
  g_free (where);
  placement_free (placement);
  g_rand_free (random);
}

int
main (void)
{
  static const unsigned sizes[] = { 50, 500, 5000, 14000 };

  printf ("placement: cost (seed 5)\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      cost (sizes[i], 0.5, "half full", 2000, false);
      cost (sizes[i], 0.995, "99.5% full", 2000, false);
      cost (sizes[i], 0.995, "no room (31 cores asked)", 31000, false);
      cost (sizes[i], 0.5, "services everywhere", 2000, true);
    }
  printf ("placement: %u workers, %u s, services beside batch work\n", WORKERS,
          SECONDS);
  for (guint32 seed = 1; seed <= 3; seed++)
    compare (seed, false);
  printf ("placement: the same with waves of %u noisy tasks\n", WAVE_TASKS);
  for (guint32 seed = 1; seed <= 3; seed++)
    compare (seed, true);
  failing_third (1);
  return 0;
}
