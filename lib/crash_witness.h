/*
 * Asks other daemons whether they reach a server that this one has lost, and
 * answers them. A daemon that has lost its links takes each server for crashed;
 * only one that still reaches others of the service can tell. Control thread only.
 */
#ifndef GC_LIB_CRASH_WITNESS_H
#define GC_LIB_CRASH_WITNESS_H

#include <stdint.h>

#include <talloc.h>

#include "lib/adapter.h"
#include "lib/crash_checks.h"
#include "lib/fleet_view.h"
#include "lib/httpc.h"

/* GET PATH?server=HASH, the incarnation of the server. */
#define GC_CRASH_WITNESS_PATH "/peer/reached"

typedef struct gc_crash_witness gc_crash_witness_t;
typedef struct gc_witness_query gc_witness_query_t;

typedef struct gc_crash_witness_conf {
	gc_httpc_t *http;
	const gc_clock_t *clock;
	gc_str_t self; /* name of this daemon */
	const gc_adapter_t *adapter; /* path and format of load reports */
	const char
		*source; /* local IP of connections to servers; may be NULL */
	/* See gc_crash_checks_add_verdict. */
	void (*answered)(void *ctx, uint64_t token,
			 gc_witness_verdict_t verdict);
	void *ctx;
} gc_crash_witness_conf_t;

gc_crash_witness_t *
gc_crash_witness_create(TALLOC_CTX *mem, const gc_crash_witness_conf_t *conf);
/* Sets the servers and daemons; takes a reference to the view. */
void gc_crash_witness_set_view(gc_crash_witness_t *witness,
			       gc_fleet_view_t *view);
/* Asks two other daemons; calls answered once, possibly before it returns. */
void gc_crash_witness_ask(gc_crash_witness_t *witness, uint64_t token,
			  uint64_t server);
/* Whether a daemon asks others before it reports a crash. With an empty id: whether
 * all registered ones do. */
bool gc_crash_witness_is_asked_by(const gc_crash_witness_t *witness,
				  gc_str_t id);
/*
 * Answers another daemon: tries the server that the target names and others of
 * its service, then calls done once, from the event loop, with a JSON text, and
 * frees the query. NULL if the target names no server that is listed.
 */
gc_witness_query_t *
gc_witness_query_start(gc_crash_witness_t *witness, gc_str_t target,
		       void (*done)(void *ctx, const char *text), void *ctx);
/* Cancels the query; done isn't called. */
void gc_witness_query_destroy(gc_witness_query_t *query);

#endif
