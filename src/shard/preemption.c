/** @file
 * Choice of the runs that are stopped to make room for a task.
 */
#include "shard/preemption.h"

#include <stdlib.h>
#include <string.h>

static int compare_runs (const void *left, const void *right);
static bool helps (const resources_t *free, const resources_t *needed,
                   const resources_t *frees);
static int compare_numbers (uint64_t a, uint64_t b);

usec_t
preemption_due (usec_t last_ran)
{
  return last_ran + PREEMPTION_RESTART_LIMIT - PREEMPTION_TIME;
}

bool
resources_suffice (const resources_t *free, const resources_t *needed)
{
  return free->millicores >= needed->millicores
         && free->memory_mb >= needed->memory_mb
         && free->accelerators >= needed->accelerators;
}

void
resources_add (resources_t *sum, const resources_t *other)
{
  sum->millicores += other->millicores;
  sum->memory_mb += other->memory_mb;
  sum->accelerators += other->accelerators;
}

void
resources_subtract (resources_t *sum, const resources_t *other)
{
  sum->millicores -= other->millicores;
  sum->memory_mb -= other->memory_mb;
  sum->accelerators -= other->accelerators;
}

void
resources_raise (resources_t *bound, const resources_t *other)
{
  if (other->millicores > bound->millicores)
    bound->millicores = other->millicores;
  if (other->memory_mb > bound->memory_mb)
    bound->memory_mb = other->memory_mb;
  if (other->accelerators > bound->accelerators)
    bound->accelerators = other->accelerators;
}

void
preemption_sort (preemptible_t *runs, size_t count)
{
  if (count)
    qsort (runs, count, sizeof *runs, compare_runs);
}

bool
preemption_plan (const resources_t *needed, const resources_t *free,
                 preemptible_t *runs, size_t count, preemption_cost_t *cost)
{
  resources_t freed = *free;
  bool suffices;

  memset (cost, 0, sizeof *cost);
  for (size_t i = 0; i < count; i++)
    {
      runs[i].chosen = helps (&freed, needed, &runs[i].frees);
      if (runs[i].chosen)
        resources_add (&freed, &runs[i].frees);
    }
  suffices = resources_suffice (&freed, needed);
  /* A run that frees much may make some unnecessary that were chosen before
     it: those that lose most are spared first. */
  for (size_t i = count; i > 0; i--)
    {
      preemptible_t *run = &runs[i - 1];

      if (!run->chosen)
        continue;
      resources_subtract (&freed, &run->frees);
      run->chosen = suffices && !resources_suffice (&freed, needed);
      if (!run->chosen)
        continue;
      resources_add (&freed, &run->frees);
      *(run->checkpointed ? &cost->checkpointed_loss : &cost->loss)
          += run->loss;
      cost->runs++;
    }
  return suffices;
}

static int
compare_runs (const void *left, const void *right)
{
  const preemptible_t *a = left;
  const preemptible_t *b = right;

  if (a->checkpointed != b->checkpointed)
    return a->checkpointed ? -1 : 1;
  if (a->loss != b->loss)
    return compare_numbers (a->loss, b->loss);
  return compare_numbers (a->handle, b->handle);
}

/* @return whether FREES has some of a resource of which too little is free */
static bool
helps (const resources_t *free, const resources_t *needed,
       const resources_t *frees)
{
  return (frees->millicores > 0 && free->millicores < needed->millicores)
         || (frees->memory_mb > 0 && free->memory_mb < needed->memory_mb)
         || (frees->accelerators > 0
             && free->accelerators < needed->accelerators);
}

int
preemption_compare (const preemption_cost_t *a, const preemption_cost_t *b)
{
  if (a->disturbed != b->disturbed)
    return a->disturbed ? 1 : -1;
  if (a->loss != b->loss)
    return compare_numbers (a->loss, b->loss);
  if (a->checkpointed_loss != b->checkpointed_loss)
    return compare_numbers (a->checkpointed_loss, b->checkpointed_loss);
  return compare_numbers (a->runs, b->runs);
}

static int
compare_numbers (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}
