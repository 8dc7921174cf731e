/*
 * Finds out whether a server that lost requests crashed, or whether only the
 * connections to it or this daemon's own network failed. Belongs to a traffic
 * thread.
 */
#ifndef GC_LIB_CRASH_CHECKS_H
#define GC_LIB_CRASH_CHECKS_H

#include <stdbool.h>
#include <stddef.h>

#include <talloc.h>

#include "core/backends.h"
#include "core/clock.h"
#include "core/crash_suspects.h"
#include "core/str.h"
#include "lib/adapter.h"
#include "lib/fleet.h"
#include "lib/timer.h"
#include "lib/upstream.h"

typedef struct gc_crash_checks gc_crash_checks_t;

/* A request that was broken off. */
typedef struct gc_crash_loss {
	gc_crash_report_t report;
	char *request; /* its id, for the log */
} gc_crash_loss_t;

typedef struct gc_crash_checks_conf {
	gc_upstream_t *upstream;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_adapter_t *adapter;
	gc_backends_t *backends;
	const gc_confirmed_time_t *confirmed; /* by the store */
	/* Called once for all requests that a server lost at about one time. */
	void (*settled)(void *ctx, const gc_backend_t *server, bool crashed,
			const gc_crash_loss_t *losses, size_t n);
	void *ctx;
} gc_crash_checks_conf_t;

gc_crash_checks_t *gc_crash_checks_create(TALLOC_CTX *mem,
					  const gc_crash_checks_conf_t *conf);
/*
 * The server closed or reset the connection of a request of the service. Starts
 * a check, or adds the request to the one in progress.
 */
void gc_crash_checks_add(gc_crash_checks_t *checks, gc_str_t service,
			 gc_backend_t *server, const gc_crash_report_t *report,
			 gc_str_t request);

#endif
