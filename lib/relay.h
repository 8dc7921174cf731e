/*
 * Serves routed requests: admission by route and key, attempts at backend
 * servers, and one answer to the caller. Runs in one traffic thread.
 */
#ifndef GC_LIB_RELAY_H
#define GC_LIB_RELAY_H

#include <talloc.h>
#include <tevent.h>

#include "core/backends.h"
#include "core/clock.h"
#include "core/placement.h"
#include "lib/adapter.h"
#include "lib/caller_listener.h"
#include "lib/fleet.h"
#include "lib/timer.h"
#include "lib/upstream.h"

typedef struct gc_relay gc_relay_t;

typedef struct gc_relay_conf {
	struct tevent_context *ev;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_random_t *random;
	const gc_adapter_t *adapter;
	const gc_confirmed_t *confirmed;
	gc_str_t instance; /* name of this daemon */
	gc_str_t failure_domain;
	/* A configuration confirmed longer ago gives no 404 or 401. */
	int64_t deny_age_ms;
	/* One confirmed longer ago does not admit requests with a key. */
	int64_t admit_age_ms;
	int64_t connect_timeout_ms;
	gc_socket_liveness_t liveness;
	double repeat_ratio; /* see gc_backends_conf_t */
	uint32_t repeat_slack;
	int64_t repeat_window_ms;
} gc_relay_conf_t;

gc_relay_t *gc_relay_create(TALLOC_CTX *mem, const gc_relay_conf_t *conf);
/* Takes a new view; a reference is taken. */
void gc_relay_set_view(gc_relay_t *relay, gc_fleet_view_t *view);
/*
 * The daemon stops at `end`: requests that may not be answered before it are
 * refused from now on.
 */
void gc_relay_set_stopping(gc_relay_t *relay, struct timespec end);
/* Requests in progress, also those whose caller has left. */
size_t gc_relay_open(const gc_relay_t *relay);

/* The handlers for a front whose ctx is the relay. */
extern const gc_caller_listener_ops_t gc_relay_front_ops;

#endif
