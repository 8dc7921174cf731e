/* Placement of runs on engines. */
#ifndef GC_CORE_PLACEMENT_H
#define GC_CORE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "core/str.h"
#include "core/types.h"

typedef struct gc_placement_candidate {
	gc_str_t name;
	gc_str_t failure_domain;
	uint32_t slots;
	uint32_t running; /* as of the last report, which lags */
	uint32_t queued; /* as of the last report, which lags */
	uint32_t own_in_flight; /* this daemon's runs on the engine */
	uint32_t own_since_report; /* of these, started after the report */
	uint64_t cached_tokens; /* of the prompt, in its cache; estimated */
	bool leaving; /* takes no new runs */
	bool ejected; /* by outlier detection */
} gc_placement_candidate_t;

typedef struct gc_placement_request {
	uint64_t prompt_tokens; /* estimate for prompt and prefix */
	gc_policy_t policy;
	const gc_str_t *avoid; /* names of engines not to choose */
	size_t n_avoid;
	gc_str_t prefer_domain; /* this daemon's failure domain */
} gc_placement_request_t;

/* Random number generator; next returns 64 uniformly distributed bits. */
typedef struct gc_random {
	uint64_t (*next)(void *ctx);
	void *ctx;
} gc_random_t;

/*
 * Returns the index of the chosen candidate, or -1 if none is eligible. An
 * ejected engine is chosen only if no other is eligible, a leaving one never.
 */
ssize_t gc_placement_choose(const gc_placement_candidate_t *candidates,
			    size_t n, const gc_placement_request_t *req,
			    const gc_random_t *random);

/*
 * Returns true if the engine belongs to the daemon's subset of at most `size`
 * of the n_engines engines. Daemons and engines are given by name. Rendezvous
 * hashing keeps the subset stable: adding or removing an engine changes at
 * most one other member.
 */
bool gc_placement_in_subset(gc_str_t daemon, gc_str_t engine,
			    const gc_str_t *engines, size_t n_engines,
			    size_t size);

#endif
