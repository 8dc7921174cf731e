/*
 * Queries the load of several backend servers before one of them is chosen,
 * because a daemon doesn't know the requests that other daemons have in flight.
 * The probe also detects servers that just became unreachable: they do not
 * respond.
 */
#ifndef GC_LIB_LOAD_PROBE_H
#define GC_LIB_LOAD_PROBE_H

#include <talloc.h>

#include "core/backends.h"
#include "core/clock.h"
#include "lib/adapter.h"
#include "lib/timer.h"
#include "lib/upstream.h"

/* Maximum number of servers that one probe queries. */
#define GC_LOAD_PROBE_MAX_SERVERS 4

typedef struct gc_load_probe gc_load_probe_t;

typedef struct gc_load_probe_conf {
	gc_upstream_t *upstream;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_adapter_t *adapter;
	/* A server that has not responded by then counts as failed. */
	int64_t timeout_ms;
	/* Called when all servers responded or failed; may free the probe. */
	void (*done)(void *ctx);
	void *ctx;
} gc_load_probe_conf_t;

/*
 * Stores each load report in its server. Callbacks are made from the event
 * loop.
 */
gc_load_probe_t *gc_load_probe_start(TALLOC_CTX *mem,
				     const gc_load_probe_conf_t *conf,
				     gc_backend_t *const *servers,
				     size_t n_servers);
/* The servers that reported their load; valid until the probe is freed. */
gc_backend_set_t gc_load_probe_responded(const gc_load_probe_t *probe);
/* Those that responded with something else; valid until the probe is freed. */
gc_backend_set_t gc_load_probe_unreported(const gc_load_probe_t *probe);
/* All servers that were asked, if none of them gave any response; otherwise none. */
gc_backend_set_t gc_load_probe_lost(const gc_load_probe_t *probe);
/* Cancels the probe; no callback follows. */
void gc_load_probe_destroy(gc_load_probe_t *probe);

#endif
