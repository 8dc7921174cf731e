/*
 * The engines of one traffic thread: the instances in its current view, the
 * subset that this daemon uses, stall detectors, and the thread's attempts in
 * flight.
 */
#ifndef GC_LIB_ENGINE_POOL_H
#define GC_LIB_ENGINE_POOL_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/clock.h"
#include "core/placement.h"
#include "core/stall_detector.h"
#include "core/types.h"
#include "lib/settings.h"
#include "lib/view.h"

typedef struct gc_engine_pool gc_engine_pool_t;
typedef struct gc_engine_pool_entry gc_engine_pool_entry_t;

/* One attempt in flight; embedded in the attempt's object. */
typedef struct gc_in_flight {
	struct gc_in_flight *prev, *next;
	gc_engine_pool_entry_t *entry; /* NULL: not in flight */
	struct timespec started_at;
} gc_in_flight_t;

/* A run for which an engine is to be chosen. */
typedef struct gc_run_spec {
	const gc_account_t *account;
	const char *model;
	gc_policy_t policy;
	const char *prompt;
	uint64_t prefix_tokens; /* number of tokens after the prompt */
	const gc_str_t *avoid; /* engines not to choose */
	size_t n_avoid;
} gc_run_spec_t;

/* settings, clock and random must outlive the pool, which mem owns. */
gc_engine_pool_t *gc_engine_pool_create(TALLOC_CTX *mem,
					const gc_settings_t *settings,
					const gc_clock_t *clock,
					const gc_random_t *random);
/* Takes a reference to the view. */
void gc_engine_pool_set_view(gc_engine_pool_t *pool, gc_view_t *view);
/* Total number of slots of the engines in the subset that aren't leaving. */
uint32_t gc_engine_pool_slots(const gc_engine_pool_t *pool);
/* Chooses an engine and copies its name; false if none is available. */
bool gc_engine_pool_choose(gc_engine_pool_t *pool, const gc_run_spec_t *spec,
			   char name[GC_NAME_MAX]);
/*
 * The engine of this name; NULL if the view doesn't list it. Valid until the
 * next gc_engine_pool_set_view.
 */
const gc_view_instance_t *gc_engine_pool_find(const gc_engine_pool_t *pool,
					      const char *name);
/* The stall detector of the engine of this name; belongs to the pool. */
gc_stall_detector_t *gc_engine_pool_stall_detector(gc_engine_pool_t *pool,
						   const char *name);
/* Records for prefix affinity that the engine receives this prompt. */
void gc_engine_pool_record_prompt(gc_engine_pool_t *pool, const char *name,
				  const char *prompt);
/*
 * Calls fn for each engine with an attempt in flight now or started since the
 * previous call, so that runs shorter than the interval are included.
 */
void gc_engine_pool_foreach_used(gc_engine_pool_t *pool,
				 void (*fn)(void *ctx, const char *name),
				 void *ctx);
/* Adds an attempt in flight on the engine of this name. */
void gc_in_flight_add(gc_engine_pool_t *pool, gc_in_flight_t *in_flight,
		      const char *name);
/* Does nothing if the attempt isn't in flight. */
void gc_in_flight_remove(gc_in_flight_t *in_flight);

#endif
