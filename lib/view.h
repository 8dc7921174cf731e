/*
 * A view: an immutable snapshot of the control thread's state, read by traffic
 * threads. Reference-counted atomically; holds no talloc memory.
 */
#ifndef GC_LIB_VIEW_H
#define GC_LIB_VIEW_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <jansson.h>

#include "core/config.h"
#include "core/str.h"

typedef struct gc_view_instance {
	gc_str_t name;
	gc_str_t url; /* http://ADDRESS:PORT */
	gc_str_t failure_domain;
	json_t *labels; /* listed labels, overridden by the operator's */
	bool leaving;
	bool ejected;
	uint32_t slots;
	uint32_t running;
	uint32_t queued;
	struct timespec reported_at; /* monotonic time of the load report */
} gc_view_instance_t;

typedef struct gc_view_daemon {
	gc_str_t name;
	gc_str_t caller_url;
	gc_str_t failure_domain;
} gc_view_daemon_t;

typedef struct gc_view {
	gc_config_t *config; /* NULL until the first version is known */
	/*
	 * Monotonic time until which the configuration is confirmed. After it,
	 * new requests are refused, also by a thread that was paused and still
	 * holds an old view.
	 */
	struct timespec in_effect_until;
	bool stopping; /* this daemon is shutting down */
	gc_view_instance_t *engines;
	size_t n_engines;
	gc_view_instance_t *servers; /* backend servers */
	size_t n_servers;
	gc_view_daemon_t *daemons; /* live and serving, this one included */
	size_t n_daemons;
} gc_view_t;

/*
 * Allocates a view with zeroed arrays; the caller owns the reference and fills
 * it in before publishing it: strings by gc_view_copy_str, labels and config
 * with a reference each, which the view releases.
 */
gc_view_t *gc_view_create(size_t n_engines, size_t n_servers, size_t n_daemons);
gc_view_t *gc_view_ref(gc_view_t *view);
void gc_view_unref(gc_view_t *view);
/* Returns a copy of s that lives as long as the view. Not thread-safe. */
gc_str_t gc_view_copy_str(gc_view_t *view, gc_str_t s);

#endif
