/* Hash maps that share parts with the maps that they were copied from. */
#include <string.h>

#include <glib.h>

#include "core/shared_map.h"

#define SHARD_BITS 8
#define N_SHARDS   (1 << SHARD_BITS)
/* The upper bits of the hash choose the shard. */
#define SHARD_SHIFT (64 - SHARD_BITS)

typedef struct entry {
	uint64_t hash;
	void *value;
} entry_t;

/* A part of the entries, sorted by hash. Changed only while one map has it. */
typedef struct shard {
	gint n_refs;
	guint n;
	guint capacity;
	entry_t *entries;
} shard_t;

struct gc_shared_map {
	const gc_shared_map_ops_t *ops;
	shard_t *shards[N_SHARDS]; /* NULL: no entries */
};

static void unref_shard(const gc_shared_map_t *map, shard_t *shard);
static shard_t *own_shard(gc_shared_map_t *map, shard_t *shard, uint64_t hash);
static guint first_at(const shard_t *shard, uint64_t hash);
static const entry_t *find_entry(const gc_shared_map_t *map, uint64_t hash,
				 gc_shared_map_match_t match, const void *key);

gc_shared_map_t *gc_shared_map_create(const gc_shared_map_ops_t *ops)
{
	gc_shared_map_t *map = g_new0(gc_shared_map_t, 1);

	map->ops = ops;
	return map;
}

gc_shared_map_t *gc_shared_map_copy(const gc_shared_map_t *map)
{
	gc_shared_map_t *copy = g_new(gc_shared_map_t, 1);

	*copy = *map;
	for (size_t i = 0; i < N_SHARDS; i++)
		if (copy->shards[i])
			g_atomic_int_inc(&copy->shards[i]->n_refs);
	return copy;
}

void gc_shared_map_destroy(gc_shared_map_t *map)
{
	if (!map)
		return;
	for (size_t i = 0; i < N_SHARDS; i++)
		unref_shard(map, map->shards[i]);
	g_free(map);
}

static void unref_shard(const gc_shared_map_t *map, shard_t *shard)
{
	if (!shard || !g_atomic_int_dec_and_test(&shard->n_refs))
		return;
	for (guint i = 0; i < shard->n; i++)
		map->ops->unref(shard->entries[i].value);
	g_free(shard->entries);
	g_free(shard);
}

/* The shard of the hash (NULL: none yet), copied if other maps have it, too. */
static shard_t *own_shard(gc_shared_map_t *map, shard_t *shard, uint64_t hash)
{
	shard_t *copy;

	if (shard && g_atomic_int_get(&shard->n_refs) == 1)
		return shard;
	copy = g_new0(shard_t, 1);
	copy->n_refs = 1;
	if (shard) {
		copy->n = shard->n;
		copy->capacity = shard->n + 1;
		copy->entries = g_new(entry_t, copy->capacity);
		for (guint i = 0; i < shard->n; i++) {
			copy->entries[i] = shard->entries[i];
			map->ops->ref(copy->entries[i].value);
		}
		unref_shard(map, shard);
	}
	map->shards[hash >> SHARD_SHIFT] = copy;
	return copy;
}

/* Index of the first entry whose hash is not lower. */
static guint first_at(const shard_t *shard, uint64_t hash)
{
	guint low = 0;
	guint high = shard->n;

	while (low < high) {
		guint middle = (low + high) / 2;

		if (shard->entries[middle].hash < hash)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void gc_shared_map_add(gc_shared_map_t *map, uint64_t hash, void *value)
{
	shard_t *shard = own_shard(map, map->shards[hash >> SHARD_SHIFT], hash);
	guint at = first_at(shard, hash);

	if (shard->n == shard->capacity) {
		shard->capacity = MAX(2 * shard->capacity, 4);
		shard->entries =
			g_renew(entry_t, shard->entries, shard->capacity);
	}
	memmove(shard->entries + at + 1, shard->entries + at,
		(shard->n - at) * sizeof(entry_t));
	shard->entries[at] = (entry_t){hash, map->ops->ref(value)};
	shard->n++;
}

static const entry_t *find_entry(const gc_shared_map_t *map, uint64_t hash,
				 gc_shared_map_match_t match, const void *key)
{
	const shard_t *shard = map->shards[hash >> SHARD_SHIFT];

	if (!shard)
		return NULL;
	for (guint i = first_at(shard, hash);
	     i < shard->n && shard->entries[i].hash == hash; i++)
		if (match(shard->entries[i].value, key))
			return &shard->entries[i];
	return NULL;
}

bool gc_shared_map_remove(gc_shared_map_t *map, uint64_t hash,
			  gc_shared_map_match_t match, const void *key)
{
	const entry_t *entry = find_entry(map, hash, match, key);
	shard_t *shard = map->shards[hash >> SHARD_SHIFT];
	void *value;
	guint at;

	if (!entry || !shard)
		return false;
	value = entry->value;
	at = (guint)(entry - shard->entries);
	shard = own_shard(map, shard, hash);
	map->ops->unref(value);
	shard->n--;
	memmove(shard->entries + at, shard->entries + at + 1,
		(shard->n - at) * sizeof(entry_t));
	return true;
}

void *gc_shared_map_find(const gc_shared_map_t *map, uint64_t hash,
			 gc_shared_map_match_t match, const void *key)
{
	const entry_t *entry = find_entry(map, hash, match, key);

	return entry ? entry->value : NULL;
}
