/* Timeouts for stalled engines, derived from their intervals between tokens. */
#ifndef GC_CORE_STALL_DETECTOR_H
#define GC_CORE_STALL_DETECTOR_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/types.h"

/* Statistics of one engine's token intervals; shared by its streams. */
typedef struct gc_stall_detector gc_stall_detector_t;

gc_stall_detector_t *gc_stall_detector_create(TALLOC_CTX *mem);
void gc_stall_detector_destroy(gc_stall_detector_t *detector);
/*
 * Adds an interval between two tokens of a stream, or the time until its first
 * token. Negative intervals are ignored.
 */
void gc_stall_detector_observe(gc_stall_detector_t *detector, bool first_token,
			       int64_t interval_us);
/* Time without a token after which the engine counts as stalled, in ms. */
int64_t gc_stall_detector_timeout_ms(const gc_stall_detector_t *detector,
				     bool first_token, gc_policy_t policy);

#endif
