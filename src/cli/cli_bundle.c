/** @file
 * Subcommand bundle: everything that is done with a bundle before it is
 * rolled.
 */
#include "cli/cli.h"
#include "settings/settings.h"

#include <fcntl.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SECRET_BYTES ((size_t)crypto_sign_SECRETKEYBYTES)
#define SECRET_HEX (SECRET_BYTES * 2)
#define PUBLIC_BYTES ((size_t)crypto_sign_PUBLICKEYBYTES)

static int bundle_new (int argc, char **argv);
static int bundle_keygen (int argc, char **argv);
static int bundle_sign_file (int argc, char **argv);
static int bundle_verify_file (int argc, char **argv);
static int bundle_diff_files (int argc, char **argv);
static int bundle_show (int argc, char **argv);
static int bundle_print_hash (int argc, char **argv);
static bool write_secret (const char *path, const char *hex);
static bool read_secret (const char *path, uint8_t secret[SECRET_BYTES]);
static int sign_with (const char *signer, const char *key_file,
                      const char *path);
static int verify_with (const char *settings_path, const char *signature_path,
                        const char *path);

static const cli_command_t commands[] = {
  { "new", bundle_new, "write a template to standard output" },
  { "keygen", bundle_keygen, "make the key pair of a signer" },
  { "sign", bundle_sign_file, "sign a bundle that somebody else wrote" },
  { "verify", bundle_verify_file, "check a bundle and its signature" },
  { "diff", bundle_diff_files, "show what changes between two bundles" },
  { "show", bundle_show, "state in plain words what is promised to whom" },
  { "hash-key", bundle_print_hash, "hash the bearer key of a member" },
};

static const char template[]
    = "; Bundle; the keys are described in limpethinge-bundle(5).\n"
      "[bundle]\n"
      "version = %" PRIu64 "\n"
      "parent = %" PRIu64 "\n"
      "author = %s\n"
      "site = %s\n"
      "\n"
      "; Work that a caller waits for.\n"
      "[class quick]\n"
      "latency_critical = yes\n"
      "idempotent = yes\n"
      "priority = 5\n"
      "deadline_ms = 2000\n"
      "run_limit_ms = 1000\n"
      "\n"
      "; Work that runs at most once.\n"
      "[class batch]\n"
      "latency_critical = no\n"
      "idempotent = no\n"
      "resumable = no\n"
      "priority = 5\n"
      "millicores = 1000\n"
      "memory_mb = 1024\n"
      "\n"
      "; The most that the batch work of a team may use at once.\n"
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
      "; The most that one VM may carry.\n"
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
bundle_new (int argc, char **argv)
{
  gint64 parent = 0;
  char *author = NULL;
  char *site = NULL;
  const GOptionEntry entries[]
      = { { "parent", 'p', 0, G_OPTION_ARG_INT64, &parent,
            "Version in force (default 0)", "VERSION" },
          { "author", 'a', 0, G_OPTION_ARG_STRING, &author,
            "Who writes the bundle (default author1)", "NAME" },
          { "site", 't', 0, G_OPTION_ARG_STRING, &site, "Site (default site1)",
            "NAME" },
          G_OPTION_ENTRY_NULL };
  int code = cli_parse (&argc, &argv, entries, "",
                        "Writes a template to standard output.", 0, 0);

  if (code != CLI_GO_ON)
    return code;
  if (parent < 0)
    return cli_fail (CLI_USAGE, "--parent is a number from 0");
  printf (template, (uint64_t)parent + 1, (uint64_t)parent,
          author ? author : "author1", site ? site : "site1");
  g_free (author);
  g_free (site);
  return CLI_OK;
}

static int
bundle_keygen (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  uint8_t public_key[PUBLIC_BYTES];
  uint8_t secret[SECRET_BYTES];
  char hex[SECRET_HEX + 1];
  bool written;
  int code = cli_parse (&argc, &argv, entries, "NAME FILE",
                        "Writes the secret key of signer NAME to the new FILE "
                        "and prints the section for the settings of all "
                        "processes.",
                        2, 2);

  if (code != CLI_GO_ON)
    return code;
  if (!ini_name_valid (argv[1]))
    return cli_fail (CLI_USAGE, "\"%s\" is no name of a signer", argv[1]);
  crypto_sign_keypair (public_key, secret);
  sodium_bin2hex (hex, sizeof hex, secret, sizeof secret);
  written = write_secret (argv[2], hex);
  sodium_memzero (secret, sizeof secret);
  if (written)
    {
      sodium_bin2hex (hex, sizeof hex, public_key, sizeof public_key);
      printf ("[signer %s]\nkey = %s\n", argv[1], hex);
    }
  sodium_memzero (hex, sizeof hex);
  return written ? CLI_OK : CLI_REFUSED;
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

  if (code != CLI_GO_ON)
    return code;
  if (cli_required (signer, "--signer")
      && cli_required (key_file, "--key-file"))
    code = sign_with (signer, key_file, argv[1]);
  else
    code = CLI_USAGE;
  g_free (signer);
  g_free (key_file);
  return code;
}

static int
sign_with (const char *signer, const char *key_file, const char *path)
{
  uint8_t secret[SECRET_BYTES];
  char block[BUNDLE_SIGNATURE_SIZE];
  err_t err = { 0 };
  char *text = NULL;
  bundle_t *bundle = cli_bundle (path, &text);
  int code = CLI_REFUSED;

  if (!bundle)
    return CLI_PROBLEMS;
  if (!read_secret (key_file, secret))
    code = CLI_REFUSED;
  else if (bundle_sign (blob_of (text), signer, secret, block, &err))
    code = cli_fail (CLI_REFUSED, "%s: %s", err.peer, err.text);
  else
    code = puts (block) < 0 ? CLI_REFUSED : CLI_OK;
  sodium_memzero (secret, sizeof secret);
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

  if (code != CLI_GO_ON)
    return code;
  if (cli_required (settings, "--settings")
      && cli_required (signature, "--signature"))
    code = verify_with (settings, signature, argv[1]);
  else
    code = CLI_USAGE;
  g_free (settings);
  g_free (signature);
  return code;
}

static int
verify_with (const char *settings_path, const char *signature_path,
             const char *path)
{
  settings_t *settings = g_new0 (settings_t, 1);
  GArray *problems = g_array_new (FALSE, FALSE, sizeof (problem_t));
  char *text = NULL;
  char *signature = NULL;
  bundle_t *bundle = NULL;
  err_t err = { 0 };
  gsize len;
  int code = CLI_PROBLEMS;

  if (settings_load (settings_path, settings, problems, &err))
    {
      cli_print_problems (settings_path, problems);
      (void)cli_fail (code, "%s: %s", settings_path, err.text);
    }
  else if ((bundle = cli_bundle (path, &text))
           && (signature
               = cli_read (signature_path, BUNDLE_SIGNATURE_SIZE - 1, &len)))
    code = bundle_verify (blob_of (text), blob_of (signature),
                          settings->signers, settings->signer_count, &err)
               ? cli_fail (CLI_REFUSED, "%s: %s", signature_path, err.text)
               : CLI_OK;
  if (code == CLI_OK)
    printf ("%s: version %" PRIu64 ", signed by somebody other than %s\n",
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
  bundle_t *a;
  bundle_t *b;
  int code = cli_parse (&argc, &argv, entries, "OLD NEW",
                        "Prints what changes in meaning from OLD to NEW: "
                        "removed (-), added (+) and changed (~).",
                        2, 2);

  if (code != CLI_GO_ON)
    return code;
  a = cli_bundle (argv[1], NULL);
  b = cli_bundle (argv[2], NULL);
  if (a && b)
    {
      char *diff = bundle_diff (a, b);

      fputs (diff, stdout);
      g_free (diff);
    }
  code = a && b ? CLI_OK : CLI_PROBLEMS;
  bundle_free (a);
  bundle_free (b);
  return code;
}

static int
bundle_show (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  bundle_t *bundle;
  char *text;
  int code = cli_parse (&argc, &argv, entries, "BUNDLE",
                        "States in plain words what a bundle promises.", 1, 1);

  if (code != CLI_GO_ON)
    return code;
  bundle = cli_bundle (argv[1], NULL);
  if (!bundle)
    return CLI_PROBLEMS;
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

  if (code != CLI_GO_ON)
    return code;
  key = cli_key (argc > 1 ? argv[1] : "-");
  if (!key)
    return CLI_REFUSED;
  bundle_hash (blob_of (key), hash);
  puts (sodium_bin2hex (hex, sizeof hex, hash, sizeof hash));
  g_free (key);
  return CLI_OK;
}

/* An existing file is never overwritten, as it may hold another key.  */
static bool
write_secret (const char *path, const char *hex)
{
  int file = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  char *line = g_strconcat (hex, "\n", NULL);
  ssize_t len = (ssize_t)strlen (line);
  bool good = file >= 0 && write (file, line, (size_t)len) == len;

  if (file >= 0)
    good = close (file) == 0 && good;
  if (!good)
    (void)cli_fail (CLI_REFUSED, "%s: %s", path, g_strerror (errno));
  sodium_memzero (line, (size_t)len);
  g_free (line);
  return good;
}

static bool
read_secret (const char *path, uint8_t secret[SECRET_BYTES])
{
  gsize len;
  char *hex = cli_read (path, SECRET_HEX + 1, &len);
  bool good;

  if (!hex)
    return false;
  g_strchomp (hex);
  good = strlen (hex) == SECRET_HEX
         && !sodium_hex2bin (secret, SECRET_BYTES, hex, SECRET_HEX, NULL, &len,
                             NULL)
         && len == SECRET_BYTES;
  sodium_memzero (hex, strlen (hex));
  g_free (hex);
  if (!good)
    (void)cli_fail (CLI_REFUSED, "%s: not a secret key of %zu hex digits",
                    path, SECRET_HEX);
  return good;
}
