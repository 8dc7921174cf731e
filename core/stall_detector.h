/* Detects engines that stall, from their own time between tokens. */
#ifndef GC_CORE_STALL_DETECTOR_H
#define GC_CORE_STALL_DETECTOR_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/types.h"

/* Learns one engine's token intervals; shared by its streams. */
typedef struct gc_stall_detector_detector gc_stall_detector_t;

gc_stall_detector_t *gc_stall_detector_create(TALLOC_CTX *mem);
void gc_stall_detector_destroy(gc_stall_detector_t *stall);
/* One interval between two tokens of a stream, or until the first token. */
void gc_stall_detector_observe(gc_stall_detector_t *stall, bool first_token,
			       int64_t interval_us);
/* Silence in ms after which a stream's engine is suspected. */
int64_t gc_stall_detector_timeout_ms(const gc_stall_detector_t *stall,
				     bool first_token, gc_policy_t policy);

#endif
