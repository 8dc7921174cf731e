/* Reports to the judge of a roll-out, and those of other daemons. */
#include <stdio.h>

#include <glib.h>
#include <xxhash.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/rollouts_peer.h"
#include "lib/rollouts_private.h"

/* Time for the response of a judge, which may have less than a tenth of a processor and
 * gets the reports of a hundred daemons in each interval. */
#define REPORT_TIMEOUT_MS 300
#define MAX_URL_BYTES	  128
/* A daemon that gets reports judges as long as they come in, plus two that are lost. */
#define REPORTED_MS (3 * GC_ROLLOUT_REPORT_MS)

static bool is_settled(const gc_rollouts_service_t *service);
static int64_t first_delay_ms(const gc_rollouts_service_t *service);
static uint64_t hash_of(const gc_rollouts_service_t *service);
static bool send_report(gc_rollouts_service_t *service, size_t position);
static void start_call(gc_rollouts_service_t *service, size_t position,
		       const gc_registry_entry_t *issuer);
static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);
static bool take_response(gc_rollouts_service_t *service, gc_str_t body);
static void adopt_peer_id(gc_rollouts_service_t *service, uint64_t id,
			  uint64_t revision, const gc_rollout_record_t *record);
static void take_peer_record(gc_rollouts_service_t *service,
			     const gc_rollout_record_t *record);

bool gc_rollouts_needs_rewrite(const gc_rollouts_service_t *service)
{
	return service->order->id != service->order_revision &&
	       service->stored_revision < service->order_revision;
}

/* The store has the decision. */
static bool is_settled(const gc_rollouts_service_t *service)
{
	return !service->held &&
	       (!service->order ||
		(gc_rollouts_is_of_order(service, service->stored) &&
		 gc_rollouts_is_decided(service->stored) &&
		 !gc_rollouts_needs_rewrite(service)));
}

void gc_rollouts_start_reports(gc_rollouts_service_t *service)
{
	if (service->timer_runs || is_settled(service))
		return;
	service->timer_runs = true;
	gc_timer_set(service->timer, first_delay_ms(service));
}

/* The judge acts at once; the reports of the others are spread over an interval, as a small
 * daemon would not answer all of them in time if they came together. */
static int64_t first_delay_ms(const gc_rollouts_service_t *service)
{
	const gc_rollouts_conf_t *conf = &service->rollouts->conf;
	const gc_registry_entry_t *first = gc_issuers_find(
		service->rollouts->issuers, hash_of(service), 0);

	if (!first || gc_str_eq(first->id, conf->self))
		return 1;
	return (int64_t)(conf->random->next(conf->random->ctx) %
			 GC_ROLLOUT_REPORT_MS);
}

static uint64_t hash_of(const gc_rollouts_service_t *service)
{
	return XXH64(service->name.data, service->name.len, 0);
}

void gc_rollouts_on_timer(void *ctx)
{
	gc_rollouts_service_t *service = ctx;

	service->timer_runs = false;
	gc_rollouts_apply_held(service);
	if (is_settled(service))
		return;
	service->timer_runs = true;
	gc_timer_set(service->timer, GC_ROLLOUT_REPORT_MS);
	if (!service->order)
		return;
	if (!service->call && send_report(service, 0))
		return;
	if (service->reported_to &&
	    gc_ms_between(service->reported_at, gc_rollouts_now(service)) <=
		    REPORTED_MS)
		gc_rollouts_judge(service);
}

void gc_rollouts_report(gc_rollouts_t *rollouts, gc_str_t name,
			const gc_rollout_report_t *report)
{
	gc_rollouts_service_t *service = gc_rollouts_find(rollouts, name);
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

gc_rollout_report_t gc_rollouts_report_of(const gc_rollouts_service_t *service)
{
	gc_rollout_report_t report = {0};

	if (service->own)
		report = *service->own;
	report.daemon = service->rollouts->self;
	report.order = service->order->id;
	report.elapsed_ms = gc_rollouts_elapsed_ms(service);
	return report;
}

int64_t gc_rollouts_elapsed_ms(const gc_rollouts_service_t *service)
{
	return service->arrived ? gc_ms_between(service->order_at,
						gc_rollouts_now(service))
				: -1;
}

/* To the judge at the position, or one after it; true if that is this daemon. */
static bool send_report(gc_rollouts_service_t *service, size_t position)
{
	gc_rollouts_t *rollouts = service->rollouts;
	uint64_t hash = hash_of(service);

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
	gc_rollouts_judge(service);
	return true;
}

static void start_call(gc_rollouts_service_t *service, size_t position,
		       const gc_registry_entry_t *issuer)
{
	gc_rollouts_t *rollouts = service->rollouts;
	const gc_adapter_t *adapter = rollouts->conf.adapter;
	gc_rollouts_message_t message = {
		.service = service->name,
		.report = gc_rollouts_report_of(service),
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
	gc_rollouts_call_t *call = talloc_zero(rollouts, gc_rollouts_call_t);

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
	gc_rollouts_call_t *call = ctx;
	gc_rollouts_service_t *service = call->service;
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

static bool take_response(gc_rollouts_service_t *service, gc_str_t body)
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
static void adopt_peer_id(gc_rollouts_service_t *service, uint64_t id,
			  uint64_t revision, const gc_rollout_record_t *record)
{
	gc_rollout_order_t *order = service->order;

	if (!order || service->fault || order->id != service->order_revision ||
	    revision != order->id || id == order->id || record->order != id ||
	    gc_rollouts_is_decided(service->known))
		return;
	order->id = id;
	TALLOC_FREE(service->judge);
	TALLOC_FREE(service->own);
	gc_rollouts_set_known(service, record);
	gc_rollouts_start_reports(service);
}

/* A decision for the same order, while none is known here. */
static void take_peer_record(gc_rollouts_service_t *service,
			     const gc_rollout_record_t *record)
{
	if (gc_rollouts_is_of_order(service, record) &&
	    gc_rollouts_is_decided(record) &&
	    !gc_rollouts_is_decided(service->known))
		gc_rollouts_set_known(service, record);
}

char *gc_rollouts_peer_response(gc_rollouts_t *rollouts, gc_str_t body)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollouts_message_t *message = gc_rollouts_decode_report(
		mem, rollouts->conf.adapter, body, NULL);
	gc_rollouts_answer_t answer = {0};
	gc_rollouts_service_t *service;
	char *text;

	if (!message) {
		talloc_free(mem);
		return NULL;
	}
	service = gc_rollouts_find(rollouts, message->service);
	/* Another judge may know the order already. */
	if (!service || !service->order) {
		talloc_free(mem);
		return NULL;
	}
	service->reported_to = true;
	service->reported_at = gc_rollouts_now(service);
	if (message->record) {
		adopt_peer_id(service, message->report.order,
			      message->order_revision, message->record);
		take_peer_record(service, message->record);
	}
	if (!service->fault && !gc_rollouts_is_decided(service->known))
		gc_rollout_judge_add_report(gc_rollouts_get_judge(service),
					    gc_rollouts_now(service),
					    &message->report);
	gc_rollouts_start_reports(service);
	answer = (gc_rollouts_answer_t){
		.order = service->order->id,
		.order_revision = service->order_revision,
		.record = service->known,
	};
	text = gc_rollouts_encode_response(rollouts->conf.adapter, &answer);
	talloc_free(mem);
	return text;
}
