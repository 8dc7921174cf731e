/*
 * The base version of a service: the software version at which its streams have
 * begun unless another one is on record. It changes only when no stream that
 * began at it can be resumed any more, so that a stream without a record has one
 * version, whatever each daemon knew when it began.
 */
#ifndef GC_CORE_BASE_VERSION_H
#define GC_CORE_BASE_VERSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/registry.h"
#include "core/str.h"

/* How long a stream may be resumed after it began, at most. */
#define GC_STREAM_LIFE_MS 60000
/* A list of servers that was confirmed no longer ago than this counts as recent. */
#define GC_RECENT_LIST_MS 2000
/* In a time as long as this without a confirmation, versions may come and go unseen. */
#define GC_LIST_GAP_MS 10000

typedef struct gc_base_version {
	gc_str_t service;
	gc_str_t version; /* may be empty, as that of a server's entry */
	/* Rises with each change; 0: only an invalid item is known, with no version. */
	uint64_t number;
	/* Of the item in the store, which a restored store may lack (0) or have in an
	 * older state. The number of an invalid item is 0. */
	uint64_t stored_number;
	uint64_t stored_revision;
} gc_base_version_t;

typedef struct gc_base_versions gc_base_versions_t;

gc_base_versions_t *gc_base_versions_create(TALLOC_CTX *mem);
/*
 * The version to which the service's base version should change, among those of
 * the listed servers; base is NULL if the service has none. Call with each list of
 * servers and from time to time. Returns false if nothing should change.
 */
bool gc_base_versions_propose(gc_base_versions_t *versions, struct timespec now,
			      gc_str_t service,
			      const gc_registry_entry_t *servers, size_t n,
			      const gc_base_version_t *base,
			      gc_str_t *proposed);
/* To be called when lists are confirmed again after GC_LIST_GAP_MS. */
void gc_base_versions_note_gap(gc_base_versions_t *versions,
			       struct timespec now);
/*
 * True if only servers of the base version have been listed for as long as a
 * stream may last, so that all streams began at it.
 */
bool gc_base_versions_is_only(const gc_base_versions_t *versions,
			      struct timespec now, gc_str_t service);
/* True if a server of another version was listed within a stream's life. */
bool gc_base_versions_is_mixed(const gc_base_versions_t *versions,
			       struct timespec now, gc_str_t service);

#endif
