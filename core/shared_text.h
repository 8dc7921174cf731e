/* Immutable texts that several owners share, in any threads. */
#ifndef GC_CORE_SHARED_TEXT_H
#define GC_CORE_SHARED_TEXT_H

#include <stdint.h>

#include "core/str.h"

typedef struct gc_shared_text gc_shared_text_t;

/* A copy of the text, with one reference. */
gc_shared_text_t *gc_shared_text_create(gc_str_t text);
gc_shared_text_t *gc_shared_text_ref(gc_shared_text_t *text);
/* text: NULL for none. */
void gc_shared_text_unref(gc_shared_text_t *text);
gc_str_t gc_shared_text_str(const gc_shared_text_t *text);
/* Not 0, and of no other text of the process, also of one that is freed. */
uint64_t gc_shared_text_id(const gc_shared_text_t *text);

#endif
