/* Judges roll-outs and writes their records. */
#include <glib.h>

#include "core/error.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/rollouts_private.h"
#include "lib/store_era.h"

/* Longest pause before a failed write is repeated. */
#define RETRY_MAX_MS 4000

static const gc_rollout_record_t *propose(gc_rollouts_service_t *service);
static bool may_be_superseded(const gc_rollouts_service_t *service);
static const gc_rollout_record_t *ask_judge(gc_rollouts_service_t *service,
					    const gc_rollout_record_t *newest);
static void fill_fleet(const gc_rollouts_service_t *service,
		       gc_rollout_fleet_t *fleet, gc_str_t *versions);
static void write_record(gc_rollouts_service_t *service,
			 const gc_rollout_record_t *record);
static void on_written(void *ctx, uint64_t id, uint64_t era, const GError *err);
static void take_written(gc_rollouts_service_t *service,
			 const gc_rollout_record_t *record);
static void await_watch(gc_rollouts_service_t *service);
static void delay_write(gc_rollouts_service_t *service, const GError *err);
static void take_era(gc_rollouts_t *rollouts, uint64_t era);

gc_rollout_judge_t *gc_rollouts_get_judge(gc_rollouts_service_t *service)
{
	if (!service->judge)
		service->judge = gc_rollout_judge_create(
			service, &service->rollouts->conf.limits,
			service->order, gc_rollouts_now(service),
			gc_rollouts_elapsed_ms(service));
	return service->judge;
}

void gc_rollouts_judge(gc_rollouts_service_t *service)
{
	const gc_fleet_view_t *view = service->rollouts->view;
	const gc_rollout_record_t *record;

	if (!view || !view->routes)
		return;
	record = propose(service);
	if (!record)
		return;
	if (record->state == GC_ROLLOUT_ROLLED_BACK &&
	    !gc_rollouts_is_decided(service->known)) {
		gc_rollouts_set_known(service, record);
		record = service->known;
	}
	write_record(service, record);
}

/* The record that the store should have instead of its own, or NULL. */
static const gc_rollout_record_t *propose(gc_rollouts_service_t *service)
{
	const gc_rollout_record_t *stored = service->stored;
	const gc_rollout_record_t *known = service->known;
	const gc_rollout_record_t *again;
	const gc_rollout_record_t *record;
	bool has_own = gc_rollouts_is_of_order(service, stored);

	if (may_be_superseded(service))
		return NULL;
	/* The store lacks what is known after a restore, or before the watch has brought
	 * what was written. */
	again = !has_own			     ? known
		: gc_rollouts_needs_rewrite(service) ? stored
						     : NULL;
	if (has_own && gc_rollouts_is_decided(stored))
		return again;
	if (gc_rollouts_is_decided(known))
		return known;
	record = ask_judge(service, has_own || !known ? stored : known);
	return record ? record : again;
}

/* The pages of a list are no snapshot: the record may be of an order that the watch is
 * yet to bring. */
static bool may_be_superseded(const gc_rollouts_service_t *service)
{
	return service->stored && !service->arrived &&
	       service->stored->order > service->order->id &&
	       service->stored_revision > service->order_revision;
}

static const gc_rollout_record_t *ask_judge(gc_rollouts_service_t *service,
					    const gc_rollout_record_t *newest)
{
	gc_rollout_judge_t *of_order = gc_rollouts_get_judge(service);
	gc_rollout_report_t report = gc_rollouts_report_of(service);
	gc_rollout_fleet_t fleet;
	TALLOC_CTX *mem = talloc_new(NULL);
	const gc_rollout_record_t *record;

	fill_fleet(
		service, &fleet,
		talloc_array(mem, gc_str_t,
			     (unsigned int)service->rollouts->view->n_servers +
				     1));
	/* Without counts of the traffic thread it would tell of no traffic. */
	if (service->own)
		gc_rollout_judge_add_report(of_order, gc_rollouts_now(service),
					    &report);
	record = gc_rollout_judge_decide(of_order, gc_rollouts_now(service),
					 &fleet, newest);
	talloc_free(mem);
	return record;
}

/* versions: room for one of each server. */
static void fill_fleet(const gc_rollouts_service_t *service,
		       gc_rollout_fleet_t *fleet, gc_str_t *versions)
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

static void write_record(gc_rollouts_service_t *service,
			 const gc_rollout_record_t *record)
{
	gc_rollouts_t *rollouts = service->rollouts;
	const gc_store_t *store = &rollouts->conf.store;
	g_autofree char *key = NULL;
	g_autofree char *value = NULL;

	if (service->write || gc_ms_between(service->write_not_before,
					    gc_rollouts_now(service)) < 0)
		return;
	key = g_strdup_printf("%s%.*s",
			      rollouts->conf.adapter->rollout_records_prefix,
			      GC_STR_ARG(service->name));
	value = rollouts->conf.adapter->write_rollout_record(record);
	service->write = talloc_zero(service, gc_rollouts_write_t);
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
	gc_rollouts_write_t *write = ctx;
	gc_rollouts_service_t *service = write->service;
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

static void take_written(gc_rollouts_service_t *service,
			 const gc_rollout_record_t *record)
{
	gc_counter_add(service->rollouts->writes, 1);
	gc_log(GC_LOG_INFO, GC_EVENT_ROLLOUT_RECORD,
	       "record of a roll-out written", "service", service->name.data,
	       "target", record->target.data, "state",
	       record->state == GC_ROLLOUT_RUNNING     ? "running"
	       : record->state == GC_ROLLOUT_SUCCEEDED ? "succeeded"
						       : "rolled_back",
	       NULL);
	service->retry_ms = GC_ROLLOUTS_RETRY_MS;
	if (gc_rollouts_is_of_order(service, record) &&
	    !gc_rollouts_is_decided(service->known))
		gc_rollouts_set_known(service, record);
}

/* The revision for the next write is known when the watch has brought the item. */
static void await_watch(gc_rollouts_service_t *service)
{
	service->write_not_before =
		gc_add_ms(gc_rollouts_now(service), GC_ROLLOUTS_WATCH_MS);
}

static void delay_write(gc_rollouts_service_t *service, const GError *err)
{
	if (service->retry_ms == GC_ROLLOUTS_RETRY_MS)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_RECORD_NOT_WRITTEN,
			     "can't write the record of a roll-out", err);
	service->write_not_before =
		gc_add_ms(gc_rollouts_now(service), service->retry_ms);
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
