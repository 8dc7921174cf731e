/* Changes of the configuration by operators; used by operator_api.c. */
#ifndef GC_LIB_CONTROL_CHANGE_H
#define GC_LIB_CONTROL_CHANGE_H

#include "lib/control_private.h"

typedef enum gc_change_outcome {
	GC_CHANGE_ACCEPTED, /* written; at least half of the daemons hold it */
	GC_CHANGE_WRITTEN, /* written; fewer daemons hold it so far */
	GC_CHANGE_CONFLICT, /* if_match isn't the current version */
	GC_CHANGE_REFUSED, /* not written, because of err */
	GC_CHANGE_IN_DOUBT, /* may or may not have been written */
} gc_change_outcome_t;

/* Passed to the callback, valid until it returns. */
typedef struct gc_change_result {
	gc_change_outcome_t outcome;
	uint64_t version; /* the new one, or on a conflict the current one */
	/*
	 * On a conflict: the paths that differ from version if_match; NULL if
	 * unknown.
	 */
	json_t *changed_paths;
	const GError *err; /* if refused */
} gc_change_result_t;

typedef void (*gc_change_done_t)(void *ctx, const gc_change_result_t *result);

/*
 * Applies a JSON merge patch to version if_match; 0 creates the first
 * configuration. Takes its own reference to patch. done is called once, from
 * the event loop.
 */
void gc_control_change_config(gc_control_t *control, uint64_t if_match,
			      json_t *patch, gc_change_done_t done, void *ctx);

#endif
