/*
 * The control thread's HTTP listener: readiness checks, addresses of daemons
 * for callers, metrics, and watches of the store by other daemons.
 */
#ifndef GC_LIB_CONTROL_LISTENER_H
#define GC_LIB_CONTROL_LISTENER_H

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/clock.h"
#include "core/placement.h"
#include "lib/adapter.h"
#include "lib/fleet.h"
#include "lib/settings.h"
#include "lib/timer.h"

typedef struct gc_control_listener gc_control_listener_t;

typedef struct gc_control_listener_conf {
	struct tevent_context *ev;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_random_t *random;
	const gc_adapter_t *adapter;
	gc_fleet_t *fleet;
	struct gc_permits_peer *permits;
	struct gc_crash_witness *witness;
	struct gc_places_peer *places;
	struct gc_rollouts *rollouts;
	const gc_confirmed_time_t *confirmed;
	gc_str_t instance; /* name of this daemon */
	/* Not ready if the configuration was confirmed longer ago than this. */
	int64_t max_confirmed_age_ms;
	unsigned int address_ttl_s; /* how long callers may use addresses */
} gc_control_listener_conf_t;

gc_control_listener_t *
gc_control_listener_create(TALLOC_CTX *mem,
			   const gc_control_listener_conf_t *conf);
/*
 * Adds a listening socket; every request is served on each of them. Errors:
 * GC_ERR_IO.
 */
bool gc_control_listener_listen(gc_control_listener_t *listener,
				const gc_listen_address_t *listen,
				GError **err);
/* Responds to watches of other daemons for which there are changes. */
void gc_control_listener_notify_watches(gc_control_listener_t *listener);
/* False: the daemon isn't ready and doesn't list itself until it is true. */
void gc_control_listener_set_serving(gc_control_listener_t *listener,
				     bool serving);
/* From now on not ready, and not among the addresses given to callers. */
void gc_control_listener_set_stopping(gc_control_listener_t *listener);

#endif
