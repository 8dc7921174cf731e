/* Shared by the parts of lib/rollouts: the state, and what one part calls of another. */
#ifndef GC_LIB_ROLLOUTS_PRIVATE_H
#define GC_LIB_ROLLOUTS_PRIVATE_H

#include "core/rollout_judge.h"
#include "lib/issuers.h"
#include "lib/metrics.h"
#include "lib/rollouts.h"

/* Pause before a failed write is repeated; doubles up to a maximum. */
#define GC_ROLLOUTS_RETRY_MS 500
/* Time for the watch to bring an item that this or another daemon has written, before
 * the next write is tried. */
#define GC_ROLLOUTS_WATCH_MS 2000

typedef struct gc_rollouts_service {
	gc_rollouts_t *rollouts;
	struct gc_rollouts_service *next;
	gc_str_t name;

	/* The order that is carried out; NULL: none. Its id stays if it is written again
	 * after a restore. */
	gc_rollout_order_t *order;
	uint64_t order_revision; /* of its item; 0: not in the store */
	char *fault; /* why it can't be carried out; NULL: it can */
	struct timespec order_at; /* when it became known here */
	gc_store_item_t *held; /* another order, which may be a copy's */
	struct timespec restored_at;

	gc_rollout_record_t *stored; /* NULL: none, or it can't be read */
	uint64_t stored_revision; /* of its item; 0: there is none */
	/* The newest record of the order that is known here, stored or not. */
	gc_rollout_record_t *known;

	gc_rollout_judge_t *judge; /* NULL until this daemon judges */
	struct timespec reported_at; /* last report of another daemon */
	gc_rollout_report_t *own; /* of the traffic thread; NULL: none yet */
	struct gc_rollouts_call *call; /* to the judge */
	gc_timer_t *timer; /* of the next report */

	struct gc_rollouts_write *write; /* under way */
	struct timespec write_not_before;
	int64_t retry_ms;

	bool bars_target; /* of an order with a fault */
	bool removed; /* the order, by the operator */
	bool listed; /* the order, in the full list that is being read */
	bool arrived; /* the order, as a change */
	bool restored; /* the order may be written again since restored_at */
	bool decision_logged;
	bool reported_to;
	bool timer_runs;
} gc_rollouts_service_t;

/* A report that is under way; outlives a service that was freed. */
typedef struct gc_rollouts_call {
	gc_rollouts_service_t *service;
	gc_http_call_t *http;
	size_t position; /* of the judge that is asked */
	char *judge;
} gc_rollouts_call_t;

typedef struct gc_rollouts_write {
	gc_rollouts_service_t *service;
	uint64_t era;
	uint64_t expected; /* revision */
	gc_rollout_record_t *record;
} gc_rollouts_write_t;

struct gc_rollouts {
	gc_rollouts_conf_t conf;
	uint64_t self; /* hash of the name */
	uint64_t era; /* of the store; 0: unknown */
	gc_issuers_t *issuers;
	gc_fleet_view_t *view; /* NULL until the first one is set */
	gc_rollouts_service_t *services;
	gc_metric_t *store_calls;
	gc_metric_t *reports;
	gc_metric_t *reports_failed;
	gc_metric_t *writes;
};

static inline struct timespec
gc_rollouts_now(const gc_rollouts_service_t *service)
{
	return gc_clock_now(service->rollouts->conf.clock);
}

static inline bool gc_rollouts_is_decided(const gc_rollout_record_t *record)
{
	return record && record->state != GC_ROLLOUT_RUNNING;
}

static inline bool gc_rollouts_is_of_order(const gc_rollouts_service_t *service,
					   const gc_rollout_record_t *record)
{
	return record && service->order && record->order == service->order->id;
}

/* rollouts.c */
gc_rollouts_service_t *gc_rollouts_find(const gc_rollouts_t *rollouts,
					gc_str_t name);
/* An order that was written again after a restore has another revision than its record
 * names. The record was written after it, and says the same. */
void gc_rollouts_adopt_record_id(gc_rollouts_service_t *service);
/* Copies the record of the order, and puts it in force. */
void gc_rollouts_set_known(gc_rollouts_service_t *service,
			   const gc_rollout_record_t *record);
void gc_rollouts_publish(const gc_rollouts_service_t *service,
			 const gc_rollout_record_t *record);
/*
 * Until the order has a record: its target gets no new request, nor does one whose order
 * it supersedes; the rest is as before. If no other version is left, the target may be
 * the one in force.
 */
void gc_rollouts_publish_interim(const gc_rollouts_service_t *service);
/*
 * A record of the order that is rolled back, and bars what the one in the store bars, and
 * the target of that if it runs. Valid as long as the order.
 */
gc_rollout_record_t *gc_rollouts_withdraw(gc_rollouts_service_t *service,
					  const char *reason);

/* rollouts_orders.c */
void gc_rollouts_apply_order(gc_rollouts_service_t *service,
			     const gc_store_item_t *item, bool listed);
/* Takes the order that was held back, if the operator has not written another one in time
 * after the restore. */
/* The operator has removed the order. */
void gc_rollouts_remove_order(gc_rollouts_service_t *service);
void gc_rollouts_apply_held(gc_rollouts_service_t *service);

/* rollouts_reports.c */
/* Daemons that start later tell by the revisions that the record is the order's. */
bool gc_rollouts_needs_rewrite(const gc_rollouts_service_t *service);
void gc_rollouts_start_reports(gc_rollouts_service_t *service);
void gc_rollouts_on_timer(void *ctx);
/* Without counts before the traffic thread has any. */
gc_rollout_report_t gc_rollouts_report_of(const gc_rollouts_service_t *service);
int64_t gc_rollouts_elapsed_ms(const gc_rollouts_service_t *service);

/* rollouts_judge.c */
/* That of the order; created if there is none yet. */
gc_rollout_judge_t *gc_rollouts_get_judge(gc_rollouts_service_t *service);
/* A roll-back is in force here at once, as that only takes requests from the target; any
 * other record is when the store has it. */
void gc_rollouts_judge(gc_rollouts_service_t *service);

#endif
