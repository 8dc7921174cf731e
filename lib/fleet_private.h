/* Shared by the parts of lib/fleet: the state, and what one part calls of another. */
#ifndef GC_LIB_FLEET_PRIVATE_H
#define GC_LIB_FLEET_PRIVATE_H

#include "lib/config_peer.h"
#include "lib/fleet.h"
#include "lib/registration.h"

/* Keys of daemon entries in the store: this prefix and the daemon's name. */
#define GC_DAEMONS_PREFIX "goldcrest/daemons/"

struct gc_fleet {
	gc_fleet_conf_t conf;
	gc_routes_t *routes;
	bool has_new_routes; /* not published yet */
	/* Records of the configuration that are being read, the newest last. */
	GPtrArray *readings;
	/* Changes that are being applied: a new view must be published, and the
	 * time that it confirms. */
	bool batch_changed;
	struct timespec batch_confirmed;
	uint64_t config_revision; /* in known_era */
	uint64_t kept_era; /* in the list of the store; 0: none */
	bool started; /* a full list was read before */
	struct timespec created;
	/* routes are the store's, which may have gone back to a copy just before
	 * this daemon started, and aren't in force yet. */
	bool config_in_doubt;
	gc_timer_t *doubt_timer;
	gc_registry_t *servers;
	gc_registry_t *daemons;
	GArray *base_versions; /* gc_base_version_t */
	gc_change_log_t *change_log;
	gc_fleet_view_t *view;
	uint64_t revision; /* of the store; all changes up to it are known */
	uint64_t known_era; /* of the store, to which revision belongs */
	uint64_t newest_era; /* seen in any response; 0: none */
	bool own_entry_expected; /* in the list that is being read */
	bool own_entry_listed;
	bool list_complete; /* a full list was read; changes are watched */
	bool store_reachable;
	bool had_changes; /* the last watch returned changes */
	int64_t wait_ms; /* longest wait of the watch in progress */
	struct timespec call_started;
	struct timespec list_started;
	/* Last key of the pages of the list read so far; empty: none. */
	GString *last_key;
	gc_change_source_t source;
	gc_timer_t *call_timer; /* starts the next list or watch */
	gc_timer_t *expiry_timer;
	gc_registration_t *registration;
	gc_metric_t *store_calls;
};

/* Publishes a new view. */
void gc_fleet_publish(gc_fleet_t *fleet);
/* Moves the confirmed time forward to `at`, never back, and reports it. */
void gc_fleet_advance_confirmed(gc_fleet_t *fleet, struct timespec at);
/* Adds the item to the change log. Returns true if a new view must be published. */
bool gc_fleet_apply_item(gc_fleet_t *fleet, const gc_store_item_t *item);
/* Starts to read a configuration of the store. change: NULL if it wasn't logged. */
void gc_fleet_start_config(gc_fleet_t *fleet, const gc_store_item_t *item,
			   const gc_logged_change_t *change);
/* Works for a few ms on the configuration that is being read; true if none is left. */
bool gc_fleet_step_config(gc_fleet_t *fleet);
GPtrArray *gc_fleet_create_readings(void);
/*
 * The store may have gone back to a copy before this daemon started, so that its
 * configuration is older than the one in force. The others know. If nobody answers, it
 * counts at once, unless the store is known to have been restored less than a stream's
 * life ago (core/restore_mark.h): the operator will write again soon.
 */
void gc_fleet_check_config(gc_fleet_t *fleet);
/* Ends that check; ctx is the fleet. */
void gc_fleet_on_doubt_timeout(void *ctx);

#endif
