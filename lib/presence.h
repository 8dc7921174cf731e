/* The daemon's own entry in the store, kept under a lease. */
#ifndef GC_LIB_PRESENCE_H
#define GC_LIB_PRESENCE_H

#include <stdint.h>

#include <talloc.h>

#include "core/registry.h"
#include "lib/store.h"
#include "lib/timer.h"

typedef struct gc_presence gc_presence_t;

typedef struct gc_presence_conf {
	gc_timers_t *timers;
	gc_store_t store;
	const char *key_prefix; /* before the daemon's name */
	gc_registry_entry_t self;
	int64_t lease_ms;
} gc_presence_conf_t;

/* Writes the entry, and again whenever its lease has ended. */
gc_presence_t *gc_presence_create(TALLOC_CTX *mem,
				  const gc_presence_conf_t *conf);
/* The store can be read again; a call that waits for its return is made. */
void gc_presence_store_found(gc_presence_t *presence);
/* Takes the entry away. */
void gc_presence_leave(gc_presence_t *presence);

#endif
