/*
 * A key-value store with revisions, watches and leases, behind one interface.
 * A store object is implemented by a table of functions.
 */
#ifndef GC_LIB_STORE_H
#define GC_LIB_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "core/change_log.h"
#include "core/str.h"

typedef struct gc_store_items {
	const gc_store_item_t *items;
	size_t n;
	uint64_t revision; /* of the store; a watch goes on after it */
	bool more; /* a further page follows the last key */
	/* How old the answer was when it was given; 0 for the store itself. */
	int64_t age_ms;
} gc_store_items_t;

/*
 * err is set if no definite answer came. GC_ERR_LOST: the history from the
 * asked revision on is gone. Data are valid during the call.
 */
typedef void (*gc_store_items_done_t)(void *ctx, const gc_store_items_t *items,
				      const GError *err);
/* GC_ERR_NOT_FOUND: there is no such lease. id is 0 where none is given. */
typedef void (*gc_store_done_t)(void *ctx, uint64_t id, const GError *err);

typedef struct gc_store_ops {
	/* A page of all items after the key. */
	void (*list)(void *store, gc_str_t after, gc_store_items_done_t done,
		     void *ctx);
	/* Changes of any key after the revision, waiting up to wait_ms. */
	void (*watch)(void *store, uint64_t after, int64_t wait_ms,
		      gc_store_items_done_t done, void *ctx);
	void (*lease)(void *store, int64_t ttl_ms, gc_store_done_t done,
		      void *ctx);
	void (*renew)(void *store, uint64_t lease, gc_store_done_t done,
		      void *ctx);
	/* Writes whatever the item was; it goes with the lease. */
	void (*put)(void *store, gc_str_t key, gc_str_t value, uint64_t lease,
		    gc_store_done_t done, void *ctx);
	void (*end_lease)(void *store, uint64_t lease, gc_store_done_t done,
			  void *ctx);
} gc_store_ops_t;

typedef struct gc_store {
	const gc_store_ops_t *ops;
	void *store;
} gc_store_t;

#endif
