/** @file
 * Description of bundles in English sentences.
 */
#include "bundle/bundle.h"

#include <inttypes.h>

#define MILLICORES_PER_CORE 1000U

static void describe_class (GString *out, const work_class_t *row);
static void describe_batch (GString *out, const work_class_t *row);
static void describe_member (GString *out, const member_t *row);
static void describe_team (GString *out, const team_t *row);
static void describe_vm_kind (GString *out, const vm_kind_t *row);
static void append_cores (GString *out, uint64_t millicores);
static int64_t msec (usec_t time);

char *
bundle_describe (const bundle_t *bundle)
{
  GString *out = g_string_new ("");

  g_string_append_printf (out,
                          "Bundle %" PRIu64 " of site %s, written by %s; it "
                          "replaces bundle %" PRIu64 ".\n\nClasses of work:\n",
                          bundle->version, bundle->site, bundle->author,
                          bundle->parent);
  for (guint i = 0; i < bundle->classes->len; i++)
    describe_class (out, g_ptr_array_index (bundle->classes, i));
  g_string_append (out, "\nMembers; each sees only its own work:\n");
  for (guint i = 0; i < bundle->members->len; i++)
    describe_member (out, g_ptr_array_index (bundle->members, i));
  g_string_append (out, "\nTeams:\n");
  for (guint i = 0; i < bundle->teams->len; i++)
    describe_team (out, g_ptr_array_index (bundle->teams, i));
  g_string_append (out, "\nVMs:\n");
  for (guint i = 0; i < bundle->vm_kinds->len; i++)
    describe_vm_kind (out, g_ptr_array_index (bundle->vm_kinds, i));
  return g_string_free (out, FALSE);
}

static void
describe_class (GString *out, const work_class_t *row)
{
  g_string_append_printf (
      out, "  %s: %s, priority %u (0 is served first).\n", row->name,
      row->latency_critical ? "latency-critical" : "batch", row->priority);
  if (!row->latency_critical)
    {
      describe_batch (out, row);
      return;
    }
  g_string_append_printf (
      out,
      "    Answered within %" PRId64 " ms, or told that it was not run or "
      "that its outcome is unknown.\n    One attempt runs for at most %" PRId64
      " ms.\n",
      msec (row->deadline), msec (row->run_limit));
  g_string_append (out, row->idempotent
                            ? "    May be sent again by the service after a "
                              "failure; never in two places at once.\n"
                            : "    Sent again by the service only if it "
                              "surely did not start.\n");
}

static void
describe_batch (GString *out, const work_class_t *row)
{
  g_string_append (out, "    A task has ");
  append_cores (out, row->millicores);
  g_string_append_printf (out,
                          ", %" PRIu64 " MB and %" PRIu64
                          " accelerators unless its order says otherwise.\n",
                          row->memory_mb, row->accelerators);
  if (row->run_limit)
    g_string_append_printf (
        out, "    One attempt runs for at most %" PRId64 " ms.\n",
        msec (row->run_limit));
  g_string_append (
      out, row->resumable ? "    May be checkpointed and evicted; it resumes "
                            "exactly once.\n"
                          : "    Never evicted: it cannot be resumed.\n");
  g_string_append (out,
                   row->idempotent || row->resumable
                       ? "    Started again if its worker is lost, once the "
                         "lost attempt has surely ended.\n"
                       : "    Runs at most once.  If nothing can be learned "
                         "of its end, its outcome is unknown.\n");
}

static void
describe_member (GString *out, const member_t *row)
{
  char *classes = g_strjoinv (", ", row->classes);

  g_string_append_printf (out,
                          "  %s (team %s): may send %s; has weight %u when "
                          "members compete.\n",
                          row->name, row->team, classes, row->weight);
  g_free (classes);
}

static void
describe_team (GString *out, const team_t *row)
{
  g_string_append_printf (out, "  %s: ", row->name);
  if (!row->millicores)
    {
      g_string_append (out, "no quota.\n");
      return;
    }
  g_string_append (out, "its batch work has at most ");
  append_cores (out, row->millicores);
  g_string_append (out, " at once.\n");
}

static void
describe_vm_kind (GString *out, const vm_kind_t *row)
{
  g_string_append_printf (out, "  %s: ", row->name);
  if (row->slots)
    {
      g_string_append_printf (out,
                              "at most %u requests and %u connections at "
                              "once on each.\n",
                              row->slots, row->connections);
      return;
    }
  g_string_append (out, "tasks have at most ");
  if (row->millicores)
    append_cores (out, row->millicores);
  else
    g_string_append (out, "its listed cores");
  if (row->memory_mb)
    g_string_append_printf (out, " and %" PRIu64 " MB on each.\n",
                            row->memory_mb);
  else
    g_string_append (out, " and its listed memory on each.\n");
}

static void
append_cores (GString *out, uint64_t millicores)
{
  g_string_append_printf (out, "%" PRIu64, millicores / MILLICORES_PER_CORE);
  if (millicores % MILLICORES_PER_CORE)
    g_string_append_printf (out, ".%03" PRIu64,
                            millicores % MILLICORES_PER_CORE);
  g_string_append (out, " cores");
}

static int64_t
msec (usec_t time)
{
  return time / USEC_PER_MSEC;
}
