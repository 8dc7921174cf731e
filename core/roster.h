/*
 * Which backend servers and daemons exist, from entries of the store. Entries
 * can lapse while the store is away although their owners live; such entries
 * count on for a grace period after contact is back.
 */
#ifndef GC_CORE_ROSTER_H
#define GC_CORE_ROSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/str.h"

/* One backend server in one incarnation, or one daemon. */
typedef struct gc_entry {
	gc_str_t id;
	gc_str_t service; /* empty for a daemon */
	gc_str_t address; /* IP:PORT */
	gc_str_t peer_address; /* IP:PORT for other daemons; may be empty */
	gc_str_t failure_domain;
	uint32_t slots; /* requests that run at once */
	int64_t started_ms; /* wall clock; tells incarnations apart */
	bool draining;
} gc_entry_t;

typedef struct gc_roster gc_roster_t;

/* grace_ms: how long a lapsed entry counts after contact is back. */
gc_roster_t *gc_roster_create(TALLOC_CTX *mem, int64_t grace_ms);
/* The entry is as given; strings are copied. */
void gc_roster_put(gc_roster_t *roster, const gc_entry_t *entry);
/*
 * The entry was deleted. It is dropped at once, or after the grace period if
 * contact was regained less than that ago.
 */
void gc_roster_remove(gc_roster_t *roster, struct timespec now, gc_str_t id);
/* The entry names nothing to use any more; dropped without grace. */
void gc_roster_drop(gc_roster_t *roster, gc_str_t id);
/*
 * A full list follows by puts, then gc_roster_end_list. Entries that the list
 * lacks are dropped after the grace period.
 */
void gc_roster_begin_list(gc_roster_t *roster);
void gc_roster_end_list(gc_roster_t *roster, struct timespec now);
/* The first answer of the store after it could not be reached. */
void gc_roster_regained(gc_roster_t *roster, struct timespec now);
/*
 * Drops entries whose grace is over; true if there were any. *next_ms is the
 * time until the next call is due, -1 if none is.
 */
bool gc_roster_expire(gc_roster_t *roster, struct timespec now,
		      int64_t *next_ms);

size_t gc_roster_count(const gc_roster_t *roster);
/* Calls fn for each entry in the order of ids. */
void gc_roster_each(const gc_roster_t *roster,
		    void (*fn)(void *ctx, const gc_entry_t *entry), void *ctx);

#endif
