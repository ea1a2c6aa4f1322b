/** @file
 * Stand-in of the users' platform for tests of whole processes: its store and
 * its workers, by their published interfaces, in one process.
 *
 * Faults are drawn from a seed.  It audits what it sees: no task runs twice at
 * a time, none starts after its end was confirmed, before the step in front of
 * it is done, in an evacuated zone or beyond a worker's capacity, and a task
 * under which workers crash is not started without end.
 */
#ifndef STANDIN_FLEET_H
#define STANDIN_FLEET_H

#include "net/httpd.h"

#include <glib.h>
#include <jansson.h>

/** What can be the matter with a worker for some seconds. */
typedef enum
{
  SPELL_UNHEALTHY, /**< rejects starts with 503 */
  SPELL_LOSS,      /**< half of the calls are neither executed nor answered */
  SPELL_LATE,      /**< half of the starts and stops are not answered, and
                      carried out later */
  SPELL_CRASH,     /**< loses all that it runs, returns with a later birth */
  SPELL_COUNT
} spell_t;

typedef struct
{
  uint32_t seed;
  uint32_t workers;
  const char *host; /* all ports are at this address */
  uint16_t store_port;
  uint16_t worker_port; /* of the first worker */
  uint32_t partitions;
  double lose; /* share of worker calls whose answer is lost */
  double late; /* share of starts that are carried out later */
  double drop; /* share of worker calls that are not executed */
  uint32_t spell_every[SPELL_COUNT]; /* ms between spells, 0: none */
  gboolean limit_deadly; /* too many starts of a deadly task are a violation */
  uint32_t config_every; /* ms between versions of the configuration */
  double store_lose;     /* share of appends done without an answer */
  uint32_t outage_every; /* ms between outages of the store of 2 s, 0: none */
  uint32_t deal_every;   /* ms between redistributions of all partitions */
  uint32_t forget_every; /* ms between losses of the history that the platform
                            and the operator wrote, 0: none */
  uint32_t evacuate_every; /* ms between evacuations of a zone, 0: none */
  uint32_t evacuate_ms;    /* nothing may start in a zone from then on */
  uint32_t resize_every;   /* ms between changes of a worker's capacity, 0:
                              none; each task then needs one core */
  uint32_t odd_every;   /* ms between odd entries among those of the workers,
                           0: none */
  uint32_t shrunk_ms;   /* no start may exceed a smaller capacity from then
                           on, counted from the report that follows */
  uint32_t leave_every; /* ms between times when workers begin to leave, 0:
                           none */
  gboolean expire;      /* entries expire without reports */
  double expire_share;  /* of the outages, in which entries expire as well */
  uint32_t away_every;  /* ms between workers that do not reach the store for
                           some seconds, 0: none */
  uint32_t cut_every;   /* ms between workers that some owners do not reach for
                           some time, 0: none */
  double takeover_cut;  /* share of the owners that do not reach half of the
                           workers at first */
  double long_share;    /* of the runs, which last longer than an outage */
} fleet_config_t;

typedef struct fleet fleet_t;

/* fleet_store.c */
typedef struct store store_t;

store_t *fleet_store_new (fleet_t *fleet);
void fleet_store_free (store_t *store);
/** Puts a record of the platform's own. */
void fleet_store_put (store_t *store, const char *topic, const char *key,
                      const char *value);
bool fleet_store_is_down (const store_t *store, usec_t now);
/** Answers reads that waited, ends members' lifetimes. */
void fleet_store_tick (store_t *store, usec_t now);
extern const httpd_ops_t fleet_store_ops;

/* fleet_workers.c */
typedef struct workers workers_t;

workers_t *fleet_workers_new (fleet_t *fleet);
void fleet_workers_free (workers_t *workers);
/** Ends runs, answers holds that waited, registers the workers. */
void fleet_workers_tick (workers_t *workers, usec_t now);
/** Reads "counts of tasks, by step" out of a job's spec. */
json_t *fleet_workers_audit (const workers_t *workers);
/** @return how often tasks of the job were started */
uint32_t fleet_workers_starts (const workers_t *all, const char *job);

/* fleet_zones.c */
#define FLEET_ZONES 3U
typedef struct zones_plan zones_plan_t;

zones_plan_t *fleet_zones_new (fleet_t *fleet);
void fleet_zones_free (zones_plan_t *plan);
/** Evacuates zones and takes them back. */
void fleet_zones_tick (zones_plan_t *plan, usec_t now);
/** @return whether a start in the zone breaks the rule */
bool fleet_zone_is_closed (const zones_plan_t *plan, uint32_t zone,
                           usec_t now);

/* fleet_capacity.c */
typedef struct capacity_plan capacity_plan_t;

capacity_plan_t *fleet_capacity_new (fleet_t *fleet);
void fleet_capacity_free (capacity_plan_t *plan);
/** Changes the capacity of workers. */
void fleet_capacity_tick (capacity_plan_t *plan, usec_t now);
/** @return cores of the worker */
uint32_t fleet_capacity_cores (const capacity_plan_t *plan, uint32_t worker);
/** @return the most cores that the worker has had since SINCE */
uint32_t fleet_capacity_limit (const capacity_plan_t *plan, uint32_t worker,
                               usec_t since);

/* fleet_spells.c */
typedef struct spells spells_t;

spells_t *fleet_spells_new (fleet_t *fleet);
void fleet_spells_free (spells_t *spells);
/** Draws the workers on which spells begin. */
void fleet_spells_tick (spells_t *spells, usec_t now);
bool fleet_spell_acts (const spells_t *spells, uint32_t worker, spell_t spell,
                       usec_t now);

/* fleet_odd.c */
typedef struct odd_writer odd_writer_t;

odd_writer_t *fleet_odd_new (fleet_t *fleet);
void fleet_odd_free (odd_writer_t *writer);
/** Puts odd entries among those of the workers. */
void fleet_odd_tick (odd_writer_t *writer, usec_t now);
/** @return whether a call is for the worker */
bool fleet_is_meant (httpd_t *httpd, handle_t http, const char *id);
/* fleet_leaving.c */
typedef struct leaving leaving_t;

leaving_t *fleet_leaving_new (fleet_t *fleet);
void fleet_leaving_free (leaving_t *leaving);
/** Draws workers that begin to leave. */
void fleet_leaving_tick (leaving_t *leaving, usec_t now);
/** The worker writes its entry.
    @return whether it says that it leaves, and after how long at least */
bool fleet_leaving_tell (leaving_t *leaving, uint32_t worker, usec_t now,
                         int *remaining_ms);
/** @return whether the store has accepted that the worker leaves */
bool fleet_leaving_is_told (const leaving_t *leaving, uint32_t worker);
/** @return whether the worker ends now */
bool fleet_leaving_is_over (const leaving_t *leaving, uint32_t worker,
                            usec_t now);
/** The worker has ended; the next one there does not leave. */
void fleet_leaving_reset (leaving_t *leaving, uint32_t worker);

/* fleet_entries.c */
#define FLEET_REPORT_INTERVAL USEC_PER_SEC
typedef struct entries entries_t;

entries_t *fleet_entries_new (fleet_t *fleet);
void fleet_entries_free (entries_t *entries);
/** Ends entries; draws workers that do not reach the store. */
void fleet_entries_tick (entries_t *entries, usec_t now);
/** @return whether the worker reaches the store */
bool fleet_entry_can_report (const entries_t *entries, uint32_t worker,
                             usec_t now);
/** The worker does not reach the store. */
void fleet_entry_away (entries_t *entries, uint32_t worker, usec_t until);
/** The worker writes its entry. */
void fleet_entry_report (entries_t *entries, uint32_t worker, usec_t now,
                         const char *id, const char *entry);
/** The worker ends and takes its entry out if it reaches the store. */
void fleet_entry_leave (entries_t *entries, uint32_t worker, usec_t now);
/** @return when the worker last reported before AT */
usec_t fleet_entry_last_report (const entries_t *entries, uint32_t worker,
                                usec_t at);

/* fleet_paths.c */
/* The workers listen so many ports above those of the paths to them. */
#define FLEET_INNER_PORTS 500U
typedef struct paths paths_t;

paths_t *fleet_paths_new (fleet_t *fleet);
void fleet_paths_free (paths_t *paths);
/** Draws cuts and ends them. */
void fleet_paths_tick (paths_t *paths, usec_t now);
/** The worker has started, and listens at INNER. */
void fleet_path_open (paths_t *paths, uint32_t worker, const char *address,
                      const char *inner);
/** The worker has ended. */
void fleet_path_close (paths_t *paths, uint32_t worker);
/** @return how many connections were reset */
uint32_t fleet_paths_resets (const paths_t *paths);

struct fleet
{
  fleet_config_t config;
  struct ev_loop *loop;
  GRand *random;
  store_t *store;
  workers_t *workers;
  zones_plan_t *zones;
  capacity_plan_t *capacity;
  spells_t *spells;
  odd_writer_t *odd_writer;
  leaving_t *leaving;
  entries_t *entries;
  paths_t *paths;
  bool spells_over; /* no more spells and lost calls */
  bool calm;        /* no more faults */
  uint32_t version; /* of the configuration */
  usec_t config_due;
  httpd_t *httpd; /* of the store */
};

/* fleet.c */
/** Draws a fault. */
bool fleet_chance (fleet_t *fleet, double share);
/** Writes a line with the time to standard error. */
void fleet_log (const char *format, ...) G_GNUC_PRINTF (1, 2);
/** Answers with JSON; takes the reference. */
void fleet_answer (httpd_t *httpd, handle_t http, int status, json_t *body);

#endif
