/* The daemon's own entry in the store, kept under a lease. */
#ifndef GC_LIB_REGISTRATION_H
#define GC_LIB_REGISTRATION_H

#include <stdint.h>

#include <talloc.h>

#include "core/registry.h"
#include "lib/store.h"
#include "lib/timer.h"

typedef struct gc_registration gc_registration_t;

typedef struct gc_registration_conf {
	gc_timers_t *timers;
	gc_store_t store;
	const char *key_prefix; /* before the daemon's name */
	gc_registry_entry_t self;
	int64_t lease_ms;
} gc_registration_conf_t;

/* Writes the entry, and again whenever its lease has ended. */
gc_registration_t *gc_registration_create(TALLOC_CTX *mem,
					  const gc_registration_conf_t *conf);
/* The store can be read again; a call that waits for its return is made. */
void gc_registration_store_found(gc_registration_t *presence);
/* Takes the entry away. */
void gc_registration_leave(gc_registration_t *presence);

#endif
