/* Requests that crash backend servers. */
#include <string.h>

#include <xxhash.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/relay_private.h"
#include "lib/request_hash.h"

/* The verdict stays for minutes unless a trial succeeds. */
#define UNSAFE_RETRY_AFTER_MS 30000
/* Interval of checks whether a server that was lost crashed. */
#define VERDICT_POLL_MS 25
/* Services that the other daemons are told of at once. */
#define MAX_SHARED_SERVED 16
/* Refused traits that they are told of again at once. */
#define MAX_SHARED_KEPT 8
/* Crashes of one moment are looked at together. */
#define KEEP_SOON_MS 100
/* The entry of a server that has started again has come within this time after its
 * first answer. */
#define ENTRY_MS 2000

static bool is_suspect(const gc_exchange_t *exchange);
static void refuse_suspect(gc_exchange_t *exchange);
static bool may_have_crashed(const gc_backend_t *server, struct timespec now);
static bool is_taken_for_crashed(const gc_relay_t *relay, struct timespec sent,
				 const gc_backend_t *server);
static void record_alive(gc_relay_t *relay, const gc_alive_t *alive);
static uint64_t domain_hash(const gc_backend_t *server);
static void settle(gc_relay_t *relay, const gc_crash_loss_t *loss,
		   bool crashed);
static char *format_traits(const gc_request_traits_t *traits);

void gc_exchange_read_traits(gc_exchange_t *exchange)
{
	const gc_adapter_t *adapter = exchange->relay->conf.adapter;
	gc_request_traits_t *traits = &exchange->traits;
	gc_str_t parts[GC_REQUEST_PARTS_MAX];
	uint64_t seed = XXH64(exchange->service.data, exchange->service.len, 0);
	gc_str_t prompt = gc_http_message_find_header(exchange->request,
						      adapter->headers.prompt);
	size_t n = adapter->shared_parts(prompt, parts, G_N_ELEMENTS(parts));

	traits->request = gc_request_hash(exchange->service, exchange->account,
					  prompt, exchange->request);
	for (size_t i = 0; i < n; i++)
		gc_request_traits_add_part(traits, XXH64(parts[i].data,
							 parts[i].len, seed));
}

/* A server that sent an event of the last attempt didn't crash under its prompt.
 * That events came before, or that the caller resumes a stream, proves nothing
 * about the last server. */
static bool is_suspect(const gc_exchange_t *exchange)
{
	return !exchange->answer->received_event;
}

bool gc_exchange_check_suspects(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;

	if (!is_suspect(exchange) || exchange->suspect_trial)
		return true;
	switch (gc_crash_suspects_judge(relay->crash_suspects,
					gc_clock_now(relay->conf.clock),
					&exchange->traits)) {
	case GC_SUSPECT_TRY:
		exchange->suspect_trial = true;
		return true;
	case GC_SUSPECT_REFUSE:
		refuse_suspect(exchange);
		return false;
	case GC_SUSPECT_WAIT:
		gc_timer_set(exchange->retry_timer, VERDICT_POLL_MS);
		return false;
	case GC_SUSPECT_SEND:
		break;
	}
	return true;
}

static void refuse_suspect(gc_exchange_t *exchange)
{
	bool has_prompt = exchange->traits.n_parts > 0;
	gc_refusal_t unsafe = {
		.status = 503,
		.code = has_prompt ? "unsafe_prompt" : "unsafe_request",
		.message = has_prompt
				   ? "backend servers crashed under this prompt"
				   : "backend servers crashed under this "
				     "request",
		.retry_after_ms = UNSAFE_RETRY_AFTER_MS,
		.not_run = true,
	};
	g_autofree char *traits = format_traits(&exchange->traits);

	gc_log(GC_LOG_WARNING, GC_EVENT_REQUEST_BLOCKED,
	       has_prompt ? "prompt blocked" : "request blocked", "request",
	       exchange->id.data, "traits", traits, NULL);
	gc_counter_add(has_prompt
			       ? gc_counter("goldcrest_prompts_blocked_total",
					    "Requests not sent because their "
					    "prompt crashes servers.",
					    NULL, NULL)
			       : gc_counter("goldcrest_requests_blocked_total",
					    "Requests without a prompt not "
					    "sent because they crash servers.",
					    NULL, NULL),
		       1);
	exchange->limit_reached = has_prompt ? "prompt" : "crashes";
	if (exchange->attempts.may_have_run)
		gc_exchange_give_up(exchange, GC_DECISION_FAIL, GC_END_BROKEN);
	else
		gc_exchange_refuse(exchange, &unsafe);
}

/*
 * A server that answers hasn't crashed, unless it has started again at its address:
 * its new entry in the store may come after its first answer.
 */
void gc_exchange_record_alive(const gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	gc_backend_t *server = exchange->backend;
	struct timespec now = gc_clock_now(relay->conf.clock);

	if (!is_taken_for_crashed(relay, exchange->attempt_started, server) ||
	    relay->n_alive == G_N_ELEMENTS(relay->alive))
		return;
	for (size_t i = 0; i < relay->n_alive; i++)
		if (relay->alive[i].server == server)
			return;
	relay->alive[relay->n_alive++] = (gc_alive_t){
		.server = gc_backend_ref(server),
		.sent = exchange->attempt_started,
		.due = gc_add_ms(now, ENTRY_MS),
	};
	if (relay->n_alive == 1)
		gc_timer_set(relay->alive_timer, ENTRY_MS);
}

static bool is_taken_for_crashed(const gc_relay_t *relay, struct timespec sent,
				 const gc_backend_t *server)
{
	return gc_crash_suspects_has_report(relay->crash_suspects, sent,
					    gc_backend_incarnation(server)) ||
	       gc_crash_checks_is_undecided(relay->crash_checks, sent, server);
}

void gc_relay_on_alive_timer(void *ctx)
{
	gc_relay_t *relay = ctx;
	struct timespec now = gc_clock_now(relay->conf.clock);
	size_t n = 0;

	while (n < relay->n_alive &&
	       gc_ms_between(now, relay->alive[n].due) <= 0)
		record_alive(relay, &relay->alive[n++]);
	relay->n_alive -= n;
	memmove(relay->alive, relay->alive + n,
		relay->n_alive * sizeof(*relay->alive));
	if (relay->n_alive > 0)
		gc_timer_set(relay->alive_timer,
			     gc_ms_between(now, relay->alive[0].due));
}

static void record_alive(gc_relay_t *relay, const gc_alive_t *alive)
{
	if (!gc_backends_has_successor(relay->backends, alive->server)) {
		gc_crash_suspects_record_alive(
			relay->crash_suspects, alive->sent,
			gc_backend_incarnation(alive->server));
		gc_crash_checks_record_alive(relay->crash_checks, alive->sent,
					     alive->server);
	}
	gc_backend_unref(alive->server);
}

void gc_exchange_record_served(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	struct timespec now = gc_clock_now(relay->conf.clock);
	uint64_t told[MAX_SHARED_SERVED];
	size_t n;

	gc_crash_suspects_record_served(relay->crash_suspects, now,
					&exchange->traits);
	n = gc_crash_suspects_take_served(relay->crash_suspects, now, told,
					  MAX_SHARED_SERVED);
	for (size_t i = 0; i < n; i++)
		if (relay->conf.share_served)
			relay->conf.share_served(relay->conf.share_ctx,
						 told[i]);
}

void gc_exchange_record_loss(gc_exchange_t *exchange, gc_backend_t *server,
			     gc_attempt_end_t end)
{
	gc_relay_t *relay = exchange->relay;
	struct timespec now = gc_clock_now(relay->conf.clock);
	gc_crash_report_t report = {
		.at_ms = g_get_real_time() / 1000,
		.resent = exchange->n_losses > 0,
		.traits = exchange->traits,
	};

	if (end != GC_END_BROKEN || !is_suspect(exchange) ||
	    !may_have_crashed(server, now))
		return;
	report.id = relay->conf.random->next(relay->conf.random->ctx);
	report.server = gc_backend_incarnation(server);
	report.domain = domain_hash(server);
	exchange->n_losses++;
	/* Counts at once, as the next attempt follows before the check ends. */
	gc_crash_suspects_add_loss(relay->crash_suspects, now, &report);
	gc_crash_checks_add(relay->crash_checks, exchange->service, server,
			    &report, exchange->id);
}

/* A server that pauses can't be asked, and isn't taken for crashed; one that leaves
 * ends with what still runs there; a brittle one falls over by what it turns away. */
static bool may_have_crashed(const gc_backend_t *server, struct timespec now)
{
	return gc_backend_brittle(server) == GC_NOT_BRITTLE &&
	       !gc_backend_is_pausing(server, now) &&
	       !gc_backend_is_leaving(server);
}

static uint64_t domain_hash(const gc_backend_t *server)
{
	gc_str_t domain = gc_backend_domain(server);
	gc_str_t service = gc_backend_service(server);

	return XXH64(domain.data, domain.len,
		     XXH64(service.data, service.len, 0));
}

/* False if there is no other daemon to ask. */
bool gc_relay_ask_witness(void *ctx, uint64_t token, uint64_t server)
{
	gc_relay_t *relay = ctx;
	const gc_fleet_view_t *view = relay->view;

	if (!relay->conf.ask_witness)
		return false;
	for (size_t i = 0; view && i < view->n_daemons; i++) {
		const gc_registry_entry_t *daemon = &view->daemons[i];

		if (daemon->peer_address.len == 0 ||
		    gc_str_eq(daemon->id, relay->conf.instance))
			continue;
		relay->conf.ask_witness(relay->conf.share_ctx, token, server);
		return true;
	}
	return false;
}

void gc_relay_add_verdict(gc_relay_t *relay, uint64_t token,
			  gc_witness_verdict_t verdict)
{
	if (!gc_relay_add_silence_verdict(relay, token, verdict))
		gc_crash_checks_add_verdict(relay->crash_checks, token,
					    verdict);
}

void gc_relay_on_losses_settled(void *ctx, const gc_backend_t *server,
				bool crashed, const gc_crash_loss_t *losses,
				size_t n)
{
	gc_relay_t *relay = ctx;
	g_autoptr(GArray) reports =
		g_array_new(FALSE, FALSE, sizeof(gc_crash_report_t));

	for (size_t i = 0; i < n; i++) {
		g_autofree char *traits = NULL;

		/* It is gone if the server turns out to have crashed later. */
		if (crashed)
			gc_crash_suspects_add_report(
				relay->crash_suspects,
				gc_clock_now(relay->conf.clock),
				&losses[i].report, losses[i].revision);
		settle(relay, &losses[i], crashed);
		if (!crashed || !losses[i].request)
			continue;
		traits = format_traits(&losses[i].report.traits);
		gc_log(GC_LOG_WARNING, GC_EVENT_SERVER_CRASHED,
		       "server crashed under a request", "request",
		       losses[i].request, "server", gc_backend_id(server).data,
		       "traits", traits, NULL);
		g_array_append_val(reports, losses[i].report);
	}
	if (reports->len > 0 && relay->conf.share_crash)
		relay->conf.share_crash(
			relay->conf.share_ctx,
			(const gc_crash_report_t *)reports->data, reports->len);
	gc_relay_keep_soon(relay);
}

static void settle(gc_relay_t *relay, const gc_crash_loss_t *loss, bool crashed)
{
	if (!crashed && !loss->request)
		gc_crash_suspects_refute(relay->crash_suspects,
					 loss->report.id);
	else
		gc_crash_suspects_settle(relay->crash_suspects, loss->report.id,
					 crashed);
}

/* The request's hash and the parts, comma-separated; free with g_free. */
static char *format_traits(const gc_request_traits_t *traits)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "%016" G_GINT64_MODIFIER "x",
			       traits->request);
	for (size_t i = 0; i < traits->n_parts; i++)
		g_string_append_printf(text, ",%016" G_GINT64_MODIFIER "x",
				       traits->parts[i]);
	return g_string_free(text, FALSE);
}

void gc_relay_add_crash(gc_relay_t *relay, const gc_crash_report_t *report,
			uint64_t revision, int64_t kept_ms, bool checked)
{
	struct timespec now = gc_clock_now(relay->conf.clock);
	gc_backend_t *server =
		checked ? NULL
			: gc_backends_find_incarnation(relay->backends,
						       report->server);

	/* That of a server which has gone can't be checked. */
	if (server && !gc_backends_has_successor(relay->backends, server)) {
		if (!may_have_crashed(server, now))
			return;
		gc_crash_suspects_add_loss(relay->crash_suspects, now, report);
		gc_crash_checks_add_claim(relay->crash_checks,
					  gc_backend_service(server), server,
					  report, revision);
	}
	gc_crash_suspects_add_report(relay->crash_suspects, now, report,
				     revision);
	if (kept_ms > 0)
		gc_crash_suspects_extend(relay->crash_suspects, now, report->id,
					 kept_ms);
	gc_relay_keep_soon(relay);
}

void gc_relay_keep_soon(gc_relay_t *relay)
{
	if (relay->keeps_soon ||
	    !gc_crash_suspects_has_due(relay->crash_suspects))
		return;
	relay->keeps_soon = true;
	gc_timer_set(relay->keep_timer, KEEP_SOON_MS);
}

void gc_relay_on_keep_timer(void *ctx)
{
	gc_relay_t *relay = ctx;
	gc_crash_evidence_t evidence[MAX_SHARED_KEPT];
	struct timespec now = gc_clock_now(relay->conf.clock);
	int64_t left_ms =
		GC_KEEP_INTERVAL_MS - gc_ms_between(relay->kept_at, now);
	size_t n;

	relay->keeps_soon = false;
	if (left_ms > 0) {
		n = gc_crash_suspects_keep_due(relay->crash_suspects, now,
					       evidence, MAX_SHARED_KEPT);
	} else {
		n = gc_crash_suspects_keep(relay->crash_suspects, now, evidence,
					   MAX_SHARED_KEPT);
		relay->kept_at = now;
		left_ms = GC_KEEP_INTERVAL_MS;
	}
	for (size_t i = 0; i < n; i++)
		if (relay->conf.share_kept)
			relay->conf.share_kept(relay->conf.share_ctx,
					       &evidence[i]);
	gc_timer_set(relay->keep_timer, left_ms);
	gc_relay_keep_soon(relay);
}

void gc_relay_add_served(gc_relay_t *relay, uint64_t trait, uint64_t revision)
{
	gc_crash_suspects_add_served(relay->crash_suspects,
				     gc_clock_now(relay->conf.clock), trait,
				     revision);
}
