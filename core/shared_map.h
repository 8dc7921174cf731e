/*
 * Hash maps that share what they have in common with the map that they were copied
 * from: a copy costs the same for any size, and a change copies a small part of the
 * entries. A map that is not changed any more may be read in all threads.
 */
#ifndef GC_CORE_SHARED_MAP_H
#define GC_CORE_SHARED_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct gc_shared_map gc_shared_map_t;

/* Values are reference-counted, with counts that any thread may change. */
typedef struct gc_shared_map_ops {
	void *(*ref)(void *value);
	void (*unref)(void *value);
} gc_shared_map_ops_t;

/* True if the value has the key that is looked for. */
typedef bool (*gc_shared_map_match_t)(const void *value, const void *key);

/* ops must outlive the map and its copies. */
gc_shared_map_t *gc_shared_map_create(const gc_shared_map_ops_t *ops);
gc_shared_map_t *gc_shared_map_copy(const gc_shared_map_t *map);
void gc_shared_map_destroy(gc_shared_map_t *map);

/* Adds a value, with a reference of its own, that has a key which no other one has. */
void gc_shared_map_add(gc_shared_map_t *map, uint64_t hash, void *value);
/* Removes the value that matches the key; false if there is none. */
bool gc_shared_map_remove(gc_shared_map_t *map, uint64_t hash,
			  gc_shared_map_match_t match, const void *key);
/* The value that matches the key, without a reference; NULL if there is none. */
void *gc_shared_map_find(const gc_shared_map_t *map, uint64_t hash,
			 gc_shared_map_match_t match, const void *key);

#endif
