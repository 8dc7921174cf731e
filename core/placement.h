/* Chooses the engine for an attempt. */
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
	uint32_t running; /* as last reported, lags */
	uint32_t queued; /* as last reported, lags */
	uint32_t own_in_flight; /* this daemon's runs on it */
	uint32_t own_since_report; /* of these, started after the report */
	uint64_t cached_tokens; /* of this prompt, estimated */
	bool leaving;
	bool ejected;
} gc_placement_candidate_t;

typedef struct gc_placement_request {
	uint64_t prompt_tokens; /* prompt and prefix, estimated */
	gc_policy_t policy;
	const gc_str_t *avoid; /* engines not to use again */
	size_t n_avoid;
	gc_str_t prefer_domain; /* this daemon's failure domain */
} gc_placement_request_t;

/* Random source, passed in. Returns 64 uniform bits. */
typedef struct gc_random {
	uint64_t (*next)(void *ctx);
	void *ctx;
} gc_random_t;

/*
 * Index of the chosen candidate, or -1 if none can take work. An ejected
 * engine is used only when no other is left; a leaving one never.
 */
ssize_t gc_placement_choose(const gc_placement_candidate_t *candidates,
			    size_t n, const gc_placement_request_t *req,
			    const gc_random_t *random);

/*
 * True if the daemon's subset of at most `size` of n_engines holds the engine
 * (rendezvous hashing, so that a change of one member moves few others).
 * Engines and daemons are given by name.
 */
bool gc_placement_in_subset(gc_str_t daemon, gc_str_t engine,
			    const gc_str_t *engines, size_t n_engines,
			    size_t size);

#endif
