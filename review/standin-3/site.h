/** @file
 * Stand-ins of a small site in one process: store, workers, callers.
 *
 * They follow PROTOCOL.md.  Each connection has a thread; one mutex guards all
 * state.  What was sent, answered and run is written to the record.
 */
#ifndef STANDIN_3_SITE_H
#define STANDIN_3_SITE_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define NODES_MAX 8
#define WORKERS_MAX 24
#define TASKS_PER_JOB_MAX 24
#define WIDE_MAX 160

typedef struct
{
  int nodes;
  int workers;
  const char *net;    /* first three numbers of the loopback addresses */
  int port;           /* of the store; workers and callers' ports follow */
  int seconds;        /* of traffic */
  int settle;         /* seconds after it */
  double jobs_per_s;
  int tasks;          /* of a job */
  int task_cpu;
  int worker_cpu;
  int rack;           /* workers of a rack */
  int burst;          /* jobs that come at once when the trouble begins */
  int wide;           /* tasks of the third job with a label, 0: as others */
  int idle_ms;        /* a worker closes channels without a call for so long */
  int task_ms_least;
  int task_ms_most;
  int store_ms;       /* an answer of the store in calm */
  int slow_ms;        /* an answer while the store is slow */
  int slow_every_ms;  /* the store becomes slow so often, 0: never */
  int slow_for_ms;
  int deal_every_ms;  /* all partitions are dealt anew so often, 0: never */
  int crash_every_ms; /* a worker crashes so often, 0: never */
  int crash_down_ms;
  int report_lag_ms;  /* from a boot to the worker's first check-in */
  bool crash_dark;    /* its connections go silent; else they are reset */
  bool crash_keeps_id;
  bool crash_listed;  /* it is the next worker that lists ends */
  int crash_only;     /* this worker, -1: any */
  int crash_most;     /* crashes in all, 0: any number */
  int upper_every;    /* each job of so many has capitals in its ID, 0: none has */
  int grey;           /* so many of the last workers fail what they start ... */
  int grey_ms;        /* ... for so long from the beginning of the trouble */
  int apart;          /* tasks of a step on one worker, 0: any number */
  int gang_every;     /* each job of so many is a gang, 0: none is */
  int special_every;  /* each job of so many needs the label of the last worker,
                         0: none does */
  unsigned seed;
} options_t;

typedef struct
{
  const char *method;
  char path[512];
  char query[1024];
  char instance[80]; /* Expected-Instance, or empty */
  char *body;
  size_t body_len;
} request_t;

typedef struct
{
  int status;
  char *body; /* malloc */
  size_t len;
  bool none; /* the connection goes silent */
} answer_t;

extern options_t opt;
extern pthread_mutex_t lock;
extern pthread_cond_t changed; /* signaled every 5 ms and on changes */
extern bool trouble;           /* faults may begin */

int64_t now_ms (void);
int64_t wall_ms (void);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void sleep_ms (int ms);
void wait_changed (void); /* with the lock held */
unsigned draw (unsigned below);
const char *query_text (const request_t *request, const char *name, char *out,
                        size_t size);
int64_t query_number (const request_t *request, const char *name,
                      int64_t preset);
void answer_json (answer_t *answer, int status, json_t *body);

/* store.c */
void store_init (void);
void store_put (const char *topic, const char *key, const char *value);
void store_serve (const request_t *request, answer_t *answer);
void store_tick (void);

/* workers.c */
void workers_init (void);
void workers_tick (void);
/** Serves a call to worker I in its present life. */
void worker_serve (int i, const request_t *request, answer_t *answer);
/** @return number of the life, 0 while the worker is down */
unsigned worker_life (int i);
/** @return whether no task has ended as failed or has been started twice after
    its end was confirmed; writes what was seen */
void workers_report (json_t *out);

/** @return for how long no task of the job has been under way while less than
    half of the capacity was in use */
int64_t workers_idle_ms (const char *job);

/** @return runs of the job of which a task has ended as failed */
unsigned workers_failed_runs (const char *job);

/* callers.c */
/** @return whether a caller has submitted a job with this ID of 16 digits */
bool callers_have_sent (const char *task);
void callers_run (json_t *out);

#endif
