/*
 * Controller of what a daemon knows from the store: the operator's routes, the
 * backend servers and the other daemons. Keeps the daemon's own entry there
 * under a lease, and publishes immutable views to other threads.
 */
#ifndef GC_LIB_FLEET_H
#define GC_LIB_FLEET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "core/change_log.h"
#include "core/clock.h"
#include "core/placement.h"
#include "core/registry.h"
#include "core/routes.h"
#include "lib/adapter.h"
#include "lib/fleet_view.h"
#include "lib/store.h"
#include "lib/timer.h"

/*
 * The monotonic time in ms at which the newest configuration known here was
 * certainly the newest of all; 0: never. Set by the control thread.
 */
typedef _Atomic int64_t gc_confirmed_t;

typedef struct gc_fleet gc_fleet_t;

typedef struct gc_fleet_conf {
	struct tevent_context *ev;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_random_t *random;
	gc_store_t store;
	/*
	 * Asks other daemons instead of the store where it can; may be NULL.
	 * Belongs to the fleet's user.
	 */
	struct gc_peers_watch *peers;
	const gc_adapter_t *adapter;
	gc_registry_entry_t
		self; /* this daemon; its address is the callers' one */
	int64_t watch_ms; /* longest wait of a watch */
	int64_t lease_ms; /* of the own entry */
	int64_t lapse_grace_ms; /* see gc_registry_create */
	gc_confirmed_t *confirmed;
	/* A new view; takes a reference if it keeps it. */
	void (*publish)(void *ctx, gc_fleet_view_t *view);
	/*
	 * The last published view was certainly the newest one at this
	 * monotonic time. Always after publish: who pairs the time with an
	 * older view would admit revoked keys.
	 */
	void (*on_confirmed)(void *ctx, int64_t at_ms);
	void *ctx;
} gc_fleet_conf_t;

gc_fleet_t *gc_fleet_create(TALLOC_CTX *mem, const gc_fleet_conf_t *conf);
/* What is known of the store, for daemons that ask this one. */
const gc_change_log_t *gc_fleet_feed(const gc_fleet_t *fleet);
/* The newest view; never NULL. */
gc_fleet_view_t *gc_fleet_view(gc_fleet_t *fleet);
/* Takes the own entry away. */
void gc_fleet_leave(gc_fleet_t *fleet);
/* Milliseconds since the configuration was last confirmed; -1: never. */
int64_t gc_confirmed_age_ms(const gc_confirmed_t *confirmed,
			    struct timespec now);

#endif
