/** @file
 * Bench of the routing policy on a paused clock.
 *
 * Usage: bench_routing [-n SEEDS] [-s SCENARIO] [-o] [-c].  -o runs only
 * routing_t, -c times decisions only, -l prints a table over the load for
 * docs/routing-load.gp.  Exits with 1 if a VM got more than its slots.  Prints
 * the median over the seeds, and the range in brackets.
 */
#include "routing_policies.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define SEEDS_MAX 16
#define WINDOW (500 * USEC_PER_MSEC)
#define MS(x) ((x)*USEC_PER_MSEC)

/** Figures of one run, or their median and range. */
typedef enum
{
  F_P50, /* of short work, ms */
  F_P99,
  F_P999,
  F_LONG_P99,
  F_LATE,    /* percent of the requests: ran past the deadline */
  F_REFUSED, /* percent */
  F_FAILED,  /* percent: failed, unknown or lost */
  F_GOOD,    /* percent within the deadline */
  F_GOOD_LONG,
  F_WORK,     /* slot time of good answers, percent of all slots */
  F_SURGE,    /* p99 of short work in the first 2 s of the event, ms */
  F_STEADY,   /* the same before the event */
  F_BACK,     /* seconds after the event until p99 is 1.5 times steady */
  F_OTHERS,   /* percent good during the event, members other than 0 */
  F_AFTER,    /* percent good in the 3 s after the event */
  F_LATER,    /* slot time of good answers from the event on, percent */
  F_OVER,     /* attempts that found their VM full */
  F_FORWARDS, /* percent of the requests */
  F_RETRIES,  /* percent */
  F_REPORTS,  /* load reports that one process sends in a second */
  F_COUNT
} figure_t;

typedef struct
{
  double at[F_COUNT];
} figures_t;

typedef struct
{
  figures_t median;
  figures_t low;
  figures_t high;
} summary_t;

typedef enum
{
  S_M80,
  S_M80_SHORT,
  S_M90,
  S_M100,
  S_M200,
  S_R80,
  S_R80_SHORT,
  S_R_TRIPLE,
  S_R_TRIPLE_OVER,
  S_M_MEMBER,
  S_M_RETURN,
  S_M_AWAY,
  S_M_FAILING,
  S_M_KILL,
  S_M_ZONE,
  S_M_NOISY,
  S_M_REFUSALS,
  S_COUNT
} scenario_id_t;

#define ALL ((1U << POLICY_COUNT) - 1)
#define OURS (1U << POLICY_OURS)
#define WITH(x) (OURS | 1U << POLICY_REFERENCE | 1U << (x))

static const site_t magnolia = {
  .name = "magnolia",
  .zones = 4,
  .nodes = 8,
  .instances = 50,
  .slots = 8,
  .zone_delay = MS (4),
  .local_delay = 250,
  .work
  = { { "proof", 0.98, MS (40), 0.4, 0.005, 10, MS (300), MS (1000), 1, true },
      { "sheet", 0.02, MS (700), 0.25, 0, 1, MS (3000), MS (1500), 1, false } }
};

static const site_t ruedas = {
  .name = "ruedas",
  .zones = 4,
  .nodes = 8,
  .instances = 65,
  .slots = 8,
  .zone_delay = MS (4) + 500,
  .local_delay = 250,
  .work
  = { { "quote", 0.985, MS (25), 0.5, 0.005, 12, MS (200), MS (600), 1, true },
      { "plan", 0.015, MS (500), 0.3, 0, 1, MS (2500), MS (1500), 1, false } }
};

static const struct
{
  scenario_t scenario;
  uint32_t policies;
} rows[S_COUNT] = {
  [S_M80]
  = { { "magnolia 80%", &magnolia, 0.8, .duration = MS (16000) }, ALL },
  [S_M80_SHORT] = { { "magnolia 80% without long work", &magnolia, 0.8, true,
                      .duration = MS (16000) },
                    WITH (POLICY_LEAST) },
  [S_M90] = { { "magnolia 90%", &magnolia, 0.9, .duration = MS (16000) },
              WITH (POLICY_FCFS) },
  [S_M100] = { { "magnolia 100%", &magnolia, 1.0, .duration = MS (16000) },
               WITH (POLICY_FCFS) },
  [S_M200]
  = { { "magnolia 200%", &magnolia, 2.0, .duration = MS (16000) }, ALL },
  [S_R80] = { { "ruedas 80%", &ruedas, 0.8, .duration = MS (16000) }, ALL },
  [S_R80_SHORT] = { { "ruedas 80% without long work", &ruedas, 0.8, true,
                      .duration = MS (16000) },
                    WITH (POLICY_LEAST) },
  [S_R_TRIPLE] = { { "ruedas 30%, tripled for 4 s", &ruedas, 0.3, .surge = 3,
                     .duration = MS (18000) },
                   ALL },
  [S_R_TRIPLE_OVER] = { { "ruedas 50%, tripled for 4 s", &ruedas, 0.5,
                          .surge = 3, .duration = MS (18000) },
                        ALL },
  [S_M_MEMBER]
  = { { "magnolia 60%, one member adds 120% for 4 s", &magnolia, 0.6,
        .surge = 3, .surge_of_one_member = true, .duration = MS (18000) },
      WITH (POLICY_FCFS) },
  [S_M_RETURN]
  = { { "magnolia 60%, tripled for 4 s, callers return", &magnolia, 0.6,
        .surge = 3, .callers_return = true, .duration = MS (18000) },
      WITH (POLICY_FCFS) },
  [S_M_AWAY] = { { "magnolia 80%, a third of the instances away", &magnolia,
                   0.8, .fault = FAULT_THIRD_AWAY, .duration = MS (18000) },
                 OURS },
  [S_M_FAILING] = { { "magnolia 80%, a third fails everything", &magnolia, 0.8,
                      .fault = FAULT_THIRD_FAILS, .duration = MS (18000) },
                    ALL },
  [S_M_KILL] = { { "magnolia 70%, two processes killed", &magnolia, 0.7,
                   .fault = FAULT_KILL, .duration = MS (18000) },
                 WITH (POLICY_LEAST) },
  [S_M_ZONE] = { { "magnolia 60%, zone 0 cut off for 3 s", &magnolia, 0.6,
                   .fault = FAULT_ZONE_CUT, .duration = MS (18000) },
                 WITH (POLICY_LEAST) },
  [S_M_NOISY] = { { "magnolia 70%, noisy neighbours in waves", &magnolia, 0.7,
                    .noisy = true, .duration = MS (16000) },
                  ALL },
  [S_M_REFUSALS] = { { "magnolia 60%, 30% of all attempts refused", &magnolia,
                       0.6, .fault = FAULT_REFUSALS, .duration = MS (18000) },
                     WITH (POLICY_LEAST) },
};

static void run (scenario_id_t id, uint32_t seeds, uint32_t policies);
static void sweep (uint32_t seeds);
static summary_t run_policy (const scenario_t *scenario, policy_id_t policy,
                             uint32_t seeds);
static figures_t measure (const world_t *world);
static void measure_shares (const world_t *world, figures_t *f);
static double share_good (const world_t *world, usec_t from, usec_t until,
                          bool others);
static double p99_between (const world_t *world, usec_t from, usec_t until);
static double back_after (const world_t *world, double steady);
static double percentile (GArray *sorted, double share);
static GArray *latencies (const world_t *world, int kind, usec_t from,
                          usec_t until);
static summary_t summarize (const figures_t *runs, uint32_t count);
static gint compare_double (gconstpointer a, gconstpointer b);
static void print_header (const scenario_t *scenario);
static void print_row (const char *name, const summary_t *s);
static void print_targets (void);
static void target (const char *text, double value, double reference,
                    double bound, bool most);
static double over_slots (void);
static double peak (policy_id_t policy);
static double figure (scenario_id_t id, policy_id_t policy, figure_t f);
static double now_us (void);
static void time_decisions (uint32_t vms);

static summary_t results[S_COUNT][POLICY_COUNT];

int
main (int argc, char **argv)
{
  static const uint32_t sizes[] = { 50, 500, 5000, 14000 };
  uint32_t seeds = 5;
  int only = -1;
  uint32_t policies = ALL;
  bool cost_only = false;
  bool by_load = false;

  for (int i = 1; i < argc; i++)
    {
      if (g_str_equal (argv[i], "-c"))
        cost_only = true;
      else if (g_str_equal (argv[i], "-l"))
        by_load = true;
      else if (g_str_equal (argv[i], "-o"))
        policies = OURS;
      else if (g_str_equal (argv[i], "-n") && i + 1 < argc)
        seeds = (uint32_t)strtol (argv[++i], NULL, 10);
      else if (g_str_equal (argv[i], "-s") && i + 1 < argc)
        only = (int)strtol (argv[++i], NULL, 10);
    }
  seeds = CLAMP (seeds, 1, SEEDS_MAX);
  if (by_load)
    {
      sweep (seeds);
      return 0;
    }
  for (int id = 0; id < S_COUNT && !cost_only; id++)
    if (only < 0 || only == id)
      run ((scenario_id_t)id, seeds, policies);
  if (only < 0 && !cost_only && policies == ALL)
    print_targets ();
  for (size_t i = 0; i < G_N_ELEMENTS (sizes) && only < 0; i++)
    time_decisions (sizes[i]);
  return over_slots () > 0 ? 1 : 0;
}

/** @return attempts of routing_t above the slots of a VM (invariant 1), as
    the sum of the worst runs */
static double
over_slots (void)
{
  double over = 0;

  for (int id = 0; id < S_COUNT; id++)
    over += results[id][POLICY_OURS].high.at[F_OVER];
  return over;
}

static void
run (scenario_id_t id, uint32_t seeds, uint32_t policies)
{
  print_header (&rows[id].scenario);
  for (int p = 0; p < POLICY_COUNT; p++)
    if (policies & rows[id].policies & (1U << p))
      {
        const policy_t *policy
            = p == POLICY_OURS ? &routing_nodes_policy : &baseline_policies[p];

        results[id][p]
            = run_policy (&rows[id].scenario, (policy_id_t)p, seeds);
        print_row (policy->name, &results[id][p]);
      }
  fflush (stdout);
}

/** Proof p99 and percent good of magnolia over the load. */
static void
sweep (uint32_t seeds)
{
  static const policy_id_t policies[]
      = { POLICY_OURS, POLICY_LEAST, POLICY_STATIC, POLICY_REFERENCE };

  printf ("# load, then p99 [ms] and good [%%] of: limpethinge, least "
          "connections, static division, reference\n");
  for (int load = 50; load <= 200; load += load < 120 ? 10 : 20)
    {
      scenario_t scenario = rows[S_M80].scenario;

      scenario.load = load / 100.0;
      printf ("%d", load);
      for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
        {
          summary_t s = run_policy (&scenario, policies[i], seeds);

          printf (" %.1f %.2f", s.median.at[F_P99], s.median.at[F_GOOD]);
        }
      printf ("\n");
      fflush (stdout);
    }
}

static summary_t
run_policy (const scenario_t *scenario, policy_id_t policy, uint32_t seeds)
{
  const policy_t *p = policy == POLICY_OURS ? &routing_nodes_policy
                                            : &baseline_policies[policy];
  figures_t runs[SEEDS_MAX];

  for (uint32_t seed = 1; seed <= seeds; seed++)
    {
      world_t *world = world_run (scenario, p, seed);

      runs[seed - 1] = measure (world);
      world_free (world);
    }
  return summarize (runs, seeds);
}

static figures_t
measure (const world_t *world)
{
  usec_t end = world->scenario->duration;
  GArray *shorts = latencies (world, WORK_SHORT, WORLD_WARM_UP, end);
  GArray *longs = latencies (world, WORK_LONG, WORLD_WARM_UP, end);
  figures_t f = { { 0 } };

  f.at[F_P50] = percentile (shorts, 0.5);
  f.at[F_P99] = percentile (shorts, 0.99);
  f.at[F_P999] = percentile (shorts, 0.999);
  f.at[F_LONG_P99] = percentile (longs, 0.99);
  g_array_free (shorts, TRUE);
  g_array_free (longs, TRUE);
  measure_shares (world, &f);
  f.at[F_STEADY] = p99_between (world, WORLD_WARM_UP, WORLD_EVENT_FROM);
  f.at[F_SURGE] = p99_between (world, WORLD_EVENT_FROM,
                               WORLD_EVENT_FROM + 2 * USEC_PER_SEC);
  f.at[F_BACK] = back_after (world, f.at[F_STEADY]);
  f.at[F_OTHERS] = share_good (world, WORLD_EVENT_FROM,
                               WORLD_EVENT_FROM + WORLD_SURGE_TIME, true);
  f.at[F_AFTER] = share_good (
      world, WORLD_EVENT_FROM + WORLD_SURGE_TIME,
      WORLD_EVENT_FROM + WORLD_SURGE_TIME + 3 * USEC_PER_SEC, false);
  f.at[F_OVER] = (double)world->over_slots;
  f.at[F_REPORTS] = (double)world->reports * (double)USEC_PER_SEC
                    / ((double)world->now * world->site->nodes);
  f.at[F_FORWARDS]
      = 100.0 * (double)world->forwards / (double)world->jobs->len;
  f.at[F_RETRIES] = 100.0 * (double)world->retries / (double)world->jobs->len;
  return f;
}

static void
measure_shares (const world_t *world, figures_t *f)
{
  static const figure_t of_state[]
      = { [JOB_OPEN] = F_LATE,       [JOB_RAN] = F_LATE,
          [JOB_REFUSED] = F_REFUSED, [JOB_UNKNOWN] = F_FAILED,
          [JOB_FAILED] = F_FAILED,   [JOB_LOST] = F_FAILED };
  usec_t end = world->scenario->duration;
  double slot_time = (double)(end - WORLD_WARM_UP) * world->site->instances
                     * world->site->slots;
  double counted = 0;
  double longs = 0;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const job_t *j = world_job (world, i);
      bool good
          = j->state == JOB_RAN && j->arrival + j->latency <= j->deadline;

      if (j->arrival < WORLD_WARM_UP || j->arrival >= end)
        continue;
      counted++;
      longs += j->kind == WORK_LONG;
      f->at[good ? F_GOOD : of_state[j->state]] += 1;
      if (good && j->kind == WORK_LONG)
        f->at[F_GOOD_LONG] += 1;
      if (good)
        f->at[F_WORK] += 100.0 * (double)j->service / slot_time;
      if (good && j->arrival >= WORLD_EVENT_FROM)
        f->at[F_LATER] += 100.0 * (double)j->service / slot_time;
    }
  for (int k = F_LATE; k <= F_GOOD; k++)
    f->at[k] *= 100.0 / counted;
  f->at[F_GOOD_LONG] *= 100.0 / MAX (longs, 1);
}

static double
share_good (const world_t *world, usec_t from, usec_t until, bool others)
{
  double good = 0;
  double all = 0;

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const job_t *j = world_job (world, i);

      if (j->arrival < from || j->arrival >= until
          || (others && j->member == 0))
        continue;
      all++;
      good += j->state == JOB_RAN && j->arrival + j->latency <= j->deadline;
    }
  return all > 0 ? 100.0 * good / all : 0;
}

/** @return p99 of answered short work that arrived in a window, ms */
static double
p99_between (const world_t *world, usec_t from, usec_t until)
{
  GArray *list = latencies (world, WORK_SHORT, from, until);
  double value = percentile (list, 0.99);

  g_array_free (list, TRUE);
  return value;
}

/** @return seconds from the end of the event until every later window has a
    p99 of at most 1.5 times the steady one */
static double
back_after (const world_t *world, double steady)
{
  usec_t from = WORLD_EVENT_FROM + WORLD_SURGE_TIME;
  usec_t back = from;

  for (usec_t t = from; t + WINDOW <= world->scenario->duration; t += WINDOW)
    if (p99_between (world, t, t + WINDOW) > 1.5 * steady)
      back = t + WINDOW;
  return (double)(back - from) / (double)USEC_PER_SEC;
}

static GArray *
latencies (const world_t *world, int kind, usec_t from, usec_t until)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint i = 0; i < world->jobs->len; i++)
    {
      const job_t *j = world_job (world, i);
      double ms = (double)j->latency / (double)USEC_PER_MSEC;

      if (j->state == JOB_RAN && j->kind == kind && j->arrival >= from
          && j->arrival < until)
        g_array_append_val (list, ms);
    }
  g_array_sort (list, compare_double);
  return list;
}

static double
percentile (GArray *sorted, double share)
{
  if (!sorted->len)
    return 0;
  return g_array_index (sorted, double,
                        (guint)(share * (double)(sorted->len - 1)));
}

static summary_t
summarize (const figures_t *runs, uint32_t count)
{
  summary_t s;

  for (int f = 0; f < F_COUNT; f++)
    {
      double values[SEEDS_MAX];

      for (uint32_t i = 0; i < count; i++)
        values[i] = runs[i].at[f];
      qsort (values, count, sizeof *values, compare_double);
      s.low.at[f] = values[0];
      s.median.at[f] = values[count / 2];
      s.high.at[f] = values[count - 1];
    }
  return s;
}

static gint
compare_double (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
print_header (const scenario_t *scenario)
{
  printf ("\n%s\n%-12s %5s %21s %6s %6s %5s %5s %5s %19s %5s %5s %6s %6s %4s "
          "%5s %5s %6s %5s %5s %5s\n",
          scenario->name, "policy", "p50", "p99 [range] ms", "p99.9", "long99",
          "late%", "ref%", "fail%", "good% [range]", "long%", "work%",
          "steady", "surge", "back", "oth%", "aft%", "over", "fwd%", "ret%",
          "rep/s");
}

static void
print_row (const char *name, const summary_t *s)
{
  const double *m = s->median.at;

  printf ("%-12s %5.1f %7.1f [%5.0f,%5.0f] %6.0f %6.0f %5.2f %5.2f %5.2f "
          "%6.2f [%5.1f,%5.1f] %5.1f %5.1f %6.1f %6.1f %4.1f %5.1f %5.1f "
          "%6.0f %5.1f %5.2f %5.0f\n",
          name, m[F_P50], m[F_P99], s->low.at[F_P99], s->high.at[F_P99],
          m[F_P999], m[F_LONG_P99], m[F_LATE], m[F_REFUSED], m[F_FAILED],
          m[F_GOOD], s->low.at[F_GOOD], s->high.at[F_GOOD], m[F_GOOD_LONG],
          m[F_WORK], m[F_STEADY], m[F_SURGE], m[F_BACK], m[F_OTHERS],
          m[F_AFTER], s->high.at[F_OVER], m[F_FORWARDS], m[F_RETRIES],
          m[F_REPORTS]);
}

/** The bounds are those of docs/design.md, "Figures to reach".  Where it has
    one, the figure of the all-knowing reference is printed beside. */
static void
print_targets (void)
{
  double proof = figure (S_M80, POLICY_OURS, F_P99);
  double known = figure (S_M80, POLICY_REFERENCE, F_P99);
  double least = figure (S_M80, POLICY_LEAST, F_P99);
  double retries = 0;

  for (int id = 0; id < S_COUNT; id++)
    {
      const figures_t *high = &results[id][POLICY_OURS].high;

      retries = MAX (retries, high->at[F_RETRIES]);
    }
  printf ("\nTargets (medians over the seeds)\n");
  target ("magnolia 80%: proof p99 / reference", proof / known, 1, 1.15, true);
  target ("magnolia 80%: proof p99 / least connections", proof / least,
          known / least, 0.5, true);
  target ("magnolia 80%: short p99 with / without long work",
          proof / figure (S_M80_SHORT, POLICY_OURS, F_P99),
          known / figure (S_M80_SHORT, POLICY_REFERENCE, F_P99), 1.2, true);
  target ("overload: goodput (slot time) at 200% / peak",
          figure (S_M200, POLICY_OURS, F_WORK) / peak (POLICY_OURS),
          figure (S_M200, POLICY_REFERENCE, F_WORK) / peak (POLICY_REFERENCE),
          0.95, false);
  target ("ruedas 80%: deadlines missed, percent",
          100 - figure (S_R80, POLICY_OURS, F_GOOD),
          100 - figure (S_R80, POLICY_REFERENCE, F_GOOD), 0.1, true);
  target ("ruedas tripling: quote p99 in the first 2 s / steady",
          figure (S_R_TRIPLE, POLICY_OURS, F_SURGE)
              / figure (S_R_TRIPLE, POLICY_OURS, F_STEADY),
          figure (S_R_TRIPLE, POLICY_REFERENCE, F_SURGE)
              / figure (S_R_TRIPLE, POLICY_REFERENCE, F_STEADY),
          1.5, true);
  target ("ruedas tripling: back within, s",
          figure (S_R_TRIPLE, POLICY_OURS, F_BACK),
          figure (S_R_TRIPLE, POLICY_REFERENCE, F_BACK), 3, true);
  target ("a third fails: goodput (slot time) / that of the rest alone",
          figure (S_M_FAILING, POLICY_OURS, F_LATER)
              / figure (S_M_AWAY, POLICY_OURS, F_LATER),
          1, 0.95, false);
  target ("retries, percent of the load (worst run)", retries, 0, 10, true);
  target ("invariant 1: attempts above a VM's slots (all runs)", over_slots (),
          0, 0, true);
}

static double
peak (policy_id_t policy)
{
  return MAX (
      MAX (figure (S_M80, policy, F_WORK), figure (S_M90, policy, F_WORK)),
      figure (S_M100, policy, F_WORK));
}

static void
target (const char *text, double value, double reference, double bound,
        bool most)
{
  bool reached = most ? value <= bound : value >= bound;

  printf ("%-55s %8.3f (reference %6.3f) %s %6.3f %s\n", text, value,
          reference, most ? "<=" : ">=", bound,
          reached ? "reached" : "NOT REACHED");
}

static double
figure (scenario_id_t id, policy_id_t policy, figure_t f)
{
  return results[id][policy].median.at[f];
}

static void
ignore_dispatch (void *ctx, usec_t now, handle_t request, handle_t vm)
{
  (void)now;
  (void)vm;
  *(handle_t *)ctx = request;
}

static void
ignore_forward (void *ctx, usec_t now, handle_t request, node_id_t peer)
{
  (void)ctx;
  (void)now;
  (void)request;
  (void)peer;
}

static void
ignore_give_up (void *ctx, usec_t now, handle_t request, int outcome,
                usec_t retry_after)
{
  (void)ctx;
  (void)now;
  (void)request;
  (void)outcome;
  (void)retry_after;
}

static bool
always_may_act (void *ctx, uint32_t shard)
{
  (void)ctx;
  (void)shard;
  return true;
}

static double
now_us (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/** Wall time of one decision: where a request goes while slots are free,
    whether it may wait in a queue of 1000, and which one gets a slot that has
    become free. */
static void
time_decisions (uint32_t vms)
{
  static const routing_ops_t ops
      = { ignore_dispatch, ignore_forward, ignore_give_up, always_may_act };
  enum
  {
    ROUNDS = 200000,
    QUEUE = 1000
  };
  routing_config_t config = { 0, QUEUE + 100, MS (5), 10 };
  request_info_t info
      = { "proof", "a", 1, 1, MS (1000000), MS (1000), true, 0, 0 };
  limits_t *limits = limits_new ();
  GRand *random = g_rand_new_with_seed (1);
  handle_t last = HANDLE_NONE;
  handle_t *running = g_new (handle_t, vms * 8);
  routing_t *routing;
  double submit[2] = { 0, 0 };
  double end[2] = { 0, 0 };

  for (uint32_t i = 0; i < vms; i++)
    {
      vm_t vm = { .slots = 8, .connections = 64, .zone = i % 38 };

      snprintf (vm.id, sizeof vm.id, "vm-%u", i);
      limits_set_vm (limits, &vm);
    }
  routing = routing_new (&config, limits, random, &ops, &last);
  for (int full = 0; full < 2; full++)
    {
      uint32_t count = full ? vms * 8 : vms * 8 * 4 / 5;

      for (uint32_t i = full ? vms * 8 * 4 / 5 : 0; i < count; i++)
        running[i] = routing_submit (routing, 0, &info);
      for (int i = 0; full && i < QUEUE; i++)
        {
          info.deadline += i % 7;
          routing_submit (routing, 0, &info);
        }
      for (int i = 0; i < ROUNDS; i++)
        {
          uint32_t k = (uint32_t)g_rand_int_range (random, 0, (gint32)count);
          double t0 = now_us ();
          double t1;

          if (full)
            routing_submit (routing, i, &info);
          t1 = now_us ();
          routing_attempt_ended (routing, i, running[k], ATTEMPT_RAN, 40000);
          end[full] += (now_us () - t1) / ROUNDS;
          submit[full] += (t1 - t0) / ROUNDS;
          t0 = now_us ();
          if (!full)
            routing_submit (routing, i, &info);
          submit[full] += (now_us () - t0) / ROUNDS;
          running[k] = last;
        }
    }
  printf ("decision at %5u VMs, us: to a free slot %.2f, into the queue %.2f, "
          "out of the queue %.2f%s\n",
          vms, submit[0], submit[1], end[1],
          MAX (submit[0], MAX (submit[1], end[1])) <= 2.0 ? " reached"
                                                          : " NOT REACHED");
  g_free (running);
  routing_free (routing);
  limits_free (limits);
  g_rand_free (random);
}
