/*
 * Chooses what a daemon asks next for changes of the store: a peer, that is a
 * daemon that watches the store, or the store itself. Calls to the store cost
 * money, and without a limit all daemons would call it at once when the
 * watchers lose their connection to it.
 */
#ifndef GC_CORE_CHANGE_SOURCE_H
#define GC_CORE_CHANGE_SOURCE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

typedef enum gc_source_kind {
	GC_SOURCE_PEER,
	GC_SOURCE_STORE,
	GC_SOURCE_NONE, /* neither yet; wait */
} gc_source_kind_t;

/* Must be zeroed before use. */
typedef struct gc_change_source {
	unsigned int n_peer_failures; /* so far; selects the next peer */
	bool ask_store_next; /* after a peer failed; for one call */
	bool peer_unresponsive; /* the last peer that failed did not answer */
	struct timespec peers_not_before; /* no peer is asked earlier */
	struct timespec store_not_before; /* the store is not asked earlier */
	int64_t store_backoff_ms; /* pause after a failure of the store, or 0 */
} gc_change_source_t;

/*
 * has_peer: there is a peer to ask. Sets *wait_ms to the time until the peer or
 * the store may be asked, for GC_SOURCE_NONE; otherwise to 0.
 */
gc_source_kind_t gc_change_source_next(const gc_change_source_t *source,
				       struct timespec now, bool has_peer,
				       int64_t *wait_ms);
/* answered: the peer answered, but without changes that are recent enough. */
void gc_change_source_peer_failed(gc_change_source_t *source,
				  struct timespec now, bool answered);
void gc_change_source_peer_answered(gc_change_source_t *source);
void gc_change_source_store_answered(gc_change_source_t *source,
				     struct timespec now);
/* Returns the back-off before the next call to the store, in ms. */
int64_t gc_change_source_store_failed(gc_change_source_t *source,
				      struct timespec now, bool has_peer);

#endif
