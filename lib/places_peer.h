/*
 * Asks the issuer of a brittle server for places (core/places.h), grants those of
 * which this daemon is the issuer, and tells the others of such servers. Control
 * thread only.
 */
#ifndef GC_LIB_PLACES_PEER_H
#define GC_LIB_PLACES_PEER_H

#include <talloc.h>

#include "core/clock.h"
#include "core/places.h"
#include "lib/fleet_view.h"
#include "lib/httpc.h"
#include "lib/timer.h"

/* Request to an issuer: POST PATH with an ask in the query. From an issuer: POST
 * PATH with `told`. */
#define GC_PLACES_PATH "/peer/places"

typedef struct gc_places_peer gc_places_peer_t;

typedef struct gc_places_peer_conf {
	gc_httpc_t *http;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	gc_str_t self; /* name of this daemon */
	/* Called with answers to asks, and with what an issuer tells. */
	void (*answered)(void *ctx, const gc_place_answer_t *answer);
	void *ctx;
} gc_places_peer_conf_t;

/* text: JSON, or NULL if the request is invalid. */
typedef void (*gc_places_respond_t)(void *ctx, const char *text);

gc_places_peer_t *gc_places_peer_create(TALLOC_CTX *mem,
					const gc_places_peer_conf_t *conf);
/* Sets the registered daemons; takes a reference to the view. */
void gc_places_peer_set_view(gc_places_peer_t *peer, gc_fleet_view_t *view);
/*
 * Calls answered once, possibly before it returns. If the issuer doesn't answer,
 * the next one is asked, as for permits. Number, daemon and part of the ask are
 * filled in here.
 */
void gc_places_peer_ask(gc_places_peer_t *peer, const gc_place_ask_t *ask);
/*
 * Handles the request of another daemon from its target. Calls respond once and
 * returns NULL, or returns an object and calls respond later. The object is freed
 * then; to free it before cancels the request.
 */
void *gc_places_peer_request(gc_places_peer_t *peer, gc_str_t target,
			     gc_places_respond_t respond, void *ctx);

#endif
