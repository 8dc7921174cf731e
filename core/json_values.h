/*
 * Cuts long base64 values out of a JSON text before it is parsed, as a parser takes each of
 * their bytes by itself.
 */
#ifndef GC_CORE_JSON_VALUES_H
#define GC_CORE_JSON_VALUES_H

#include <stdbool.h>

#include <glib.h>

#include "core/str.h"

/*
 * A copy of the text in which each long value of a member "value" is replaced by a short
 * mark; adds the values (gc_str_t, views of the text) to `values`. NULL if there is none,
 * or if a string of the text could be taken for a mark. The text need not be valid.
 */
GString *gc_json_cut_values(gc_str_t text, GArray *values);
/* The value that the mark stands for; false if it is no mark of these values. */
bool gc_json_find_value(const GArray *values, gc_str_t mark, gc_str_t *value);

#endif
