/** @file
 * Jobs of a soak and what is known of each.
 */
#include "soak.h"

#include <stdio.h>
#include <string.h>

#define ATTEMPTS_MAX 3U
#define TASKS_MAX 4
#define STEPS_MAX 3
/* One job in so many is cancelled. */
#define CANCEL_ONE_IN 12
#define BEST_EFFORT_ONE_IN 3
/* Words of specs that the stand-in knows, and images of the same names. */
#define SERVES "serves"
#define MILD "mild"
#define HARSH "harsh"
#define SERVING_FIELDS                                                        \
  ",\"long_running\":true,\"target_ms\":120,\"anti_affinity\":1"
#define FILLING_FIELDS ",\"fills\":true"

struct job
{
  uint64_t id;
  uint32_t counts[STEPS_MAX];
  uint32_t steps;
  bool best_effort;
  const char *image; /* NULL for none */
  bool deadly;
  bool to_cancel;
  uint32_t attempts;
  bool in_flight; /* a submission has no answer yet */
  bool unknown;   /* an attempt may have been stored */
  bool accepted;
  bool cancel_asked; /* may take effect */
  bool cancelled;
  bool early; /* canceled before it is submitted, as if its submission had been
                 held up on the way */
  bool settled;
  char state[16]; /* as last told */
};

struct jobs
{
  GRand *random;
  uint32_t seed;
  uint32_t most;
  double deadly;
  bool forgetful;    /* an answer of 410 to a cancel promises nothing */
  GPtrArray *all;    /* job_t */
  GQueue *to_submit; /* again */
  GQueue *to_cancel;
  guint checked; /* index of the job whose state was asked for last */
};

static bool is_as_expected (const job_t *job);

jobs_t *
soak_jobs_new (uint32_t seed, uint32_t most, double deadly)
{
  jobs_t *jobs = g_new0 (jobs_t, 1);

  jobs->random = g_rand_new_with_seed (seed + 7);
  jobs->seed = seed;
  jobs->most = most;
  jobs->deadly = deadly;
  jobs->all = g_ptr_array_new_with_free_func (g_free);
  jobs->to_submit = g_queue_new ();
  jobs->to_cancel = g_queue_new ();
  return jobs;
}

void
soak_jobs_set_forgetful (jobs_t *jobs)
{
  jobs->forgetful = true;
}

void
soak_jobs_free (jobs_t *jobs)
{
  g_rand_free (jobs->random);
  g_queue_free (jobs->to_submit);
  g_queue_free (jobs->to_cancel);
  g_ptr_array_free (jobs->all, TRUE);
  g_free (jobs);
}

static job_t *
add (jobs_t *jobs)
{
  job_t *job = g_new0 (job_t, 1);

  g_ptr_array_add (jobs->all, job);
  job->id = ((uint64_t)jobs->seed << 32) + jobs->all->len;
  job->steps = (uint32_t)g_rand_int_range (jobs->random, 1, STEPS_MAX + 1);
  for (uint32_t i = 0; i < job->steps; i++)
    job->counts[i]
        = (uint32_t)g_rand_int_range (jobs->random, 1, TASKS_MAX + 1);
  job->best_effort = !g_rand_int_range (jobs->random, 0, BEST_EFFORT_ONE_IN);
  if (job->best_effort && job->id % 2)
    job->image = job->id % 4 == 1 ? MILD : HARSH;
  job->to_cancel = !g_rand_int_range (jobs->random, 0, CANCEL_ONE_IN);
  job->early = job->to_cancel && job->id % 2;
  job->deadly = g_rand_double (jobs->random) < jobs->deadly;
  return job;
}

void
soak_jobs_add_serving (jobs_t *jobs, uint32_t tasks)
{
  job_t *job = g_new0 (job_t, 1);

  g_ptr_array_add (jobs->all, job);
  job->id = ((uint64_t)jobs->seed << 32) + jobs->all->len;
  job->steps = 1;
  job->counts[0] = tasks;
  job->image = SERVES;
  g_queue_push_tail (jobs->to_submit, job);
}

job_t *
soak_jobs_draw (jobs_t *jobs, ask_t *ask)
{
  job_t *job;

  *ask = ASK_CANCEL;
  job = g_queue_pop_head (jobs->to_cancel);
  if (job)
    {
      job->cancel_asked = true;
      return job;
    }
  *ask = ASK_STATE;
  if (jobs->all->len && g_rand_boolean (jobs->random))
    return jobs->all
        ->pdata[g_rand_int_range (jobs->random, 0, (gint32)jobs->all->len)];
  *ask = ASK_SUBMIT;
  job = g_queue_pop_head (jobs->to_submit);
  if (!job && jobs->all->len < jobs->most)
    job = add (jobs);
  if (job && job->early && !job->cancel_asked)
    {
      *ask = ASK_CANCEL;
      job->cancel_asked = true;
      g_queue_push_tail (jobs->to_submit, job);
      return job;
    }
  if (job)
    {
      job->attempts++;
      job->in_flight = true;
    }
  return job;
}

job_t *
soak_jobs_check (jobs_t *jobs)
{
  for (guint i = 0; i < jobs->all->len; i++)
    {
      job_t *job;

      jobs->checked = (jobs->checked + 1) % jobs->all->len;
      job = jobs->all->pdata[jobs->checked];
      if (!job->settled)
        return job;
    }
  return NULL;
}

char *
soak_job_path (const job_t *job)
{
  return g_strdup_printf ("/q%d/%016" G_GINT64_MODIFIER "x",
                          job->best_effort ? 2 : 1, job->id);
}

char *
soak_job_body (const job_t *job)
{
  GString *body = g_string_new ("{\"spec\":\"");
  bool serves = g_strcmp0 (job->image, SERVES) == 0;

  for (uint32_t i = 0; i < job->steps; i++)
    g_string_append_printf (body, "%s%u", i ? "," : "", job->counts[i]);
  g_string_append_printf (body, "%s%s%s\",\"steps\":[", job->image ? " " : "",
                          job->image ? job->image : "",
                          job->deadly ? " deadly" : "");
  for (uint32_t i = 0; i < job->steps; i++)
    {
      g_string_append_printf (body,
                              "%s{\"count\":%u,\"cpu\":1000,\"mem_mb\":100,"
                              "\"estimated_ms\":400",
                              i ? "," : "", job->counts[i]);
      if (i)
        g_string_append_printf (body, ",\"depends_on\":[%u]", i - 1);
      if (job->image)
        g_string_append_printf (body, ",\"image\":\"%s\"%s", job->image,
                                serves ? SERVING_FIELDS : FILLING_FIELDS);
      g_string_append (body, "}");
    }
  g_string_append (body, "]}");
  return g_string_free (body, FALSE);
}

static void
on_submitted (jobs_t *jobs, job_t *job, const reply_t *reply)
{
  job->in_flight = false;
  if (reply->status == 200)
    {
      job->accepted = true;
      if (job->to_cancel && !job->early)
        g_queue_push_tail (jobs->to_cancel, job);
      return;
    }
  if (reply->status != 503 && reply->status != 429)
    job->unknown = true;
  if (job->attempts < ATTEMPTS_MAX)
    g_queue_push_tail (jobs->to_submit, job);
}

static void
on_state (job_t *job, const reply_t *reply)
{
  const char *state
      = reply->status == 200 ? strstr (reply->body, "\"state\":\"") : NULL;

  g_strlcpy (job->state, "none", sizeof job->state);
  if (reply->status == 410)
    g_strlcpy (job->state, "unknown", sizeof job->state);
  if (state)
    sscanf (state, "\"state\":\"%15[a-z]", job->state);
  job->settled = is_as_expected (job);
}

void
soak_jobs_reply (jobs_t *jobs, job_t *job, ask_t ask, const reply_t *reply)
{
  if (ask == ASK_SUBMIT)
    on_submitted (jobs, job, reply);
  else if (ask == ASK_CANCEL)
    job->cancelled
        |= reply->status == 200
           || (job->early && reply->status == 410 && !jobs->forgetful);
  else
    on_state (job, reply);
}

/* A job whose attempts were all rejected never runs; of one with an attempt
   without an answer nothing is known but that it ends.  */
static bool
is_as_expected (const job_t *job)
{
  bool completed = strcmp (job->state, "completed") == 0;
  bool canceled = strcmp (job->state, "canceled") == 0;

  if (!job->accepted && strcmp (job->state, "unknown") == 0)
    return !job->in_flight;
  if (!job->accepted && !job->unknown)
    return false;
  if (job->deadly)
    return strcmp (job->state, "failed") == 0
           || (canceled && job->cancel_asked);
  if (job->image && strcmp (job->image, SERVES) == 0)
    return strcmp (job->state, "running") == 0;
  if (job->cancelled)
    return canceled;
  return completed || (canceled && job->cancel_asked);
}

uint32_t
soak_jobs_report (const jobs_t *jobs)
{
  uint32_t accepted = 0;
  uint32_t cancelled = 0;
  uint32_t early = 0;
  uint32_t deadly = 0;
  uint32_t wrong = 0;

  for (guint i = 0; i < jobs->all->len; i++)
    {
      const job_t *job = jobs->all->pdata[i];

      accepted += job->accepted;
      cancelled += job->cancelled;
      early += job->cancelled && job->early;
      deadly += job->accepted && job->deadly;
      if (job->settled)
        continue;
      wrong++;
      printf ("%s job %016" G_GINT64_MODIFIER "x is %s%s%s\n",
              job->accepted  ? "accepted"
              : job->unknown ? "unanswered"
                             : "rejected",
              job->id, job->state, job->cancelled ? ", cancelled" : "",
              job->deadly ? ", deadly" : "");
    }
  printf ("%u accepted, %u cancelled, %u before they came, %u deadly,"
          " %u jobs wrong\n",
          accepted, cancelled, early, deadly, wrong);
  return wrong + !accepted;
}
