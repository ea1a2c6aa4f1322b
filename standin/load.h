/** @file
 * State of the load generator.
 */
#ifndef STANDIN_LOAD_H
#define STANDIN_LOAD_H

#include "caller.h"

#include <jansson.h>

/** One class that is sent, with its weight in the mix and its bearer key. */
typedef struct
{
  char *name;
  double weight;
  char *authorization; /**< whole header line */
  GArray *latencies;   /**< double, ms, of right answers */
} load_class_t;

typedef struct
{
  char *address;
  usec_t aside_until; /**< after a transport error others are preferred */
} target_t;

/* Every LC request ends in exactly one of the first group of counts. */
#define LOAD_COUNTS(X)                                                        \
  X (sent)                                                                    \
  X (answered)                                                                \
  X (ran_failed)                                                              \
  X (not_run)                                                                 \
  X (unknown)                                                                 \
  X (transport_errors)                                                        \
  X (mismatched)                                                              \
  X (not_sent)                                                                \
  X (tries)                                                                   \
  X (ran_though_not_run)                                                      \
  X (orders_sent)                                                             \
  X (orders_accepted)                                                         \
  X (orders_refused)                                                          \
  X (orders_ran)                                                              \
  X (orders_failed)                                                           \
  X (orders_not_run)                                                          \
  X (orders_unknown)                                                          \
  X (orders_cancelled)                                                        \
  X (orders_pending)                                                          \
  X (missing)

typedef struct
{
  struct ev_loop *loop;
  caller_t *caller;
  GRand *random;
  GArray *targets;
  guint next_target;
  GArray *lc;     /**< load_class_t */
  GArray *orders; /**< load_class_t */
  uint64_t seed;
  bool direct;
  int body_bytes;
  int run_ms; /**< service time of LC requests, 0: by class */
  int retries;
  int timeout_ms;
  int most_in_flight;
  double cancel;
  usec_t measure_from;   /**< latencies of earlier requests are left out */
  usec_t stop_orders_at; /**< orders not ended by then are pending */
  uint64_t next_id;
  int in_flight;
  int open_orders;
  usec_t last_answer;
  usec_t longest_gap; /**< longest time without a right answer */
  GString *not_run_hashes;
#define LOAD_COUNT(name) uint64_t name;
  LOAD_COUNTS (LOAD_COUNT)
#undef LOAD_COUNT
} load_t;

/** Sends one LC request, due at DUE. */
void lc_send (load_t *load, usec_t due);
/** Sends one order and follows it to its end. */
void order_send (load_t *load);

/** @return the target for the next call */
target_t *load_target (load_t *load);
/** Sets a target aside after a transport error. */
void load_set_aside (load_t *load, const char *address);
/** Draws a class of the mix. */
load_class_t *load_draw (load_t *load, GArray *classes);
/** Fills BODY with bytes that no other try has.
    @param run_ms service time asked for, 0 for that of the class */
void load_body (const load_t *load, GByteArray *body, uint64_t id,
                unsigned tries, int run_ms);
usec_t load_now (void);

#endif
