/* Orders of roll-outs, also those that are written again after a restore. */
#include <glib.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/rollouts_private.h"

/* After a restore the operator writes his orders again. For this time, one with the
 * same value counts as written again. */
#define REWRITE_MS 60000
/* For this time after a restore, another order in a list may be the copy's. */
#define COPY_MS 5000

static bool take_as_written_again(gc_rollouts_service_t *service,
				  const gc_store_item_t *item,
				  const gc_rollout_order_t *order, bool listed);
static void hold_order(gc_rollouts_service_t *service,
		       const gc_store_item_t *item);
static bool has_same_value(const gc_rollouts_service_t *service,
			   const gc_rollout_order_t *order, const char *fault);
static void start_order(gc_rollouts_service_t *service,
			const gc_rollout_order_t *order, const char *fault,
			bool listed);
static bool has_version(const gc_rollouts_service_t *service, gc_str_t version);
static void log_order(const gc_rollouts_service_t *service);

void gc_rollouts_apply_order(gc_rollouts_service_t *service,
			     const gc_store_item_t *item, bool listed)
{
	const gc_adapter_t *adapter = service->rollouts->conf.adapter;
	g_autoptr(GError) err = NULL;
	gc_rollout_order_t order;
	TALLOC_CTX *mem;

	if (item->deleted) {
		gc_rollouts_remove_order(service);
		return;
	}
	service->listed = true;
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
static bool take_as_written_again(gc_rollouts_service_t *service,
				  const gc_store_item_t *item,
				  const gc_rollout_order_t *order, bool listed)
{
	int64_t age_ms =
		gc_ms_between(service->restored_at, gc_rollouts_now(service));

	if (!service->restored || !service->order || age_ms > REWRITE_MS)
		return false;
	if (has_same_value(service, order, service->fault)) {
		service->restored = listed;
		service->order_revision = item->revision;
		TALLOC_FREE(service->held);
		gc_rollouts_start_reports(service);
		return true;
	}
	if (!listed || age_ms > COPY_MS)
		return false;
	hold_order(service, item);
	return true;
}

static void hold_order(gc_rollouts_service_t *service,
		       const gc_store_item_t *item)
{
	TALLOC_FREE(service->held);
	service->held = talloc(service, gc_store_item_t);
	*service->held = *item;
	service->held->key = gc_str_dup(service->held, item->key);
	service->held->value = gc_str_dup(service->held, item->value);
	gc_rollouts_start_reports(service);
}

void gc_rollouts_apply_held(gc_rollouts_service_t *service)
{
	gc_store_item_t *held = service->held;

	if (!held || gc_ms_between(service->restored_at,
				   gc_rollouts_now(service)) <= COPY_MS)
		return;
	service->held = NULL;
	gc_rollouts_apply_order(service, held, true);
	talloc_free(held);
}

static bool has_same_value(const gc_rollouts_service_t *service,
			   const gc_rollout_order_t *order, const char *fault)
{
	return !fault && !service->removed &&
	       gc_str_eq(order->target, service->order->target) &&
	       order->duration_ms == service->order->duration_ms;
}

static void start_order(gc_rollouts_service_t *service,
			const gc_rollout_order_t *order, const char *fault,
			bool listed)
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
	service->order_at = gc_rollouts_now(service);
	service->decision_logged = false;
	log_order(service);
	gc_rollouts_adopt_record_id(service);
	if (gc_rollouts_is_of_order(service, service->stored))
		gc_rollouts_set_known(service, service->stored);
	else if (fault)
		gc_rollouts_set_known(
			service, gc_rollouts_withdraw(service, service->fault));
	else
		gc_rollouts_publish_interim(service);
	gc_rollouts_start_reports(service);
}

static bool has_version(const gc_rollouts_service_t *service, gc_str_t version)
{
	const gc_fleet_view_t *view = service->rollouts->view;

	for (size_t i = 0; view && i < view->n_servers; i++)
		if (gc_str_eq(view->servers[i].service, service->name) &&
		    gc_str_eq(view->servers[i].version, version))
			return true;
	return false;
}

static void log_order(const gc_rollouts_service_t *service)
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

void gc_rollouts_remove_order(gc_rollouts_service_t *service)
{
	gc_rollout_record_t *record;

	service->order_revision = 0;
	if (!service->order || gc_rollouts_is_decided(service->known))
		return;
	service->removed = true;
	record = gc_rollouts_withdraw(service, "the order was removed");
	gc_rollouts_set_known(service, record);
	gc_rollouts_start_reports(service);
}
