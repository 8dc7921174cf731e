/*
 * Follows the store for one daemon: the operator's routes, the backend servers
 * and the other daemons. Registers the daemon there under a lease and publishes
 * immutable views to other threads.
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
#include "core/change_source.h"
#include "core/clock.h"
#include "core/placement.h"
#include "core/registry.h"
#include "core/routes.h"
#include "lib/adapter.h"
#include "lib/fleet_view.h"
#include "lib/store.h"
#include "lib/timer.h"

/*
 * Monotonic time in ms up to which the configuration known here is confirmed
 * as the newest one in the store; 0: never confirmed.
 */
typedef _Atomic int64_t gc_confirmed_time_t;

/* Pause before the next watch after one with changes, so that changes of one
 * cause, such as the restart of many servers, arrive in one call. An eighth of
 * the default config_in_force_ms. */
#define GC_FLEET_BATCH_DELAY_MS 250

typedef struct gc_fleet gc_fleet_t;

/*
 * Keys of base versions (core/base_version.h) in the store: this prefix and the
 * service. The value is a JSON object with the members number and version.
 */
#define GC_BASE_VERSIONS_PREFIX "goldcrest/version/"

typedef struct gc_fleet_conf {
	struct tevent_context *ev;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_random_t *random;
	gc_store_t store;
	/*
	 * Watches through another daemon where possible, which saves calls to
	 * the store; NULL: always watch the store. Not owned by the fleet.
	 */
	struct gc_peers_watch *peers;
	/* Asked for the configuration in force if the store may have an older one;
	 * NULL: nobody. Not owned by the fleet. */
	struct gc_config_peer *config_peer;
	/* Longest time for which the store's configuration is held back then, as
	 * the operator writes the newest one again after a restore. */
	int64_t config_wait_ms;
	const gc_adapter_t *adapter;
	/* This daemon; address is the one that callers connect to. */
	gc_registry_entry_t self;
	gc_change_times_t times;
	int64_t lease_ms; /* of this daemon's entry */
	int64_t expiry_grace_ms; /* see gc_registry_create */
	/* A daemon that has just started has no such grace after this time. */
	int64_t contact_ms;
	gc_confirmed_time_t *confirmed; /* written by the control thread */
	/* Called with each new view; must take a reference to keep it. */
	void (*publish)(void *ctx, gc_fleet_view_t *view);
	/*
	 * The last published view was the newest one at this monotonic time.
	 * Always called after publish: a receiver that applied the time to an
	 * older view would admit revoked keys.
	 */
	void (*on_confirmed)(void *ctx, int64_t at_ms);
	/*
	 * Called with each item that is written under the prefixes of
	 * lib/crash_notices.h. Their keys end with a lease, so deletions say
	 * nothing and are left out. May be NULL.
	 */
	void (*notice)(void *ctx, const gc_store_item_t *item);
	/*
	 * Called with each item, deletions too, that is an order or a record of a
	 * roll-out. listed: of a full list, not a change. May be NULL.
	 */
	void (*rollout)(void *ctx, const gc_store_item_t *item, bool listed);
	/* Called when a full list begins, and when it is complete. May be NULL. */
	void (*listing)(void *ctx, bool complete);
	/* Called after each call that keeps this daemon's entry: whether the store
	 * has answered it; may be NULL. */
	void (*store_answered)(void *ctx, bool answered);
	/* Called when the store's era has risen, see lib/store.h; may be NULL.
	 */
	void (*era_seen)(void *ctx, uint64_t era);
	void *ctx;
} gc_fleet_conf_t;

gc_fleet_t *gc_fleet_create(TALLOC_CTX *mem, const gc_fleet_conf_t *conf);
/* Changes of the store, for daemons that watch through this one. */
const gc_change_log_t *gc_fleet_change_log(const gc_fleet_t *fleet);
/* The operator's record of the configuration in force here; empty if there is none, or
 * if it may be older than the one in force elsewhere. */
gc_str_t gc_fleet_config_record(const gc_fleet_t *fleet, uint64_t *version);
/* The newest view; never NULL. */
gc_fleet_view_t *gc_fleet_view(gc_fleet_t *fleet);
/*
 * A response of the store named this era. After a restore of the store the state
 * is listed anew; the views stay until then.
 */
void gc_fleet_era_seen(gc_fleet_t *fleet, uint64_t era);
/* Deletes this daemon's entry from the store; it is not written again. */
void gc_fleet_unregister(gc_fleet_t *fleet);
/* True if the state that is known here was confirmed within this time. */
bool gc_is_confirmed_within(const gc_confirmed_time_t *confirmed,
			    struct timespec now, int64_t ms);
/* Milliseconds since the confirmed time; -1: never confirmed. */
int64_t gc_confirmed_age_ms(const gc_confirmed_time_t *confirmed,
			    struct timespec now);

#endif
