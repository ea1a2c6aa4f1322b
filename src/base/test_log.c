/* Tests of the limits of log lines. */
#include "base/counters.h"
#include "base/log.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define ITEMS 64U
#define LINES_OF_ITEM 60U
#define SECONDS_MAX 10

static FILE *output;

/* Sends standard output to the file OUTPUT, or back.
   @return what it was before, for the way back */
static int
redirect (int to)
{
  int before = dup (STDOUT_FILENO);

  fflush (stdout);
  dup2 (to, STDOUT_FILENO);
  return before;
}

/* Logs some lines about each item and returns which items were written, as a
   set of bits. */
static uint64_t
log_round (uint32_t counts[ITEMS])
{
  char line[512];
  uint64_t written = 0;
  int before;

  memset (counts, 0, ITEMS * sizeof *counts);
  rewind (output);
  CU_ASSERT_EQUAL (ftruncate (fileno (output), 0), 0);
  before = redirect (fileno (output));
  for (uint32_t i = 0; i < LINES_OF_ITEM; i++)
    for (uint32_t item = 0; item < ITEMS; item++)
      {
        log_item (LOG_LEVEL_INFO, item, "item", NULL, "number=%u", item);
        log_flush ();
      }
  close (redirect (before));
  close (before);
  rewind (output);
  while (fgets (line, sizeof line, output))
    {
      const char *number = strstr (line, "number=");
      unsigned item;

      if (number && sscanf (number, "number=%u", &item) == 1 && item < ITEMS)
        {
          written |= 1ULL << item;
          counts[item]++;
        }
    }
  return written;
}

/* Guards against lines that are dropped at random when there are too many: of
   no item would there be a complete history. */
static void
test_sample (void)
{
  uint32_t counts[ITEMS];
  uint64_t all = log_round (counts);
  uint64_t written = all;
  uint64_t complete = 0;

  /* A round may reach into the next second, in which the sample changes.  */
  for (int second = 0;
       second < SECONDS_MAX && (!complete || complete != written); second++)
    {
      g_usleep (G_USEC_PER_SEC);
      written = log_round (counts);
      complete = 0;
      for (uint32_t i = 0; i < ITEMS; i++)
        complete |= (uint64_t)(counts[i] == LINES_OF_ITEM) << i;
    }
  CU_ASSERT (complete != 0);
  CU_ASSERT_EQUAL (complete, written);
  CU_ASSERT (written != all);
  CU_ASSERT (counter_get (COUNTER_LOG_LINES_SKIPPED) > 0);
}

/* Guards against failures that are not logged because their item is not in the
   sample. */
static void
test_notice_is_written (void)
{
  uint64_t dropped = counter_get (COUNTER_LOG_LINES_DROPPED);
  uint64_t skipped = counter_get (COUNTER_LOG_LINES_SKIPPED);

  for (uint32_t item = 0; item < ITEMS; item++)
    log_item (LOG_LEVEL_NOTICE, item, "item", NULL, "number=%u", item);
  CU_ASSERT_EQUAL (counter_get (COUNTER_LOG_LINES_SKIPPED), skipped);
  CU_ASSERT (counter_get (COUNTER_LOG_LINES_DROPPED) <= dropped + ITEMS);
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "sample", test_sample },
    { "notice is written", test_notice_is_written },
  };
  int code;

  output = tmpfile ();
  log_open ("test", LOG_LEVEL_INFO);
  log_open_buffered ();
  code = suite_main ("log", tests, sizeof tests / sizeof *tests);
  fclose (output);
  return code;
}
