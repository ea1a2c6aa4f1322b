/** @file
 * Bundles: the operators' configuration of classes of work, members, teams
 * and VMs.  A bundle is an INI file signed with Ed25519; its version decides
 * whether a process adopts it.
 */
#ifndef BUNDLE_BUNDLE_H
#define BUNDLE_BUNDLE_H

#include "base/inifile.h"
#include "base/messages.h"

#include <glib.h>
#include <jansson.h>

/** Upper bound of the run limit of a latency-critical class.  A new owner of
    a shard waits drain_ms, which is at least this long, for the former owner's
    requests to end; with a longer limit a slot could still be in use when the
    new owner starts. */
#define BUNDLE_RUN_LIMIT_MAX_MS 1500U

/** Maximum size of a bundle's text in bytes.  Encoded as a JSON string, a peer
    frame or a log record, the text must stay below their limits, the smallest
    of which is 512 KiB. */
#define BUNDLE_TEXT_MAX_BYTES 262144U

typedef struct
{
  char *name;
  bool latency_critical; /**< false: batch */
  bool idempotent;
  bool resumable;      /**< batch: may be checkpointed and evicted */
  uint32_t priority;   /**< 0 is the highest */
  usec_t deadline;     /**< latency-critical: arrival to answer */
  usec_t run_limit;    /**< of one attempt; batch: 0 for none */
  uint64_t millicores; /**< batch: default request of a task */
  uint64_t memory_mb;
  uint64_t accelerators;
} work_class_t;

typedef struct
{
  char *name;
  uint8_t key_hash[32]; /**< BLAKE2b-256 of the bearer key */
  char **classes;       /**< NULL-terminated; classes the member may use */
  char *team;
  uint32_t weight; /**< fair-share weight, at least 1 */
} member_t;

typedef struct
{
  char *name;
  uint64_t millicores; /**< quota */
} team_t;

typedef struct
{
  char *name;           /**< kind in the platform's list: instance or worker */
  uint32_t slots;       /**< instance: concurrent requests per VM */
  uint32_t connections; /**< instance: concurrent connections per VM */
  uint64_t millicores;  /**< worker: limit per VM, 0 for its listed capacity */
  uint64_t memory_mb;   /**< worker: limit per VM, 0 for its listed capacity */
} vm_kind_t;

typedef struct
{
  uint64_t version;
  uint64_t parent;
  char *author;
  char *site;
  GPtrArray *classes;  /**< work_class_t */
  GPtrArray *members;  /**< member_t */
  GPtrArray *teams;    /**< team_t */
  GPtrArray *vm_kinds; /**< vm_kind_t */
} bundle_t;

/** Parses and checks a bundle of at most BUNDLE_TEXT_MAX_BYTES bytes and
   reports all problems at once.
    @param problems filled with problem_t rows
    @return the bundle, NULL if there are problems */
bundle_t *bundle_parse (blob_t text, GArray *problems);
void bundle_free (bundle_t *bundle);

const work_class_t *bundle_class (const bundle_t *bundle, const char *name);
const vm_kind_t *bundle_vm_kind (const bundle_t *bundle, const char *name);

/** Computes the BLAKE2b-256 hash of a bearer key or of a bundle's text. */
void bundle_hash (blob_t bytes, uint8_t hash[32]);

/** Finds the member that has a bearer key.  The time taken does not depend on
    the hashes or on which member matches.  @return NULL if none matches */
const member_t *bundle_member_by_key (const bundle_t *bundle, blob_t key);
bool member_may_send (const member_t *member, const char *class_name);

#define BUNDLE_SIGNATURE_SIZE 256U
#define BUNDLE_SIGNER_NAME_SIZE 48

/** A trusted signer. */
typedef struct
{
  char name[BUNDLE_SIGNER_NAME_SIZE];
  uint8_t key[32]; /**< Ed25519 public key */
} signer_t;

/** Signs TEXT.  The signature block is "NAME HEX".
    @return 0; -EPERM if the signer is the bundle's author; -EINVAL if the
    text or the signer's name is invalid */
int bundle_sign (blob_t text, const char *signer, const uint8_t secret_key[64],
                 char out[BUNDLE_SIGNATURE_SIZE], err_t *err);

/** Checks a signature block against the trusted signers.
    @return 0; -EPERM if the text is unsigned, altered, signed by an unknown
    signer or by its own author; -EINVAL if the text is invalid */
int bundle_verify (blob_t text, blob_t signature, const signer_t *signers,
                   size_t count, err_t *err);

/** Parses a text and checks its signature block.
    @param bundle set to the bundle, NULL on error
    @return as bundle_verify */
int bundle_open_signed (blob_t text, blob_t signature, const signer_t *signers,
                        size_t count, bundle_t **bundle, err_t *err);

/** Lists the values that differ between two bundles; free with g_free. */
char *bundle_diff (const bundle_t *from, const bundle_t *to);

/** Describes a bundle's rules in English sentences; free with g_free. */
char *bundle_describe (const bundle_t *bundle);

/** The bundle in force in this process; its version never decreases. */
typedef struct bundle_store bundle_store_t;

bundle_store_t *bundle_store_new (const signer_t *signers, size_t count);
void bundle_store_free (bundle_store_t *store);

/** Applies a BUNDLE entry of the log.  An entry is valid if it is signed, its
    parent is the version in force at its position in the log, and its version
    is parent + 1.  A snapshot (parent = version) is valid if its version is
    not older than the one in force at its position.
    @return 0, also if the entry in force is repeated; -ESTALE if the entry
    does not follow the version in force, for instance because a concurrent
    roll was first; -EPERM; -EINVAL */
int bundle_store_apply (bundle_store_t *store, const msg_bundle_t *entry,
                        err_t *err);

/** Checks a bundle that an operator rolls out, before it is appended to the
    log.  A snapshot is refused: only a process that has read the bundle in
    force may append one.
    @return 0; -ESTALE if it does not follow the version in force; -EPERM;
    -EINVAL */
int bundle_store_check_roll (const bundle_store_t *store,
                             const msg_bundle_t *entry, err_t *err);

/** Adopts the bundle that a peer has in force if it is newer and its signature
    is valid.
    @return 0; -EALREADY if not newer; -EPERM; -EINVAL */
int bundle_store_offer (bundle_store_t *store, const msg_bundle_t *bundle,
                        err_t *err);

/** @return the bundle in force, NULL before the first one */
const bundle_t *bundle_store_current (const bundle_store_t *store);

/** Fills MESSAGE with the bundle in force.
    @return false if there is none */
bool bundle_store_message (const bundle_store_t *store, msg_bundle_t *message);

/** Fills MESSAGE with a snapshot entry of the bundle in force.  A snapshot is
    appended before the records of the roll expire from the log.
    @return false unless the bundle in force has been read from the log */
bool bundle_store_snapshot (const bundle_store_t *store,
                            msg_bundle_t *message);

#endif
