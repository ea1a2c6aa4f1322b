/** @file
 * Latency histograms of the process.
 */
#include "base/histograms.h"

#include <gsl/gsl_histogram.h>
#include <inttypes.h>

typedef struct
{
  const char *name;
  const char *meaning;
} histogram_info_t;

static const histogram_info_t histogram_infos[HISTOGRAM_COUNT] = {
#define HISTOGRAM_INFO(id, name, meaning) [HISTOGRAM_##id] = { name, meaning },
  HISTOGRAM_TABLE (HISTOGRAM_INFO)
#undef HISTOGRAM_INFO
};

/* Bin limits in seconds, from the latency of a call within one zone to the
   duration of the longest jobs. */
static const double bin_limits_s[] = { 0,    0.002, 0.005, 0.01, 0.02,
                                       0.05, 0.1,   0.2,   0.5,  1,
                                       2,    5,     10,    20,   60 };
#define BIN_COUNT (G_N_ELEMENTS (bin_limits_s) - 1)

static gsl_histogram *histograms[HISTOGRAM_COUNT];
static uint64_t counts[HISTOGRAM_COUNT];
static double sums[HISTOGRAM_COUNT];

void
histogram_add (histogram_t histogram, usec_t latency)
{
  double seconds = (double)MAX (latency, 0) / (double)USEC_PER_SEC;

  if (!histograms[histogram])
    {
      histograms[histogram] = gsl_histogram_alloc (BIN_COUNT);
      gsl_histogram_set_ranges (histograms[histogram], bin_limits_s,
                                G_N_ELEMENTS (bin_limits_s));
    }
  counts[histogram]++;
  sums[histogram] += seconds;
  /* A latency beyond the last limit is counted in the +Inf bucket only.  */
  if (seconds < bin_limits_s[BIN_COUNT])
    gsl_histogram_increment (histograms[histogram], seconds);
}

uint64_t
histogram_count (histogram_t histogram)
{
  return counts[histogram];
}

void
histograms_text (GString *out)
{
  for (int i = 0; i < HISTOGRAM_COUNT; i++)
    {
      double cumulative = 0;

      g_string_append_printf (out,
                              "# HELP limpethinge_%s %s\n"
                              "# TYPE limpethinge_%s histogram\n",
                              histogram_infos[i].name,
                              histogram_infos[i].meaning,
                              histogram_infos[i].name);
      for (size_t bin = 0; bin < BIN_COUNT; bin++)
        {
          cumulative
              += histograms[i] ? gsl_histogram_get (histograms[i], bin) : 0;
          g_string_append_printf (
              out, "limpethinge_%s_bucket{le=\"%g\"} %.0f\n",
              histogram_infos[i].name, bin_limits_s[bin + 1], cumulative);
        }
      g_string_append_printf (
          out,
          "limpethinge_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
          "limpethinge_%s_sum %g\nlimpethinge_%s_count %" PRIu64 "\n",
          histogram_infos[i].name, counts[i], histogram_infos[i].name, sums[i],
          histogram_infos[i].name, counts[i]);
    }
}
