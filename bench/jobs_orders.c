/* Simple orders on the same jobs: first fit, no lag, run to the end. */
#include "jobs_world.h"

/* A task under way.  */
typedef struct
{
  usec_t ends;
  world_job_t *job;
  uint32_t step;
  uint32_t worker;
} busy_t;

/* Progress of a job.  */
typedef struct
{
  world_job_t *job;
  uint32_t step; /* present one; steps follow each other */
  uint32_t next; /* tasks of it that were started */
  uint32_t left; /* tasks of it that have not ended */
  bool begun;
  usec_t declared_left; /* of the steps from the present one */
  usec_t real_left;
} progress_t;

typedef struct
{
  jobs_world_t *world;
  world_order_t order;
  uint32_t *free;  /* millicores per worker */
  GArray *busy;    /* busy_t */
  GPtrArray *open; /* progress_t */
  usec_t now;
} play_t;

static usec_t
left_of (const progress_t *p, bool real)
{
  usec_t left = 0;

  for (uint32_t s = p->step; s < p->job->order->step_count; s++)
    {
      const step_t *step = &p->job->order->steps[s];
      usec_t longest = step->declared_ms * USEC_PER_MSEC;

      for (uint32_t i = 0; real && i < step->count; i++)
        longest = MAX (i ? longest : 0, p->job->work[s][i]);
      left += longest;
    }
  return left;
}

static void
count_left (progress_t *p)
{
  p->declared_left = left_of (p, false);
  p->real_left = left_of (p, true);
}

static gint
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const progress_t *left = *(const progress_t *const *)a;
  const progress_t *right = *(const progress_t *const *)b;
  const play_t *play = data;
  world_step_t x = { left->job,       left->step,  left->declared_left,
                     left->real_left, left->begun, play->now };
  world_step_t y = { right->job,       right->step,  right->declared_left,
                     right->real_left, right->begun, play->now };

  return play->order (&x, &y);
}

static bool
start_task (play_t *play, progress_t *p)
{
  const step_t *step = &p->job->order->steps[p->step];

  for (uint32_t w = 0; w < play->world->config.workers; w++)
    if (play->free[w] >= step->millicores)
      {
        busy_t busy = { play->now + p->job->work[p->step][p->next], p->job,
                        p->step, w };

        play->free[w] -= step->millicores;
        g_array_append_val (play->busy, busy);
        p->next++;
        p->begun = true;
        return true;
      }
  return false;
}

static void
place (play_t *play)
{
  g_ptr_array_sort_with_data (play->open, compare, play);
  for (guint i = 0; i < play->open->len; i++)
    {
      progress_t *p = play->open->pdata[i];

      while (p->next < p->job->order->steps[p->step].count
             && start_task (play, p))
        ;
    }
}

static void
end_task (play_t *play, guint index)
{
  busy_t busy = g_array_index (play->busy, busy_t, index);

  g_array_remove_index_fast (play->busy, index);
  play->free[busy.worker] += busy.job->order->steps[busy.step].millicores;
  for (guint i = 0; i < play->open->len; i++)
    {
      progress_t *p = play->open->pdata[i];

      if (p->job != busy.job || --p->left)
        continue;
      if (++p->step < p->job->order->step_count)
        {
          p->next = 0;
          p->left = p->job->order->steps[p->step].count;
          count_left (p);
          continue;
        }
      p->job->ended = play->now;
      g_ptr_array_remove_index (play->open, i);
      g_free (p);
      return;
    }
}

static void
submit (play_t *play, world_job_t *job)
{
  progress_t *p = g_new0 (progress_t, 1);

  p->job = job;
  p->left = job->order->steps[0].count;
  count_left (p);
  g_ptr_array_add (play->open, p);
}

/* @return index of the task that ends next, or the number of tasks */
static guint
next_end (const play_t *play)
{
  guint best = play->busy->len;

  for (guint i = 0; i < play->busy->len; i++)
    if (best == play->busy->len
        || g_array_index (play->busy, busy_t, i).ends
               < g_array_index (play->busy, busy_t, best).ends)
      best = i;
  return best;
}

void
jobs_run_order (jobs_world_t *world, world_order_t order)
{
  play_t play = { .world = world, .order = order };
  guint arrived = 0;

  play.free = g_new (uint32_t, world->config.workers);
  for (uint32_t w = 0; w < world->config.workers; w++)
    play.free[w] = world->config.millicores;
  play.busy = g_array_new (FALSE, FALSE, sizeof (busy_t));
  play.open = g_ptr_array_new ();
  while (arrived < world->jobs->len || play.open->len)
    {
      guint end = next_end (&play);
      usec_t ends = end < play.busy->len
                        ? g_array_index (play.busy, busy_t, end).ends
                        : INT64_MAX;
      world_job_t *next
          = arrived < world->jobs->len ? world->jobs->pdata[arrived] : NULL;

      if (next && next->at <= ends)
        {
          play.now = next->at;
          submit (&play, next);
          arrived++;
        }
      else
        {
          play.now = ends;
          end_task (&play, end);
        }
      place (&play);
    }
  g_free (play.free);
  g_array_free (play.busy, TRUE);
  g_ptr_array_free (play.open, TRUE);
}
