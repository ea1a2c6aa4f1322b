/** @file
 * Callers of a soak: they keep connections open to each process and use them
 * until the process is gone.
 */
#ifndef STANDIN_SOAK_H
#define STANDIN_SOAK_H

#include "base/types.h"

#include <ev.h>
#include <glib.h>

/* --- soak_connection.c --- */

typedef struct connection connection_t;

typedef enum
{
  REPLY_WHOLE,
  REPLY_NONE, /**< not sent, or ended too soon to have been read */
  REPLY_CUT,  /**< the connection ended, the answer is not complete */
  REPLY_TIMED_OUT
} reply_kind_t;

typedef struct
{
  reply_kind_t kind;
  int status;       /**< 0 without a whole answer */
  bool retry_after; /**< has the header */
  const char *body;
  gint64 sent; /**< wall clock, in microseconds */
} reply_t;

/** Runs once for each request; the connection can take the next one. */
typedef void (*reply_fn) (void *ctx, connection_t *connection,
                          const reply_t *reply);

/** @param address IP:port */
connection_t *connection_new (struct ev_loop *loop, const char *address,
                              reply_fn done, void *ctx);
void connection_free (connection_t *connection);

/** @return whether a request can be sent; connects if need be */
bool connection_is_ready (connection_t *connection, usec_t now);
void connection_send (connection_t *connection, const char *method,
                      const char *path, const char *body, usec_t now);
/** Gives up requests without an answer. */
void connection_tick (connection_t *connection, usec_t now);

/* --- soak_crowd.c --- */

typedef struct crowd crowd_t;

typedef struct
{
  const char *kind;    /**< what the clients do, see behaviours */
  const char *address; /**< IP:port */
  const char *path;
  uint32_t count; /**< clients */
} crowd_config_t;

/** Starts clients that do not keep the limits.
    @return NULL if the kind or the address is unknown */
crowd_t *crowd_new (struct ev_loop *loop, const crowd_config_t *config);

/** Closes the connections and prints what was sent. */
void crowd_free (crowd_t *crowd);

/* --- soak_jobs.c --- */

typedef struct jobs jobs_t;
typedef struct job job_t;

typedef enum
{
  ASK_SUBMIT,
  ASK_STATE,
  ASK_CANCEL
} ask_t;

jobs_t *soak_jobs_new (uint32_t seed, uint32_t most, double deadly);
/** Some processes are of a build that answers a cancel of an unknown job with
    410 and does not keep it: such a job may be run when it comes. */
void soak_jobs_set_forgetful (jobs_t *jobs);
void soak_jobs_free (jobs_t *jobs);

/** Adds a job whose tasks serve until the end. */
void soak_jobs_add_serving (jobs_t *jobs, uint32_t tasks);

/** Draws the next request of the load.
    @return NULL if there is none */
job_t *soak_jobs_draw (jobs_t *jobs, ask_t *ask);
/** Draws the next state to ask for after the load.
    @return NULL if all jobs have ended as they should */
job_t *soak_jobs_check (jobs_t *jobs);
void soak_jobs_reply (jobs_t *jobs, job_t *job, ask_t ask,
                      const reply_t *reply);
/** Releases them with g_free. */
char *soak_job_path (const job_t *job);
char *soak_job_body (const job_t *job);
/** Prints a line for each job that is not as it should be.
    @return how many there are */
uint32_t soak_jobs_report (const jobs_t *jobs);

#endif
