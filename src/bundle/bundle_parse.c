/** @file
 * Parsing of bundles.
 */
#include "bundle/bundle.h"
#include "bundle/bundle_keys.h"

#include <sodium.h>
#include <string.h>

/* Rows of one kind of section.  Sites are expected to have 180 teams and a few
   hundred members within two years.  */
#define MAX_ROWS 1024U

#define MAX_DURATION_MS 604800000U /* 7 days */
#define MAX_MILLICORES 1000000000U
#define MAX_MEMORY_MB 1000000000U

/* A key that only some rows of a section may set.  */
typedef struct
{
  const char *name;
  bool is_set;
} restricted_key_t;

static void *open_head (void *context, const char *name, const char **why);
static void *open_class (void *context, const char *name, const char **why);
static void *open_team (void *context, const char *name, const char **why);
static void *open_member (void *context, const char *name, const char **why);
static void *open_vm_kind (void *context, const char *name, const char **why);
static void *open_row (GPtrArray *rows, size_t size, const char *name,
                       const char **why);
static void check_bundle (void *context, ini_file_t *file);
static void check_class (const work_class_t *row, ini_file_t *file);
static void reject_keys (ini_file_t *file, const char *title,
                         const restricted_key_t *keys, size_t count,
                         const char *why);
static void check_member (const bundle_t *bundle, const member_t *row,
                          ini_file_t *file);
static void check_vm_kind (const vm_kind_t *row, ini_file_t *file);
static void free_class (void *row);
static void free_team (void *row);
static void free_member (void *row);
static void free_vm_kind (void *row);

#define KEY_FIELD(type, key_name, key_kind, member)                           \
  .name = (key_name), .kind = (key_kind), .offset = offsetof (type, member)
#define RANGE(low, high) .min = (low), .max = (high)

static const ini_key_t head_keys[] = {
  { KEY_FIELD (bundle_t, "version", INI_U64, version), RANGE (1, INT64_MAX) },
  { KEY_FIELD (bundle_t, "parent", INI_U64, parent), RANGE (0, INT64_MAX) },
  { KEY_FIELD (bundle_t, "author", INI_NAME, author) },
  { KEY_FIELD (bundle_t, "site", INI_NAME, site) },
};
static const ini_key_t class_keys[] = {
  { KEY_FIELD (work_class_t, "latency_critical", INI_BOOL, latency_critical) },
  { KEY_FIELD (work_class_t, "idempotent", INI_BOOL, idempotent) },
  { KEY_FIELD (work_class_t, "resumable", INI_BOOL, resumable),
    .default_text = "no" },
  { KEY_FIELD (work_class_t, "priority", INI_U32, priority), RANGE (0, 9),
    .default_text = "5" },
  { KEY_FIELD (work_class_t, "deadline_ms", INI_MSEC, deadline),
    RANGE (0, MAX_DURATION_MS), .default_text = "0", .unit = "ms" },
  { KEY_FIELD (work_class_t, "run_limit_ms", INI_MSEC, run_limit),
    RANGE (0, MAX_DURATION_MS), .default_text = "0", .unit = "ms" },
  { KEY_FIELD (work_class_t, "millicores", INI_U64, millicores),
    RANGE (0, MAX_MILLICORES), .default_text = "0",
    .unit = "thousandths of a core" },
  { KEY_FIELD (work_class_t, "memory_mb", INI_U64, memory_mb),
    RANGE (0, MAX_MEMORY_MB), .default_text = "0", .unit = "MB" },
  { KEY_FIELD (work_class_t, "accelerators", INI_U64, accelerators),
    RANGE (0, 64), .default_text = "0" },
};
static const ini_key_t team_keys[] = {
  { KEY_FIELD (team_t, "millicores", INI_U64, millicores),
    RANGE (0, MAX_MILLICORES), .unit = "thousandths of a core" },
};
static const ini_key_t member_keys[] = {
  { KEY_FIELD (member_t, "key_hash", INI_HASH, key_hash) },
  { KEY_FIELD (member_t, "classes", INI_NAMES, classes), RANGE (1, MAX_ROWS) },
  { KEY_FIELD (member_t, "team", INI_NAME, team) },
  { KEY_FIELD (member_t, "weight", INI_U32, weight), RANGE (1, 1000),
    .default_text = "1" },
};
static const ini_key_t vm_kind_keys[] = {
  { KEY_FIELD (vm_kind_t, "slots", INI_U32, slots), RANGE (0, 4096),
    .default_text = "0" },
  { KEY_FIELD (vm_kind_t, "connections", INI_U32, connections),
    RANGE (0, 65536), .default_text = "0" },
  { KEY_FIELD (vm_kind_t, "millicores", INI_U64, millicores),
    RANGE (0, MAX_MILLICORES), .default_text = "0",
    .unit = "thousandths of a core" },
  { KEY_FIELD (vm_kind_t, "memory_mb", INI_U64, memory_mb),
    RANGE (0, MAX_MEMORY_MB), .default_text = "0", .unit = "MB" },
};

#define KEYS(table) .keys = (table), .key_count = G_N_ELEMENTS (table)
const ini_section_t bundle_sections[BUNDLE_SECTION_COUNT] = {
  [BUNDLE_HEAD] = { "bundle", KEYS (head_keys), .open = open_head },
  [BUNDLE_CLASS]
  = { "class", .named = true, KEYS (class_keys), .open = open_class },
  [BUNDLE_TEAM]
  = { "team", .named = true, KEYS (team_keys), .open = open_team },
  [BUNDLE_MEMBER]
  = { "member", .named = true, KEYS (member_keys), .open = open_member },
  [BUNDLE_VM_KIND]
  = { "vmkind", .named = true, KEYS (vm_kind_keys), .open = open_vm_kind },
};

bundle_t *
bundle_parse (blob_t text, GArray *problems)
{
  guint before = problems->len;
  bundle_t *bundle;

  if (text.len > BUNDLE_TEXT_MAX_BYTES)
    {
      problem_add (problems, 0, "", "%u bytes; at most %u are allowed",
                   text.len, BUNDLE_TEXT_MAX_BYTES);
      return NULL;
    }
  bundle = g_new0 (bundle_t, 1);
  bundle->classes = g_ptr_array_new_with_free_func (free_class);
  bundle->members = g_ptr_array_new_with_free_func (free_member);
  bundle->teams = g_ptr_array_new_with_free_func (free_team);
  bundle->vm_kinds = g_ptr_array_new_with_free_func (free_vm_kind);
  ini_read (text, bundle_sections, BUNDLE_SECTION_COUNT, bundle, check_bundle,
            problems);
  if (problems->len == before)
    return bundle;
  bundle_free (bundle);
  return NULL;
}

void
bundle_free (bundle_t *bundle)
{
  if (!bundle)
    return;
  g_free (bundle->author);
  g_free (bundle->site);
  g_ptr_array_free (bundle->classes, TRUE);
  g_ptr_array_free (bundle->members, TRUE);
  g_ptr_array_free (bundle->teams, TRUE);
  g_ptr_array_free (bundle->vm_kinds, TRUE);
  g_free (bundle);
}

GPtrArray *
bundle_rows (const bundle_t *bundle, int section)
{
  GPtrArray *const rows[BUNDLE_SECTION_COUNT] = {
    [BUNDLE_CLASS] = bundle->classes,
    [BUNDLE_TEAM] = bundle->teams,
    [BUNDLE_MEMBER] = bundle->members,
    [BUNDLE_VM_KIND] = bundle->vm_kinds,
  };

  return rows[section];
}

void *
bundle_row (const bundle_t *bundle, int section, const char *name)
{
  GPtrArray *rows = bundle_rows (bundle, section);

  for (guint i = 0; i < rows->len; i++)
    if (strcmp (*(char **)g_ptr_array_index (rows, i), name) == 0)
      return g_ptr_array_index (rows, i);
  return NULL;
}

static void *
open_head (void *context, const char *name, const char **why)
{
  (void)name;
  (void)why;
  return context;
}

static void *
open_class (void *context, const char *name, const char **why)
{
  return open_row (((bundle_t *)context)->classes, sizeof (work_class_t), name,
                   why);
}

static void *
open_team (void *context, const char *name, const char **why)
{
  return open_row (((bundle_t *)context)->teams, sizeof (team_t), name, why);
}

static void *
open_member (void *context, const char *name, const char **why)
{
  return open_row (((bundle_t *)context)->members, sizeof (member_t), name,
                   why);
}

static void *
open_vm_kind (void *context, const char *name, const char **why)
{
  if (strcmp (name, "instance") != 0 && strcmp (name, "worker") != 0)
    {
      *why = "unknown kind; instance and worker are allowed";
      return NULL;
    }
  return open_row (((bundle_t *)context)->vm_kinds, sizeof (vm_kind_t), name,
                   why);
}

/* Appends a row of SIZE bytes.  The first field of each row type is its
   name.  */
static void *
open_row (GPtrArray *rows, size_t size, const char *name, const char **why)
{
  void *row;

  if (rows->len == MAX_ROWS)
    {
      *why = "at most " G_STRINGIFY (MAX_ROWS) " of this kind are allowed";
      return NULL;
    }
  row = g_malloc0 (size);
  *(char **)row = g_strdup (name);
  g_ptr_array_add (rows, row);
  return row;
}

static void
check_bundle (void *context, ini_file_t *file)
{
  const bundle_t *bundle = context;

  if (bundle->version && bundle->version != bundle->parent + 1)
    ini_problem (file, "bundle", "version", "must be parent + 1");
  if (!bundle->classes->len)
    ini_problem (file, "class", "",
                 "missing; at least one [class NAME] is required");
  for (guint i = 0; i < bundle->classes->len; i++)
    check_class (g_ptr_array_index (bundle->classes, i), file);
  for (guint i = 0; i < bundle->members->len; i++)
    check_member (bundle, g_ptr_array_index (bundle->members, i), file);
  for (guint i = 0; i < bundle->vm_kinds->len; i++)
    check_vm_kind (g_ptr_array_index (bundle->vm_kinds, i), file);
}

static void
check_class (const work_class_t *row, ini_file_t *file)
{
  const restricted_key_t batch_only[]
      = { { "resumable", row->resumable },
          { "millicores", row->millicores },
          { "memory_mb", row->memory_mb },
          { "accelerators", row->accelerators } };
  const restricted_key_t latency_critical_only[]
      = { { "deadline_ms", row->deadline } };
  char title[64];

  g_snprintf (title, sizeof title, "class %s", row->name);
  if (!row->latency_critical)
    {
      reject_keys (file, title, latency_critical_only,
                   G_N_ELEMENTS (latency_critical_only),
                   "only for latency-critical classes");
      if (!row->millicores)
        ini_problem (file, title, "millicores",
                     "a batch class needs a size of at least 1");
      if (!row->memory_mb)
        ini_problem (file, title, "memory_mb",
                     "a batch class needs a size of at least 1");
      return;
    }
  reject_keys (file, title, batch_only, G_N_ELEMENTS (batch_only),
               "only for batch classes");
  if (row->run_limit < USEC_PER_MSEC
      || row->run_limit > BUNDLE_RUN_LIMIT_MAX_MS * USEC_PER_MSEC)
    ini_problem (file, title, "run_limit_ms",
                 "a latency-critical class needs a number from 1 to %u (ms)",
                 BUNDLE_RUN_LIMIT_MAX_MS);
  if (row->deadline < row->run_limit || !row->deadline)
    ini_problem (file, title, "deadline_ms",
                 "a latency-critical class needs a deadline of at least its "
                 "run_limit_ms");
}

static void
reject_keys (ini_file_t *file, const char *title, const restricted_key_t *keys,
             size_t count, const char *why)
{
  for (size_t i = 0; i < count; i++)
    if (keys[i].is_set)
      ini_problem (file, title, keys[i].name, "%s", why);
}

static void
check_member (const bundle_t *bundle, const member_t *row, ini_file_t *file)
{
  char title[64];

  g_snprintf (title, sizeof title, "member %s", row->name);
  for (size_t i = 0; row->classes && row->classes[i]; i++)
    if (!bundle_class (bundle, row->classes[i]))
      ini_problem (file, title, "classes", "there is no [class %s]",
                   row->classes[i]);
  if (row->team && !bundle_row (bundle, BUNDLE_TEAM, row->team))
    ini_problem (file, title, "team", "there is no [team %s]", row->team);
  for (guint i = 0; i < bundle->members->len; i++)
    {
      const member_t *other = g_ptr_array_index (bundle->members, i);

      if (other == row)
        break;
      if (!sodium_is_zero (row->key_hash, sizeof row->key_hash)
          && !memcmp (other->key_hash, row->key_hash, sizeof row->key_hash))
        ini_problem (file, title, "key_hash",
                     "is the key of member %s; each needs its own",
                     other->name);
    }
}

static void
check_vm_kind (const vm_kind_t *row, ini_file_t *file)
{
  const bool is_instance = strcmp (row->name, "instance") == 0;
  const restricted_key_t instance_only[]
      = { { "slots", row->slots }, { "connections", row->connections } };
  const restricted_key_t worker_only[]
      = { { "millicores", row->millicores }, { "memory_mb", row->memory_mb } };
  char title[64];

  g_snprintf (title, sizeof title, "vmkind %s", row->name);
  if (!is_instance)
    {
      reject_keys (file, title, instance_only, G_N_ELEMENTS (instance_only),
                   "only for instances");
      return;
    }
  reject_keys (file, title, worker_only, G_N_ELEMENTS (worker_only),
               "only for workers");
  for (size_t i = 0; i < G_N_ELEMENTS (instance_only); i++)
    if (!instance_only[i].is_set)
      ini_problem (file, title, instance_only[i].name,
                   "an instance needs a number of at least 1");
}

static void
free_class (void *row)
{
  g_free (((work_class_t *)row)->name);
  g_free (row);
}

static void
free_team (void *row)
{
  g_free (((team_t *)row)->name);
  g_free (row);
}

static void
free_member (void *row)
{
  member_t *member = row;

  g_free (member->name);
  g_free (member->team);
  g_strfreev (member->classes);
  g_free (row);
}

static void
free_vm_kind (void *row)
{
  g_free (((vm_kind_t *)row)->name);
  g_free (row);
}
