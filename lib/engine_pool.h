/* What a traffic thread knows about engines: reach, stalls, own runs. */
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

/* One attempt in flight; embedded in the host's object. */
typedef struct gc_flight {
	struct gc_flight *prev, *next;
	gc_engine_pool_entry_t *record; /* NULL: not in flight */
	struct timespec since;
} gc_flight_t;

typedef struct gc_pick {
	const gc_account_t *account;
	const char *model;
	gc_policy_t policy;
	const char *prompt;
	uint64_t prefix_tokens; /* behind the prompt */
	const gc_str_t *avoid;
	size_t n_avoid;
} gc_pick_t;

gc_engine_pool_t *gc_engine_pool_create(TALLOC_CTX *mem,
					const gc_settings_t *settings,
					const gc_clock_t *clock,
					const gc_random_t *random);
/* Takes a reference to the view. */
void gc_engine_pool_set_view(gc_engine_pool_t *engines, gc_view_t *view);
/* Slots of the engines in reach that take new work. */
uint32_t gc_engine_pool_slots(const gc_engine_pool_t *engines);
/* Chooses an engine for a new run; false if none is available. */
bool gc_engine_pool_pick(gc_engine_pool_t *engines, const gc_pick_t *pick,
			 char name[GC_NAME_MAX]);
/* The instance of this name; NULL if the view doesn't list it. */
const gc_view_instance_t *gc_engine_pool_find(const gc_engine_pool_t *engines,
					      const char *name);
gc_stall_detector_t *gc_engine_pool_stall(gc_engine_pool_t *engines,
					  const char *name);
/* The engine starts a run with this prompt and will have it in its cache. */
void gc_engine_pool_note_prompt(gc_engine_pool_t *engines, const char *name,
				const char *prompt);
/*
 * Calls fn for each engine with a run now or since the last call of this, so
 * that short runs between two calls are told of too.
 */
void gc_engine_pool_each_used(gc_engine_pool_t *engines,
			      void (*fn)(void *ctx, const char *name),
			      void *ctx);
void gc_flight_begin(gc_engine_pool_t *engines, gc_flight_t *flight,
		     const char *name);
void gc_flight_end(gc_flight_t *flight);

#endif
