/*
 * Roll-outs in the traffic thread: which versions an attempt may go to, and what is
 * counted of the answers. A request that another daemon passed on is never selected
 * for the target, as that daemon may have sent it there before; it is not counted as
 * a new request here either, so that the share holds.
 */
#include <xxhash.h>

#include "core/rollout_judge.h"
#include "lib/relay_private.h"

/* Part of rollout_withdraw_ms after which a view of the store that wasn't confirmed
 * since lets nothing go to the target. */
#define MAX_VIEW_AGE 0.4

struct gc_service_rollout {
	gc_service_rollout_t *next;
	gc_rollout_record_t *record;
	gc_rollout_evidence_t *evidence; /* since record->order */
};

static gc_service_rollout_t *find_rollout(const gc_relay_t *relay,
					  gc_str_t service);
static gc_service_rollout_t *find_running(const gc_exchange_t *exchange);
static bool is_running(const gc_service_rollout_t *rollout);
static void set_timer(gc_relay_t *relay);
static void on_timer(void *ctx);
static bool is_view_confirmed(const gc_relay_t *relay);
static bool is_selected(const gc_exchange_t *exchange,
			const gc_rollout_record_t *record);
static bool select_servers(const gc_exchange_t *exchange,
			   const gc_rollout_record_t *record,
			   gc_backend_set_t *avoid);
static bool has_server(const gc_exchange_t *exchange,
		       const gc_backend_set_t *avoid);
static uint64_t route_hash(const gc_exchange_t *exchange);
static gc_rollout_evidence_t *find_evidence(const gc_exchange_t *exchange);
static void add_time(const gc_exchange_t *exchange,
		     gc_rollout_measure_t measure, int64_t ms);
static int64_t attempt_ms(const gc_exchange_t *exchange);

void gc_relay_set_rollout(gc_relay_t *relay, const gc_rollout_record_t *record)
{
	gc_service_rollout_t *rollout = find_rollout(relay, record->service);

	if (!rollout) {
		rollout = talloc_zero(relay, gc_service_rollout_t);
		rollout->next = relay->rollouts;
		relay->rollouts = rollout;
	}
	if (!rollout->record || rollout->record->order != record->order) {
		talloc_free(rollout->evidence);
		rollout->evidence =
			gc_rollout_evidence_create(rollout, record->order);
	}
	talloc_free(rollout->record);
	rollout->record = gc_rollout_record_copy(rollout, record);
	if (!relay->rollout_timer)
		relay->rollout_timer = gc_timer_create(
			relay, relay->conf.timers, on_timer, relay);
	set_timer(relay);
}

static gc_service_rollout_t *find_rollout(const gc_relay_t *relay,
					  gc_str_t service)
{
	gc_service_rollout_t *rollout = relay->rollouts;

	while (rollout && !gc_str_eq(rollout->record->service, service))
		rollout = rollout->next;
	return rollout;
}

static gc_service_rollout_t *find_running(const gc_exchange_t *exchange)
{
	gc_service_rollout_t *rollout =
		find_rollout(exchange->relay, exchange->service);

	return rollout && is_running(rollout) ? rollout : NULL;
}

static bool is_running(const gc_service_rollout_t *rollout)
{
	return rollout->record->state == GC_ROLLOUT_RUNNING;
}

/* A new record doesn't delay a report that is due. */
static void set_timer(gc_relay_t *relay)
{
	const gc_service_rollout_t *rollout = relay->rollouts;

	while (rollout && !is_running(rollout))
		rollout = rollout->next;
	if (!rollout)
		gc_timer_stop(relay->rollout_timer);
	else if (!relay->rollout_timer_runs)
		gc_timer_set(relay->rollout_timer, GC_ROLLOUT_REPORT_MS);
	relay->rollout_timer_runs = rollout != NULL;
}

static void on_timer(void *ctx)
{
	gc_relay_t *relay = ctx;
	gc_rollout_report_t report;

	for (const gc_service_rollout_t *rollout = relay->rollouts; rollout;
	     rollout = rollout->next) {
		if (!is_running(rollout) || !relay->conf.report_rollout)
			continue;
		report = (gc_rollout_report_t){
			.daemon = XXH64(relay->conf.instance.data,
					relay->conf.instance.len, 0),
			.elapsed_ms = -1,
		};
		gc_rollout_evidence_report(rollout->evidence, &report);
		relay->conf.report_rollout(relay->conf.share_ctx,
					   rollout->record->service, &report);
	}
	relay->rollout_timer_runs = false;
	set_timer(relay);
}

/*
 * Attempts after the first one, resumed streams and received requests go to the
 * target only if their stream began there. While the store can't be read, not even
 * these do: the version may have been taken back, and they count as requests.
 */
void gc_exchange_limit_versions(const gc_exchange_t *exchange,
				gc_backend_set_t *avoid)
{
	const gc_relay_t *relay = exchange->relay;
	const gc_service_rollout_t *rollout =
		find_rollout(relay, exchange->service);
	const gc_rollout_record_t *record;

	if (!rollout)
		return;
	record = rollout->record;
	avoid->barred = record->barred;
	avoid->n_barred = record->n_barred;
	if (!is_running(rollout))
		return;
	if (exchange->version.data && is_view_confirmed(relay))
		return;
	if (is_selected(exchange, record) && !avoid->only_version.data &&
	    select_servers(exchange, record, avoid))
		return;
	avoid->not_version = record->target;
}

static bool is_view_confirmed(const gc_relay_t *relay)
{
	return gc_is_confirmed_within(
		relay->conf.confirmed, gc_clock_now(relay->conf.clock),
		(int64_t)(MAX_VIEW_AGE *
			  (double)relay->conf.rollout_withdraw_ms));
}

/* Requests without an id would all be split alike. */
static bool is_selected(const gc_exchange_t *exchange,
			const gc_rollout_record_t *record)
{
	return exchange->attempts.sent == 0 && exchange->n_tried == 0 &&
	       exchange->n_hops == 0 && !exchange->received &&
	       !exchange->resumed && !exchange->version.data &&
	       !exchange->rollout_given_up && exchange->id.len > 0 &&
	       is_view_confirmed(exchange->relay) &&
	       gc_rollout_selects(record, route_hash(exchange), exchange->id);
}

/* Leaves out all but the servers at which the target is judged; false if none of
 * them can be used. */
static bool select_servers(const gc_exchange_t *exchange,
			   const gc_rollout_record_t *record,
			   gc_backend_set_t *avoid)
{
	const gc_relay_t *relay = exchange->relay;
	struct timespec now = gc_clock_now(relay->conf.clock);
	gc_backend_set_t judged = *avoid;
	size_t n = gc_backends_count_sound(relay->backends, now,
					   exchange->service, record->target);

	if (n == 0)
		return false;
	n = gc_rollout_n_judged_servers(record, n);
	judged.only_version = record->target;
	judged.judged_key = XXH64(exchange->service.data, exchange->service.len,
				  record->order);
	judged.last_judged =
		gc_backends_nth_judged(relay->backends, now, exchange->service,
				       record->target, judged.judged_key,
				       MAX(n, 1) - 1);
	if (!has_server(exchange, &judged))
		return false;
	*avoid = judged;
	return true;
}

/* One that lacks a permit is asked for one once. */
static bool has_server(const gc_exchange_t *exchange,
		       const gc_backend_set_t *avoid)
{
	const gc_relay_t *relay = exchange->relay;
	struct timespec now = gc_clock_now(relay->conf.clock);

	return gc_backends_choose_usable(relay->backends, now,
					 exchange->service, avoid) ||
	       (!exchange->permit_asked &&
		gc_backends_may_ask_usable(relay->backends, now,
					   exchange->service, avoid,
					   gc_exchange_rank(exchange)));
}

bool gc_exchange_may_go_to(const gc_exchange_t *exchange,
			   const gc_backend_t *server)
{
	gc_backend_set_t avoid;

	if (!find_rollout(exchange->relay, exchange->service))
		return true;
	avoid = gc_exchange_avoid(exchange);
	return !gc_backend_is_version_avoided(server, &avoid);
}

bool gc_exchange_is_barred(const gc_exchange_t *exchange, gc_str_t version)
{
	const gc_service_rollout_t *rollout =
		find_rollout(exchange->relay, exchange->service);

	return rollout && gc_rollout_is_barred(rollout->record, version);
}

bool gc_exchange_is_judged(const gc_exchange_t *exchange, gc_str_t version)
{
	const gc_service_rollout_t *rollout = find_running(exchange);

	return rollout && gc_str_eq(rollout->record->target, version);
}

void gc_exchange_give_up_target(gc_exchange_t *exchange)
{
	exchange->rollout_given_up = true;
}

static uint64_t route_hash(const gc_exchange_t *exchange)
{
	return gc_rollout_route_hash(exchange->route->name);
}

void gc_exchange_count_admitted(const gc_exchange_t *exchange)
{
	const gc_service_rollout_t *rollout = find_running(exchange);

	if (rollout && !exchange->received && !exchange->resumed)
		gc_rollout_evidence_count_request(rollout->evidence);
}

void gc_exchange_count_attempt(gc_exchange_t *exchange,
			       const gc_backend_t *server)
{
	const gc_service_rollout_t *rollout =
		exchange->hop ? NULL : find_running(exchange);

	exchange->rollout_order = 0;
	exchange->slow_reader = false;
	if (!rollout)
		return;
	exchange->rollout_order = rollout->record->order;
	exchange->rollout_target =
		gc_str_eq(gc_backend_version(server), rollout->record->target);
	if (exchange->rollout_target)
		gc_rollout_evidence_count_sent(rollout->evidence);
}

/* Of the order while which the attempt began; NULL if that has ended. */
static gc_rollout_evidence_t *find_evidence(const gc_exchange_t *exchange)
{
	const gc_service_rollout_t *rollout;

	if (exchange->rollout_order == 0 || exchange->hop)
		return NULL;
	rollout = find_running(exchange);
	return rollout && rollout->record->order == exchange->rollout_order
		       ? rollout->evidence
		       : NULL;
}

static void add_time(const gc_exchange_t *exchange,
		     gc_rollout_measure_t measure, int64_t ms)
{
	gc_rollout_evidence_t *evidence = find_evidence(exchange);

	if (evidence)
		gc_rollout_evidence_add_time(evidence, route_hash(exchange),
					     measure, exchange->rollout_target,
					     ms);
}

static int64_t attempt_ms(const gc_exchange_t *exchange)
{
	return gc_ms_between(exchange->attempt_started,
			     gc_clock_now(exchange->relay->conf.clock));
}

/* A server that goes on with a stream may have a copy of its memory, so that its
 * first event says nothing of the version. */
void gc_exchange_count_first_event(gc_exchange_t *exchange)
{
	exchange->rollout_first_id =
		gc_event_sequencer_last_id(exchange->sequencer);
	exchange->rollout_first_at = exchange->last_activity;
	if (!exchange->head_sent && !exchange->held_events &&
	    !exchange->resumed)
		add_time(exchange, GC_ROLLOUT_FIRST_EVENT,
			 attempt_ms(exchange));
}

void gc_exchange_count_response(const gc_exchange_t *exchange)
{
	gc_rollout_evidence_t *evidence = find_evidence(exchange);
	int status = exchange->answer->status;

	if (!evidence || !exchange->answer->identified ||
	    exchange->answer->not_run)
		return;
	if (status >= 500)
		gc_rollout_evidence_add_failure(evidence, route_hash(exchange),
						exchange->sequencer
							? GC_ROLLOUT_FIRST_EVENT
							: GC_ROLLOUT_ANSWER,
						exchange->rollout_target);
	else if (!exchange->sequencer && !exchange->slow_reader &&
		 (exchange->answer->success || status >= 300))
		add_time(exchange, GC_ROLLOUT_ANSWER, attempt_ms(exchange));
}

/* The time of a caller that reads slowly says nothing of the server. */
void gc_exchange_count_stream_end(const gc_exchange_t *exchange)
{
	int64_t n = gc_event_sequencer_last_id(exchange->sequencer) -
		    exchange->rollout_first_id;

	if (exchange->answer->received_event && n > 0 && !exchange->slow_reader)
		add_time(exchange, GC_ROLLOUT_EVENT_GAP,
			 gc_ms_between(exchange->rollout_first_at,
				       exchange->last_activity) /
				 n);
}

void gc_exchange_count_time_limit(const gc_exchange_t *exchange)
{
	if (!exchange->call || exchange->answer->status != 0 ||
	    exchange->answer->received_event)
		return;
	add_time(exchange,
		 exchange->sequencer ? GC_ROLLOUT_FIRST_EVENT
				     : GC_ROLLOUT_ANSWER,
		 attempt_ms(exchange));
}
