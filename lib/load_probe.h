/*
 * Asks several backend servers for their load before one of them is chosen.
 * Daemons don't see each other's requests, and a server that was just cut off
 * gives no answer.
 */
#ifndef GC_LIB_LOAD_PROBE_H
#define GC_LIB_LOAD_PROBE_H

#include <talloc.h>

#include "core/backends.h"
#include "core/clock.h"
#include "lib/adapter.h"
#include "lib/timer.h"
#include "lib/upstream.h"

/* Servers that one survey asks at most. */
#define GC_LOAD_PROBE_MAX 4

typedef struct gc_load_probe gc_load_probe_t;

typedef struct gc_load_probe_conf {
	gc_upstream_t *upstream;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_adapter_t *adapter;
	int64_t timeout_ms; /* a server that answers later did not answer */
	/* All have answered or the time is over; the survey may be freed. */
	void (*done)(void *ctx);
	void *ctx;
} gc_load_probe_conf_t;

/* Callbacks come from the loop. Reports go to the servers' load. */
gc_load_probe_t *gc_load_probe_start(TALLOC_CTX *mem,
				     const gc_load_probe_conf_t *conf,
				     gc_backend_t *const *servers, size_t n);
/* The servers that answered; valid while the survey lives. */
gc_backend_set_t gc_load_probe_answered(const gc_load_probe_t *survey);
/* Ends it; no callback follows. */
void gc_load_probe_destroy(gc_load_probe_t *survey);

#endif
