/*
 * The elements of an array in a JSON text, decoded one by one. A list that is read
 * after another one takes over what has the same text as there without decoding it.
 * Immutable; the items may be used in all threads.
 */
#ifndef GC_CORE_JSON_LIST_H
#define GC_CORE_JSON_LIST_H

#include <glib.h>

#include "core/str.h"
#include "core/text_diff.h"

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

typedef enum gc_json_progress {
	GC_JSON_MORE, /* elements follow */
	GC_JSON_DONE,
	GC_JSON_INVALID,
} gc_json_progress_t;

typedef struct gc_json_reader gc_json_reader_t;

/*
 * Starts to read the array that begins at `at`, the place of its "[". former: NULL for
 * none; it must stay until the reader is destroyed. The text and ops must outlive the
 * list.
 */
gc_json_reader_t *gc_json_reader_create(gc_str_t text, size_t at,
					const gc_json_list_t *former,
					const gc_json_list_ops_t *ops);
/*
 * Before the first step: the text is the former list's with these edits, as
 * gc_text_diff found them, so that what they keep isn't compared. They are copied. The
 * former list was read from all of the text that they are of.
 */
void gc_json_reader_set_edits(gc_json_reader_t *reader,
			      const gc_text_edit_t *edits, size_t n);
/* Decodes up to so many elements that the former list hasn't, and what is taken over
 * between them. Sets *err, which names the element, if the array is invalid. */
gc_json_progress_t gc_json_reader_step(gc_json_reader_t *reader, size_t n,
				       GError **err);
/* After GC_JSON_DONE: the items that the former list hasn't, with their indexes in
 * added_at (size_t), and those that only the former one has. They stay the lists'. */
const GPtrArray *gc_json_reader_added(const gc_json_reader_t *reader);
const GArray *gc_json_reader_added_at(const gc_json_reader_t *reader);
const GPtrArray *gc_json_reader_removed(const gc_json_reader_t *reader);
/* The place after the array's "]". */
size_t gc_json_reader_end(const gc_json_reader_t *reader);
/* After GC_JSON_DONE: true if the edits tell that the text after the array is the same
 * as after the former list's. */
bool gc_json_reader_keeps_end(gc_json_reader_t *reader);
/* The list, which is the caller's from now on. */
gc_json_list_t *gc_json_reader_take_list(gc_json_reader_t *reader);
void gc_json_reader_destroy(gc_json_reader_t *reader);

/* Calls fn for each item that isn't NULL, in order, with its element's index. */
void gc_json_list_foreach(const gc_json_list_t *list,
			  void (*fn)(void *ctx, size_t index, void *item),
			  void *ctx);
void gc_json_list_destroy(gc_json_list_t *list);

/*
 * Finds a member of the object that the text begins with, and sets *at to the place of
 * its value. False if there is none, or if the text before it can't be read.
 */
bool gc_json_find_member(gc_str_t text, gc_str_t name, size_t *at);

#endif
