/** @file
 * The bundle in force; versions only go up.
 *
 * Two versions are kept apart.  log_version is the version in force at the
 * place in the log that has been read, and alone decides whether an entry is
 * valid, so that all readers reach the same verdict.  The bundle in use may
 * be ahead of it, taken from a peer that has read further.
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
} held_t;

struct bundle_store
{
  signer_t *signers;
  size_t count;
  held_t held; /* in use; bundle is NULL before the first one */
  uint64_t log_version;
  uint8_t log_hash[32]; /* of the text of log_version */
  char *log_site;       /* NULL before the first one */
};

static int open_entry (const bundle_store_t *store, const msg_bundle_t *entry,
                       bundle_t **bundle, err_t *err);
static int check_order (const bundle_store_t *store, const msg_bundle_t *entry,
                        const bundle_t *bundle, err_t *err);
static bool repeats (const bundle_store_t *store, const msg_bundle_t *entry,
                     const uint8_t hash[32]);
static bool goes_down (const bundle_store_t *store, uint64_t version);
static uint64_t newest (const bundle_store_t *store);
static int stale (uint64_t in_force, const msg_bundle_t *entry, err_t *err);
static void hold (bundle_store_t *store, const msg_bundle_t *message,
                  bundle_t *bundle);
static void held_clear (held_t *held);

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
  held_clear (&store->held);
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
  int code = open_entry (store, entry, &bundle, err);

  if (!bundle)
    return code;
  bundle_hash (entry->text, hash);
  if (repeats (store, entry, hash))
    {
      bundle_free (bundle);
      return 0;
    }
  code = check_order (store, entry, bundle, err);
  if (code)
    {
      bundle_free (bundle);
      return code;
    }
  store->log_version = entry->version;
  memcpy (store->log_hash, hash, sizeof hash);
  g_free (store->log_site);
  store->log_site = g_strdup (bundle->site);
  if (goes_down (store, entry->version))
    bundle_free (bundle);
  else
    hold (store, entry, bundle);
  return 0;
}

int
bundle_store_offer (bundle_store_t *store, const msg_bundle_t *bundle,
                    err_t *err)
{
  bundle_t *parsed;
  int code = open_entry (store, bundle, &parsed, err);

  if (!parsed)
    return code;
#ifndef BUNDLE_MUTATE_REVERT
  if (bundle->version <= newest (store))
    {
      bundle_free (parsed);
      return err_set (err, -EALREADY, "bundle offer", "",
                      "version %" PRIu64 " is not newer", bundle->version);
    }
#endif
  hold (store, bundle, parsed);
  return 0;
}

int
bundle_store_check_roll (const bundle_store_t *store,
                         const msg_bundle_t *entry, err_t *err)
{
  bundle_t *bundle;
  int code = open_entry (store, entry, &bundle, err);
  uint64_t parent;

  if (!bundle)
    return code;
  parent = bundle->parent;
  bundle_free (bundle);
  if (entry->parent != parent)
    return err_set (err, -EINVAL, "bundle roll", "",
                    "parent %" PRIu64 " is not the one in the text",
                    entry->parent);
  if (entry->parent != newest (store))
    return stale (newest (store), entry, err);
  return 0;
}

const bundle_t *
bundle_store_current (const bundle_store_t *store)
{
  return store->held.bundle;
}

bool
bundle_store_message (const bundle_store_t *store, msg_bundle_t *message)
{
  const held_t *held = &store->held;

  if (!held->bundle)
    return false;
  *message = (msg_bundle_t){ .version = held->bundle->version,
                             .parent = held->bundle->parent,
                             .text = { held->text, held->text_len },
                             .signature
                             = { held->signature, held->signature_len } };
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

/* Checks the signature, and the numbers against those in the text.  */
static int
open_entry (const bundle_store_t *store, const msg_bundle_t *entry,
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

/* A roll continues the version in force.  A snapshot (parent = version)
   states the version in force at its place in the log; it serves readers
   that started after the roll had expired, and corrects one that started
   between the winner and the loser of two rolls.  */
static int
check_order (const bundle_store_t *store, const msg_bundle_t *entry,
             const bundle_t *bundle, err_t *err)
{
  bool snapshot = entry->parent == entry->version;

#ifndef BUNDLE_MUTATE_PARENT
  if (snapshot ? entry->version < store->log_version
               : entry->parent != store->log_version)
    return stale (store->log_version, entry, err);
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
repeats (const bundle_store_t *store, const msg_bundle_t *entry,
         const uint8_t hash[32])
{
  return store->log_site && entry->version == store->log_version
         && memcmp (hash, store->log_hash, sizeof store->log_hash) == 0;
}

static bool
goes_down (const bundle_store_t *store, uint64_t version)
{
#ifdef BUNDLE_MUTATE_REVERT
  return false;
#endif
  return store->held.bundle && version < store->held.bundle->version;
}

static uint64_t
newest (const bundle_store_t *store)
{
  return store->held.bundle ? store->held.bundle->version : 0;
}

static int
stale (uint64_t in_force, const msg_bundle_t *entry, err_t *err)
{
  return err_set (err, -ESTALE, "bundle", "",
                  "version %" PRIu64 " with parent %" PRIu64
                  " does not follow version %" PRIu64 " in force",
                  entry->version, entry->parent, in_force);
}

static void
hold (bundle_store_t *store, const msg_bundle_t *message, bundle_t *bundle)
{
  held_t held = { .bundle = bundle,
                  .text = blob_dup (message->text),
                  .text_len = message->text.len,
                  .signature = blob_dup (message->signature),
                  .signature_len = message->signature.len };

  held_clear (&store->held);
  store->held = held;
}

static void
held_clear (held_t *held)
{
  bundle_free (held->bundle);
  g_free (held->text);
  g_free (held->signature);
}
