/* Hash maps that share parts with the maps that they were copied from. */
#include <string.h>

#include <glib.h>

#include "core/shared_map.h"

/* The upper bits of the hash choose the child at each level of the tree. */
#define LEVEL_BITS 3
#define N_CHILDREN (1 << LEVEL_BITS)
#define N_LEVELS   4
/* Of entries of a new leaf. */
#define MIN_CAPACITY 2

typedef struct entry {
	uint64_t hash;
	void *value;
} entry_t;

/* A part of the tree. Changed only while one parent has it. */
typedef struct part {
	gint n_refs;
} part_t;

/* Its children are leaves at the last level. */
typedef struct node {
	part_t part;
	part_t *children[N_CHILDREN]; /* NULL: no entries */
} node_t;

/* Entries, sorted by hash. */
typedef struct leaf {
	part_t part;
	guint n;
	guint capacity;
	entry_t entries[];
} leaf_t;

struct gc_shared_map {
	const gc_shared_map_ops_t *ops;
	part_t *root; /* a node; NULL: no entries */
};

static void unref_part(const gc_shared_map_t *map, part_t *part,
		       unsigned int level);
static size_t child_index(uint64_t hash, unsigned int level);
static part_t **own_leaf(gc_shared_map_t *map, uint64_t hash);
static node_t *own_node(const gc_shared_map_t *map, part_t **slot,
			unsigned int level);
static leaf_t *copy_leaf(const gc_shared_map_t *map, const leaf_t *leaf);
static const leaf_t *find_leaf(const gc_shared_map_t *map, uint64_t hash);
static guint first_at(const leaf_t *leaf, uint64_t hash);
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
	if (copy->root)
		g_atomic_int_inc(&copy->root->n_refs);
	return copy;
}

void gc_shared_map_destroy(gc_shared_map_t *map)
{
	if (!map)
		return;
	unref_part(map, map->root, 0);
	g_free(map);
}

/* level: of a node; N_LEVELS: the part is a leaf. */
static void unref_part(const gc_shared_map_t *map, part_t *part,
		       unsigned int level)
{
	if (!part || !g_atomic_int_dec_and_test(&part->n_refs))
		return;
	if (level < N_LEVELS) {
		node_t *node = (node_t *)part;

		for (size_t i = 0; i < N_CHILDREN; i++)
			unref_part(map, node->children[i], level + 1);
	} else {
		leaf_t *leaf = (leaf_t *)part;

		for (guint i = 0; i < leaf->n; i++)
			map->ops->unref(leaf->entries[i].value);
	}
	g_free(part);
}

static size_t child_index(uint64_t hash, unsigned int level)
{
	return (hash >> (64 - LEVEL_BITS * (level + 1))) & (N_CHILDREN - 1);
}

/* Where the leaf of the hash (NULL: none yet) is, with all above it and itself copied
 * if other maps have them, too. */
static part_t **own_leaf(gc_shared_map_t *map, uint64_t hash)
{
	part_t **slot = &map->root;
	part_t *shared;

	for (unsigned int level = 0; level < N_LEVELS; level++)
		slot = &own_node(map, slot, level)
				->children[child_index(hash, level)];
	shared = *slot;
	if (shared && g_atomic_int_get(&shared->n_refs) > 1) {
		*slot = &copy_leaf(map, (const leaf_t *)shared)->part;
		unref_part(map, shared, N_LEVELS);
	}
	return slot;
}

static node_t *own_node(const gc_shared_map_t *map, part_t **slot,
			unsigned int level)
{
	part_t *shared = *slot;
	node_t *copy;

	if (shared && g_atomic_int_get(&shared->n_refs) == 1)
		return (node_t *)shared;
	copy = g_new0(node_t, 1);
	if (shared) {
		*copy = *(const node_t *)shared;
		for (size_t i = 0; i < N_CHILDREN; i++)
			if (copy->children[i])
				g_atomic_int_inc(&copy->children[i]->n_refs);
		unref_part(map, shared, level);
	}
	copy->part.n_refs = 1;
	*slot = &copy->part;
	return copy;
}

/* With room for one more. */
static leaf_t *copy_leaf(const gc_shared_map_t *map, const leaf_t *leaf)
{
	guint capacity = leaf->n + 1;
	leaf_t *copy =
		g_malloc(sizeof(*copy) + capacity * sizeof(copy->entries[0]));

	*copy = (leaf_t){{1}, leaf->n, capacity};
	for (guint i = 0; i < leaf->n; i++) {
		copy->entries[i] = leaf->entries[i];
		map->ops->ref(copy->entries[i].value);
	}
	return copy;
}

/* NULL: there is none. */
static const leaf_t *find_leaf(const gc_shared_map_t *map, uint64_t hash)
{
	const part_t *part = map->root;

	for (unsigned int level = 0; part && level < N_LEVELS; level++)
		part = ((const node_t *)part)
			       ->children[child_index(hash, level)];
	return (const leaf_t *)part;
}

/* Index of the first entry whose hash is not lower. */
static guint first_at(const leaf_t *leaf, uint64_t hash)
{
	guint low = 0;
	guint high = leaf->n;

	while (low < high) {
		guint middle = (low + high) / 2;

		if (leaf->entries[middle].hash < hash)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void gc_shared_map_add(gc_shared_map_t *map, uint64_t hash, void *value)
{
	part_t **slot = own_leaf(map, hash);
	leaf_t *leaf = (leaf_t *)*slot;
	guint n = leaf ? leaf->n : 0;
	guint at = leaf ? first_at(leaf, hash) : 0;

	if (!leaf || n == leaf->capacity) {
		guint capacity = MAX(2 * n, MIN_CAPACITY);

		leaf = g_realloc(leaf,
				 sizeof(*leaf) +
					 capacity * sizeof(leaf->entries[0]));
		leaf->part.n_refs = 1;
		leaf->n = n;
		leaf->capacity = capacity;
		*slot = &leaf->part;
	}
	memmove(leaf->entries + at + 1, leaf->entries + at,
		(n - at) * sizeof(entry_t));
	leaf->entries[at] = (entry_t){hash, map->ops->ref(value)};
	leaf->n++;
}

static const entry_t *find_entry(const gc_shared_map_t *map, uint64_t hash,
				 gc_shared_map_match_t match, const void *key)
{
	const leaf_t *leaf = find_leaf(map, hash);

	if (!leaf)
		return NULL;
	for (guint i = first_at(leaf, hash);
	     i < leaf->n && leaf->entries[i].hash == hash; i++)
		if (match(leaf->entries[i].value, key))
			return &leaf->entries[i];
	return NULL;
}

bool gc_shared_map_remove(gc_shared_map_t *map, uint64_t hash,
			  gc_shared_map_match_t match, const void *key)
{
	const entry_t *entry = find_entry(map, hash, match, key);
	leaf_t *leaf;
	void *value;
	guint at;

	if (!entry)
		return false;
	value = entry->value;
	at = (guint)(entry - find_leaf(map, hash)->entries);
	leaf = (leaf_t *)*own_leaf(map, hash);
	leaf->n--;
	memmove(leaf->entries + at, leaf->entries + at + 1,
		(leaf->n - at) * sizeof(entry_t));
	map->ops->unref(value);
	return true;
}

void *gc_shared_map_find(const gc_shared_map_t *map, uint64_t hash,
			 gc_shared_map_match_t match, const void *key)
{
	const entry_t *entry = find_entry(map, hash, match, key);

	return entry ? entry->value : NULL;
}
