/*
 * The operator configuration that other daemons have in force. A daemon that starts
 * after the store went back to a copy finds the copy's there, which may be older than
 * the one that was in force; those that have run through the restore know that one.
 * Control thread only.
 */
#ifndef GC_LIB_CONFIG_PEER_H
#define GC_LIB_CONFIG_PEER_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "core/clock.h"
#include "core/placement.h"
#include "lib/fleet_view.h"
#include "lib/httpc.h"
#include "lib/timer.h"

/*
 * GET PATH?newer_than=VERSION: 200 with the operator's record if a newer one is known;
 * 204 if the one in force isn't newer; 404 if none is in force.
 */
#define GC_CONFIG_PEER_PATH "/peer/config"

typedef struct gc_config_peer gc_config_peer_t;

typedef struct gc_config_peer_conf {
	gc_httpc_t *http;
	gc_timers_t *timers;
	const gc_random_t *random;
	gc_str_t self; /* name of this daemon */
} gc_config_peer_conf_t;

gc_config_peer_t *gc_config_peer_create(TALLOC_CTX *mem,
					const gc_config_peer_conf_t *conf);
/*
 * Asks the daemons of the view, a few at a time, until one knows the configuration in
 * force, and calls found once, from the event loop: with the record if it is newer than
 * the version. Each daemon is asked once, unless repeat is true; if none of them knows,
 * known is false. Ends with gc_config_peer_stop too.
 */
void gc_config_peer_start(gc_config_peer_t *peer, gc_fleet_view_t *view,
			  uint64_t version, bool repeat,
			  void (*found)(void *ctx, bool known, gc_str_t record),
			  void *ctx);
void gc_config_peer_stop(gc_config_peer_t *peer);

#endif
