/** @file
 * Subcommand bundle: creates, signs, verifies, compares and describes bundles.
 */
#include "cli/cli.h"
#include "settings/settings.h"

#include <fcntl.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SECRET_KEY_BYTES ((size_t)crypto_sign_SECRETKEYBYTES)
#define SECRET_KEY_HEX_DIGITS (SECRET_KEY_BYTES * 2)
#define PUBLIC_KEY_BYTES ((size_t)crypto_sign_PUBLICKEYBYTES)

static int bundle_print_template (int argc, char **argv);
static int bundle_generate_keys (int argc, char **argv);
static int bundle_sign_file (int argc, char **argv);
static int bundle_verify_file (int argc, char **argv);
static int bundle_diff_files (int argc, char **argv);
static int bundle_show (int argc, char **argv);
static int bundle_print_hash (int argc, char **argv);
static bool write_secret_key (const char *path, const char *hex);
static bool read_secret_key (const char *path,
                             uint8_t secret_key[SECRET_KEY_BYTES]);
static int sign_bundle (const char *signer, const char *key_file,
                        const char *path);
static int verify_bundle (const char *settings_path,
                          const char *signature_path, const char *path);

static const cli_command_t commands[] = {
  { "new", bundle_print_template, "write a template to standard output" },
  { "keygen", bundle_generate_keys, "generate the key pair of a signer" },
  { "sign", bundle_sign_file, "sign a bundle written by another author" },
  { "verify", bundle_verify_file, "check a bundle and its signature" },
  { "diff", bundle_diff_files, "show what changes between two bundles" },
  { "show", bundle_show,
    "describe in plain text what a bundle guarantees to whom" },
  { "hash-key", bundle_print_hash, "hash the bearer key of a member" },
};

static const char bundle_template[]
    = "; Bundle; the keys are described in limpethinge-bundle(5).\n"
      "[bundle]\n"
      "version = %" PRIu64 "\n"
      "parent = %" PRIu64 "\n"
      "author = %s\n"
      "site = %s\n"
      "\n"
      "; Latency-critical work, for which a caller waits.\n"
      "[class quick]\n"
      "latency_critical = yes\n"
      "idempotent = yes\n"
      "priority = 5\n"
      "deadline_ms = 2000\n"
      "run_limit_ms = 1000\n"
      "\n"
      "; Batch work that runs at most once.\n"
      "[class batch]\n"
      "latency_critical = no\n"
      "idempotent = no\n"
      "resumable = no\n"
      "priority = 5\n"
      "millicores = 1000\n"
      "memory_mb = 1024\n"
      "\n"
      "; Limit on the resources in use by the batch work of a team.\n"
      "[team team1]\n"
      "millicores = 100000\n"
      "\n"
      "; key_hash is printed by limpethinge bundle hash-key.\n"
      "[member member1]\n"
      "key_hash = \n"
      "classes = quick batch\n"
      "team = team1\n"
      "weight = 1\n"
      "\n"
      "; Limits on the concurrent work of one VM.\n"
      "[vmkind instance]\n"
      "slots = 8\n"
      "connections = 64\n";

int
cli_bundle_command (int argc, char **argv)
{
  return cli_dispatch ("limpethinge bundle", commands, G_N_ELEMENTS (commands),
                       argc, argv);
}

static int
bundle_print_template (int argc, char **argv)
{
  gint64 parent = 0;
  char *author = NULL;
  char *site = NULL;
  const GOptionEntry entries[]
      = { { "parent", 'p', 0, G_OPTION_ARG_INT64, &parent,
            "Version in force (default 0)", "VERSION" },
          { "author", 'a', 0, G_OPTION_ARG_STRING, &author,
            "Author of the bundle (default author1)", "NAME" },
          { "site", 't', 0, G_OPTION_ARG_STRING, &site, "Site (default site1)",
            "NAME" },
          G_OPTION_ENTRY_NULL };
  int code = cli_parse (&argc, &argv, entries, "",
                        "Writes a template to standard output.", 0, 0);

  if (code != CLI_CONTINUE)
    return code;
  if (parent < 0)
    return cli_fail (CLI_USAGE, "option --parent must not be negative");
  printf (bundle_template, (uint64_t)parent + 1, (uint64_t)parent,
          author ? author : "author1", site ? site : "site1");
  g_free (author);
  g_free (site);
  return CLI_OK;
}

static int
bundle_generate_keys (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  uint8_t public_key[PUBLIC_KEY_BYTES];
  uint8_t secret_key[SECRET_KEY_BYTES];
  char hex[SECRET_KEY_HEX_DIGITS + 1];
  bool written;
  int code = cli_parse (&argc, &argv, entries, "NAME FILE",
                        "Writes the secret key of signer NAME to the new FILE "
                        "and prints the section for the settings of all "
                        "processes.",
                        2, 2);

  if (code != CLI_CONTINUE)
    return code;
  if (!ini_name_valid (argv[1]))
    return cli_fail (CLI_USAGE, "invalid signer name \"%s\"", argv[1]);
  crypto_sign_keypair (public_key, secret_key);
  sodium_bin2hex (hex, sizeof hex, secret_key, sizeof secret_key);
  written = write_secret_key (argv[2], hex);
  sodium_memzero (secret_key, sizeof secret_key);
  if (written)
    {
      sodium_bin2hex (hex, sizeof hex, public_key, sizeof public_key);
      printf ("[signer %s]\nkey = %s\n", argv[1], hex);
    }
  sodium_memzero (hex, sizeof hex);
  return written ? CLI_OK : CLI_ERROR;
}

static int
bundle_sign_file (int argc, char **argv)
{
  char *signer = NULL;
  char *key_file = NULL;
  const GOptionEntry entries[]
      = { { "signer", 'n', 0, G_OPTION_ARG_STRING, &signer,
            "Name of the signer in the settings", "NAME" },
          { "key-file", 'k', 0, G_OPTION_ARG_FILENAME, &key_file,
            "Secret key of the signer", "FILE" },
          G_OPTION_ENTRY_NULL };
  int code = cli_parse (&argc, &argv, entries, "BUNDLE",
                        "Prints the signature of a bundle.", 1, 1);

  if (code != CLI_CONTINUE)
    return code;
  if (cli_require_option (signer, "--signer")
      && cli_require_option (key_file, "--key-file"))
    code = sign_bundle (signer, key_file, argv[1]);
  else
    code = CLI_USAGE;
  g_free (signer);
  g_free (key_file);
  return code;
}

static int
sign_bundle (const char *signer, const char *key_file, const char *path)
{
  uint8_t secret_key[SECRET_KEY_BYTES];
  char encoded_signature[BUNDLE_SIGNATURE_SIZE];
  err_t err = { 0 };
  char *text = NULL;
  bundle_t *bundle = cli_load_bundle (path, &text);
  int code = CLI_ERROR;

  if (!bundle)
    return CLI_INVALID_FILE;
  if (!read_secret_key (key_file, secret_key))
    code = CLI_ERROR;
  else if (bundle_sign (blob_of (text), signer, secret_key, encoded_signature,
                        &err))
    code = cli_fail (CLI_ERROR, "%s: %s", err.peer, err.text);
  else
    code = puts (encoded_signature) < 0 ? CLI_ERROR : CLI_OK;
  sodium_memzero (secret_key, sizeof secret_key);
  bundle_free (bundle);
  g_free (text);
  return code;
}

static int
bundle_verify_file (int argc, char **argv)
{
  char *settings = NULL;
  char *signature = NULL;
  const GOptionEntry entries[]
      = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &settings,
            "Settings with the trusted signers", "FILE" },
          { "signature", 'g', 0, G_OPTION_ARG_FILENAME, &signature,
            "Signature of the bundle", "FILE" },
          G_OPTION_ENTRY_NULL };
  int code = cli_parse (&argc, &argv, entries, "BUNDLE",
                        "Checks a bundle and its signature.", 1, 1);

  if (code != CLI_CONTINUE)
    return code;
  if (cli_require_option (settings, "--settings")
      && cli_require_option (signature, "--signature"))
    code = verify_bundle (settings, signature, argv[1]);
  else
    code = CLI_USAGE;
  g_free (settings);
  g_free (signature);
  return code;
}

static int
verify_bundle (const char *settings_path, const char *signature_path,
               const char *path)
{
  settings_t *settings = g_new0 (settings_t, 1);
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  char *text = NULL;
  char *signature = NULL;
  bundle_t *bundle = NULL;
  err_t err = { 0 };
  gsize len;
  int code = CLI_INVALID_FILE;

  if (settings_load (settings_path, settings, problems, &err))
    {
      cli_print_problems (settings_path, problems);
      (void)cli_fail (code, "%s: %s", settings_path, err.text);
    }
  else if ((bundle = cli_load_bundle (path, &text))
           && (signature = cli_read_file (signature_path,
                                          BUNDLE_SIGNATURE_SIZE - 1, &len)))
    code = bundle_verify (blob_of (text), blob_of (signature),
                          settings->signers, settings->signer_count, &err)
               ? cli_fail (CLI_ERROR, "%s: %s", signature_path, err.text)
               : CLI_OK;
  if (code == CLI_OK)
    printf ("%s: version %" PRIu64
            ", valid signature by a signer other than author %s\n",
            path, bundle->version, bundle->author);
  bundle_free (bundle);
  g_array_free (problems, TRUE);
  g_free (settings);
  g_free (signature);
  g_free (text);
  return code;
}

static int
bundle_diff_files (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  bundle_t *old_bundle;
  bundle_t *new_bundle;
  int code = cli_parse (&argc, &argv, entries, "OLD NEW",
                        "Prints the semantic differences from OLD to NEW: "
                        "removed (-), added (+) and changed (~).",
                        2, 2);

  if (code != CLI_CONTINUE)
    return code;
  old_bundle = cli_load_bundle (argv[1], NULL);
  new_bundle = cli_load_bundle (argv[2], NULL);
  if (old_bundle && new_bundle)
    {
      char *diff = bundle_diff (old_bundle, new_bundle);

      fputs (diff, stdout);
      g_free (diff);
    }
  code = old_bundle && new_bundle ? CLI_OK : CLI_INVALID_FILE;
  bundle_free (old_bundle);
  bundle_free (new_bundle);
  return code;
}

static int
bundle_show (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  bundle_t *bundle;
  char *text;
  int code
      = cli_parse (&argc, &argv, entries, "BUNDLE",
                   "Describes in plain text what a bundle guarantees.", 1, 1);

  if (code != CLI_CONTINUE)
    return code;
  bundle = cli_load_bundle (argv[1], NULL);
  if (!bundle)
    return CLI_INVALID_FILE;
  text = bundle_describe (bundle);
  fputs (text, stdout);
  g_free (text);
  bundle_free (bundle);
  return CLI_OK;
}

static int
bundle_print_hash (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  uint8_t hash[32];
  char hex[sizeof hash * 2 + 1];
  char *key;
  int code = cli_parse (&argc, &argv, entries, "[FILE]",
                        "Prints the hash of a bearer key, read from FILE or "
                        "from standard input.",
                        0, 1);

  if (code != CLI_CONTINUE)
    return code;
  key = cli_read_bearer_key (argc > 1 ? argv[1] : "-");
  if (!key)
    return CLI_ERROR;
  bundle_hash (blob_of (key), hash);
  puts (sodium_bin2hex (hex, sizeof hex, hash, sizeof hash));
  g_free (key);
  return CLI_OK;
}

/* Fails if the file exists, as it may hold another key.  */
static bool
write_secret_key (const char *path, const char *hex)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  char *line = g_strconcat (hex, "\n", NULL);
  ssize_t len = (ssize_t)strlen (line);
  bool ok = fd >= 0 && write (fd, line, (size_t)len) == len;

  if (fd >= 0)
    ok = close (fd) == 0 && ok;
  if (!ok)
    (void)cli_fail (CLI_ERROR, "%s: %s", path, g_strerror (errno));
  sodium_memzero (line, (size_t)len);
  g_free (line);
  return ok;
}

static bool
read_secret_key (const char *path, uint8_t secret_key[SECRET_KEY_BYTES])
{
  gsize len;
  char *hex = cli_read_file (path, SECRET_KEY_HEX_DIGITS + 1, &len);
  bool ok;

  if (!hex)
    return false;
  g_strchomp (hex);
  ok = strlen (hex) == SECRET_KEY_HEX_DIGITS
       && !sodium_hex2bin (secret_key, SECRET_KEY_BYTES, hex,
                           SECRET_KEY_HEX_DIGITS, NULL, &len, NULL)
       && len == SECRET_KEY_BYTES;
  sodium_memzero (hex, strlen (hex));
  g_free (hex);
  if (!ok)
    (void)cli_fail (CLI_ERROR, "%s: not a secret key of %zu hex digits", path,
                    SECRET_KEY_HEX_DIGITS);
  return ok;
}
