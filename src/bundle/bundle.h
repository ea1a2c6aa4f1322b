/** @file
 * Bundles: what operators state about classes of work, members, teams and
 * VMs; parsed from INI, signed with Ed25519, adopted by version.
 */
#ifndef BUNDLE_BUNDLE_H
#define BUNDLE_BUNDLE_H

#include "base/inifile.h"
#include "base/messages.h"

#include <glib.h>
#include <jansson.h>

/** Longest run limit of a latency-critical class.  The successor on a shard
    waits drain_ms (at least this long) for the former owner's requests, so a
    longer one could leave a slot in use when the successor starts. */
#define BUNDLE_RUN_LIMIT_MAX_MS 1500U

/** Longest text of a bundle; as a JSON string, a frame and a log record it
    stays below their limits, the smallest of which is 512 KiB. */
#define BUNDLE_TEXT_MAX_BYTES 262144U

typedef struct
{
  char *name;
  bool latency_critical; /**< else batch */
  bool idempotent;
  bool resumable;      /**< batch: can be checkpointed and evicted */
  uint32_t priority;   /**< 0 is the most important */
  usec_t deadline;     /**< LC: from arrival to answer */
  usec_t run_limit;    /**< LC: of one attempt; batch: 0 for none */
  uint64_t millicores; /**< batch: default size of a task */
  uint64_t memory_mb;
  uint64_t accelerators;
} work_class_t;

typedef struct
{
  char *name;
  uint8_t key_hash[32]; /**< BLAKE2b-256 of the bearer key */
  char **classes;       /**< NULL-terminated; what the member may send */
  char *team;
  uint32_t weight; /**< fair share, at least 1 */
} member_t;

typedef struct
{
  char *name;
  uint64_t millicores; /**< quota */
} team_t;

typedef struct
{
  char *name; /**< kind in the platform's list: instance, worker */
  uint32_t slots;
  uint32_t connections;
  uint64_t millicores; /**< most that may be used, 0: as listed */
  uint64_t memory_mb;
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

/** Parses and checks a bundle of at most BUNDLE_TEXT_MAX_BYTES bytes; all
   problems are reported at once.
    @param problems filled with problem_t rows
    @return the bundle, NULL if there are problems */
bundle_t *bundle_parse (blob_t text, GArray *problems);
void bundle_free (bundle_t *bundle);

const work_class_t *bundle_class (const bundle_t *bundle, const char *name);
const vm_kind_t *bundle_vm_kind (const bundle_t *bundle, const char *name);

/** BLAKE2b-256, of bearer keys and of texts. */
void bundle_hash (blob_t key, uint8_t hash[32]);

/** Finds the member by its bearer key; compares in constant time and takes
    the same time whichever member matches.  @return NULL if none does */
const member_t *bundle_member_by_key (const bundle_t *bundle, blob_t key);
bool member_may_send (const member_t *member, const char *class_name);

#define BUNDLE_SIGNATURE_SIZE 256U

/** Who may sign: name and Ed25519 public key. */
typedef struct
{
  char name[48];
  uint8_t key[32];
} signer_t;

/** Signs TEXT.  The signature block is "NAME HEX".
    @return 0; -EPERM if the signer is the bundle's author */
int bundle_sign (blob_t text, const char *signer, const uint8_t secret[64],
                 char out[BUNDLE_SIGNATURE_SIZE], err_t *err);

/** Checks a signature block against the trusted signers.
    @return 0; -EPERM unsigned, altered, unknown or self-signed */
int bundle_verify (blob_t text, blob_t signature, const signer_t *signers,
                   size_t count, err_t *err);

/** Parses a text and checks its signature block.
    @param bundle set to the bundle, NULL on error
    @return as bundle_verify; -EINVAL if the text is no good bundle */
int bundle_open_signed (blob_t text, blob_t signature, const signer_t *signers,
                        size_t count, bundle_t **bundle, err_t *err);

/** Lines that differ in meaning between two bundles; free with g_free. */
char *bundle_diff (const bundle_t *a, const bundle_t *b);

/** States in plain words what is promised to whom; free with g_free. */
char *bundle_describe (const bundle_t *bundle);

/** The bundle in force on this process; versions only go up. */
typedef struct bundle_store bundle_store_t;

bundle_store_t *bundle_store_new (const signer_t *signers, size_t count);
void bundle_store_free (bundle_store_t *store);

/** Applies a BUNDLE entry of the log: valid iff it is signed and its parent
    is the version in force in the log's order, and version = parent + 1.  A
    snapshot (parent = version) is valid iff its version is not older than the
    one in force.
    @return 0, also for a repetition of the entry in force; -ESTALE if another
    one won; -EPERM; -EINVAL */
int bundle_store_apply (bundle_store_t *store, const msg_bundle_t *entry,
                        err_t *err);

/** Checks a bundle that an operator wants to roll, before it is appended.
    A snapshot is refused: only a process that has read the bundle in force
    may append one.
    @return 0; -ESTALE if it does not follow the version in force; -EPERM;
    -EINVAL */
int bundle_store_check_roll (const bundle_store_t *store,
                             const msg_bundle_t *entry, err_t *err);

/** Takes the bundle that a peer has in force, if newer and signed.
    @return 0; -EALREADY if not newer; -EPERM; -EINVAL */
int bundle_store_offer (bundle_store_t *store, const msg_bundle_t *bundle,
                        err_t *err);

/** @return the bundle in force, NULL before the first one */
const bundle_t *bundle_store_current (const bundle_store_t *store);

/** Fills MESSAGE with the text and signature in force; false if none. */
bool bundle_store_message (const bundle_store_t *store, msg_bundle_t *message);

/** Fills MESSAGE with the snapshot entry of the bundle in force, to be
    appended before the records of the log expire.
    @return false unless the bundle in force has been read from the log */
bool bundle_store_snapshot (const bundle_store_t *store,
                            msg_bundle_t *message);

#endif
