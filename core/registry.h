/*
 * Which backend servers and daemons exist, from entries of the store. Entries
 * can lapse while the store is away although their owners live; such entries
 * count on for a grace period after contact is back.
 */
#ifndef GC_CORE_REGISTRY_H
#define GC_CORE_REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/str.h"

/* One backend server in one incarnation, or one daemon. */
typedef struct gc_registry_entry {
	gc_str_t id;
	gc_str_t service; /* empty for a daemon */
	gc_str_t address; /* IP:PORT */
	gc_str_t peer_address; /* IP:PORT for other daemons; may be empty */
	gc_str_t failure_domain;
	uint32_t slots; /* requests that run at once */
	int64_t started_ms; /* wall clock; tells incarnations apart */
	bool draining;
} gc_registry_entry_t;

typedef struct gc_registry gc_registry_t;

/* grace_ms: how long a lapsed entry counts after contact is back. */
gc_registry_t *gc_registry_create(TALLOC_CTX *mem, int64_t grace_ms);
/* The entry is as given; strings are copied. */
void gc_registry_put(gc_registry_t *registry, const gc_registry_entry_t *entry);
/*
 * The entry was deleted. It is dropped at once, or after the grace period if
 * contact was regained less than that ago.
 */
void gc_registry_remove(gc_registry_t *registry, struct timespec now,
			gc_str_t id);
/* The entry names nothing to use any more; dropped without grace. */
void gc_registry_drop(gc_registry_t *registry, gc_str_t id);
/*
 * A full list follows by puts, then gc_registry_end_list. Entries that the list
 * lacks are dropped after the grace period.
 */
void gc_registry_begin_list(gc_registry_t *registry);
void gc_registry_end_list(gc_registry_t *registry, struct timespec now);
/* The first answer of the store after it could not be reached. */
void gc_registry_regained(gc_registry_t *registry, struct timespec now);
/*
 * Drops entries whose grace is over; true if there were any. *next_ms is the
 * time until the next call is due, -1 if none is.
 */
bool gc_registry_expire(gc_registry_t *registry, struct timespec now,
			int64_t *next_ms);

size_t gc_registry_count(const gc_registry_t *registry);
/* Calls fn for each entry in the order of ids. */
void gc_registry_each(const gc_registry_t *registry,
		      void (*fn)(void *ctx, const gc_registry_entry_t *entry),
		      void *ctx);

#endif
