/* Edits that make one text from another, to send what changed of a large one. */
#ifndef GC_CORE_TEXT_DIFF_H
#define GC_CORE_TEXT_DIFF_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "core/str.h"

/* After the place that the former edit ends at, or from the start. */
typedef struct gc_text_edit {
	size_t keep; /* bytes that are kept */
	size_t drop; /* bytes after them that are left out */
	gc_str_t insert; /* what stands in their place */
} gc_text_edit_t;

/*
 * Sets edits (gc_text_edit_t) to what makes text from former; what follows the last
 * one is kept. The inserted parts are views of text. False, with any edits, if they
 * would insert more than half of the text.
 */
bool gc_text_diff(gc_str_t former, gc_str_t text, GArray *edits);
/* The text as bytes of talloc in mem, with a NUL that its length doesn't count; false
 * if the edits don't fit the former text, or if it would be longer than max. */
bool gc_text_apply(TALLOC_CTX *mem, gc_str_t former,
		   const gc_text_edit_t *edits, size_t n, size_t max,
		   gc_str_t *text);

#endif
