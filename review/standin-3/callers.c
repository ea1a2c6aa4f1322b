/** @file
 * Stand-ins of callers: they submit jobs and ask for each until it has ended.
 */
#define _GNU_SOURCE
#include "site.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define JOBS_MAX 20000
#define CALLERS 24
/* RULES.md, LOST: finish_s after the end of the traffic, for 3 s. */
/* As the configuration says. */
#define ATTEMPTS 2
#define WIDE_NUMBER 2
#define FINISH_S 14
#define IDLE_MS 3000

typedef enum
{
  JOB_NEW,
  JOB_ACCEPTED,
  JOB_REFUSED,
  JOB_ENDED
} state_t;

typedef struct
{
  char id[17];
  state_t state;
  char shown[16];
  int64_t accepted_at;
  int64_t ask_due;
  bool busy;
} job_t;

static job_t jobs[JOBS_MAX];
static int job_count;
static int64_t started;
static bool over;

/* Sends a request on a connection of its own.
   @return the status, 0 without an answer */
static int
call (int node, const char *method, const char *id, const char *body,
      char *reply, size_t size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval limit = { 3, 200000 };
  char host[32];
  char text[4096];
  size_t used = 0;
  int status = 0;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int len;

  snprintf (host, sizeof host, "%s.%d", opt.net, 10 + node);
  inet_pton (AF_INET, host, &address.sin_addr);
  address.sin_port = htons ((uint16_t)(opt.port + 50));
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  len = snprintf (text, sizeof text,
                  "%s /q/%s HTTP/1.1\r\nHost: jobs.example\r\n"
                  "Request-Deadline: 3000\r\nContent-Type: application/json"
                  "\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n%s",
                  method, id, strlen (body), body);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0
      && send (fd, text, (size_t)len, MSG_NOSIGNAL) == len)
    {
      ssize_t got;

      while (used < size - 1
             && (got = recv (fd, reply + used, size - 1 - used, 0)) > 0)
        used += (size_t)got;
    }
  reply[used] = '\0';
  if (sscanf (reply, "HTTP/1.1 %d", &status) != 1
      || !strstr (reply, "\r\n\r\n"))
    status = 0;
  close (fd);
  return status;
}

static bool
needs_label (const job_t *job)
{
  return opt.special_every && (int)(job - jobs) % opt.special_every == 0;
}

static bool
is_gang (const job_t *job)
{
  return opt.gang_every && (int)(job - jobs) % opt.gang_every == 0;
}

/* The third job that needs the label may have more tasks. */
static bool
is_wide (const job_t *job)
{
  return opt.wide && needs_label (job)
         && (int)(job - jobs) == WIDE_NUMBER * opt.special_every;
}

static void
submit (job_t *job, unsigned random)
{
  char spec[256] = "";
  char body[1024];
  char reply[2048];
  size_t used = 0;
  char apart[40] = "";
  int tasks = opt.tasks;
  int node = (int)(random % (unsigned)opt.nodes);

  if (opt.apart)
    snprintf (apart, sizeof apart, ",\"anti_affinity\":%d", opt.apart);
  if (is_wide (job))
    tasks = opt.wide;
  for (int i = 0; i < (is_wide (job) ? 1 : opt.tasks); i++)
    {
      int ms = opt.task_ms_least
               + (int)(random >> 4)
                     % (opt.task_ms_most - opt.task_ms_least + 1);

      random = random * 1103515245u + 12345u;
      used += (size_t)snprintf (spec + used, sizeof spec - used, "%s%d",
                                i ? "," : "", ms);
    }
  snprintf (body, sizeof body,
            "{\"spec\":\"%s%s\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
            "\"mem_mb\":100,\"estimated_ms\":%d%s%s%s}]}",
            is_gang (job) ? "g" : "", spec, tasks, opt.task_cpu,
            (opt.task_ms_least + opt.task_ms_most) / 2,
            is_gang (job) ? ",\"gang\":true" : "", apart,
            needs_label (job) ? ",\"requirements\":\"b\"" : "");
  for (int attempt = 0; attempt < 5 && !over; attempt++)
    {
      int status = call ((node + attempt) % opt.nodes, "POST", job->id, body,
                         reply, sizeof reply);

      record ("POST %s: %d", job->id, status);
      if (status == 200)
        {
          job->accepted_at = now_ms ();
          job->ask_due = now_ms () + 1000;
          job->state = JOB_ACCEPTED;
          return;
        }
      sleep_ms (300);
    }
  job->state = JOB_REFUSED;
}

static bool
has_capitals (const job_t *job)
{
  return opt.upper_every && (int)(job - jobs) % opt.upper_every == 0;
}

bool
callers_have_sent (const char *task)
{
  for (int i = 0; i < job_count; i++)
    if (strncmp (jobs[i].id, task, 16) == 0)
      return true;
  return false;
}

/* Asks for IDs that nobody has submitted.  @return how many are shown */
static int
ask_for_others (void)
{
  char reply[2048];
  int shown = 0;

  for (int i = 0; i < job_count; i++)
    if (has_capitals (&jobs[i]))
      {
        char id[17];

        memcpy (id, jobs[i].id, sizeof id);
        memcpy (id, "ab", 2);
        if (call (0, "GET", id, "", reply, sizeof reply) != 200)
          continue;
        shown++;
        record ("BROKEN MIXED GET %s: 200 %s, and nobody has submitted it", id,
                strstr (reply, "{"));
      }
  return shown;
}

static void
ask (job_t *job, int node)
{
  char reply[2048];
  int status = call (node, "GET", job->id, "", reply, sizeof reply);
  const char *state = strstr (reply, "\"state\":\"");

  job->ask_due = now_ms () + 1000;
  if (status == 200 && state)
    {
      char shown[16] = "";

      sscanf (state + 9, "%15[a-z]", shown);
      snprintf (job->shown, sizeof job->shown, "%s", shown);
      if (strcmp (shown, "queued") != 0 && strcmp (shown, "running") != 0)
        {
          record ("GET %s: %s", job->id, shown);
          job->state = JOB_ENDED;
        }
    }
  else if (status == 410)
    {
      record ("GET %s: 410", job->id);
      snprintf (job->shown, sizeof job->shown, "unknown");
      job->state = JOB_ENDED;
    }
  else
    record ("GET %s: %d", job->id, status);
}

/* Takes the next job that is to be submitted or asked for. */
static job_t *
next_job (bool *submits)
{
  int64_t now = now_ms ();
  double due = (double)(now - started) / 1000 * opt.jobs_per_s;

  if (trouble)
    due += opt.burst;
  if (now - started < opt.seconds * 1000LL && job_count < due
      && job_count < JOBS_MAX)
    {
      job_t *job = &jobs[job_count++];

      snprintf (job->id, sizeof job->id, "ab%06x%08x", draw (1u << 24),
                (unsigned)job_count);
      if (has_capitals (job))
        memcpy (job->id, "AB", 2);
      job->busy = true;
      *submits = true;
      return job;
    }
  for (int i = 0; i < job_count; i++)
    if (jobs[i].state == JOB_ACCEPTED && !jobs[i].busy
        && now >= jobs[i].ask_due)
      {
        jobs[i].busy = true;
        *submits = false;
        return &jobs[i];
      }
  return NULL;
}

static void *
run_caller (void *data)
{
  (void)data;
  while (!over)
    {
      bool submits;
      unsigned random;
      job_t *job;

      pthread_mutex_lock (&lock);
      job = next_job (&submits);
      random = draw (1u << 24);
      pthread_mutex_unlock (&lock);
      if (!job)
        {
          sleep_ms (5);
          continue;
        }
      if (submits)
        submit (job, random);
      else
        ask (job, (int)(random % (unsigned)opt.nodes));
      pthread_mutex_lock (&lock);
      job->busy = false;
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

/* Waits until the processes take jobs. */
static void
await_nodes (void)
{
  char reply[2048];

  for (int i = 0; i < 200; i++)
    {
      if (call (0, "GET", "", "", reply, sizeof reply) == 200)
        return;
      sleep_ms (100);
    }
  record ("no process takes jobs");
  printf ("{\"started\": false}\n");
  fflush (stdout);
  _exit (2);
}

void
callers_run (json_t *out)
{
  pthread_t threads[CALLERS];
  int counts[4] = { 0 };
  int completed = 0;
  int failed = 0;
  int canceled = 0;
  int unknown = 0;
  int lost = 0;
  int64_t last;

  await_nodes ();
  started = now_ms ();
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&threads[i], NULL, run_caller, NULL);
  sleep_ms (2000);
  pthread_mutex_lock (&lock);
  trouble = true;
  pthread_mutex_unlock (&lock);
  sleep_ms (opt.seconds * 1000 - 2000);
  pthread_mutex_lock (&lock);
  trouble = false;
  pthread_mutex_unlock (&lock);
  record ("end of the traffic and the trouble");
  last = now_ms () + opt.settle * 1000LL;
  while (now_ms () < last)
    {
      int open = 0;

      sleep_ms (200);
      pthread_mutex_lock (&lock);
      for (int i = 0; i < job_count; i++)
        open += jobs[i].state == JOB_ACCEPTED || jobs[i].state == JOB_NEW;
      pthread_mutex_unlock (&lock);
      if (!open)
        break;
    }
  over = true;
  for (int i = 0; i < CALLERS; i++)
    pthread_join (threads[i], NULL);
  for (int i = 0; i < job_count; i++)
    {
      counts[jobs[i].state]++;
      completed += strcmp (jobs[i].shown, "completed") == 0;
      canceled += strcmp (jobs[i].shown, "canceled") == 0;
      unknown += strcmp (jobs[i].shown, "unknown") == 0;
      if (strcmp (jobs[i].shown, "failed") == 0)
        {
          failed++;
          if (workers_failed_runs (jobs[i].id) < ATTEMPTS)
            record ("BROKEN LOST %s is shown as failed, and %u of its runs "
                    "have ended so", jobs[i].id,
                    workers_failed_runs (jobs[i].id));
        }
      if (jobs[i].state == JOB_ACCEPTED && opt.settle >= FINISH_S
          && workers_idle_ms (jobs[i].id) >= IDLE_MS)
        {
          lost++;
          record ("BROKEN LOST %s is %s, and for %d ms it has nothing running "
                  "with more than half of the capacity free",
                  jobs[i].id, jobs[i].shown,
                  (int)workers_idle_ms (jobs[i].id));
        }
      if (jobs[i].state == JOB_ACCEPTED)
        record ("open at the end: %s is %s", jobs[i].id, jobs[i].shown);
    }
  json_object_set_new (out, "shown_unsubmitted",
                       json_integer (ask_for_others ()));
  json_object_set_new (out, "lost", json_integer (lost));
  json_object_set_new (out, "jobs", json_integer (job_count));
  json_object_set_new (out, "refused", json_integer (counts[JOB_REFUSED]));
  json_object_set_new (out, "open", json_integer (counts[JOB_ACCEPTED]
                                                  + counts[JOB_NEW]));
  json_object_set_new (out, "completed", json_integer (completed));
  json_object_set_new (out, "failed", json_integer (failed));
  json_object_set_new (out, "canceled", json_integer (canceled));
  json_object_set_new (out, "unknown", json_integer (unknown));
}
