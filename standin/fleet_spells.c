/** @file
 * Spells of the stand-in's workers: for a few seconds one worker rejects
 * starts, loses calls, carries them out late, or crashes.
 */
#include "fleet.h"
#include "net/clock.h"

#define SPELL_MIN_MS 1000
#define SPELL_MAX_MS 5000

struct spells
{
  fleet_t *fleet;
  usec_t due[SPELL_COUNT];
  usec_t *until; /* by worker and spell */
};

static usec_t draw_ms (fleet_t *fleet, int least, int most);

spells_t *
fleet_spells_new (fleet_t *fleet)
{
  spells_t *spells = g_new0 (spells_t, 1);

  spells->fleet = fleet;
  spells->until = g_new0 (usec_t, (gsize)fleet->config.workers * SPELL_COUNT);
  for (int i = 0; i < SPELL_COUNT; i++)
    spells->due[i]
        = clock_now () + fleet->config.spell_every[i] * USEC_PER_MSEC;
  return spells;
}

void
fleet_spells_free (spells_t *spells)
{
  g_free (spells->until);
  g_free (spells);
}

static usec_t
draw_ms (fleet_t *fleet, int least, int most)
{
  return g_rand_int_range (fleet->random, least, most) * USEC_PER_MSEC;
}

void
fleet_spells_tick (spells_t *spells, usec_t now)
{
  fleet_t *fleet = spells->fleet;

  for (int i = 0; i < SPELL_COUNT; i++)
    {
      usec_t interval = fleet->config.spell_every[i] * USEC_PER_MSEC;
      uint32_t worker;

      if (!interval || fleet->spells_over || now < spells->due[i])
        continue;
      spells->due[i] = now + interval;
      worker = (uint32_t)g_rand_int_range (fleet->random, 0,
                                           (gint32)fleet->config.workers);
      spells->until[worker * SPELL_COUNT + (uint32_t)i]
          = now + draw_ms (fleet, SPELL_MIN_MS, SPELL_MAX_MS);
    }
}

bool
fleet_spell_acts (const spells_t *spells, uint32_t worker, spell_t spell,
                  usec_t now)
{
  return !spells->fleet->spells_over
         && now < spells->until[worker * SPELL_COUNT + (uint32_t)spell];
}
