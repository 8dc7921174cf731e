/*
 * Whom a daemon asks next for changes of the store: another daemon that
 * watches it, or the store itself. Calls to the store cost money, and all
 * daemons would call it at once when the watchers lose it.
 */
#ifndef GC_CORE_CHANGE_SOURCE_H
#define GC_CORE_CHANGE_SOURCE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

typedef enum gc_source_kind {
	GC_SOURCE_PEER,
	GC_SOURCE_STORE,
	GC_SOURCE_NONE, /* neither before a while */
} gc_source_kind_t;

/* Zero at first. */
typedef struct gc_change_source {
	unsigned int turn; /* failures of peers so far, for the choice of one */
	bool store_first; /* a peer could not tell; the store is asked once */
	bool peer_silent; /* the last peer gave no answer */
	struct timespec peers_from; /* none is asked before */
	struct timespec store_from; /* it is not asked before */
	int64_t store_pause_ms; /* after its next failure */
} gc_change_source_t;

/*
 * has_peer: there is a daemon to ask. *wait_ms is set for GC_SOURCE_NONE: the
 * time until one of the two may be asked.
 */
gc_source_kind_t gc_change_source_next(const gc_change_source_t *sources,
				       struct timespec now, bool has_peer,
				       int64_t *wait_ms);
/* answered: it said that it can't tell the changes, or knows old ones only. */
void gc_change_source_peer_failed(gc_change_source_t *sources,
				  struct timespec now, bool answered);
void gc_change_source_peer_answered(gc_change_source_t *sources);
void gc_change_source_store_answered(gc_change_source_t *sources,
				     struct timespec now);
/* Returns the pause before the next call to the store, ms. */
int64_t gc_change_source_store_failed(gc_change_source_t *sources,
				      struct timespec now, bool has_peer);

#endif
