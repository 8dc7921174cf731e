/* The traffic thread of the routed mode: event loop, caller listener, relay. */
#ifndef GC_LIB_ROUTED_TRAFFIC_H
#define GC_LIB_ROUTED_TRAFFIC_H

#include <glib.h>

#include "core/crash_suspects.h"
#include "core/rollout.h"
#include "core/rollout_evidence.h"
#include "lib/adapter.h"
#include "lib/crash_checks.h"
#include "lib/fleet.h"
#include "lib/routed_settings.h"
#include "lib/stream_versions.h"

typedef struct gc_routed_traffic gc_routed_traffic_t;

typedef struct gc_routed_traffic_conf {
	const gc_routed_settings_t *settings;
	const gc_adapter_t *adapter;
	const gc_clock_t *clock;
	uint32_t seed; /* of the thread's random number generator */
	/* Notices for the other daemons; called in the traffic thread. */
	void (*share_crash)(void *ctx, const gc_crash_report_t *reports,
			    size_t n);
	void (*share_kept)(void *ctx, const gc_crash_evidence_t *evidence);
	void (*share_served)(void *ctx, uint64_t trait);
	/* See gc_relay_conf_t. */
	void (*set_serving)(void *ctx, bool serving);
	void (*ask_permits)(void *ctx, const gc_permit_ask_t *ask);
	void (*ask_witness)(void *ctx, uint64_t token, uint64_t server);
	void (*ask_places)(void *ctx, const gc_place_ask_t *ask);
	void (*record_version)(void *ctx, uint64_t token, const char *key,
			       gc_str_t version);
	void (*find_version)(void *ctx, uint64_t token, const char *key);
	void (*report_rollout)(void *ctx, gc_str_t service,
			       const gc_rollout_report_t *report);
	void *share_ctx;
} gc_routed_traffic_conf_t;

/* Opens the listener and starts the thread. Errors: GC_ERR_IO. */
gc_routed_traffic_t *
gc_routed_traffic_create(const gc_routed_traffic_conf_t *conf, GError **err);
/* Age of the configuration's confirmation, in ms, beyond which requests with a
 * key are refused. */
int64_t gc_routed_traffic_admit_age_ms(const gc_routed_settings_t *settings);
uint16_t gc_routed_traffic_port(const gc_routed_traffic_t *traffic);
/* Takes a reference to the view. May be called from any thread. */
void gc_routed_traffic_set_view(gc_routed_traffic_t *traffic,
				gc_fleet_view_t *view);
/*
 * Confirms that the last view that was set was current at this monotonic time.
 * May be called from any thread.
 */
void gc_routed_traffic_set_confirmed(gc_routed_traffic_t *traffic,
				     int64_t at_ms);
/*
 * Notices of daemons, with their revisions in the store. They are handled in
 * the order of the calls. May be called from any thread.
 */
void gc_routed_traffic_add_crash(gc_routed_traffic_t *traffic,
				 const gc_crash_report_t *report,
				 uint64_t revision, int64_t kept_ms,
				 bool checked);
/* See lib/relay.h. */
void gc_routed_traffic_set_recorded(gc_routed_traffic_t *traffic,
				    uint64_t token, bool ok);
void gc_routed_traffic_set_found_version(gc_routed_traffic_t *traffic,
					 uint64_t token,
					 gc_version_result_t result,
					 gc_str_t version);
void gc_routed_traffic_set_store_answers(gc_routed_traffic_t *traffic,
					 bool answers);
void gc_routed_traffic_set_restored(gc_routed_traffic_t *traffic);
void gc_routed_traffic_add_verdict(gc_routed_traffic_t *traffic, uint64_t token,
				   gc_witness_verdict_t verdict);
void gc_routed_traffic_add_permits(gc_routed_traffic_t *traffic,
				   const gc_permit_answer_t *answer);
void gc_routed_traffic_add_places(gc_routed_traffic_t *traffic,
				  const gc_place_answer_t *answer);
void gc_routed_traffic_add_served(gc_routed_traffic_t *traffic, uint64_t trait,
				  uint64_t revision);
/* The record of a service's roll-out that is in force; copied. May be called from any
 * thread. */
void gc_routed_traffic_set_rollout(gc_routed_traffic_t *traffic,
				   const gc_rollout_record_t *record);
/*
 * Starts draining: serves until no request is in flight or the grace period
 * ends, then calls stopped(ctx) in the traffic thread.
 */
void gc_routed_traffic_stop(gc_routed_traffic_t *traffic,
			    void (*stopped)(void *ctx), void *ctx);
/* Ends the thread and frees all. */
void gc_routed_traffic_destroy(gc_routed_traffic_t *traffic);

#endif
