/*
 * Which daemon writes the evidence on a refused trait to the store: the first one by
 * its turn, and the next ones only if no notice of it comes from the store
 * meanwhile. Belongs to the control thread.
 */
#ifndef GC_LIB_KEPT_TURNS_H
#define GC_LIB_KEPT_TURNS_H

#include <talloc.h>

#include "core/clock.h"
#include "core/crash_suspects.h"
#include "lib/timer.h"

typedef struct gc_kept_turns gc_kept_turns_t;

typedef struct gc_kept_turns_conf {
	gc_timers_t *timers;
	const gc_clock_t *clock;
	/* The turn of this daemon has come. */
	void (*write)(void *ctx, const gc_crash_evidence_t *evidence);
	void *ctx;
} gc_kept_turns_conf_t;

gc_kept_turns_t *gc_kept_turns_create(TALLOC_CTX *mem,
				      const gc_kept_turns_conf_t *conf);
void gc_kept_turns_add(gc_kept_turns_t *turns,
		       const gc_crash_evidence_t *evidence);
/* A notice with n reports on the trait came from the store. */
void gc_kept_turns_read(gc_kept_turns_t *turns, uint64_t trait, size_t n);
/* The trait was served. */
void gc_kept_turns_drop(gc_kept_turns_t *turns, uint64_t trait);
/* The store was restored: what came from it may be gone. */
void gc_kept_turns_store_restored(gc_kept_turns_t *turns);
/* Nothing is written any more. */
void gc_kept_turns_stop(gc_kept_turns_t *turns);

#endif
