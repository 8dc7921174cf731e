/*
 * The newest item of each key of the store, with the revision of its change,
 * for daemons that ask a peer instead of the store what has changed.
 */
#ifndef GC_CORE_CHANGE_LOG_H
#define GC_CORE_CHANGE_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "core/str.h"

/* An item of the store as it was written, or its deletion. */
typedef struct gc_store_item {
	gc_str_t key;
	gc_str_t value;
	uint64_t revision;
	bool deleted;
} gc_store_item_t;

typedef struct gc_change_log gc_change_log_t;

/* max_deleted: deletions that are remembered. */
gc_change_log_t *gc_change_log_create(TALLOC_CTX *mem, size_t max_deleted);
/*
 * A full list follows: changes before `revision` are unknown from now on, so
 * that nobody misses a deletion.
 */
void gc_change_log_restart(gc_change_log_t *feed, uint64_t revision);
/* Takes a change; one that is older than what is known is left out. */
void gc_change_log_add(gc_change_log_t *feed, const gc_store_item_t *item);
/* Everything up to this revision is known. */
void gc_change_log_advance(gc_change_log_t *feed, uint64_t revision);
uint64_t gc_change_log_revision(const gc_change_log_t *feed);
/*
 * Calls fn for each item that changed after the revision, the oldest change
 * first. False, without a call, if changes after it may be unknown.
 */
bool gc_change_log_since(const gc_change_log_t *feed, uint64_t after,
			 void (*fn)(void *ctx, const gc_store_item_t *item),
			 void *ctx);

#endif
