/*
 * The elements of an array in a JSON text, decoded one by one. A list that is read
 * after another one takes over what has the same text as there without decoding it.
 * Immutable; the items may be used in all threads.
 */
#ifndef GC_CORE_JSON_LIST_H
#define GC_CORE_JSON_LIST_H

#include <glib.h>

#include "core/str.h"

typedef struct gc_json_list gc_json_list_t;

typedef struct gc_json_list_ops {
	/* Decodes the text of one element into an item with one reference, or NULL if
	 * it isn't used. False and *err if it is invalid. The separators before and
	 * after it were checked, the text itself was not. */
	bool (*decode)(gc_str_t text, void **item, GError **err);
	/* References of items, which are not NULL. */
	void *(*ref)(void *item);
	void (*unref)(void *item);
} gc_json_list_ops_t;

/*
 * Reads the array that begins at `at`, the place of its "[". former: NULL for none.
 * The text and ops must outlive the list. The items that the former list hasn't are
 * added to `added`, with their indexes in added_at (size_t), and the items that only
 * the former one has to `removed`; both stay the lists'. Sets *end to the place after
 * the "]". Returns NULL and *err, which names the element, if the array is invalid.
 */
gc_json_list_t *gc_json_list_read(gc_str_t text, size_t at,
				  const gc_json_list_t *former,
				  const gc_json_list_ops_t *ops,
				  GPtrArray *added, GArray *added_at,
				  GPtrArray *removed, size_t *end,
				  GError **err);
void gc_json_list_destroy(gc_json_list_t *list);

/*
 * Finds a member of the object that the text begins with, and sets *at to the place of
 * its value. False if there is none, or if the text before it can't be read.
 */
bool gc_json_find_member(gc_str_t text, gc_str_t name, size_t *at);

#endif
