/** @file
 * Signatures of bundles: Ed25519 over a context string and the text.
 *
 * The context keeps a signature made for another purpose with the same key
 * from being taken for the signature of a bundle.
 */
#include "bundle/bundle.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>

#define SIGNATURE_HEX ((size_t)crypto_sign_BYTES * 2)
#define CONTEXT "limpethinge bundle 1\n"

static GByteArray *signed_bytes (blob_t text);
static bundle_t *parse_for_signature (blob_t text, err_t *err);
static bool split_block (blob_t signature, char name[48],
                         uint8_t bytes[crypto_sign_BYTES]);
static const signer_t *find_signer (const signer_t *signers, size_t count,
                                    const char *name);
static int check_block (blob_t text, blob_t signature, const signer_t *signers,
                        size_t count, const char *author, err_t *err);

int
bundle_sign (blob_t text, const char *signer, const uint8_t secret[64],
             char out[BUNDLE_SIGNATURE_SIZE], err_t *err)
{
  bundle_t *bundle = parse_for_signature (text, err);
  uint8_t bytes[crypto_sign_BYTES];
  char hex[2 * sizeof bytes + 1];
  GByteArray *message;
  bool own;

  if (!bundle)
    return -EINVAL;
  own = strcmp (bundle->author, signer) == 0;
  bundle_free (bundle);
  if (own)
    return err_set (err, -EPERM, "bundle sign", signer,
                    "the author may not sign the bundle");
  if (!ini_name_valid (signer))
    return err_set (err, -EINVAL, "bundle sign", signer,
                    "not the name of a signer");
  message = signed_bytes (text);
  crypto_sign_detached (bytes, NULL, message->data, message->len, secret);
  g_byte_array_free (message, TRUE);
  sodium_bin2hex (hex, sizeof hex, bytes, sizeof bytes);
  g_snprintf (out, BUNDLE_SIGNATURE_SIZE, "%s %s", signer, hex);
  return 0;
}

int
bundle_verify (blob_t text, blob_t signature, const signer_t *signers,
               size_t count, err_t *err)
{
  bundle_t *bundle;
  int code
      = bundle_open_signed (text, signature, signers, count, &bundle, err);

  bundle_free (bundle);
  return code;
}

int
bundle_open_signed (blob_t text, blob_t signature, const signer_t *signers,
                    size_t count, bundle_t **bundle, err_t *err)
{
  int code;

  *bundle = parse_for_signature (text, err);
  if (!*bundle)
    return -EINVAL;
  code = check_block (text, signature, signers, count, (*bundle)->author, err);
  if (!code)
    return 0;
  bundle_free (*bundle);
  *bundle = NULL;
  return code;
}

static int
check_block (blob_t text, blob_t signature, const signer_t *signers,
             size_t count, const char *author, err_t *err)
{
  uint8_t bytes[crypto_sign_BYTES];
  const signer_t *signer;
  GByteArray *message;
  char name[48];
  bool good;

#ifdef BUNDLE_MUTATE_SIGNATURE
  return 0;
#endif
  if (!split_block (signature, name, bytes))
    return err_set (err, -EPERM, "bundle verify", "",
                    "no signature of the form NAME HEX");
  if (strcmp (name, author) == 0)
    return err_set (err, -EPERM, "bundle verify", name,
                    "signed by its own author");
  signer = find_signer (signers, count, name);
  if (!signer)
    return err_set (err, -EPERM, "bundle verify", name,
                    "not a signer in the settings");
  message = signed_bytes (text);
  good = crypto_sign_verify_detached (bytes, message->data, message->len,
                                      signer->key)
         == 0;
  g_byte_array_free (message, TRUE);
  return good ? 0
              : err_set (err, -EPERM, "bundle verify", name,
                         "the signature does not fit the text");
}

static GByteArray *
signed_bytes (blob_t text)
{
  GByteArray *bytes = g_byte_array_new ();

  g_byte_array_append (bytes, (const guint8 *)CONTEXT, strlen (CONTEXT));
  g_byte_array_append (bytes, (const guint8 *)text.data, text.len);
  return bytes;
}

static bundle_t *
parse_for_signature (blob_t text, err_t *err)
{
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  bundle_t *bundle = bundle_parse (text, problems);

  if (!bundle)
    {
      const problem_t *first = &g_array_index (problems, problem_t, 0);

      err_set (err, -EINVAL, "bundle", "", "line %d: %s: %s (%u in all)",
               first->line, first->key, first->text, problems->len);
    }
  g_array_free (problems, TRUE);
  return bundle;
}

static bool
split_block (blob_t signature, char name[48], uint8_t bytes[crypto_sign_BYTES])
{
  char *block;
  char *blank;
  size_t len = 0;
  bool good;

  if (signature.len >= BUNDLE_SIGNATURE_SIZE)
    return false;
  block = g_strchomp (blob_dup (signature));
  blank = strchr (block, ' ');
  good = blank && strlen (blank + 1) == SIGNATURE_HEX;
  if (good)
    {
      *blank = '\0';
      good = g_strlcpy (name, block, 48) < 48
             && !sodium_hex2bin (bytes, crypto_sign_BYTES, blank + 1,
                                 SIGNATURE_HEX, NULL, &len, NULL)
             && len == crypto_sign_BYTES;
    }
  g_free (block);
  return good;
}

static const signer_t *
find_signer (const signer_t *signers, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (signers[i].name, name) == 0)
      return &signers[i];
  return NULL;
}
