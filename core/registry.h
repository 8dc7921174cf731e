/*
 * The backend servers or daemons that exist, from entries of the store. While
 * the store is unreachable, entries can expire although their owners are alive.
 * Such entries are kept for a grace period after the store is reachable again.
 */
#ifndef GC_CORE_REGISTRY_H
#define GC_CORE_REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/str.h"

/* What a daemon of an older build may lack; a set of bits. */
typedef enum gc_capability {
	GC_CAN_GRANT_PLACES = 1 << 0, /* see core/places.h */
	GC_CAN_WITNESS = 1 << 1, /* asks others whether a lost server crashed */
	GC_CAN_ROLL_OUT = 1 << 2, /* see core/rollout.h */
} gc_capability_t;

/* A backend server or a daemon; a restarted server has a new entry. */
typedef struct gc_registry_entry {
	gc_str_t id;
	gc_str_t service; /* empty for a daemon */
	gc_str_t address; /* IP:PORT */
	gc_str_t peer_address; /* IP:PORT for other daemons; may be empty */
	/* IP:PORT for requests of other daemons; may be empty. */
	gc_str_t forward_address;
	uint32_t capabilities; /* of a daemon: gc_capability_t */
	gc_str_t failure_domain;
	gc_str_t version; /* of the server's software; may be empty */
	uint32_t slots; /* maximum number of concurrent requests */
	int64_t started_ms; /* wall clock; differs after a restart */
	bool draining;
} gc_registry_entry_t;

typedef struct gc_registry gc_registry_t;

/* grace_ms: how long expired entries are kept after a reconnect. */
gc_registry_t *gc_registry_create(TALLOC_CTX *mem, int64_t grace_ms);
/* Adds or replaces the entry; strings are copied. */
void gc_registry_put(gc_registry_t *registry, const gc_registry_entry_t *entry);
/*
 * The entry was deleted from the store. It is removed at once, or, if the store
 * was reconnected less than the grace period ago, at the end of that period.
 */
void gc_registry_remove(gc_registry_t *registry, struct timespec now,
			gc_str_t id);
/* Removes an entry that has become unusable, without a grace period. */
void gc_registry_remove_now(gc_registry_t *registry, gc_str_t id);
/*
 * The same for an entry of a full list. After a restore of the store the list may
 * be older than what is known here: the entry of a server that was draining or
 * removed since the same start counts as draining until it is put as a change.
 * Returns true if the entry is draining.
 */
bool gc_registry_put_listed(gc_registry_t *registry,
			    const gc_registry_entry_t *entry);
/*
 * Starts a full list: each entry is put, then gc_registry_end_list called.
 * Entries that were not put are removed after the grace period.
 */
void gc_registry_begin_list(gc_registry_t *registry);
void gc_registry_end_list(gc_registry_t *registry, struct timespec now);
/* Records that the store, which was unreachable, answers again. */
void gc_registry_store_reconnected(gc_registry_t *registry,
				   struct timespec now);
/*
 * Records that the store went back to a copy: entries that it lacks have the
 * grace period from now on to be written again.
 */
void gc_registry_store_restored(gc_registry_t *registry, struct timespec now);
/*
 * Removes entries whose grace period is over; true if there were any. Sets
 * *next_ms to the time until the next call is due, -1 if none is.
 */
bool gc_registry_expire(gc_registry_t *registry, struct timespec now,
			int64_t *next_ms);

size_t gc_registry_count(const gc_registry_t *registry);
/* Calls fn for each entry in the order of ids. */
void gc_registry_foreach(const gc_registry_t *registry,
			 void (*fn)(void *ctx,
				    const gc_registry_entry_t *entry),
			 void *ctx);

#endif
