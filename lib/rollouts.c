/* Roll-outs of all services: their records, and what is in force. */
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "core/rollout_record.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/rollouts_private.h"

static int rollouts_destructor(gc_rollouts_t *rollouts);
static int service_destructor(gc_rollouts_service_t *service);
static bool strip_prefix(gc_str_t key, const char *prefix, gc_str_t *rest);
static gc_rollouts_service_t *get_service(gc_rollouts_t *rollouts,
					  gc_str_t name);
static void apply_record(gc_rollouts_service_t *service,
			 const gc_store_item_t *item);
static void adopt_order(gc_rollouts_service_t *service);
static void log_decision(gc_rollouts_service_t *service);
static bool has_other_version(const gc_rollouts_service_t *service,
			      const gc_rollout_record_t *record);

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
		gc_rollouts_service_t *service = rollouts->services;

		rollouts->services = service->next;
		talloc_free(service);
	}
	gc_fleet_view_unref(rollouts->view);
	return 0;
}

static int service_destructor(gc_rollouts_service_t *service)
{
	if (service->call) {
		gc_http_call_cancel(service->call->http);
		talloc_free(service->call);
	}
	return 0;
}

bool gc_rollouts_apply_item(gc_rollouts_t *rollouts,
			    const gc_store_item_t *item, bool listed)
{
	const gc_adapter_t *adapter = rollouts->conf.adapter;
	gc_str_t name;

	if (strip_prefix(item->key, adapter->rollout_orders_prefix, &name))
		gc_rollouts_apply_order(get_service(rollouts, name), item,
					listed);
	else if (strip_prefix(item->key, adapter->rollout_records_prefix,
			      &name))
		apply_record(get_service(rollouts, name), item);
	else
		return false;
	return true;
}

void gc_rollouts_begin_list(gc_rollouts_t *rollouts)
{
	for (gc_rollouts_service_t *service = rollouts->services; service;
	     service = service->next)
		service->listed = false;
}

void gc_rollouts_end_list(gc_rollouts_t *rollouts)
{
	for (gc_rollouts_service_t *service = rollouts->services; service;
	     service = service->next)
		if (!service->listed && service->order_revision != 0)
			gc_rollouts_remove_order(service);
}

static bool strip_prefix(gc_str_t key, const char *prefix, gc_str_t *rest)
{
	size_t len = strlen(prefix);

	if (key.len <= len || memcmp(key.data, prefix, len) != 0)
		return false;
	*rest = (gc_str_t){key.data + len, key.len - len};
	return true;
}

gc_rollouts_service_t *gc_rollouts_find(const gc_rollouts_t *rollouts,
					gc_str_t name)
{
	for (gc_rollouts_service_t *service = rollouts->services; service;
	     service = service->next)
		if (gc_str_eq(service->name, name))
			return service;
	return NULL;
}

static gc_rollouts_service_t *get_service(gc_rollouts_t *rollouts,
					  gc_str_t name)
{
	gc_rollouts_service_t *service = gc_rollouts_find(rollouts, name);

	if (service)
		return service;
	service = talloc_zero(rollouts, gc_rollouts_service_t);
	service->rollouts = rollouts;
	service->name = gc_str_dup(service, name);
	service->retry_ms = GC_ROLLOUTS_RETRY_MS;
	service->timer = gc_timer_create(service, rollouts->conf.timers,
					 gc_rollouts_on_timer, service);
	service->next = rollouts->services;
	rollouts->services = service;
	talloc_set_destructor(service, service_destructor);
	return service;
}

static void apply_record(gc_rollouts_service_t *service,
			 const gc_store_item_t *item)
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
	service->write_not_before = gc_rollouts_now(service);
	if (record) {
		record->revision = item->revision;
		gc_rollouts_adopt_record_id(service);
		adopt_order(service);
		if (!service->order)
			gc_rollouts_publish(service, record);
		else if (gc_rollouts_is_of_order(service, record) &&
			 (gc_rollouts_is_decided(record) ||
			  !gc_rollouts_is_decided(service->known)))
			gc_rollouts_set_known(service, record);
		else if (service->fault &&
			 !gc_rollouts_is_of_order(service, record))
			/* With what the record bars. */
			gc_rollouts_set_known(
				service,
				gc_rollouts_withdraw(service, service->fault));
		else if (!service->known)
			gc_rollouts_publish_interim(service);
	}
	gc_rollouts_start_reports(service);
}

void gc_rollouts_adopt_record_id(gc_rollouts_service_t *service)
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
static void adopt_order(gc_rollouts_service_t *service)
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
	service->order_at = gc_rollouts_now(service);
}

void gc_rollouts_set_known(gc_rollouts_service_t *service,
			   const gc_rollout_record_t *record)
{
	gc_rollout_record_t *former = service->known;

	service->known = gc_rollout_record_copy(service, record);
	/* The store has another decision than the one that was made here. */
	if (former && former->state != record->state)
		service->decision_logged = false;
	talloc_free(former);
	log_decision(service);
	gc_rollouts_publish(service, service->known);
}

static void log_decision(gc_rollouts_service_t *service)
{
	const gc_rollout_record_t *known = service->known;
	bool good = known->state == GC_ROLLOUT_SUCCEEDED;
	g_autofree char *id = NULL;

	if (!gc_rollouts_is_decided(known) || service->decision_logged)
		return;
	service->decision_logged = true;
	id = g_strdup_printf("%" G_GUINT64_FORMAT, known->order);
	gc_log(good ? GC_LOG_INFO : GC_LOG_WARNING, GC_EVENT_ROLLOUT_DECIDED,
	       good ? "roll-out succeeded" : "roll-out rolled back", "service",
	       service->name.data, "target", known->target.data, "order", id,
	       "reason", known->reason.data, NULL);
}

void gc_rollouts_publish(const gc_rollouts_service_t *service,
			 const gc_rollout_record_t *record)
{
	const gc_rollouts_conf_t *conf = &service->rollouts->conf;

	conf->record_changed(conf->ctx, record);
}

void gc_rollouts_publish_interim(const gc_rollouts_service_t *service)
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
		gc_rollout_record_bar(record, stored->target);
	if (has_other_version(service, record))
		gc_rollouts_publish(service, record);
	else if (stored && stored->state != GC_ROLLOUT_RUNNING)
		gc_rollouts_publish(service, stored);
	talloc_free(record);
}

static bool has_other_version(const gc_rollouts_service_t *service,
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

gc_rollout_record_t *gc_rollouts_withdraw(gc_rollouts_service_t *service,
					  const char *reason)
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
		gc_rollout_record_bar(record, stored->target);
	if (order->target.len > 0 && (!service->fault || service->bars_target))
		gc_rollout_record_bar(record, order->target);
	return record;
}

void gc_rollouts_set_era(gc_rollouts_t *rollouts, uint64_t era)
{
	bool first = rollouts->era == 0;

	if (era <= rollouts->era)
		return;
	rollouts->era = era;
	if (first)
		return;
	for (gc_rollouts_service_t *service = rollouts->services; service;
	     service = service->next) {
		TALLOC_FREE(service->stored);
		service->stored_revision = 0;
		service->order_revision = 0;
		service->restored = true;
		service->restored_at = gc_clock_now(rollouts->conf.clock);
		service->write_not_before =
			gc_add_ms(service->restored_at, GC_ROLLOUTS_WATCH_MS);
		gc_rollouts_start_reports(service);
	}
}

void gc_rollouts_set_view(gc_rollouts_t *rollouts, gc_fleet_view_t *view)
{
	gc_fleet_view_unref(rollouts->view);
	rollouts->view = gc_fleet_view_ref(view);
	gc_issuers_set_view(rollouts->issuers, view);
	for (gc_rollouts_service_t *service = rollouts->services; service;
	     service = service->next)
		if (service->order && !service->known)
			gc_rollouts_publish_interim(service);
}
