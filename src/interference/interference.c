/** @file
 * Kalman filter for own loads and slopes, and its encoding in MessagePack.
 */
#include "interference/interference.h"

#include <errno.h>
#include <math.h>
#include <msgpack.h>
#include <string.h>

/* Own load assumed before the first report. */
#define INITIAL_LOAD 0.45
/* Variance of a load without reports; upper bound later on. */
#define MAX_LOAD_VARIANCE 0.04
/* Standard deviation of the change of a load within one second. */
#define LOAD_DRIFT_PER_SEC 0.1
/* Lower bound of the peak load: the load of a task is low at its start. */
#define MIN_PEAK_LOAD 0.55
/* Fraction of the distance between peak and load by which the peak decays in
   one second. */
#define PEAK_DECAY_PER_SEC 0.1
/* Variance of the utilization computed from one report; tail latencies are
   noisy. */
#define MEASUREMENT_VARIANCE 0.004
/* Standard deviation of a slope without reports; upper bound after decoding.
 */
#define INITIAL_SLOPE_DEVIATION 0.06
/* A slope with a smaller standard deviation counts as known. */
#define MAX_KNOWN_DEVIATION 0.025
/* Lower bound that keeps the filter adapting, since effects change over
   time. */
#define MIN_SLOPE_DEVIATION 0.008
#define MAX_SLOPE 0.6

typedef struct
{
  double slope; /* utilization added by each core */
  double variance;
  usec_t last_trial; /* start of the last trial, 0 for none */
} pair_t;

struct interference
{
  GPtrArray *by_victim;   /* indexed by victim: GPtrArray of pair_t indexed by
                             aggressor, or NULL.  Arrays are used because a
                             placement looks up pairs for each worker that it
                             examines. */
  GHashTable *idle_tails; /* victim -> double, lowest tail in ms */
};

/* Of all models of the process.  A GQuark would be kept for good as well, but
   GLib has no limit on their number. */
static GPtrArray *image_names; /* by identifier, NULL for 0 */
static GHashTable *image_ids;  /* name -> identifier */

/* Larger lists are rejected when decoding. */
#define MAX_DECODED_ROWS 65536U
/* Standard deviation added to a decoded slope, since the effect may have
   changed after it was encoded. */
#define DECODED_SLOPE_DEVIATION 0.01

static int append_bytes (void *data, const char *bytes, size_t len);
static void pack_string (msgpack_packer *packer, const char *text);
static uint32_t count_named_pairs (const interference_t *model);
static void pack_pair (msgpack_packer *packer, image_id_t victim,
                       image_id_t aggressor, const pair_t *pair);
static bool decode_idle_tail (interference_t *model,
                              const msgpack_object *row);
static bool decode_pair (interference_t *model, const msgpack_object *row);
static image_id_t decode_image (const msgpack_object *value);
static double decode_number (const msgpack_object *value);
static void free_row (void *data);
static void *array_get (const GPtrArray *array, image_id_t index);
static void array_set (GPtrArray *array, image_id_t index, void *value);
static const pair_t *find_pair (const interference_t *model, image_id_t victim,
                                image_id_t aggressor);
static pair_t *find_or_add_pair (interference_t *model, image_id_t victim,
                                 image_id_t aggressor);
static void update_pair (pair_t *pair, double error, double cores,
                         double error_variance);
static double update_idle_tail (interference_t *model, image_id_t victim,
                                double tail_ms);

interference_t *
interference_new (void)
{
  interference_t *model = g_new0 (interference_t, 1);

  model->by_victim = g_ptr_array_new_with_free_func (free_row);
  model->idle_tails = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return model;
}

void
interference_free (interference_t *model)
{
  if (!model)
    return;
  g_ptr_array_free (model->by_victim, TRUE);
  g_hash_table_destroy (model->idle_tails);
  g_free (model);
}

image_id_t
interference_image_id (const char *name)
{
  image_id_t id;

  if (!name || !*name
      || strnlen (name, INTERFERENCE_MAX_NAME_BYTES + 1)
             > INTERFERENCE_MAX_NAME_BYTES)
    return 0;
  if (!image_ids)
    {
      image_ids = g_hash_table_new (g_str_hash, g_str_equal);
      image_names = g_ptr_array_new ();
      g_ptr_array_add (image_names, NULL);
    }
  id = GPOINTER_TO_UINT (g_hash_table_lookup (image_ids, name));
  if (id || image_names->len > INTERFERENCE_MAX_IMAGES)
    return id;
  id = image_names->len;
  g_ptr_array_add (image_names, g_strdup (name));
  g_hash_table_insert (image_ids, image_names->pdata[id],
                       GUINT_TO_POINTER (id));
  return id;
}

static void
free_row (void *data)
{
  if (data)
    g_ptr_array_free (data, TRUE);
}

/* @return NULL beyond the end */
static void *
array_get (const GPtrArray *array, image_id_t index)
{
  return index < array->len ? array->pdata[index] : NULL;
}

static void
array_set (GPtrArray *array, image_id_t index, void *value)
{
  if (index >= array->len)
    g_ptr_array_set_size (array, (gint)index + 1);
  array->pdata[index] = value;
}

static const pair_t *
find_pair (const interference_t *model, image_id_t victim,
           image_id_t aggressor)
{
  const GPtrArray *row = array_get (model->by_victim, victim);

  return row ? array_get (row, aggressor) : NULL;
}

static pair_t *
find_or_add_pair (interference_t *model, image_id_t victim,
                  image_id_t aggressor)
{
  GPtrArray *row = array_get (model->by_victim, victim);
  pair_t *pair;

  if (!row)
    {
      row = g_ptr_array_new_with_free_func (g_free);
      array_set (model->by_victim, victim, row);
    }
  pair = array_get (row, aggressor);
  if (pair)
    return pair;
  pair = g_new0 (pair_t, 1);
  pair->variance = INITIAL_SLOPE_DEVIATION * INITIAL_SLOPE_DEVIATION;
  array_set (row, aggressor, pair);
  return pair;
}

static double
update_idle_tail (interference_t *model, image_id_t victim, double tail_ms)
{
  double *idle_tail
      = g_hash_table_lookup (model->idle_tails, GUINT_TO_POINTER (victim));

  if (!idle_tail)
    {
      idle_tail = g_new0 (double, 1);
      *idle_tail = tail_ms;
      g_hash_table_insert (model->idle_tails, GUINT_TO_POINTER (victim),
                           idle_tail);
    }
  *idle_tail = MIN (*idle_tail, tail_ms);
  return *idle_tail;
}

void
interference_observe (interference_t *model, image_id_t victim,
                      own_load_t *own, usec_t elapsed, double tail_ms,
                      const disturbance_t *disturbances, size_t count)
{
  double measured
      = 1 - update_idle_tail (model, victim, tail_ms) / MAX (tail_ms, 1);
  double seconds = (double)elapsed / (double)USEC_PER_SEC;
  double predicted;
  double error_variance;
  double error;

  if (!own->variance)
    *own = (own_load_t){ INITIAL_LOAD, MAX_LOAD_VARIANCE, MIN_PEAK_LOAD };
  own->variance
      = MIN (own->variance + LOAD_DRIFT_PER_SEC * LOAD_DRIFT_PER_SEC * seconds,
             MAX_LOAD_VARIANCE);
  predicted = own->load;
  error_variance = own->variance + MEASUREMENT_VARIANCE;
  for (size_t i = 0; i < count; i++)
    {
      const pair_t *pair
          = find_or_add_pair (model, victim, disturbances[i].image);

      predicted += pair->slope * disturbances[i].cores;
      error_variance
          += pair->variance * disturbances[i].cores * disturbances[i].cores;
    }
  error = measured - predicted;
  for (size_t i = 0; i < count; i++)
    update_pair (find_or_add_pair (model, victim, disturbances[i].image),
                 error, disturbances[i].cores, error_variance);
  own->load
      = CLAMP (own->load + own->variance / error_variance * error, 0.01, 0.99);
  own->variance *= 1 - own->variance / error_variance;
  own->peak -= (own->peak - own->load) * PEAK_DECAY_PER_SEC * seconds;
  own->peak = MAX (MAX (own->peak, own->load), MIN_PEAK_LOAD);
}

static void
update_pair (pair_t *pair, double error, double cores, double error_variance)
{
  double gain = pair->variance * cores / error_variance;

  pair->slope = CLAMP (pair->slope + gain * error, 0, MAX_SLOPE);
  pair->variance = MAX (pair->variance * (1 - gain * cores),
                        MIN_SLOPE_DEVIATION * MIN_SLOPE_DEVIATION);
}

double
interference_added_utilization (const interference_t *model, image_id_t victim,
                                const disturbance_t *disturbances,
                                size_t count)
{
  double added = 0;

  for (size_t i = 0; i < count; i++)
    added += disturbances[i].cores
             * interference_slope (model, victim, disturbances[i].image);
  return added;
}

double
interference_max_utilization (const interference_t *model, image_id_t victim,
                              double target_ms)
{
  const double *idle_tail
      = g_hash_table_lookup (model->idle_tails, GUINT_TO_POINTER (victim));

  return idle_tail ? MAX (0, 1 - *idle_tail / target_ms) : 1;
}

double
interference_slope (const interference_t *model, image_id_t victim,
                    image_id_t aggressor)
{
  const pair_t *pair = find_pair (model, victim, aggressor);

  return pair ? pair->slope : 0;
}

bool
interference_slope_is_known (const interference_t *model, image_id_t victim,
                             image_id_t aggressor)
{
  const pair_t *pair = find_pair (model, victim, aggressor);

  return pair && sqrt (pair->variance) < MAX_KNOWN_DEVIATION;
}

bool
interference_trial_allowed (const interference_t *model, image_id_t victim,
                            image_id_t aggressor, usec_t now, usec_t span)
{
  const pair_t *pair = find_pair (model, victim, aggressor);

  return !pair || !pair->last_trial || now - pair->last_trial >= span;
}

void
interference_trial_started (interference_t *model, image_id_t victim,
                            image_id_t aggressor, usec_t now)
{
  find_or_add_pair (model, victim, aggressor)->last_trial = now;
}

static int
append_bytes (void *data, const char *bytes, size_t len)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)len);
  return 0;
}

static void
pack_string (msgpack_packer *packer, const char *text)
{
  msgpack_pack_str (packer, strlen (text));
  msgpack_pack_str_body (packer, text, strlen (text));
}

/* @return number of pairs with two named images */
static uint32_t
count_named_pairs (const interference_t *model)
{
  uint32_t count = 0;

  for (image_id_t victim = 1; victim < model->by_victim->len; victim++)
    {
      const GPtrArray *row = model->by_victim->pdata[victim];

      for (image_id_t i = 1; row && i < row->len; i++)
        count += row->pdata[i] != NULL;
    }
  return count;
}

/* Two arrays: rows of an image and its idle tail, and rows of victim,
   aggressor, slope and variance.  Images are encoded by name, since their
   identifiers differ between processes.  What was learned of tasks without an
   image, which count as those of image 0, is left out. */
void
interference_encode (const interference_t *model, GByteArray *out)
{
  bool has_nameless = g_hash_table_contains (model->idle_tails, NULL);
  msgpack_packer packer;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  msgpack_packer_init (&packer, out, append_bytes);
  msgpack_pack_array (&packer, 2);
  msgpack_pack_array (&packer,
                      g_hash_table_size (model->idle_tails) - has_nameless);
  g_hash_table_iter_init (&iter, model->idle_tails);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      if (!key)
        continue;
      msgpack_pack_array (&packer, 2);
      pack_string (&packer, image_names->pdata[GPOINTER_TO_UINT (key)]);
      msgpack_pack_float (&packer, (float)*(double *)value);
    }
  msgpack_pack_array (&packer, count_named_pairs (model));
  for (image_id_t victim = 1; victim < model->by_victim->len; victim++)
    {
      const GPtrArray *row = model->by_victim->pdata[victim];

      for (image_id_t i = 1; row && i < row->len; i++)
        if (row->pdata[i])
          pack_pair (&packer, victim, i, row->pdata[i]);
    }
}

static void
pack_pair (msgpack_packer *packer, image_id_t victim, image_id_t aggressor,
           const pair_t *pair)
{
  msgpack_pack_array (packer, 4);
  pack_string (packer, image_names->pdata[victim]);
  pack_string (packer, image_names->pdata[aggressor]);
  msgpack_pack_float (packer, (float)pair->slope);
  msgpack_pack_float (packer, (float)pair->variance);
}

int
interference_decode (interference_t *model, blob_t bytes)
{
  msgpack_unpacked unpacked;
  const msgpack_object *root = &unpacked.data;
  bool ok;

  msgpack_unpacked_init (&unpacked);
  ok = msgpack_unpack_next (&unpacked, bytes.data, bytes.len, NULL)
           == MSGPACK_UNPACK_SUCCESS
       && root->type == MSGPACK_OBJECT_ARRAY && root->via.array.size >= 2;
  g_hash_table_remove_all (model->idle_tails);
  g_ptr_array_set_size (model->by_victim, 0);
  for (uint32_t part = 0; ok && part < 2; part++)
    {
      const msgpack_object *list = &root->via.array.ptr[part];

      ok = list->type == MSGPACK_OBJECT_ARRAY
           && list->via.array.size <= MAX_DECODED_ROWS;
      for (uint32_t i = 0; ok && i < list->via.array.size; i++)
        ok = (part ? decode_pair : decode_idle_tail) (model,
                                                      &list->via.array.ptr[i]);
    }
  msgpack_unpacked_destroy (&unpacked);
  return ok ? 0 : -EBADMSG;
}

static bool
decode_idle_tail (interference_t *model, const msgpack_object *row)
{
  image_id_t image;

  if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size < 2)
    return false;
  image = decode_image (&row->via.array.ptr[0]);
  if (!image || !(decode_number (&row->via.array.ptr[1]) > 0))
    return false;
  update_idle_tail (model, image, decode_number (&row->via.array.ptr[1]));
  return true;
}

static bool
decode_pair (interference_t *model, const msgpack_object *row)
{
  const msgpack_object *field = row->via.array.ptr;
  image_id_t victim;
  image_id_t aggressor;
  pair_t *pair;

  if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size < 4)
    return false;
  victim = decode_image (&field[0]);
  aggressor = decode_image (&field[1]);
  if (!victim || !aggressor)
    return false;
  pair = find_or_add_pair (model, victim, aggressor);
  pair->slope = CLAMP (decode_number (&field[2]), 0, MAX_SLOPE);
  pair->variance
      = CLAMP (decode_number (&field[3])
                   + DECODED_SLOPE_DEVIATION * DECODED_SLOPE_DEVIATION,
               0, INITIAL_SLOPE_DEVIATION * INITIAL_SLOPE_DEVIATION);
  return true;
}

static image_id_t
decode_image (const msgpack_object *value)
{
  char name[INTERFERENCE_MAX_NAME_BYTES + 1];

  if (value->type != MSGPACK_OBJECT_STR || !value->via.str.size
      || value->via.str.size >= sizeof name)
    return 0;
  memcpy (name, value->via.str.ptr, value->via.str.size);
  name[value->via.str.size] = '\0';
  return interference_image_id (name);
}

static double
decode_number (const msgpack_object *value)
{
  return value->type == MSGPACK_OBJECT_FLOAT32
                 || value->type == MSGPACK_OBJECT_FLOAT64
             ? value->via.f64
             : 0;
}
