/** @file
 * Targets, classes and bodies of the load generator.
 */
#include "load.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define ASIDE_USEC (500 * USEC_PER_MSEC)

target_t *
load_target (load_t *load)
{
  usec_t now = load_now ();
  target_t *target = NULL;
  guint i;

  for (i = 0; i < load->targets->len; i++)
    {
      target = &g_array_index (load->targets, target_t,
                               load->next_target++ % load->targets->len);
      if (target->aside_until <= now)
        break;
    }
  return target;
}

void
load_set_aside (load_t *load, const char *address)
{
  guint i;

  for (i = 0; i < load->targets->len; i++)
    {
      target_t *target = &g_array_index (load->targets, target_t, i);

      if (!strcmp (target->address, address))
        target->aside_until = load_now () + ASIDE_USEC;
    }
}

load_class_t *
load_draw (load_t *load, GArray *classes)
{
  double total = 0.0;
  double at;
  guint i;

  for (i = 0; i < classes->len; i++)
    total += g_array_index (classes, load_class_t, i).weight;
  at = g_rand_double (load->random) * total;
  for (i = 0; i + 1 < classes->len; i++)
    {
      at -= g_array_index (classes, load_class_t, i).weight;
      if (at < 0.0)
        break;
    }
  return &g_array_index (classes, load_class_t, i);
}

void
load_body (const load_t *load, GByteArray *body, uint64_t id, unsigned tries,
           int run_ms)
{
  char head[64];
  guint i;
  int len = run_ms ? snprintf (head, sizeof head, "run-ms=%d;", run_ms) : 0;

  len += snprintf (head + len, sizeof head - (size_t)len, "%llu.%llu.%u.",
                   (unsigned long long)load->seed, (unsigned long long)id,
                   tries);

  g_byte_array_set_size (body, (guint)MAX (load->body_bytes, len));
  memcpy (body->data, head, (size_t)len);
  for (i = (guint)len; i < body->len; i++)
    body->data[i] = (guint8)('a' + (id + i) % 26);
}

usec_t
load_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * USEC_PER_SEC + now.tv_nsec / 1000;
}
