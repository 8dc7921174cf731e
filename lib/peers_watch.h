/*
 * Watches the store through another daemon of the failure domain, so that the
 * load on the store does not grow with the number of daemons. The daemons that
 * watch the store themselves are the watchers.
 */
#ifndef GC_LIB_PEERS_WATCH_H
#define GC_LIB_PEERS_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>
#include <talloc.h>

#include "core/change_log.h"
#include "core/clock.h"
#include "core/registry.h"
#include "lib/httpc.h"
#include "lib/store.h"

/* Request to a watcher: GET PATH?after=REVISION&era=ERA&wait_ms=N&compact=1; without
 * "compact" the response has all values whole, as base64. */
#define GC_PEERS_WATCH_PATH "/peer/changes"

typedef struct gc_peers_watch gc_peers_watch_t;

typedef struct gc_peers_watch_conf {
	gc_httpc_t *http;
	const gc_clock_t *clock;
	gc_str_t self; /* name of this daemon */
	gc_str_t failure_domain;
	long timeout_ms; /* in addition to the wait */
	int64_t max_age_ms; /* a response with an older state is an error */
} gc_peers_watch_conf_t;

gc_peers_watch_t *gc_peers_watch_create(TALLOC_CTX *mem,
					const gc_peers_watch_conf_t *conf);
/*
 * Sets the registered daemons, sorted by id. The array must stay valid until
 * this function is called again.
 */
void gc_peers_watch_set_daemons(gc_peers_watch_t *peers,
				const gc_registry_entry_t *daemons, size_t n);
/*
 * True if there is a watcher to ask after this many failures; false if this
 * daemon is a watcher itself.
 */
bool gc_peers_watch_has_peer(const gc_peers_watch_t *peers,
			     unsigned int n_failures);
/*
 * Asks a watcher for the changes after the revision of the store's era and calls
 * done once. A watcher that knows another era reports GC_ERR_LOST and its era.
 * n_failures counts the peers that have failed so far and selects the watcher,
 * see gc_watchers_choose. Call only if gc_peers_watch_has_peer is true for it. The
 * watcher may send edits of values in `known`, which must stay until done is called.
 * Errors: GC_ERR_IO if no response came, GC_ERR_LOST if the watcher does not know
 * all changes, GC_ERR_UNAVAILABLE if its state is older than max_age_ms.
 */
void gc_peers_watch(gc_peers_watch_t *peers, unsigned int n_failures,
		    uint64_t era, uint64_t after, int64_t wait_ms,
		    const gc_change_log_t *known, gc_store_items_done_t done,
		    void *ctx);

/*
 * Response of a watcher with the changes after the revision of the era as JSON;
 * NULL if some of them may be unknown here, or if the log is of another era.
 * age_ms: time since the state was confirmed. takes_compact: a value that the
 * other daemon has in its former form may be sent as edits, another one compressed.
 * Free with g_free.
 */
char *gc_peers_watch_response(const gc_change_log_t *change_log, uint64_t era,
			      uint64_t after, int64_t age_ms,
			      bool takes_compact);
/* Reads such a response. Its items are views of the JSON and of mem. False if it isn't
 * valid, if edits in it don't fit the values in `known`, or if its values are longer than
 * GC_STORE_MAX_RESPONSE_BYTES together. */
bool gc_peers_watch_read(TALLOC_CTX *mem, const json_t *json,
			 const gc_change_log_t *known, gc_store_items_t *items);
/* Body of a response without changes, which names the era. Free with g_free. */
char *gc_peers_watch_refusal(const gc_change_log_t *change_log);

#endif
