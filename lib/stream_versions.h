/*
 * Keeps on record, in the store, at which software version streams began, if not
 * at the base version of their service (core/base_version.h), and finds it again
 * when a caller resumes at another daemon. Changes base versions, and keeps the era
 * of the store there (core/restore_mark.h). Control thread only.
 */
#ifndef GC_LIB_STREAM_VERSIONS_H
#define GC_LIB_STREAM_VERSIONS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "core/clock.h"
#include "core/placement.h"
#include "core/stream_record.h"
#include "lib/fleet_view.h"
#include "lib/store.h"
#include "lib/timer.h"

typedef struct gc_stream_versions gc_stream_versions_t;

typedef struct gc_stream_versions_conf {
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_random_t *random;
	gc_store_t store;
	/* The stream with this token is on record, or isn't within 2 s. In that
	 * case, the record may still be written later. */
	void (*recorded)(void *ctx, uint64_t token, bool ok);
	/* Answer to gc_stream_versions_find. version: valid in the callback. */
	void (*found)(void *ctx, uint64_t token, gc_version_result_t result,
		      gc_str_t version);
	/* The store was restored, lately as far as is known: it may lack records. */
	void (*restored)(void *ctx);
	/* A response of the store named this era. */
	void (*era_seen)(void *ctx, uint64_t era);
	void *ctx;
} gc_stream_versions_conf_t;

gc_stream_versions_t *
gc_stream_versions_create(TALLOC_CTX *mem,
			  const gc_stream_versions_conf_t *conf);
/* Calls recorded once. A key must not be recorded with two versions. */
void gc_stream_versions_record(gc_stream_versions_t *versions, uint64_t token,
			       const char *key, gc_str_t version);
/* Calls found once, from the event loop. */
void gc_stream_versions_find(gc_stream_versions_t *versions, uint64_t token,
			     const char *key);
/* Takes a reference to the view; changes base versions if need be. */
void gc_stream_versions_set_view(gc_stream_versions_t *versions,
				 gc_fleet_view_t *view);
/* See gc_base_versions_note_gap. */
void gc_stream_versions_note_gap(gc_stream_versions_t *versions);
/* The store is in this era. After a restore, this daemon's records are written
 * again, and for a stream's life a missing one may be lost. */
void gc_stream_versions_set_era(gc_stream_versions_t *versions, uint64_t era);

#endif
