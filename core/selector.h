/* Matches instances by their labels (docs/design.md section 5). */
#ifndef GC_CORE_SELECTOR_H
#define GC_CORE_SELECTOR_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

typedef struct gc_selector gc_selector_t;

/*
 * Compiles a selector; NULL matches every instance. Appends a line
 * "PATH: message" to errors for each invalid value; the result must then not be
 * used, but still be destroyed. References json, which must not be changed.
 */
gc_selector_t *gc_selector_create(json_t *json, const char *path,
				  GString *errors);
void gc_selector_destroy(gc_selector_t *selector);

/*
 * True if labels, an object of strings, has each label of "match" with its
 * value, each label of "any_of" with one of its values, and no label of
 * "none_of" with one of its values. An absent label satisfies only "none_of".
 */
bool gc_selector_matches(const gc_selector_t *selector, json_t *labels);

#endif
