/* Prompts that crash backend servers. */
#include <xxhash.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/relay_private.h"

/* Time for the load report of a server that closed a connection. */
#define CRASH_QUERY_TIMEOUT_MS 300
/* The verdict stays for minutes unless a trial succeeds. */
#define UNSAFE_PROMPT_RETRY_AFTER_MS 30000
/* Servers that are asked whether this daemon reaches any. */
#define MAX_OTHERS 4
/* Services that the other daemons are told of at once. */
#define MAX_SHARED_SERVED 16

/*
 * Finds out whether a server crashed: it gives no load report, while another
 * server does. A daemon that is cut off gets none from any.
 */
typedef struct crash_check {
	gc_relay_t *relay;
	gc_crash_report_t report;
	gc_str_t request;
	gc_str_t service;
	gc_backend_t *server;
	/* Others that are asked one after another until one reports. */
	gc_backend_t *others[MAX_OTHERS];
	size_t n_others;
	bool asked_again;
	bool server_reported;
	bool other_reported;
	unsigned int n_pending; /* queries */
} crash_check_t;

static bool is_suspect(const gc_exchange_t *exchange);
static void refuse_suspect(gc_exchange_t *exchange);
static int crash_check_destructor(crash_check_t *check);
static void query_load(crash_check_t *check, gc_backend_t *server,
		       void (*done)(void *ctx, int status, gc_str_t response,
				    gc_attempt_end_t end));
static void on_server_report(void *ctx, int status, gc_str_t response,
			     gc_attempt_end_t end);
static void on_other_report(void *ctx, int status, gc_str_t response,
			    gc_attempt_end_t end);
static bool query_other(crash_check_t *check);
static void end_query(crash_check_t *check);
static char *format_traits(const gc_request_traits_t *traits);

void gc_exchange_read_traits(gc_exchange_t *exchange)
{
	const gc_adapter_t *adapter = exchange->relay->conf.adapter;
	gc_request_traits_t *traits = &exchange->traits;
	gc_str_t ids[GC_REQUEST_TRAITS_MAX];
	uint64_t seed = XXH64(exchange->service.data, exchange->service.len, 0);
	size_t n = adapter->shared_parts(
		gc_http_message_find_header(exchange->request,
					    adapter->headers.prompt),
		ids, GC_REQUEST_TRAITS_MAX);

	for (size_t i = 0; i < n; i++)
		gc_request_traits_add(traits,
				      XXH64(ids[i].data, ids[i].len, seed));
}

/* A server that sent an event of the last attempt didn't crash under its prompt.
 * That events came before, or that the caller resumes a stream, proves nothing
 * about the last server. */
static bool is_suspect(const gc_exchange_t *exchange)
{
	return exchange->traits.n > 0 && !exchange->received_event;
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
	case GC_SUSPECT_SEND:
		break;
	}
	return true;
}

static void refuse_suspect(gc_exchange_t *exchange)
{
	static const gc_refusal_t unsafe = {
		.status = 503,
		.code = "unsafe_prompt",
		.message = "backend servers crashed under this prompt",
		.retry_after_ms = UNSAFE_PROMPT_RETRY_AFTER_MS,
		.not_run = true,
	};
	g_autofree char *traits = format_traits(&exchange->traits);

	gc_log(GC_LOG_WARNING, GC_EVENT_PROMPT_BLOCKED, "prompt blocked",
	       "request", exchange->id.data, "traits", traits, NULL);
	gc_counter_add(gc_counter("goldcrest_prompts_blocked_total",
				  "Requests not sent because their prompt "
				  "crashes servers.",
				  NULL, NULL),
		       1);
	exchange->limit_reached = "prompt";
	if (exchange->attempts.may_have_run)
		gc_exchange_give_up(exchange, GC_DECISION_FAIL, GC_END_BROKEN);
	else
		gc_exchange_refuse(exchange, &unsafe);
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

void gc_exchange_check_crash(gc_exchange_t *exchange, gc_attempt_end_t end)
{
	gc_relay_t *relay = exchange->relay;
	crash_check_t *check;

	/* A server that pauses can't be asked, and isn't taken for crashed. */
	if (end != GC_END_BROKEN || !is_suspect(exchange) ||
	    gc_backend_is_pausing(exchange->backend,
				  gc_clock_now(relay->conf.clock)))
		return;
	/* The exchange may end before the queries. */
	check = talloc_zero(relay, crash_check_t);
	check->relay = relay;
	check->report.id = relay->conf.random->next(relay->conf.random->ctx);
	check->report.at_ms = g_get_real_time() / 1000;
	check->report.traits = exchange->traits;
	check->request = gc_str_dup(check, exchange->id);
	check->service = gc_str_dup(check, exchange->service);
	check->server = gc_backend_ref(exchange->backend);
	talloc_set_destructor(check, crash_check_destructor);
	query_load(check, check->server, on_server_report);
	/* Without another server nothing speaks against a crash. */
	check->other_reported = !query_other(check);
}

/* False if there is no other server to ask. */
static bool query_other(crash_check_t *check)
{
	gc_relay_t *relay = check->relay;
	gc_backend_t *asked[MAX_OTHERS + 1] = {check->server};
	gc_backend_set_t avoid = {asked, check->n_others + 1};
	gc_backend_t *other;

	for (size_t i = 0; i < check->n_others; i++)
		asked[i + 1] = check->others[i];
	if (check->n_others == MAX_OTHERS)
		return false;
	other = gc_backends_choose(relay->backends,
				   gc_clock_now(relay->conf.clock),
				   check->service, &avoid);
	if (!other)
		return false;
	check->others[check->n_others++] = gc_backend_ref(other);
	query_load(check, other, on_other_report);
	return true;
}

static int crash_check_destructor(crash_check_t *check)
{
	gc_backend_unref(check->server);
	for (size_t i = 0; i < check->n_others; i++)
		gc_backend_unref(check->others[i]);
	return 0;
}

static void query_load(crash_check_t *check, gc_backend_t *server,
		       void (*done)(void *ctx, int status, gc_str_t response,
				    gc_attempt_end_t end))
{
	gc_relay_t *relay = check->relay;
	gc_backend_query_conf_t conf = {
		.upstream = relay->upstream,
		.timers = relay->conf.timers,
		.method = "GET",
		.path = relay->conf.adapter->load_path,
		.body = GC_STR_EMPTY,
		.timeout_ms = CRASH_QUERY_TIMEOUT_MS,
		.done = done,
		.ctx = check,
	};

	check->n_pending++;
	gc_backend_query_start(relay, &conf, server);
}

static void on_server_report(void *ctx, int status, gc_str_t response,
			     gc_attempt_end_t end)
{
	crash_check_t *check = ctx;

	/* It may have gone out on a connection that the server reset together
	 * with the request's. */
	if (status == 0 && end == GC_END_BROKEN && !check->asked_again) {
		check->asked_again = true;
		check->n_pending--;
		query_load(check, check->server, on_server_report);
		return;
	}
	check->server_reported = status != 0;
	end_query(check);
}

static void on_other_report(void *ctx, int status, gc_str_t response,
			    gc_attempt_end_t end)
{
	crash_check_t *check = ctx;

	if (status != 0) {
		check->other_reported = true;
	} else {
		gc_backend_record_failure(
			check->others[check->n_others - 1],
			gc_clock_now(check->relay->conf.clock), end);
		query_other(check);
	}
	end_query(check);
}

static void end_query(crash_check_t *check)
{
	gc_relay_t *relay = check->relay;
	g_autofree char *traits = NULL;

	if (--check->n_pending > 0)
		return;
	if (!check->server_reported && check->other_reported) {
		traits = format_traits(&check->report.traits);
		gc_log(GC_LOG_WARNING, GC_EVENT_SERVER_CRASHED,
		       "server crashed under a request", "request",
		       check->request.data, "server",
		       gc_backend_id(check->server).data, "traits", traits,
		       NULL);
		gc_relay_add_crash(relay, &check->report, 0);
		if (relay->conf.share_crash)
			relay->conf.share_crash(relay->conf.share_ctx,
						&check->report);
	}
	talloc_free(check);
}

/* Comma-separated; free with g_free. */
static char *format_traits(const gc_request_traits_t *traits)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < traits->n; i++)
		g_string_append_printf(text, "%s%016" G_GINT64_MODIFIER "x",
				       i > 0 ? "," : "", traits->ids[i]);
	return g_string_free(text, FALSE);
}

void gc_relay_add_crash(gc_relay_t *relay, const gc_crash_report_t *report,
			uint64_t revision)
{
	gc_crash_suspects_add_report(relay->crash_suspects,
				     gc_clock_now(relay->conf.clock), report,
				     revision);
}

void gc_relay_add_served(gc_relay_t *relay, uint64_t trait, uint64_t revision)
{
	gc_crash_suspects_add_served(relay->crash_suspects,
				     gc_clock_now(relay->conf.clock), trait,
				     revision);
}
