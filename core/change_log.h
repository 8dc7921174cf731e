/*
 * The latest change of each key of the store, in memory. With it a daemon that
 * watches the store answers peers that ask it, instead of the store, for
 * changes.
 */
#ifndef GC_CORE_CHANGE_LOG_H
#define GC_CORE_CHANGE_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "core/shared_text.h"
#include "core/str.h"
#include "core/text_diff.h"

/* A key of the store as last written or deleted. */
typedef struct gc_store_item {
	gc_str_t key;
	gc_str_t value;
	uint64_t revision;
	bool deleted;
} gc_store_item_t;

/* A change, and the edits that make the value from the former one. */
typedef struct gc_logged_change {
	TALLOC_CTX *mem; /* lives as long as the change */
	gc_store_item_t item;
	gc_shared_text_t *text; /* of the item's value */
	/* The value compressed, in mem, by whoever sends it; empty: not yet. */
	gc_str_t compressed;
	uint64_t former_revision; /* 0: the edits aren't known */
	uint64_t former_text; /* id of the text that they are of */
	const gc_text_edit_t *edits; /* of the value */
	size_t n_edits;
} gc_logged_change_t;

typedef struct gc_change_log gc_change_log_t;

/* max_deleted: deletions that are kept; older ones are discarded. */
gc_change_log_t *gc_change_log_create(TALLOC_CTX *mem, size_t max_deleted);
/*
 * Clears the log before a full list of the store's era is added. Changes up to
 * `revision` count as unknown from then on, so that no peer misses a deletion.
 */
void gc_change_log_reset(gc_change_log_t *change_log, uint64_t era,
			 uint64_t revision);
/* The era of all revisions in the log; 0: unknown. */
uint64_t gc_change_log_era(const gc_change_log_t *change_log);
/* Adds a change, unless a newer one of its key is known; copies strings. Returns it,
 * valid until the next one, or NULL if it wasn't added or is a deletion. */
const gc_logged_change_t *gc_change_log_add(gc_change_log_t *change_log,
					    const gc_store_item_t *item);
/* Records that all changes up to this revision have been added. */
void gc_change_log_advance(gc_change_log_t *change_log, uint64_t revision);
uint64_t gc_change_log_revision(const gc_change_log_t *change_log);
/*
 * Calls fn for each item that changed after the revision `after`, in the order
 * of revisions. Returns false, without a call, if the log may lack changes
 * after that revision.
 */
bool gc_change_log_foreach_since(
	const gc_change_log_t *change_log, uint64_t after,
	void (*fn)(void *ctx, gc_logged_change_t *change), void *ctx);
/* The latest change of the key, NULL if none is known. Valid until the next one. */
const gc_store_item_t *gc_change_log_find(const gc_change_log_t *change_log,
					  gc_str_t key);

#endif
