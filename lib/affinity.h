/* Remembers which engine was given which prompt, as a guess at its cache. */
#ifndef GC_LIB_AFFINITY_H
#define GC_LIB_AFFINITY_H

#include <stdint.h>

#include <talloc.h>

#include "core/str.h"

typedef struct gc_affinity gc_affinity_t;

gc_affinity_t *gc_affinity_create(TALLOC_CTX *mem);
/* The engine got a run with this prompt. */
void gc_affinity_note(gc_affinity_t *affinity, gc_str_t prompt,
		      const void *engine);
/* Bytes at the start of the prompt that the engine was given before. */
size_t gc_affinity_bytes(const gc_affinity_t *affinity, gc_str_t prompt,
			 const void *engine);

#endif
