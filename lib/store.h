/* Interface to a key-value store with revisions, watches and leases. */
#ifndef GC_LIB_STORE_H
#define GC_LIB_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "core/change_log.h"
#include "core/str.h"

/* Longest response of the store or of another daemon that is read, bytes. */
#define GC_STORE_MAX_RESPONSE_BYTES ((size_t)8 << 20)

typedef struct gc_store_items {
	const gc_store_item_t *items;
	size_t n;
	size_t n_left_out; /* items that can't be read */
	uint64_t revision; /* of the store; the next watch starts after it */
	bool more; /* another page follows after the last key */
	/* Key after which it begins if the page has no item that can be used;
	 * empty: none follows. */
	gc_str_t skip_to;
	/* Age of the state when the response was sent; 0 from the store. */
	int64_t age_ms;
	/*
	 * Rises when the store goes back to a copy; revisions and leases of two
	 * eras don't compare. 0: the response doesn't tell.
	 */
	uint64_t era;
} gc_store_items_t;

/*
 * On an error err is set, and of items only the era counts. GC_ERR_LOST: the store no longer
 * has the changes after the requested revision. items and err are valid only
 * during the callback.
 */
typedef void (*gc_store_items_done_t)(void *ctx, const gc_store_items_t *items,
				      const GError *err);
/*
 * err as above; GC_ERR_NOT_FOUND: there is no such lease. id is the lease, 0 if
 * the response names none. era as in gc_store_items_t.
 */
typedef void (*gc_store_done_t)(void *ctx, uint64_t id, uint64_t era,
				const GError *err);

typedef struct gc_store_ops {
	/* Reads a page of items, ordered by key, after the key `after`. */
	void (*list)(void *store, gc_str_t after, gc_store_items_done_t done,
		     void *ctx);
	/* Waits up to wait_ms for changes of any key after the revision. */
	void (*watch)(void *store, uint64_t after, int64_t wait_ms,
		      gc_store_items_done_t done, void *ctx);
	/* Requests a lease, whose id is passed to done. */
	void (*lease)(void *store, int64_t ttl_ms, gc_store_done_t done,
		      void *ctx);
	void (*renew)(void *store, uint64_t lease, gc_store_done_t done,
		      void *ctx);
	/* Writes unconditionally; the item is deleted when the lease ends. */
	void (*put)(void *store, gc_str_t key, gc_str_t value, uint64_t lease,
		    gc_store_done_t done, void *ctx);
	/* Reads the newest state of an item. GC_ERR_NOT_FOUND: there is none. */
	void (*get)(void *store, gc_str_t key, gc_store_items_done_t done,
		    void *ctx);
	/* Writes, without a lease, if the item's revision is the expected one (0:
	 * there is no such item); GC_ERR_CONFLICT if it is another. */
	void (*put_if)(void *store, gc_str_t key, gc_str_t value,
		       uint64_t expected, gc_store_done_t done, void *ctx);
	/* Removes an item if its revision is the expected one; GC_ERR_CONFLICT if
	 * it is another, or if there is none any more. */
	void (*remove_if)(void *store, gc_str_t key, uint64_t expected,
			  gc_store_done_t done, void *ctx);
	void (*end_lease)(void *store, uint64_t lease, gc_store_done_t done,
			  void *ctx);
} gc_store_ops_t;

typedef struct gc_store {
	const gc_store_ops_t *ops;
	void *store;
} gc_store_t;

#endif
