/*
 * Controller of roll-outs: follows orders and records in the store, passes the
 * reports of the traffic thread to the judging daemon, judges if this daemon is the
 * one, and writes the record. Control thread only.
 */
#ifndef GC_LIB_ROLLOUTS_H
#define GC_LIB_ROLLOUTS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "core/change_log.h"
#include "core/clock.h"
#include "core/placement.h"
#include "core/rollout.h"
#include "core/rollout_evidence.h"
#include "lib/adapter.h"
#include "lib/fleet_view.h"
#include "lib/httpc.h"
#include "lib/store.h"
#include "lib/timer.h"

/* Path of reports of other daemons; POST with a JSON body. */
#define GC_ROLLOUTS_PATH "/peer/rollout"

typedef struct gc_rollouts gc_rollouts_t;

typedef struct gc_rollouts_conf {
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_random_t *random;
	gc_httpc_t *http;
	gc_store_t store;
	const gc_adapter_t *adapter;
	gc_str_t self; /* name of this daemon */
	gc_rollout_limits_t limits;
	/* A record is in force, anew or changed, also when only another daemon has told
	 * so. The traffic thread goes by it. */
	void (*record_changed)(void *ctx, const gc_rollout_record_t *record);
	/* A response of the store named this era. */
	void (*era_seen)(void *ctx, uint64_t era);
	void *ctx;
} gc_rollouts_conf_t;

gc_rollouts_t *gc_rollouts_create(TALLOC_CTX *mem,
				  const gc_rollouts_conf_t *conf);
/* True if the item is an order or a record; it is taken. */
bool gc_rollouts_apply_item(gc_rollouts_t *rollouts,
			    const gc_store_item_t *item, bool listed);
/* A full list of the store begins, or is complete: an order that it lacks was removed
 * while its deletion could not be seen, unless the store was restored. */
void gc_rollouts_begin_list(gc_rollouts_t *rollouts);
void gc_rollouts_end_list(gc_rollouts_t *rollouts);
/* Takes a reference to the view. */
void gc_rollouts_set_view(gc_rollouts_t *rollouts, gc_fleet_view_t *view);
void gc_rollouts_set_era(gc_rollouts_t *rollouts, uint64_t era);
/* Counts of this daemon's traffic thread; service: of the roll-out. */
void gc_rollouts_report(gc_rollouts_t *rollouts, gc_str_t service,
			const gc_rollout_report_t *report);
/* The response to a report of another daemon, as JSON; free with g_free. NULL if the
 * body is invalid, or no order for its service is known here. */
char *gc_rollouts_peer_response(gc_rollouts_t *rollouts, gc_str_t body);

#endif
