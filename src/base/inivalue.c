/** @file
 * Values of INI keys, by kind.
 */
#include "base/inifile.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define HASH_BYTES ((size_t)32)

typedef bool (*parse_t) (const ini_key_t *key, const char *text, void *field);
typedef char *(*text_t) (const ini_key_t *key, const void *field);

static bool parse_number (const ini_key_t *key, const char *text,
                          uint64_t *value);
static bool parse_u32 (const ini_key_t *key, const char *text, void *field);
static bool parse_u64 (const ini_key_t *key, const char *text, void *field);
static bool parse_msec (const ini_key_t *key, const char *text, void *field);
static bool parse_bool (const ini_key_t *key, const char *text, void *field);
static bool parse_choice (const ini_key_t *key, const char *text, void *field);
static bool parse_name (const ini_key_t *key, const char *text, void *field);
static bool parse_names (const ini_key_t *key, const char *text, void *field);
static bool parse_address (const ini_key_t *key, const char *text,
                           void *field);
static bool parse_url (const ini_key_t *key, const char *text, void *field);
static bool parse_hash (const ini_key_t *key, const char *text, void *field);
static char *text_u32 (const ini_key_t *key, const void *field);
static char *text_u64 (const ini_key_t *key, const void *field);
static char *text_msec (const ini_key_t *key, const void *field);
static char *text_bool (const ini_key_t *key, const void *field);
static char *text_choice (const ini_key_t *key, const void *field);
static char *text_name (const ini_key_t *key, const void *field);
static char *text_names (const ini_key_t *key, const void *field);
static char *text_chars (const ini_key_t *key, const void *field);
static char *text_hash (const ini_key_t *key, const void *field);
static bool append_names (const ini_key_t *key, GPtrArray *names,
                          const char *text);
static bool names_contain (const GPtrArray *names, const char *name);

static const struct
{
  parse_t parse;
  text_t text;
  const char *allowed;
} kinds[] = {
  [INI_U32] = { parse_u32, text_u32, "a number" },
  [INI_U64] = { parse_u64, text_u64, "a number" },
  [INI_MSEC] = { parse_msec, text_msec, "a number" },
  [INI_BOOL] = { parse_bool, text_bool, "yes or no" },
  [INI_CHOICE] = { parse_choice, text_choice, "one of" },
  [INI_NAME]
  = { parse_name, text_name,
      "a name: at most 31 of a-z 0-9 . _ -, first a letter or digit" },
  [INI_NAMES]
  = { parse_names, text_names, "different names, separated by blanks" },
  [INI_ADDRESS]
  = { parse_address, text_chars, "a numeric IPv4 address and port, IP:port" },
  [INI_URL] = { parse_url, text_chars, "http://IP:port" },
  [INI_HASH] = { parse_hash, text_hash, "64 hex digits" },
};

bool
ini_value_parse (const ini_key_t *key, const char *text, void *row)
{
  return kinds[key->kind].parse (key, text, (char *)row + key->offset);
}

bool
ini_value_extend (const ini_key_t *key, const char *text, void *row)
{
  char ***field = (char ***)(void *)((char *)row + key->offset);
  char *before = *field ? g_strjoinv (" ", *field) : g_strdup ("");
  char *all = g_strconcat (before, " ", text, NULL);
  bool good = parse_names (key, all, field);

  g_free (before);
  g_free (all);
  return good;
}

char *
ini_value_text (const ini_key_t *key, const void *row)
{
  return kinds[key->kind].text (key, (const char *)row + key->offset);
}

void
ini_value_allowed (const ini_key_t *key, char *out, size_t size)
{
  const char *allowed = kinds[key->kind].allowed;

  if (key->kind == INI_CHOICE)
    g_snprintf (out, size, "%s: %s", allowed, key->choices);
  else if (key->kind <= INI_MSEC)
    g_snprintf (out, size,
                "%s from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT "%s%s%s",
                allowed, key->min, key->max, key->unit ? " (" : "",
                key->unit ? key->unit : "", key->unit ? ")" : "");
  else
    g_strlcpy (out, allowed, size);
}

bool
ini_name_valid (const char *text)
{
  size_t len = strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789._-");

  return len > 0 && len <= INI_NAME_MAX && text[len] == '\0'
         && g_ascii_isalnum (text[0]);
}

int
ini_split_address (const char *text, char host[48], uint16_t *port)
{
  const char *colon = strchr (text, ':');
  struct in_addr binary;
  guint64 number;

  if (!colon || colon - text >= 48 || !g_ascii_isdigit (colon[1])
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &number,
                                      NULL))
    return -EINVAL;
  g_strlcpy (host, text, (gsize)(colon - text) + 1);
  if (inet_pton (AF_INET, host, &binary) != 1)
    return -EINVAL;
  *port = (uint16_t)number;
  return 0;
}

static bool
parse_number (const ini_key_t *key, const char *text, uint64_t *value)
{
  guint64 number;

  /* g_ascii_string_to_unsigned refuses signs and blanks.  */
  if (!g_ascii_string_to_unsigned (text, 10, key->min, key->max, &number,
                                   NULL))
    return false;
  *value = number;
  return true;
}

static bool
parse_u32 (const ini_key_t *key, const char *text, void *field)
{
  uint64_t value;

  if (!parse_number (key, text, &value))
    return false;
  *(uint32_t *)field = (uint32_t)value;
  return true;
}

static bool
parse_u64 (const ini_key_t *key, const char *text, void *field)
{
  return parse_number (key, text, field);
}

static bool
parse_msec (const ini_key_t *key, const char *text, void *field)
{
  uint64_t value;

  if (!parse_number (key, text, &value))
    return false;
  *(usec_t *)field = (usec_t)value * USEC_PER_MSEC;
  return true;
}

static bool
parse_bool (const ini_key_t *key, const char *text, void *field)
{
  (void)key;
  *(bool *)field = strcmp (text, "yes") == 0;
  return *(bool *)field || strcmp (text, "no") == 0;
}

static bool
parse_choice (const ini_key_t *key, const char *text, void *field)
{
  char **words = g_strsplit (key->choices, " ", -1);
  bool found = false;

  for (int i = 0; words[i] && !found; i++)
    if (strcmp (words[i], text) == 0)
      {
        *(int *)field = i;
        found = true;
      }
  g_strfreev (words);
  return found;
}

static bool
parse_name (const ini_key_t *key, const char *text, void *field)
{
  char **name = field;

  (void)key;
  if (!ini_name_valid (text))
    return false;
  g_free (*name);
  *name = g_strdup (text);
  return true;
}

static bool
parse_names (const ini_key_t *key, const char *text, void *field)
{
  char ***list = field;
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

  if (!append_names (key, names, text))
    {
      g_ptr_array_free (names, TRUE);
      return false;
    }
  g_ptr_array_add (names, NULL);
  g_strfreev (*list);
  *list = (char **)g_ptr_array_free (names, FALSE);
  return true;
}

static bool
append_names (const ini_key_t *key, GPtrArray *names, const char *text)
{
  char **words = g_strsplit_set (text, " \t", -1);
  bool good = true;

  for (int i = 0; words[i] && good; i++)
    {
      if (!*words[i])
        continue;
      good = ini_name_valid (words[i]) && !names_contain (names, words[i])
             && names->len < key->max;
      if (good)
        g_ptr_array_add (names, g_strdup (words[i]));
    }
  g_strfreev (words);
  return good && names->len >= key->min;
}

static bool
names_contain (const GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    if (strcmp (g_ptr_array_index (names, i), name) == 0)
      return true;
  return false;
}

static bool
parse_address (const ini_key_t *key, const char *text, void *field)
{
  char host[48];
  uint16_t port;

  (void)key;
  if (ini_split_address (text, host, &port))
    return false;
  return g_strlcpy (field, text, INI_ADDRESS_MAX) < INI_ADDRESS_MAX;
}

static bool
parse_url (const ini_key_t *key, const char *text, void *field)
{
  static const char scheme[] = "http://";
  char host[48];
  uint16_t port;

  (void)key;
  if (!g_str_has_prefix (text, scheme)
      || ini_split_address (text + strlen (scheme), host, &port))
    return false;
  return g_strlcpy (field, text, INI_URL_MAX) < INI_URL_MAX;
}

static bool
parse_hash (const ini_key_t *key, const char *text, void *field)
{
  unsigned char bytes[HASH_BYTES];
  size_t len = 0;

  (void)key;
  if (strlen (text) != 2 * sizeof bytes
      || sodium_hex2bin (bytes, sizeof bytes, text, 2 * sizeof bytes, NULL,
                         &len, NULL)
      || len != sizeof bytes)
    return false;
  memcpy (field, bytes, sizeof bytes);
  return true;
}

static char *
text_u32 (const ini_key_t *key, const void *field)
{
  (void)key;
  return g_strdup_printf ("%" G_GUINT32_FORMAT, *(const uint32_t *)field);
}

static char *
text_u64 (const ini_key_t *key, const void *field)
{
  (void)key;
  return g_strdup_printf ("%" G_GUINT64_FORMAT, *(const uint64_t *)field);
}

static char *
text_msec (const ini_key_t *key, const void *field)
{
  (void)key;
  return g_strdup_printf ("%" PRId64,
                          (int64_t)(*(const usec_t *)field / USEC_PER_MSEC));
}

static char *
text_bool (const ini_key_t *key, const void *field)
{
  (void)key;
  return g_strdup (*(const bool *)field ? "yes" : "no");
}

static char *
text_choice (const ini_key_t *key, const void *field)
{
  char **words = g_strsplit (key->choices, " ", -1);
  char *word = g_strdup (words[*(const int *)field]);

  g_strfreev (words);
  return word;
}

static char *
text_name (const ini_key_t *key, const void *field)
{
  const char *name = *(char *const *)field;

  (void)key;
  return g_strdup (name ? name : "");
}

static char *
text_names (const ini_key_t *key, const void *field)
{
  char **names = *(char **const *)field;

  (void)key;
  return names ? g_strjoinv (" ", names) : g_strdup ("");
}

static char *
text_chars (const ini_key_t *key, const void *field)
{
  (void)key;
  return g_strdup (field);
}

static char *
text_hash (const ini_key_t *key, const void *field)
{
  char *text = g_malloc (2 * HASH_BYTES + 1);

  (void)key;
  sodium_bin2hex (text, 2 * HASH_BYTES + 1, field, HASH_BYTES);
  return text;
}
