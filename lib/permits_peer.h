/*
 * Asks the issuer of a backend server for permits (core/permits.h), and grants
 * those of which this daemon is the issuer. Issuers are chosen by rendezvous
 * hashing of the server over the registered daemons. Control thread only.
 */
#ifndef GC_LIB_PERMITS_PEER_H
#define GC_LIB_PERMITS_PEER_H

#include <talloc.h>

#include "core/clock.h"
#include "core/permits.h"
#include "lib/fleet_view.h"
#include "lib/httpc.h"

/* Request to an issuer: POST PATH with an ask in the query. */
#define GC_PERMITS_PATH "/peer/permits"

typedef struct gc_permits_peer gc_permits_peer_t;

typedef struct gc_permits_peer_conf {
	gc_httpc_t *http;
	const gc_clock_t *clock;
	gc_str_t self; /* name of this daemon */
	void (*answered)(void *ctx, const gc_permit_answer_t *answer);
	void *ctx;
} gc_permits_peer_conf_t;

gc_permits_peer_t *gc_permits_peer_create(TALLOC_CTX *mem,
					  const gc_permits_peer_conf_t *conf);
/* Sets the registered daemons; takes a reference to the view. */
void gc_permits_peer_set_view(gc_permits_peer_t *peer, gc_fleet_view_t *view);
/*
 * Calls answered once, possibly before it returns. If the issuer doesn't answer,
 * the next one is asked, with a smaller part of the limit; this daemon grants its
 * own part if none does. The part of the ask is ignored.
 */
void gc_permits_peer_ask(gc_permits_peer_t *peer, const gc_permit_ask_t *ask);
/*
 * Answer to the ask of another daemon as JSON, from the target of its request;
 * NULL if the ask is invalid. Free with g_free.
 */
char *gc_permits_peer_response(gc_permits_peer_t *peer, gc_str_t target);

#endif
