/* An operator's change of the configuration; used by operator_api.c. */
#ifndef GC_LIB_CONTROL_CHANGE_H
#define GC_LIB_CONTROL_CHANGE_H

#include "lib/control_private.h"

typedef enum gc_change_state {
	GC_CHANGE_ACCEPTED, /* written, and known to half of the daemons */
	GC_CHANGE_WRITTEN, /* written; too few daemons hold it so far */
	GC_CHANGE_CONFLICT, /* version is the current one, changed what differs */
	GC_CHANGE_REFUSED, /* err says why; nothing was written */
	GC_CHANGE_IN_DOUBT, /* the service gave no definite answer */
} gc_change_state_t;

typedef struct gc_change_result {
	gc_change_state_t state;
	uint64_t version;
	json_t *changed; /* array of paths, NULL if unknown; of the result */
	const GError *err;
} gc_change_result_t;

typedef void (*gc_change_done_t)(void *ctx, const gc_change_result_t *result);

/*
 * Applies a merge patch to version if_match (0: the first configuration). done
 * is called once, later, from the loop.
 */
void gc_control_change(gc_control_t *control, uint64_t if_match, json_t *patch,
		       gc_change_done_t done, void *ctx);

#endif
