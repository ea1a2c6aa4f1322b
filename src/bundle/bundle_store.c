/** @file
 * The bundle in force in this process, whose version never decreases.
 *
 * The store tracks two versions.  log_version is the version in force at the
 * position up to which the log has been read.  Only log_version decides
 * whether an entry is valid, so that all readers accept the same entries.  The
 * bundle in use may be newer, if it came from a peer that has read further.
 */
#include "bundle/bundle.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

typedef struct
{
  bundle_t *bundle;
  char *text;
  uint32_t text_len;
  char *signature;
  uint32_t signature_len;
} active_bundle_t;

struct bundle_store
{
  signer_t *signers;
  size_t count;
  active_bundle_t active; /* in use; its bundle is NULL if there is none */
  uint64_t log_version;
  uint8_t log_hash[32]; /* of the text of log_version */
  char *log_site;       /* NULL before the first valid entry */
};

static int verify_entry (const bundle_store_t *store,
                         const msg_bundle_t *entry, bundle_t **bundle,
                         err_t *err);
static int check_succession (const bundle_store_t *store,
                             const msg_bundle_t *entry, const bundle_t *bundle,
                             err_t *err);
static bool is_repetition (const bundle_store_t *store,
                           const msg_bundle_t *entry, const uint8_t hash[32]);
static bool is_downgrade (const bundle_store_t *store, uint64_t version);
static uint64_t active_version (const bundle_store_t *store);
static int set_stale_error (uint64_t in_force, const msg_bundle_t *entry,
                            err_t *err);
static void activate (bundle_store_t *store, const msg_bundle_t *message,
                      bundle_t *bundle);
static void active_clear (active_bundle_t *active);

bundle_store_t *
bundle_store_new (const signer_t *signers, size_t count)
{
  bundle_store_t *store = g_new0 (bundle_store_t, 1);

  store->signers = g_memdup2 (signers, count * sizeof *signers);
  store->count = count;
  return store;
}

void
bundle_store_free (bundle_store_t *store)
{
  if (!store)
    return;
  active_clear (&store->active);
  g_free (store->log_site);
  g_free (store->signers);
  g_free (store);
}

int
bundle_store_apply (bundle_store_t *store, const msg_bundle_t *entry,
                    err_t *err)
{
  uint8_t hash[32];
  bundle_t *bundle;
  int code = verify_entry (store, entry, &bundle, err);

  if (!bundle)
    return code;
  bundle_hash (entry->text, hash);
  if (is_repetition (store, entry, hash))
    {
      bundle_free (bundle);
      return 0;
    }
  code = check_succession (store, entry, bundle, err);
  if (code)
    {
      bundle_free (bundle);
      return code;
    }
  store->log_version = entry->version;
  memcpy (store->log_hash, hash, sizeof hash);
  g_free (store->log_site);
  store->log_site = g_strdup (bundle->site);
  if (is_downgrade (store, entry->version))
    bundle_free (bundle);
  else
    activate (store, entry, bundle);
  return 0;
}

int
bundle_store_offer (bundle_store_t *store, const msg_bundle_t *bundle,
                    err_t *err)
{
  bundle_t *parsed;
  int code = verify_entry (store, bundle, &parsed, err);

  if (!parsed)
    return code;
#ifndef BUNDLE_MUTATE_REVERT
  if (bundle->version <= active_version (store))
    {
      bundle_free (parsed);
      return err_set (err, -EALREADY, "bundle offer", "",
                      "version %" PRIu64 " is not newer", bundle->version);
    }
#endif
  activate (store, bundle, parsed);
  return 0;
}

int
bundle_store_check_roll (const bundle_store_t *store,
                         const msg_bundle_t *entry, err_t *err)
{
  bundle_t *bundle;
  int code = verify_entry (store, entry, &bundle, err);
  uint64_t parent;

  if (!bundle)
    return code;
  parent = bundle->parent;
  bundle_free (bundle);
  if (entry->parent != parent)
    return err_set (err, -EINVAL, "bundle roll", "",
                    "parent %" PRIu64 " is not the one in the text",
                    entry->parent);
  if (entry->parent != active_version (store))
    return set_stale_error (active_version (store), entry, err);
  return 0;
}

const bundle_t *
bundle_store_current (const bundle_store_t *store)
{
  return store->active.bundle;
}

bool
bundle_store_message (const bundle_store_t *store, msg_bundle_t *message)
{
  const active_bundle_t *active = &store->active;

  if (!active->bundle)
    return false;
  *message = (msg_bundle_t){ .version = active->bundle->version,
                             .parent = active->bundle->parent,
                             .text = { active->text, active->text_len },
                             .signature
                             = { active->signature, active->signature_len } };
  return true;
}

bool
bundle_store_snapshot (const bundle_store_t *store, msg_bundle_t *message)
{
  if (!bundle_store_message (store, message)
      || message->version != store->log_version)
    return false;
  message->parent = message->version;
  return true;
}

/* Checks the signature of an entry, and its version and parent against those
   in the signed text.  */
static int
verify_entry (const bundle_store_t *store, const msg_bundle_t *entry,
              bundle_t **bundle, err_t *err)
{
  int code = bundle_open_signed (entry->text, entry->signature, store->signers,
                                 store->count, bundle, err);

  if (!*bundle)
    return code;
  if (entry->version == (*bundle)->version
      && (entry->parent == (*bundle)->parent
          || entry->parent == entry->version))
    return 0;
  bundle_free (*bundle);
  *bundle = NULL;
  return err_set (err, -EINVAL, "bundle", "",
                  "version %" PRIu64 " or parent %" PRIu64
                  " is not the one in the text",
                  entry->version, entry->parent);
}

/* A roll follows the version in force.  A snapshot (parent = version) repeats
   the version in force at its position in the log.  It serves readers that
   started after the roll had expired from the log, and corrects a reader that
   started between two concurrent rolls and so accepted the one that lost.  */
static int
check_succession (const bundle_store_t *store, const msg_bundle_t *entry,
                  const bundle_t *bundle, err_t *err)
{
  bool snapshot = entry->parent == entry->version;

#ifndef BUNDLE_MUTATE_PARENT
  if (snapshot ? entry->version < store->log_version
               : entry->parent != store->log_version)
    return set_stale_error (store->log_version, entry, err);
#else
  (void)snapshot;
#endif
  if (store->log_site && strcmp (store->log_site, bundle->site) != 0)
    return err_set (err, -EINVAL, "bundle apply", "",
                    "site %s; the bundle in force is for site %s",
                    bundle->site, store->log_site);
  return 0;
}

static bool
is_repetition (const bundle_store_t *store, const msg_bundle_t *entry,
               const uint8_t hash[32])
{
  return store->log_site && entry->version == store->log_version
         && memcmp (hash, store->log_hash, sizeof store->log_hash) == 0;
}

static bool
is_downgrade (const bundle_store_t *store, uint64_t version)
{
#ifdef BUNDLE_MUTATE_REVERT
  return false;
#endif
  return store->active.bundle && version < store->active.bundle->version;
}

/* @return the version in use, 0 if there is none */
static uint64_t
active_version (const bundle_store_t *store)
{
  return store->active.bundle ? store->active.bundle->version : 0;
}

static int
set_stale_error (uint64_t in_force, const msg_bundle_t *entry, err_t *err)
{
  return err_set (err, -ESTALE, "bundle", "",
                  "version %" PRIu64 " with parent %" PRIu64
                  " does not follow version %" PRIu64 " in force",
                  entry->version, entry->parent, in_force);
}

static void
activate (bundle_store_t *store, const msg_bundle_t *message, bundle_t *bundle)
{
  active_bundle_t active = { .bundle = bundle,
                             .text = blob_dup (message->text),
                             .text_len = message->text.len,
                             .signature = blob_dup (message->signature),
                             .signature_len = message->signature.len };

  active_clear (&store->active);
  store->active = active;
}

static void
active_clear (active_bundle_t *active)
{
  bundle_free (active->bundle);
  g_free (active->text);
  g_free (active->signature);
}
