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

/* Times of the calls for changes, in ms. */
typedef struct gc_change_times {
	int64_t watch_wait; /* longest wait of a watch without changes */
	int64_t store_timeout; /* of a call, its wait is added */
	int64_t peer_timeout; /* the same for a peer */
	int64_t peer_max_age; /* older states of a peer are not used */
} gc_change_times_t;

/*
 * Derives the times from the ages, in ms, beyond which a confirmation of the
 * configuration is no longer good: for an unknown route (in_force_ms), for keys
 * (admit_ms) and for readiness (ready_ms). Two waits, the peer's and this
 * daemon's, and the pause after a change (batch_delay_ms) may add up.
 */
gc_change_times_t gc_change_times(int64_t in_force_ms, int64_t admit_ms,
				  int64_t ready_ms, int64_t batch_delay_ms);

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
	/* The last peer that failed does not know all changes since this
	 * daemon's revision: only the store can help. */
	bool peer_lacks_history;
	struct timespec peers_not_before; /* no peer is asked earlier */
	/* The pause before the next call to the store follows from these and from
	 * what is believed of the peers then. */
	unsigned int n_store_failures; /* in a row */
	struct timespec store_failed_at; /* the last one, if any */
	int64_t peer_age_ms; /* of the last state that a peer sent */
} gc_change_source_t;

/*
 * has_peer: there is a peer to ask. Sets *wait_ms to the time until the peer or
 * the store may be asked, for GC_SOURCE_NONE; otherwise to 0.
 */
gc_source_kind_t gc_change_source_next(const gc_change_source_t *source,
				       struct timespec now, bool has_peer,
				       int64_t *wait_ms);
/* The time until the store may be called, in ms. */
int64_t gc_change_source_store_pause(const gc_change_source_t *source,
				     struct timespec now, bool has_peer);
void gc_change_source_peer_lacks_history(gc_change_source_t *source);
/* answered: the peer answered, but without changes that are recent enough. */
void gc_change_source_peer_failed(gc_change_source_t *source,
				  struct timespec now, bool answered);
/* age_ms: of the peer's state when it answered. */
void gc_change_source_peer_answered(gc_change_source_t *source, int64_t age_ms);
/*
 * Wait of the next watch at a peer, at most wait_ms. It ends when the state
 * that the peer had would be too old (peer_max_age), so that a peer that lost
 * the store does not delay a change by further whole waits.
 */
int64_t gc_change_source_peer_wait(const gc_change_source_t *source,
				   const gc_change_times_t *times,
				   int64_t wait_ms);
/*
 * Wait of the next watch at the store, at most wait_ms, the usual one. A store that may
 * be away isn't waited for: its call would only end later.
 */
int64_t gc_change_source_store_wait(const gc_change_source_t *source,
				    int64_t wait_ms);
void gc_change_source_store_answered(gc_change_source_t *source,
				     struct timespec now);
void gc_change_source_store_failed(gc_change_source_t *source,
				   struct timespec now);
/* The store answered that it doesn't have all changes since the revision; the first
 * pause of an outage follows, as daemons that watch it are told so together. */
void gc_change_source_store_lacks_history(gc_change_source_t *source,
					  struct timespec now);

#endif
