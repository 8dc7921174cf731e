/* Registers this daemon in the store by an entry under a lease. */
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
	const char *key_prefix; /* followed by the daemon's name */
	gc_registry_entry_t self; /* the entry to write */
	int64_t lease_ms;
} gc_registration_conf_t;

/*
 * Writes the entry and renews its lease; retries failed calls, and writes the
 * entry again if the lease has ended.
 */
gc_registration_t *gc_registration_create(TALLOC_CTX *mem,
					  const gc_registration_conf_t *conf);
/*
 * Retries a failed call at once instead of after its delay. To be called when
 * the store is reachable again.
 */
void gc_registration_retry_now(gc_registration_t *registration);
/* Deletes the entry by ending its lease; it is not written again. */
void gc_registration_remove(gc_registration_t *registration);

#endif
