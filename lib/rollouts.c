/* Follows the roll-outs of all services, reports to the judge, writes records. */
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "core/error.h"
#include "core/rollout_judge.h"
#include "lib/issuers.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/rollouts.h"
#include "lib/rollouts_peer.h"
#include "lib/store_era.h"

/* Time for the judge's response; three judges can be asked in about one interval of
 * reports. */
#define REPORT_TIMEOUT_MS 150
#define MAX_URL_BYTES	  128
/* A daemon that gets reports judges as long as they come in, plus two that are lost. */
#define REPORTED_MS (3 * GC_ROLLOUT_REPORT_MS)
/* Pause before a failed write is repeated; doubles up to the maximum. */
#define RETRY_MS     500
#define RETRY_MAX_MS 4000
/* Time for the watch to bring an item that this or another daemon has written, before
 * the next write is tried. */
#define WATCH_MS 2000
/* After a restore the operator writes his orders again. For this time, one with the
 * same value counts as written again. */
#define REWRITE_MS 60000
/* For this time after a restore, another order in a list may be the copy's. */
#define COPY_MS 5000

typedef struct service {
	gc_rollouts_t *rollouts;
	struct service *next;
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
	struct report_call *call; /* to the judge */
	gc_timer_t *timer; /* of the next report */

	struct write *write; /* under way */
	struct timespec write_not_before;
	int64_t retry_ms;

	bool bars_target; /* of an order with a fault */
	bool removed; /* the order, by the operator */
	bool arrived; /* the order, as a change */
	bool restored; /* the order may be written again since restored_at */
	bool decision_logged;
	bool reported_to;
	bool timer_runs;
} service_t;

/* A report that is under way; outlives a service that was freed. */
typedef struct report_call {
	service_t *service;
	gc_http_call_t *http;
	size_t position; /* of the judge that is asked */
	char *judge;
} report_call_t;

typedef struct write {
	service_t *service;
	uint64_t era;
	uint64_t expected; /* revision */
	gc_rollout_record_t *record;
} write_t;

struct gc_rollouts {
	gc_rollouts_conf_t conf;
	uint64_t self; /* hash of the name */
	uint64_t era; /* of the store; 0: unknown */
	gc_issuers_t *issuers;
	gc_fleet_view_t *view; /* NULL until the first one is set */
	service_t *services;
	gc_metric_t *store_calls;
	gc_metric_t *reports;
	gc_metric_t *reports_failed;
	gc_metric_t *writes;
};

static int rollouts_destructor(gc_rollouts_t *rollouts);
static int service_destructor(service_t *service);
static struct timespec now_of(const service_t *service);
static bool strip_prefix(gc_str_t key, const char *prefix, gc_str_t *rest);
static service_t *find_service(const gc_rollouts_t *rollouts, gc_str_t name);
static service_t *get_service(gc_rollouts_t *rollouts, gc_str_t name);
static void apply_order(service_t *service, const gc_store_item_t *item,
			bool listed);
static bool take_as_written_again(service_t *service,
				  const gc_store_item_t *item,
				  const gc_rollout_order_t *order, bool listed);
static void hold_order(service_t *service, const gc_store_item_t *item);
static void apply_held(service_t *service);
static bool has_same_value(const service_t *service,
			   const gc_rollout_order_t *order, const char *fault);
static void start_order(service_t *service, const gc_rollout_order_t *order,
			const char *fault, bool listed);
static bool has_version(const service_t *service, gc_str_t version);
static void log_order(const service_t *service);
static void remove_order(service_t *service, bool listed);
static void apply_record(service_t *service, const gc_store_item_t *item);
static void adopt_record_id(service_t *service);
static void adopt_order(service_t *service);
static bool is_of_order(const service_t *service,
			const gc_rollout_record_t *record);
static bool is_decided(const gc_rollout_record_t *record);
static void set_known(service_t *service, const gc_rollout_record_t *record);
static void log_decision(service_t *service);
static void publish(const service_t *service,
		    const gc_rollout_record_t *record);
static void publish_interim(const service_t *service);
static bool has_other_version(const service_t *service,
			      const gc_rollout_record_t *record);
static gc_rollout_record_t *withdraw(service_t *service, const char *reason);
static void bar(gc_rollout_record_t *record, gc_str_t version);
static bool needs_rewrite(const service_t *service);
static bool is_settled(const service_t *service);
static void start_reports(service_t *service);
static void on_timer(void *ctx);
static gc_rollout_report_t report_of(const service_t *service);
static int64_t elapsed_ms(const service_t *service);
static bool send_report(service_t *service, size_t position);
static void start_call(service_t *service, size_t position,
		       const gc_registry_entry_t *judge);
static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);
static bool take_response(service_t *service, gc_str_t body);
static void adopt_peer_id(service_t *service, uint64_t id, uint64_t revision,
			  const gc_rollout_record_t *record);
static void take_peer_record(service_t *service,
			     const gc_rollout_record_t *record);
static gc_rollout_judge_t *get_judge(service_t *service);
static void judge(service_t *service);
static const gc_rollout_record_t *propose(service_t *service);
static bool may_be_superseded(const service_t *service);
static const gc_rollout_record_t *ask_judge(service_t *service,
					    const gc_rollout_record_t *newest);
static void fill_fleet(const service_t *service, gc_rollout_fleet_t *fleet,
		       gc_str_t *versions);
static void write_record(service_t *service, const gc_rollout_record_t *record);
static void on_written(void *ctx, uint64_t id, uint64_t era, const GError *err);
static void take_written(service_t *service, const gc_rollout_record_t *record);
static void await_watch(service_t *service);
static void delay_write(service_t *service, const GError *err);
static void take_era(gc_rollouts_t *rollouts, uint64_t era);

gc_rollouts_t *gc_rollouts_create(TALLOC_CTX *mem,
				  const gc_rollouts_conf_t *conf)
{
	gc_rollouts_t *rollouts = talloc_zero(mem, gc_rollouts_t);

	rollouts->conf = *conf;
	rollouts->self = XXH64(conf->self.data, conf->self.len, 0);
	rollouts->issuers =
		gc_issuers_create(rollouts, conf->clock, GC_CAN_ROLL_OUT);
	rollouts->store_calls = gc_counter("goldcrest_store_calls_total",
					   "Calls to the store.", NULL, NULL);
	rollouts->reports =
		gc_counter("goldcrest_rollout_reports_total",
			   "Reports to the judge of a roll-out.", NULL, NULL);
	rollouts->reports_failed =
		gc_counter("goldcrest_rollout_reports_failed_total",
			   "Reports that a judge didn't answer.", NULL, NULL);
	rollouts->writes = gc_counter("goldcrest_rollout_writes_total",
				      "Records of roll-outs that were written.",
				      NULL, NULL);
	talloc_set_destructor(rollouts, rollouts_destructor);
	return rollouts;
}

static int rollouts_destructor(gc_rollouts_t *rollouts)
{
	while (rollouts->services) {
		service_t *service = rollouts->services;

		rollouts->services = service->next;
		talloc_free(service);
	}
	gc_fleet_view_unref(rollouts->view);
	return 0;
}

static int service_destructor(service_t *service)
{
	if (service->call) {
		gc_http_call_cancel(service->call->http);
		talloc_free(service->call);
	}
	return 0;
}

static struct timespec now_of(const service_t *service)
{
	return gc_clock_now(service->rollouts->conf.clock);
}

bool gc_rollouts_apply_item(gc_rollouts_t *rollouts,
			    const gc_store_item_t *item, bool listed)
{
	const gc_adapter_t *adapter = rollouts->conf.adapter;
	gc_str_t name;

	if (strip_prefix(item->key, adapter->rollout_orders_prefix, &name))
		apply_order(get_service(rollouts, name), item, listed);
	else if (strip_prefix(item->key, adapter->rollout_records_prefix,
			      &name))
		apply_record(get_service(rollouts, name), item);
	else
		return false;
	return true;
}

static bool strip_prefix(gc_str_t key, const char *prefix, gc_str_t *rest)
{
	size_t len = strlen(prefix);

	if (key.len <= len || memcmp(key.data, prefix, len) != 0)
		return false;
	*rest = (gc_str_t){key.data + len, key.len - len};
	return true;
}

static service_t *find_service(const gc_rollouts_t *rollouts, gc_str_t name)
{
	for (service_t *service = rollouts->services; service;
	     service = service->next)
		if (gc_str_eq(service->name, name))
			return service;
	return NULL;
}

static service_t *get_service(gc_rollouts_t *rollouts, gc_str_t name)
{
	service_t *service = find_service(rollouts, name);

	if (service)
		return service;
	service = talloc_zero(rollouts, service_t);
	service->rollouts = rollouts;
	service->name = gc_str_dup(service, name);
	service->retry_ms = RETRY_MS;
	service->timer = gc_timer_create(service, rollouts->conf.timers,
					 on_timer, service);
	service->next = rollouts->services;
	rollouts->services = service;
	talloc_set_destructor(service, service_destructor);
	return service;
}

static void apply_order(service_t *service, const gc_store_item_t *item,
			bool listed)
{
	const gc_adapter_t *adapter = service->rollouts->conf.adapter;
	g_autoptr(GError) err = NULL;
	gc_rollout_order_t order;
	TALLOC_CTX *mem;

	if (item->deleted) {
		remove_order(service, listed);
		return;
	}
	/* Lists repeat what is known. */
	if (item->revision == service->order_revision ||
	    (!service->restored && item->revision < service->order_revision))
		return;
	mem = talloc_new(NULL);
	adapter->read_rollout_order(mem, service->name, item->value, &order,
				    &err);
	order.id = item->revision;
	if (!take_as_written_again(service, item, &order, listed)) {
		service->restored = false;
		start_order(service, &order, err ? err->message : NULL, listed);
	}
	talloc_free(mem);
}

/* True if the item doesn't begin a new roll-out: its order is carried out already, or
 * may be one of before. */
static bool take_as_written_again(service_t *service,
				  const gc_store_item_t *item,
				  const gc_rollout_order_t *order, bool listed)
{
	int64_t age_ms = gc_ms_between(service->restored_at, now_of(service));

	if (!service->restored || !service->order || age_ms > REWRITE_MS)
		return false;
	if (has_same_value(service, order, service->fault)) {
		service->restored = listed;
		service->order_revision = item->revision;
		TALLOC_FREE(service->held);
		start_reports(service);
		return true;
	}
	if (!listed || age_ms > COPY_MS)
		return false;
	hold_order(service, item);
	return true;
}

static void hold_order(service_t *service, const gc_store_item_t *item)
{
	TALLOC_FREE(service->held);
	service->held = talloc(service, gc_store_item_t);
	*service->held = *item;
	service->held->key = gc_str_dup(service->held, item->key);
	service->held->value = gc_str_dup(service->held, item->value);
	start_reports(service);
}

/* The operator has not written another one since. */
static void apply_held(service_t *service)
{
	gc_store_item_t *held = service->held;

	if (!held ||
	    gc_ms_between(service->restored_at, now_of(service)) <= COPY_MS)
		return;
	service->held = NULL;
	apply_order(service, held, true);
	talloc_free(held);
}

static bool has_same_value(const service_t *service,
			   const gc_rollout_order_t *order, const char *fault)
{
	return !fault && !service->removed &&
	       gc_str_eq(order->target, service->order->target) &&
	       order->duration_ms == service->order->duration_ms;
}

static void start_order(service_t *service, const gc_rollout_order_t *order,
			const char *fault, bool listed)
{
	TALLOC_FREE(service->held);
	TALLOC_FREE(service->known);
	TALLOC_FREE(service->judge);
	TALLOC_FREE(service->own);
	TALLOC_FREE(service->fault);
	talloc_free(service->order);
	service->order = talloc(service, gc_rollout_order_t);
	*service->order = *order;
	service->order->service = gc_str_dup(service->order, order->service);
	service->order->target = gc_str_dup(service->order, order->target);
	service->order_revision = order->id;
	service->fault = fault ? talloc_strdup(service, fault) : NULL;
	service->bars_target =
		service->rollouts->view && !has_version(service, order->target);
	service->removed = false;
	service->arrived = !listed;
	service->order_at = now_of(service);
	service->decision_logged = false;
	log_order(service);
	adopt_record_id(service);
	if (is_of_order(service, service->stored))
		set_known(service, service->stored);
	else if (fault)
		set_known(service, withdraw(service, service->fault));
	else
		publish_interim(service);
	start_reports(service);
}

static bool has_version(const service_t *service, gc_str_t version)
{
	const gc_fleet_view_t *view = service->rollouts->view;

	for (size_t i = 0; view && i < view->n_servers; i++)
		if (gc_str_eq(view->servers[i].service, service->name) &&
		    gc_str_eq(view->servers[i].version, version))
			return true;
	return false;
}

static void log_order(const service_t *service)
{
	g_autofree char *id =
		g_strdup_printf("%" G_GUINT64_FORMAT, service->order->id);
	g_autofree char *ms = g_strdup_printf("%" G_GINT64_FORMAT,
					      service->order->duration_ms);

	if (service->fault)
		gc_log(GC_LOG_WARNING, GC_EVENT_ROLLOUT_INVALID,
		       "roll-out order is invalid", "service",
		       service->name.data, "order", id, "error", service->fault,
		       NULL);
	else
		gc_log(GC_LOG_INFO, GC_EVENT_ROLLOUT_ORDERED,
		       "roll-out ordered", "service", service->name.data,
		       "target", service->order->target.data, "order", id,
		       "duration_ms", ms, NULL);
}

/* An order that a list lacks is no deletion: the list may be of a restored store. */
static void remove_order(service_t *service, bool listed)
{
	gc_rollout_record_t *record;

	service->order_revision = 0;
	if (listed || !service->order || is_decided(service->known))
		return;
	service->removed = true;
	record = withdraw(service, "the order was removed");
	set_known(service, record);
	start_reports(service);
}

static void apply_record(service_t *service, const gc_store_item_t *item)
{
	const gc_rollouts_t *rollouts = service->rollouts;
	g_autoptr(GError) err = NULL;
	gc_rollout_record_t *record = NULL;

	if (item->revision < service->stored_revision)
		return;
	if (!item->deleted) {
		record = talloc_zero(service, gc_rollout_record_t);
		if (!rollouts->conf.adapter->read_rollout_record(
			    record, service->name, item->value, record, &err)) {
			gc_log(GC_LOG_WARNING, GC_EVENT_ROLLOUT_INVALID,
			       "roll-out record is invalid", "service",
			       service->name.data, "error", err->message, NULL);
			TALLOC_FREE(record);
		}
	}
	talloc_free(service->stored);
	service->stored = record;
	service->stored_revision = item->deleted ? 0 : item->revision;
	service->write_not_before = now_of(service);
	if (record) {
		record->revision = item->revision;
		adopt_record_id(service);
		adopt_order(service);
		if (!service->order)
			publish(service, record);
		else if (is_of_order(service, record) &&
			 (is_decided(record) || !is_decided(service->known)))
			set_known(service, record);
		else if (!service->known)
			publish_interim(service);
	}
	start_reports(service);
}

/* An order that was written again after a restore has another revision than its record
 * names. The record was written after it, and says the same. */
static void adopt_record_id(service_t *service)
{
	const gc_rollout_record_t *record = service->stored;
	gc_rollout_order_t *order = service->order;

	if (order && record && !service->arrived && !service->known &&
	    !service->fault && record->order != 0 &&
	    record->revision > service->order_revision &&
	    record->duration_ms == order->duration_ms &&
	    gc_str_eq(record->target, order->target)) {
		order->id = record->order;
		TALLOC_FREE(service->judge);
	}
}

/* A roll-out that runs without an order in the store, which a copy may lack, goes on to
 * the end of its time. */
static void adopt_order(service_t *service)
{
	const gc_rollout_record_t *record = service->stored;

	if (service->order || record->state != GC_ROLLOUT_RUNNING ||
	    record->order == 0 || record->duration_ms <= 0)
		return;
	service->order = talloc(service, gc_rollout_order_t);
	*service->order = (gc_rollout_order_t){
		.service = gc_str_dup(service->order, record->service),
		.target = gc_str_dup(service->order, record->target),
		.duration_ms = record->duration_ms,
		.id = record->order,
	};
	service->arrived = false;
	service->order_at = now_of(service);
}

static bool is_of_order(const service_t *service,
			const gc_rollout_record_t *record)
{
	return record && service->order && record->order == service->order->id;
}

static bool is_decided(const gc_rollout_record_t *record)
{
	return record && record->state != GC_ROLLOUT_RUNNING;
}

static void set_known(service_t *service, const gc_rollout_record_t *record)
{
	gc_rollout_record_t *former = service->known;

	service->known = gc_rollout_record_copy(service, record);
	/* The store has another decision than the one that was made here. */
	if (former && former->state != record->state)
		service->decision_logged = false;
	talloc_free(former);
	log_decision(service);
	publish(service, service->known);
}

static void log_decision(service_t *service)
{
	const gc_rollout_record_t *known = service->known;
	bool good = known->state == GC_ROLLOUT_SUCCEEDED;
	g_autofree char *id = NULL;

	if (!is_decided(known) || service->decision_logged)
		return;
	service->decision_logged = true;
	id = g_strdup_printf("%" G_GUINT64_FORMAT, known->order);
	gc_log(good ? GC_LOG_INFO : GC_LOG_WARNING, GC_EVENT_ROLLOUT_DECIDED,
	       good ? "roll-out succeeded" : "roll-out rolled back", "service",
	       service->name.data, "target", known->target.data, "order", id,
	       "reason", known->reason.data, NULL);
}

static void publish(const service_t *service, const gc_rollout_record_t *record)
{
	const gc_rollouts_conf_t *conf = &service->rollouts->conf;

	conf->record_changed(conf->ctx, record);
}

/*
 * Until the order has a record: its target gets no new request, nor does one whose order
 * it supersedes; the rest is as before. If no other version is left, the target may be
 * the one in force.
 */
static void publish_interim(const service_t *service)
{
	const gc_rollout_record_t *stored = service->stored;
	const gc_rollout_order_t *order = service->order;
	gc_rollout_record_t base = {
		.service = service->name,
		.target = order->target,
		.state = GC_ROLLOUT_RUNNING,
		.reason = GC_STR_EMPTY,
		.order = order->id,
		.duration_ms = order->duration_ms,
	};
	gc_rollout_record_t *record;

	if (stored) {
		base.barred = stored->barred;
		base.n_barred = stored->n_barred;
	}
	record = gc_rollout_record_copy(service->order, &base);
	if (stored && stored->state == GC_ROLLOUT_RUNNING &&
	    !gc_str_eq(stored->target, order->target))
		bar(record, stored->target);
	if (has_other_version(service, record))
		publish(service, record);
	else if (stored && stored->state != GC_ROLLOUT_RUNNING)
		publish(service, stored);
	talloc_free(record);
}

static bool has_other_version(const service_t *service,
			      const gc_rollout_record_t *record)
{
	const gc_fleet_view_t *view = service->rollouts->view;

	for (size_t i = 0; view && i < view->n_servers; i++) {
		const gc_registry_entry_t *server = &view->servers[i];

		if (gc_str_eq(server->service, service->name) &&
		    !gc_str_eq(server->version, record->target) &&
		    !gc_rollout_is_barred(record, server->version))
			return true;
	}
	return false;
}

/*
 * A record that ends the roll-out in the store, if one runs, and bars what it bars. For
 * the order, if there is one. Valid until the next call for the service.
 */
static gc_rollout_record_t *withdraw(service_t *service, const char *reason)
{
	const gc_rollout_record_t *stored = service->stored;
	const gc_rollout_order_t *order = service->order;
	gc_rollout_record_t base = {
		.service = service->name,
		.target = order->target,
		.order = order->id,
		.duration_ms = order->duration_ms,
		.started_ms = gc_ms_between(
			(struct timespec){0},
			gc_clock_wall(service->rollouts->conf.clock)),
		.state = GC_ROLLOUT_ROLLED_BACK,
		.reason = gc_str(reason),
	};
	gc_rollout_record_t *record;

	if (stored) {
		base.barred = stored->barred;
		base.n_barred = stored->n_barred;
	}
	if (stored && stored->order == order->id)
		base.started_ms = stored->started_ms;
	record = gc_rollout_record_copy(service->order, &base);
	if (stored && stored->state == GC_ROLLOUT_RUNNING)
		bar(record, stored->target);
	if (!service->fault || service->bars_target)
		bar(record, order->target);
	return record;
}

static void bar(gc_rollout_record_t *record, gc_str_t version)
{
	gc_str_t *barred;

	if (version.len == 0 || gc_rollout_is_barred(record, version))
		return;
	barred = talloc_array(record, gc_str_t,
			      (unsigned int)record->n_barred + 1);
	for (size_t i = 0; i < record->n_barred; i++)
		barred[i] = record->barred[i];
	barred[record->n_barred++] = gc_str_dup(record, version);
	record->barred = barred;
}

/* Daemons that start later tell by the revisions that the record is the order's. */
static bool needs_rewrite(const service_t *service)
{
	return service->order->id != service->order_revision &&
	       service->stored_revision < service->order_revision;
}

/* The store has the decision. */
static bool is_settled(const service_t *service)
{
	return !service->held &&
	       (!service->order ||
		(is_of_order(service, service->stored) &&
		 is_decided(service->stored) && !needs_rewrite(service)));
}

static void start_reports(service_t *service)
{
	if (service->timer_runs || is_settled(service))
		return;
	service->timer_runs = true;
	gc_timer_set(service->timer, 1);
}

static void on_timer(void *ctx)
{
	service_t *service = ctx;

	service->timer_runs = false;
	apply_held(service);
	if (is_settled(service))
		return;
	service->timer_runs = true;
	gc_timer_set(service->timer, GC_ROLLOUT_REPORT_MS);
	if (!service->order)
		return;
	if (!service->call && send_report(service, 0))
		return;
	if (service->reported_to &&
	    gc_ms_between(service->reported_at, now_of(service)) <= REPORTED_MS)
		judge(service);
}

void gc_rollouts_report(gc_rollouts_t *rollouts, gc_str_t name,
			const gc_rollout_report_t *report)
{
	service_t *service = find_service(rollouts, name);
	gc_rollout_report_t *own;

	if (!service || !service->order || report->order != service->order->id)
		return;
	own = talloc(service, gc_rollout_report_t);
	*own = *report;
	own->counts = report->n_counts == 0
			      ? NULL
			      : talloc_memdup(own, report->counts,
					      report->n_counts *
						      sizeof(*report->counts));
	talloc_free(service->own);
	service->own = own;
}

/* Without counts before the traffic thread has any. */
static gc_rollout_report_t report_of(const service_t *service)
{
	gc_rollout_report_t report = {0};

	if (service->own)
		report = *service->own;
	report.daemon = service->rollouts->self;
	report.order = service->order->id;
	report.elapsed_ms = elapsed_ms(service);
	return report;
}

static int64_t elapsed_ms(const service_t *service)
{
	return service->arrived
		       ? gc_ms_between(service->order_at, now_of(service))
		       : -1;
}

/* To the judge at the position, or one after it; true if that is this daemon. */
static bool send_report(service_t *service, size_t position)
{
	gc_rollouts_t *rollouts = service->rollouts;
	uint64_t hash = XXH64(service->name.data, service->name.len, 0);

	for (; position < GC_N_ISSUERS; position++) {
		const gc_registry_entry_t *issuer =
			gc_issuers_find(rollouts->issuers, hash, position);

		if (!issuer || gc_str_eq(issuer->id, rollouts->conf.self))
			break;
		if (gc_issuers_has_failed(rollouts->issuers, issuer->id))
			continue;
		start_call(service, position, issuer);
		return false;
	}
	judge(service);
	return true;
}

static void start_call(service_t *service, size_t position,
		       const gc_registry_entry_t *issuer)
{
	gc_rollouts_t *rollouts = service->rollouts;
	const gc_adapter_t *adapter = rollouts->conf.adapter;
	gc_rollouts_message_t message = {
		.service = service->name,
		.report = report_of(service),
		.order_revision = service->order_revision,
		.record = service->known,
	};
	g_autofree char *body = gc_rollouts_encode_report(adapter, &message);
	char url[MAX_URL_BYTES];
	gc_http_call_conf_t conf = {
		.method = "POST",
		.url = url,
		.peer = "daemon",
		.body = gc_str(body),
		.connect_timeout_ms = GC_ISSUER_TIMEOUT_MS,
		.timeout_ms = REPORT_TIMEOUT_MS,
		.max_body = GC_ROLLOUTS_MAX_BODY,
	};
	const gc_http_call_ops_t ops = {.done = on_response};
	report_call_t *call = talloc_zero(rollouts, report_call_t);

	snprintf(url, sizeof(url), "http://%.*s" GC_ROLLOUTS_PATH,
		 GC_STR_ARG(issuer->peer_address));
	gc_counter_add(rollouts->reports, 1);
	call->service = service;
	call->position = position;
	call->judge = talloc_strndup(call, issuer->id.data, issuer->id.len);
	service->call = call;
	call->http = gc_httpc_start(rollouts->conf.http, &conf, &ops, call);
}

static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err)
{
	report_call_t *call = ctx;
	service_t *service = call->service;
	gc_rollouts_t *rollouts = service->rollouts;
	size_t position = call->position;
	bool ok = !err && status == 200 && take_response(service, body);

	service->call = NULL;
	if (!ok) {
		g_autofree char *status_text = g_strdup_printf("%d", status);

		gc_issuers_record_failure(rollouts->issuers, call->judge);
		gc_counter_add(rollouts->reports_failed, 1);
		gc_log(GC_LOG_INFO, GC_EVENT_ROLLOUT_UNANSWERED,
		       "a judge didn't answer a report", "service",
		       service->name.data, "daemon", call->judge, "status",
		       status_text, "error", err ? err->message : "", NULL);
	}
	talloc_free(call);
	if (!ok && !is_settled(service) && service->order)
		send_report(service, position + 1);
}

static bool take_response(service_t *service, gc_str_t body)
{
	gc_rollouts_answer_t *answer =
		gc_rollouts_decode_response(NULL,
					    service->rollouts->conf.adapter,
					    service->name, body, NULL);
	bool ok = answer != NULL;

	if (ok && answer->record) {
		adopt_peer_id(service, answer->order, answer->order_revision,
			      answer->record);
		take_peer_record(service, answer->record);
	}
	talloc_free(answer);
	return ok;
}

/* The other daemon knows since before a restore the order that this one took as new. */
static void adopt_peer_id(service_t *service, uint64_t id, uint64_t revision,
			  const gc_rollout_record_t *record)
{
	gc_rollout_order_t *order = service->order;

	if (!order || service->fault || order->id != service->order_revision ||
	    revision != order->id || id == order->id || record->order != id ||
	    is_decided(service->known))
		return;
	order->id = id;
	TALLOC_FREE(service->judge);
	TALLOC_FREE(service->own);
	set_known(service, record);
	start_reports(service);
}

/* A decision for the same order, while none is known here. */
static void take_peer_record(service_t *service,
			     const gc_rollout_record_t *record)
{
	if (is_of_order(service, record) && is_decided(record) &&
	    !is_decided(service->known))
		set_known(service, record);
}

char *gc_rollouts_peer_response(gc_rollouts_t *rollouts, gc_str_t body)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollouts_message_t *message = gc_rollouts_decode_report(
		mem, rollouts->conf.adapter, body, NULL);
	gc_rollouts_answer_t answer = {0};
	service_t *service;
	char *text;

	if (!message) {
		talloc_free(mem);
		return NULL;
	}
	service = find_service(rollouts, message->service);
	if (service && service->order) {
		service->reported_to = true;
		service->reported_at = now_of(service);
		if (message->record) {
			adopt_peer_id(service, message->report.order,
				      message->order_revision, message->record);
			take_peer_record(service, message->record);
		}
		if (!service->fault && !is_decided(service->known))
			gc_rollout_judge_add_report(get_judge(service),
						    now_of(service),
						    &message->report);
		start_reports(service);
		answer = (gc_rollouts_answer_t){
			.order = service->order->id,
			.order_revision = service->order_revision,
			.record = service->known,
		};
	}
	text = gc_rollouts_encode_response(rollouts->conf.adapter, &answer);
	talloc_free(mem);
	return text;
}

static gc_rollout_judge_t *get_judge(service_t *service)
{
	if (!service->judge)
		service->judge = gc_rollout_judge_create(
			service, &service->rollouts->conf.limits,
			service->order, now_of(service), elapsed_ms(service));
	return service->judge;
}

/* A roll-back is in force here at once, as that only takes requests from the target; any
 * other record is when the store has it. */
static void judge(service_t *service)
{
	const gc_fleet_view_t *view = service->rollouts->view;
	const gc_rollout_record_t *record;

	if (!view || !view->routes)
		return;
	record = propose(service);
	if (!record)
		return;
	if (record->state == GC_ROLLOUT_ROLLED_BACK &&
	    !is_decided(service->known)) {
		set_known(service, record);
		record = service->known;
	}
	write_record(service, record);
}

/* The record that the store should have instead of its own, or NULL. */
static const gc_rollout_record_t *propose(service_t *service)
{
	const gc_rollout_record_t *stored = service->stored;
	const gc_rollout_record_t *known = service->known;
	const gc_rollout_record_t *again;
	const gc_rollout_record_t *record;
	bool has_own = is_of_order(service, stored);

	if (may_be_superseded(service))
		return NULL;
	/* The store lacks what is known after a restore, or before the watch has brought
	 * what was written. */
	again = !has_own ? known : needs_rewrite(service) ? stored : NULL;
	if (has_own && is_decided(stored))
		return again;
	if (is_decided(known))
		return known;
	record = ask_judge(service, has_own || !known ? stored : known);
	return record ? record : again;
}

/* The pages of a list are no snapshot: the record may be of an order that the watch is
 * yet to bring. */
static bool may_be_superseded(const service_t *service)
{
	return service->stored && !service->arrived &&
	       service->stored->order > service->order->id &&
	       service->stored_revision > service->order_revision;
}

static const gc_rollout_record_t *ask_judge(service_t *service,
					    const gc_rollout_record_t *newest)
{
	gc_rollout_judge_t *of_order = get_judge(service);
	gc_rollout_report_t report = report_of(service);
	gc_rollout_fleet_t fleet;
	TALLOC_CTX *mem = talloc_new(NULL);
	const gc_rollout_record_t *record;

	fill_fleet(
		service, &fleet,
		talloc_array(mem, gc_str_t,
			     (unsigned int)service->rollouts->view->n_servers +
				     1));
	gc_rollout_judge_add_report(of_order, now_of(service), &report);
	record = gc_rollout_judge_decide(of_order, now_of(service), &fleet,
					 newest);
	talloc_free(mem);
	return record;
}

/* versions: room for one of each server. */
static void fill_fleet(const service_t *service, gc_rollout_fleet_t *fleet,
		       gc_str_t *versions)
{
	const gc_rollouts_t *rollouts = service->rollouts;
	const gc_fleet_view_t *view = rollouts->view;
	gc_str_t target = service->order->target;

	*fleet = (gc_rollout_fleet_t){
		.n_daemons = view->n_daemons,
		.service_known =
			gc_routes_names_service(view->routes, service->name),
		.other_versions = versions,
		.now_ms = gc_ms_between((struct timespec){0},
					gc_clock_wall(rollouts->conf.clock)),
	};
	for (size_t i = 0; i < view->n_daemons; i++)
		fleet->n_able += gc_issuers_is_capable(rollouts->issuers,
						       &view->daemons[i]);
	for (size_t i = 0; i < view->n_servers; i++) {
		const gc_registry_entry_t *server = &view->servers[i];
		size_t known = 0;

		if (!gc_str_eq(server->service, service->name))
			continue;
		if (gc_str_eq(server->version, target)) {
			fleet->n_target_servers += !server->draining;
			continue;
		}
		while (known < fleet->n_other_versions &&
		       !gc_str_eq(versions[known], server->version))
			known++;
		versions[known] = server->version;
		fleet->n_other_versions =
			MAX(fleet->n_other_versions, known + 1);
	}
}

static void write_record(service_t *service, const gc_rollout_record_t *record)
{
	gc_rollouts_t *rollouts = service->rollouts;
	const gc_store_t *store = &rollouts->conf.store;
	g_autofree char *key = NULL;
	g_autofree char *value = NULL;

	if (service->write ||
	    gc_ms_between(service->write_not_before, now_of(service)) < 0)
		return;
	key = g_strdup_printf("%s%.*s",
			      rollouts->conf.adapter->rollout_records_prefix,
			      GC_STR_ARG(service->name));
	value = rollouts->conf.adapter->write_rollout_record(record);
	service->write = talloc_zero(service, write_t);
	service->write->service = service;
	service->write->era = rollouts->era;
	service->write->expected = service->stored_revision;
	service->write->record = gc_rollout_record_copy(service->write, record);
	gc_counter_add(rollouts->store_calls, 1);
	store->ops->put_if(store->store, gc_str(key), gc_str(value),
			   service->stored_revision, on_written,
			   service->write);
}

/* A conflict shows that another daemon was first; the watch brings its record. An
 * answer of an earlier era doesn't count. */
static void on_written(void *ctx, uint64_t id, uint64_t era, const GError *err)
{
	write_t *write = ctx;
	service_t *service = write->service;
	gc_rollouts_t *rollouts = service->rollouts;

	service->write = NULL;
	take_era(rollouts, era);
	if (write->era == rollouts->era) {
		if (!err)
			take_written(service, write->record);
		if (err && !g_error_matches(err, GC_ERROR, GC_ERR_CONFLICT))
			delay_write(service, err);
		else if (service->stored_revision == write->expected)
			await_watch(service);
	}
	talloc_free(write);
}

static void take_written(service_t *service, const gc_rollout_record_t *record)
{
	gc_counter_add(service->rollouts->writes, 1);
	gc_log(GC_LOG_INFO, GC_EVENT_ROLLOUT_RECORD,
	       "record of a roll-out written", "service", service->name.data,
	       "target", record->target.data, "state",
	       record->state == GC_ROLLOUT_RUNNING     ? "running"
	       : record->state == GC_ROLLOUT_SUCCEEDED ? "succeeded"
						       : "rolled_back",
	       NULL);
	service->retry_ms = RETRY_MS;
	if (is_of_order(service, record) && !is_decided(service->known))
		set_known(service, record);
}

/* The revision for the next write is known when the watch has brought the item. */
static void await_watch(service_t *service)
{
	service->write_not_before = gc_add_ms(now_of(service), WATCH_MS);
}

static void delay_write(service_t *service, const GError *err)
{
	if (service->retry_ms == RETRY_MS)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_RECORD_NOT_WRITTEN,
			     "can't write the record of a roll-out", err);
	service->write_not_before =
		gc_add_ms(now_of(service), service->retry_ms);
	service->retry_ms = MIN(2 * service->retry_ms, RETRY_MAX_MS);
}

static void take_era(gc_rollouts_t *rollouts, uint64_t era)
{
	era = gc_store_era_plausible(rollouts->era, era);
	if (era <= rollouts->era)
		return;
	gc_rollouts_set_era(rollouts, era);
	rollouts->conf.era_seen(rollouts->conf.ctx, era);
}

void gc_rollouts_set_era(gc_rollouts_t *rollouts, uint64_t era)
{
	bool first = rollouts->era == 0;

	if (era <= rollouts->era)
		return;
	rollouts->era = era;
	if (first)
		return;
	for (service_t *service = rollouts->services; service;
	     service = service->next) {
		TALLOC_FREE(service->stored);
		service->stored_revision = 0;
		service->order_revision = 0;
		service->restored = true;
		service->restored_at = gc_clock_now(rollouts->conf.clock);
		service->write_not_before =
			gc_add_ms(service->restored_at, WATCH_MS);
		start_reports(service);
	}
}

void gc_rollouts_set_view(gc_rollouts_t *rollouts, gc_fleet_view_t *view)
{
	gc_fleet_view_unref(rollouts->view);
	rollouts->view = gc_fleet_view_ref(view);
	gc_issuers_set_view(rollouts->issuers, view);
	for (service_t *service = rollouts->services; service;
	     service = service->next)
		if (service->order && !service->known)
			publish_interim(service);
}
