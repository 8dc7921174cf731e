/* Selectors over instance labels (docs/design.md section 5). */
#ifndef GC_CORE_SELECTOR_H
#define GC_CORE_SELECTOR_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

typedef struct gc_selector gc_selector_t;

/*
 * Compiles a selector; NULL matches every instance. Appends one line
 * "PATH: message" to errors for each wrong value; the result is then unusable
 * but must still be freed.
 */
gc_selector_t *gc_selector_create(json_t *json, const char *path,
				  GString *errors);
void gc_selector_destroy(gc_selector_t *selector);

/*
 * True if labels (an object of strings) has every label of match with that
 * value, for each label of any_of one of the values, and for each label of
 * none_of no listed value. An absent label satisfies none_of only.
 */
bool gc_selector_matches(const gc_selector_t *selector, json_t *labels);

#endif
