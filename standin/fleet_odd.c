/** @file
 * Another writer among those of the list of workers: entries that name no
 * worker, in place of a worker's and beside them, until its next entry.
 */
#include "fleet.h"
#include "net/clock.h"

#include <string.h>

#define DEEP 5000U
#define DEEP_THAT_CAN_BE_READ 1500U
/* So that the other faults of a seed stay the same. */
#define SEED_OFFSET 0x0ddU

struct odd_writer
{
  fleet_t *fleet;
  GRand *random;
  usec_t due;
};

static char *odd_value (odd_writer_t *writer, uint32_t worker);
static char *odd_key (odd_writer_t *writer, uint32_t worker);
static char *nested (uint32_t depth);

odd_writer_t *
fleet_odd_new (fleet_t *fleet)
{
  odd_writer_t *writer = g_new0 (odd_writer_t, 1);

  writer->fleet = fleet;
  writer->random = g_rand_new_with_seed (fleet->config.seed + SEED_OFFSET);
  writer->due = clock_now () + fleet->config.odd_every * USEC_PER_MSEC;
  return writer;
}

void
fleet_odd_free (odd_writer_t *writer)
{
  g_rand_free (writer->random);
  g_free (writer);
}

void
fleet_odd_tick (odd_writer_t *writer, usec_t now)
{
  const fleet_config_t *config = &writer->fleet->config;
  uint32_t worker;
  char *key;
  char *value;

  if (!config->odd_every || writer->fleet->calm || now < writer->due)
    return;
  writer->due
      = now
        + g_rand_int_range (writer->random, 1, 2 * (gint32)config->odd_every)
              * USEC_PER_MSEC;
  worker = (uint32_t)g_rand_int_range (writer->random, 0,
                                       (gint32)config->workers);
  key = odd_key (writer, worker);
  value = odd_value (writer, worker);
  fleet_store_put (writer->fleet->store, "keyed.servers", key, value);
  g_free (key);
  g_free (value);
}

bool
fleet_is_meant (httpd_t *httpd, handle_t http, const char *id)
{
  const char *expected = httpd_header (httpd, http, "Expected-Instance");

  return !expected || strcmp (expected, id) == 0;
}

/* Half of the entries are in place of a worker's.  */
static char *
odd_key (odd_writer_t *writer, uint32_t worker)
{
  if (g_rand_boolean (writer->random))
    return g_strdup_printf ("i-%u", worker);
  switch (g_rand_int_range (writer->random, 0, 5))
    {
    case 0:
      return g_strdup_printf ("odd-%u", worker);
    case 1:
      return g_strdup_printf ("i-%u x", worker);
    case 2:
      return g_strdup_printf ("i-%u\r\nX-Odd: 1", worker);
    case 3:
      return g_strdup_printf ("i-%u\x7f", worker);
    default:
      return g_strdup ("");
    }
}

/* An entry as a worker writes it but for one member, or one that cannot be
   read.  */
static char *
odd_value (odd_writer_t *writer, uint32_t worker)
{
  const fleet_config_t *config = &writer->fleet->config;
  const int64_t real_ms = g_get_real_time () / USEC_PER_MSEC;
  uint32_t port = config->worker_port + worker;
  int64_t born_ms = real_ms;
  const char *cpu = "16000";
  const char *state = "ready";
  uint32_t rack = worker / 3;
  char *odd = NULL;
  char *value;

  switch (g_rand_int_range (writer->random, 0, 14))
    {
    case 0:
      return nested (DEEP);
    case 1:
      odd = nested (DEEP_THAT_CAN_BE_READ);
      break;
    case 2:
      return g_strdup ("");
    case 3:
      return g_strdup ("{\"service\":\"\xff\xfe\",\"zone\":7}");
    case 4:
      port = 70000;
      break;
    case 5:
      port = 0;
      break;
    case 6:
      port = config->worker_port + (worker + 1) % config->workers;
      break;
    case 7:
      cpu = "4294967295";
      break;
    case 8:
      cpu = "1e400";
      break;
    case 9:
      cpu = "-1";
      break;
    case 10:
      born_ms = INT64_MAX;
      break;
    case 11:
      born_ms = real_ms + g_rand_int_range (writer->random, -1000000, 1000000);
      break;
    case 12:
      state = "odd";
      break;
    default:
      rack += (uint32_t)g_rand_int_range (writer->random, 1, 9);
      break;
    }
  value = g_strdup_printf (
      "{\"odd\":%s,\"service\":\"s\",\"address\":\"%s:%u\",\"zone\":\"z%u\","
      "\"state\":\"%s\",\"born\":%" G_GINT64_FORMAT
      ",\"capacity\":{\"cpu\":%s,"
      "\"mem_mb\":32000,\"gpu\":0},\"labels\":[\"a\",\"r%u\"]}",
      odd ? odd : "1", config->host, port, worker % FLEET_ZONES, state,
      born_ms, cpu, rack);
  g_free (odd);
  return value;
}

static char *
nested (uint32_t depth)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < depth; i++)
    g_string_append_c (text, '[');
  for (uint32_t i = 0; i < depth; i++)
    g_string_append_c (text, ']');
  return g_string_free (text, FALSE);
}
