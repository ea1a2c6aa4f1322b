/* Tests of the limits that follow from the memory and the descriptors of the
   machine, and of the settings that they come from. */
#include "scheduler/sched_limits.h"
#include "support/suite.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define MIB ((uint64_t)1 << 20)
#define REQUIRED_KEYS                                                         \
  "[node]\nname = n1\nzone = z1\n"                                            \
  "[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\n"                    \
  "peers = 127.0.0.1:3\noperators = 127.0.0.1:4\n"                            \
  "[store]\naddress = 127.0.0.1:5\n"                                          \
  "[limits]\n"

/* @return the problems of a file with these lines in [limits]  */
static GArray *
read_limits (const char *lines, scheduler_settings_t *settings)
{
  GArray *problems = g_array_new (FALSE, TRUE, sizeof (problem_t));
  char *text = g_strconcat (REQUIRED_KEYS, lines, NULL);

  scheduler_settings_read (blob_of (text), settings, problems);
  g_free (text);
  return problems;
}

/* Derives the limits of a file without problems.  */
static sched_limits_t
derive (const char *lines, uint32_t rlimit)
{
  scheduler_settings_t settings;
  GArray *problems = read_limits (lines, &settings);
  sched_limits_t limits;

  CU_ASSERT_EQUAL (problems->len, 0);
  sched_limits_derive (&settings, rlimit, &limits);
  scheduler_settings_clear (&settings);
  g_array_free (problems, TRUE);
  return limits;
}

/* @return the memory of connections, requests and jobs; the kernel takes twice
   the receive buffer for unread bytes  */
static uint64_t
bytes_of (const sched_limits_t *limits)
{
  return limits->connections * (16384 + 2 * (uint64_t)limits->receive_buffer)
         + limits->request_bytes + limits->job_bytes;
}

/* Guards against a process of a machine with the documented resources that
   runs out of memory or descriptors under all connections, or that gives up
   more connections than it must. */
static void
test_machines (void)
{
  const struct
  {
    const char *lines;
    uint64_t memory;
    uint32_t descriptors;
    uint32_t reserved; /* for files, store, workers, peers, operators */
    uint32_t connections_min;
    uint32_t connections_max;
  } machines[] = {
    { "memory_mb = 160\ndescriptors = 4100\nconnections = 2000\n", 160 * MIB,
      4100, 800, 1500, 2000 },
    { "memory_mb = 512\ndescriptors = 8192\nconnections = 2000\n", 512 * MIB,
      8192, 800, 2000, 2000 },
    { "memory_mb = 48\ndescriptors = 512\nconnections = 200\n", 48 * MIB, 512,
      256, 200, 200 },
    { "memory_mb = 512\ndescriptors = 1400\nconnections = 2000\n", 512 * MIB,
      1400, 700, 700, 700 },
    { "memory_mb = 512\ndescriptors = 2400\nconnections = 2000\n", 512 * MIB,
      2400, 800, 1600, 1600 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (machines); i++)
    {
      sched_limits_t limits = derive (machines[i].lines, 65536);

      CU_ASSERT (limits.connections >= machines[i].connections_min);
      CU_ASSERT (limits.connections <= machines[i].connections_max);
      CU_ASSERT (limits.connections + machines[i].reserved
                 <= machines[i].descriptors);
      /* 32 MiB for the process itself, or 7/24 of a smaller memory. */
      CU_ASSERT (bytes_of (&limits)
                     + MIN (32 * MIB, machines[i].memory * 7 / 24)
                 <= machines[i].memory);
      CU_ASSERT (sched_limits_sum (&limits) <= machines[i].memory);
      CU_ASSERT_EQUAL (limits.request_bytes, machines[i].memory / 8);
      CU_ASSERT_EQUAL (limits.job_bytes, machines[i].memory / 4);
      CU_ASSERT (limits.receive_buffer >= 8192);
    }
}

/* Guards against limits that change for a site whose settings do not have the
   keys. */
static void
test_nothing_given (void)
{
  sched_limits_t limits = derive ("connections = 2000\n", 0);

  CU_ASSERT_EQUAL (limits.connections, 2000);
  CU_ASSERT_EQUAL (limits.request_bytes, 32 * MIB);
  CU_ASSERT_EQUAL (limits.request_timeout, 30 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (limits.receive_buffer, 16384);
  CU_ASSERT_EQUAL (limits.job_bytes, 128 * MIB);
  limits = derive ("", 4100);
  CU_ASSERT_EQUAL (limits.connections, 2048);
}

/* Guards against a setting that is passed over: RLIMIT_NOFILE holds whatever
   the file says, and explicit values are used as they are. */
static void
test_explicit (void)
{
  sched_limits_t limits
      = derive ("memory_mb = 512\ndescriptors = 8192\nconnections = 2000\n"
                "request_bytes = 1048576\nrequest_timeout_ms = 2000\n"
                "receive_buffer_bytes = 32768\njob_bytes = 5000000\n",
                1000);

  CU_ASSERT_EQUAL (limits.connections, 500);
  CU_ASSERT_EQUAL (limits.request_bytes, 1048576);
  CU_ASSERT_EQUAL (limits.request_timeout, 2 * USEC_PER_SEC);
  CU_ASSERT_EQUAL (limits.job_bytes, 5000000);
  limits = derive ("receive_buffer_bytes = 32768\n", 0);
  CU_ASSERT_EQUAL (limits.receive_buffer, 32768);
}

/* Guards against a process that does not start since its machine is small. */
static void
test_tiny_machine (void)
{
  sched_limits_t limits = derive ("memory_mb = 1\ndescriptors = 4\n", 0);

  CU_ASSERT_EQUAL (limits.connections, 16);
  CU_ASSERT (limits.request_bytes >= SCHED_BODY_MAX_BYTES);
  CU_ASSERT_EQUAL (limits.receive_buffer, 8192);
}

/* Guards against a budget that exceeds the memory or holds no request, found
   only under load. */
static void
test_problems (void)
{
  const struct
  {
    const char *lines;
    const char *text; /* NULL: no problem */
  } files[] = {
    /* 32 MiB + 2,000 * 48 KiB + 100 MiB */
    { "memory_mb = 512\nconnections = 2000\nrequest_bytes = 104857600\n",
      NULL },
    { "memory_mb = 512\nconnections = 2000\nrequest_bytes = 524288000\n",
      "2000 connections and request_bytes are 626 MiB; memory_mb is 512" },
    { "request_bytes = 524288000\n", NULL },
    { "request_bytes = 262143\n", "less than the largest request" },
    { "request_bytes = 262144\n", NULL },
    { "receive_buffer_bytes = 0\n", "4096" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    {
      scheduler_settings_t settings;
      GArray *problems = read_limits (files[i].lines, &settings);

      CU_ASSERT_EQUAL (problems->len, files[i].text ? 1 : 0);
      if (problems->len && files[i].text)
        CU_ASSERT_PTR_NOT_NULL (strstr (
            g_array_index (problems, problem_t, 0).text, files[i].text));
      CU_ASSERT_EQUAL (scheduler_settings_usable (problems), !files[i].text);
      scheduler_settings_clear (&settings);
      g_array_free (problems, TRUE);
    }
}

int
main (void)
{
  const suite_test_t tests[] = {
    { "machines", test_machines }, { "nothing given", test_nothing_given },
    { "explicit", test_explicit }, { "tiny machine", test_tiny_machine },
    { "problems", test_problems },
  };

  return suite_main ("limits", tests, sizeof tests / sizeof *tests);
}
