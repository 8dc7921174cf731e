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
	/* Called with the era of each response that names one. */
	void (*era_seen)(void *ctx, uint64_t era);
	/* Called after each call: whether the store has answered it; may be NULL. */
	void (*store_answered)(void *ctx, bool answered);
	void *ctx;
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
/*
 * The store is in this era. After a change of it, the lease counts as gone, as
 * its id may be another daemon's, and the entry is written under a new one.
 */
void gc_registration_set_era(gc_registration_t *registration, uint64_t era);
/* True if the store acknowledged the entry and its lease has not ended since. */
bool gc_registration_is_written(const gc_registration_t *registration);
/* Writes an acknowledged entry again that the store doesn't have. */
void gc_registration_write_again(gc_registration_t *registration);
/* Deletes the entry by ending its lease; it is not written again. */
void gc_registration_remove(gc_registration_t *registration);

#endif
