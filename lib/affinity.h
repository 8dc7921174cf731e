/*
 * Prefix affinity: records which engine received which prompts, to estimate
 * what its prefix cache holds.
 */
#ifndef GC_LIB_AFFINITY_H
#define GC_LIB_AFFINITY_H

#include <stdint.h>

#include <talloc.h>

#include "core/str.h"

typedef struct gc_affinity gc_affinity_t;

/* Freed with mem or by talloc_free. */
gc_affinity_t *gc_affinity_create(TALLOC_CTX *mem);
/* Records a run with this prompt; engines are compared by address. */
void gc_affinity_record(gc_affinity_t *affinity, gc_str_t prompt,
			const void *engine);
/* Length in bytes of the prompt's prefix that the engine received before. */
size_t gc_affinity_cached_bytes(const gc_affinity_t *affinity, gc_str_t prompt,
				const void *engine);

#endif
