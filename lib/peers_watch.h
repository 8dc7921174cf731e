/*
 * Watches the store through another daemon of the failure domain, so that the
 * calls to the store don't grow with the daemons.
 */
#ifndef GC_LIB_PEERS_WATCH_H
#define GC_LIB_PEERS_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "core/change_log.h"
#include "core/clock.h"
#include "core/registry.h"
#include "lib/httpc.h"
#include "lib/store.h"

/* Where daemons ask: GET PATH?after=REVISION&wait_ms=N */
#define GC_PEERS_WATCH_PATH "/peer/changes"

typedef struct gc_peers_watch gc_peers_watch_t;

typedef struct gc_peers_watch_conf {
	gc_httpc_t *http;
	const gc_clock_t *clock;
	gc_str_t self;
	gc_str_t failure_domain;
	long timeout_ms; /* beyond the wait */
	int64_t max_age_ms; /* an answer that is older is of no use */
} gc_peers_watch_conf_t;

gc_peers_watch_t *gc_peers_watch_create(TALLOC_CTX *mem,
					const gc_peers_watch_conf_t *conf);
/* The serving daemons, in the order of ids. Valid until the next call. */
void gc_peers_watch_set_daemons(gc_peers_watch_t *peers,
				const gc_registry_entry_t *daemons, size_t n);
/* True if there is a watcher to ask at this turn; false at a watcher itself. */
bool gc_peers_watch_possible(const gc_peers_watch_t *peers, unsigned int turn);
/*
 * Asks a watcher what changed after the revision; `turn` selects one, see
 * gc_watchers_choose. Errors: GC_ERR_IO if it gave no answer, GC_ERR_UNAVAILABLE
 * if it can't tell or what it knows is old. Only if it is possible.
 */
void gc_peers_watch(gc_peers_watch_t *peers, unsigned int turn, uint64_t after,
		    int64_t wait_ms, gc_store_items_done_t done, void *ctx);

/*
 * The answer of a watcher: JSON text, or NULL if changes after the revision
 * may be unknown here. Free with g_free.
 */
char *gc_peers_watch_answer(const gc_change_log_t *feed, uint64_t after,
			    int64_t age_ms);

#endif
