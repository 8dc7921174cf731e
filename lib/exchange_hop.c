/*
 * Requests that another daemon runs. A daemon that reaches no server of a service
 * passes its callers' requests on to one that does, as one more attempt, and
 * forwards the response. The other daemon admits the request anew and runs it by
 * its own attempts, permits and versions; it never passes it on again.
 */
#include <stdlib.h>

#include "core/number.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/relay_private.h"

/*
 * Headers of the protocol between daemons. Requests have the name of the daemon
 * that passes them on, the version of the configuration by which it admitted them,
 * the number of servers that count towards max_attempts, the software version at
 * which a stream has to begin or go on, if that is decided, and that they record the
 * version of a stream. Each response says whether the request was run, and may name
 * the version of the server.
 */
#define HOP_PREFIX	   "goldcrest-hop"
#define HOP_HEADER	   "Goldcrest-Hop"
#define HOP_CONFIG_HEADER  "Goldcrest-Hop-Config"
#define HOP_SENT_HEADER	   "Goldcrest-Hop-Sent"
#define HOP_VERSION_HEADER "Goldcrest-Hop-Version"
#define HOP_RECORDS_HEADER "Goldcrest-Hop-Records"
#define HOP_RESULT_HEADER  "Goldcrest-Hop-Result"
#define RESULT_DONE	   "done"
#define RESULT_NOT_RUN	   "not-run"
/* Part of the request's time that is left for the way back. */
#define HOP_ALLOWANCE_MS 30
/* With less time left, a daemon could not serve the request. */
#define MIN_LEFT_MS 60
/* Requests of other daemons in progress at once. Each may hold 64 KiB of a
 * response and 128 KiB for a slow reader, of 96 MB in all. */
#define MAX_RECEIVED 256
/* Longest Retry-After that another daemon may name. */
#define RETURN_MAX_S 3600
/* Retry-After of a refusal by a daemon that others may be asked instead of. */
#define REFUSAL_RETRY_AFTER_MS 250
/* Interval at which a stream that has begun is offered again. */
#define ASK_AGAIN_MS 100
/* Daemons that are asked although they have refused or failed lately. */
#define MAX_HOPS_AT_REFUSERS 2

static bool use_kept_connection(gc_exchange_t *exchange);
static bool is_connected(void *ctx, const gc_backend_t *server);
static void end_here(gc_exchange_t *exchange);
static void ask_again(gc_exchange_t *exchange);
static gc_backend_t *choose_daemon(const gc_exchange_t *exchange);
static void log_hop(const gc_exchange_t *exchange, const gc_backend_t *daemon);
static bool is_denial(const gc_exchange_t *exchange,
		      const gc_http_message_t *response);
static uint64_t read_number(const gc_http_message_t *message, const char *name,
			    uint64_t fallback);
static void log_received(const gc_exchange_t *exchange, gc_log_event_t event,
			 const char *message);

bool gc_is_hop_header(gc_str_t name)
{
	size_t len = strlen(HOP_PREFIX);

	return name.len >= len &&
	       g_ascii_strncasecmp(name.data, HOP_PREFIX, len) == 0;
}

bool gc_exchange_leave_service(gc_exchange_t *exchange)
{
	int64_t left_ms =
		exchange->time_limit_ms - gc_exchange_elapsed_ms(exchange);
	gc_backend_t *daemon;

	if (!gc_relay_is_cut_off(exchange->relay, exchange->service))
		return false;
	if (gc_reach_has_kept(exchange->relay->reach,
			      gc_clock_now(exchange->relay->conf.clock),
			      exchange->service) &&
	    use_kept_connection(exchange))
		return true;
	daemon = left_ms >= MIN_LEFT_MS && !exchange->received
			 ? choose_daemon(exchange)
			 : NULL;
	if (!daemon) {
		end_here(exchange);
		return true;
	}
	log_hop(exchange, daemon);
	gc_counter_add(gc_counter("goldcrest_routed_passed_on_total",
				  "Requests passed on to another daemon, with "
				  "each that was asked.",
				  NULL, NULL),
		       1);
	gc_exchange_start_hop(exchange, daemon, left_ms - HOP_ALLOWANCE_MS);
	return true;
}

/* Connections that were open before may live on while new ones fail, or hang for
 * the time after which the kernel gives them up. */
static bool use_kept_connection(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	gc_backend_set_t avoid = gc_exchange_avoid(exchange);
	gc_backend_t *server = gc_backends_choose_if(
		relay->backends, gc_clock_now(relay->conf.clock),
		exchange->service, &avoid, is_connected, relay->upstream);

	if (!server)
		return false;
	gc_exchange_start_attempt(exchange, server,
				  exchange->time_limit_ms -
					  gc_exchange_elapsed_ms(exchange));
	return true;
}

static bool is_connected(void *ctx, const gc_backend_t *server)
{
	return gc_upstream_has_idle(ctx, server);
}

/*
 * Nobody is left to run the request. It is refused at once, so that its caller can
 * try another daemon. A stream that has begun waits: links or daemons may be back in
 * time, and its end would be a loss. One of another daemon is broken off, so that
 * that daemon can go on elsewhere.
 */
static void end_here(gc_exchange_t *exchange)
{
	if (!exchange->received)
		gc_relay_record_passing(exchange->relay, false);
	/* Nothing shows yet that the connection lives. */
	if (!exchange->received && gc_route_allows_rerun(exchange->route) &&
	    use_kept_connection(exchange))
		return;
	if (exchange->head_sent && !exchange->received) {
		ask_again(exchange);
		return;
	}
	exchange->limit_reached = "daemons";
	gc_exchange_give_up(exchange,
			    gc_attempts_final_decision(&exchange->attempts),
			    GC_END_UNREACHABLE);
}

/* Until the time limit. */
static void ask_again(gc_exchange_t *exchange)
{
	for (size_t i = 0; i < exchange->n_hops; i++)
		gc_backend_unref(exchange->hops[i]);
	exchange->n_hops = 0;
	exchange->waiting = true;
	gc_timer_set(exchange->retry_timer, ASK_AGAIN_MS);
}

/* Some daemons are asked even if all have refused or failed lately: one of them may
 * reach servers again. */
static gc_backend_t *choose_daemon(const gc_exchange_t *exchange)
{
	const gc_relay_t *relay = exchange->relay;
	gc_backend_set_t asked = {
		.list = exchange->hops,
		.n = exchange->n_hops,
	};

	if (exchange->n_hops == GC_EXCHANGE_MAX_HOPS)
		return NULL;
	return gc_hop_peers_choose(relay->hop_peers,
				   gc_clock_now(relay->conf.clock),
				   exchange->service, &asked,
				   exchange->n_hops < MAX_HOPS_AT_REFUSERS);
}

bool gc_exchange_has_further_hop(const gc_exchange_t *exchange)
{
	return exchange->relay->hop_peers && !exchange->received &&
	       choose_daemon(exchange) != NULL;
}

static void log_hop(const gc_exchange_t *exchange, const gc_backend_t *daemon)
{
	g_autofree char *service =
		g_strndup(exchange->service.data, exchange->service.len);
	g_autofree char *attempts =
		g_strdup_printf("%u", exchange->attempts.sent);

	gc_log(GC_LOG_INFO, GC_EVENT_ROUTED_PASSED_ON, "request passed on",
	       "request", exchange->id.data, "daemon",
	       gc_backend_id(daemon).data, "service", service, "attempts",
	       attempts, NULL);
}

GString *gc_exchange_hop_text(const gc_exchange_t *exchange, int64_t left_ms)
{
	const gc_relay_t *relay = exchange->relay;
	const gc_header_names_t *names = &relay->conf.adapter->headers;
	const gc_attempts_t *attempts = &exchange->attempts;
	/* Also the base version, while this daemon can't write records. */
	gc_str_t version = gc_exchange_avoid(exchange).only_version;
	gc_str_t key =
		gc_http_message_find_header(exchange->request, "authorization");
	GString *text = g_string_sized_new(
		1024 + gc_http_message_body(exchange->request).len);

	gc_exchange_append_forwarded(exchange, text);
	if (key.data)
		g_string_append_printf(text, "Authorization: %.*s\r\n",
				       GC_STR_ARG(key));
	g_string_append_printf(text, "%s: %" G_GINT64_FORMAT "\r\n",
			       names->deadline_ms, left_ms);
	if (exchange->sequencer &&
	    gc_event_sequencer_last_id(exchange->sequencer) != GC_EVENT_ID_NONE)
		g_string_append_printf(
			text, "Last-Event-Id: %" G_GINT64_FORMAT "\r\n",
			gc_event_sequencer_last_id(exchange->sequencer));
	/* This attempt is counted already. */
	g_string_append_printf(text,
			       HOP_HEADER
			       ": %.*s\r\n" HOP_CONFIG_HEADER
			       ": %" G_GUINT64_FORMAT "\r\n" HOP_SENT_HEADER
			       ": %u\r\n" HOP_RECORDS_HEADER ": 1\r\n",
			       GC_STR_ARG(relay->conf.instance),
			       gc_routes_version(exchange->view->routes),
			       attempts->sent - 1 -
				       MIN(attempts->lost + attempts->replaced,
					   attempts->sent - 1));
	if (version.data)
		g_string_append_printf(text, HOP_VERSION_HEADER ": %.*s\r\n",
				       GC_STR_ARG(version));
	gc_exchange_append_body(exchange, text);
	return text;
}

/* Without a result it isn't the response of a daemon that got the request. */
void gc_exchange_read_hop_head(gc_exchange_t *exchange, gc_answer_t *answer,
			       const gc_http_message_t *response)
{
	gc_str_t result =
		gc_http_message_find_header(response, HOP_RESULT_HEADER);
	gc_str_t version =
		gc_http_message_find_header(response, HOP_VERSION_HEADER);

	answer->identified = answer->identified && result.data;
	answer->misdirected = false;
	answer->not_run = answer->identified &&
			  (gc_str_eq(result, GC_STR_LIT(RESULT_NOT_RUN)) ||
			   is_denial(exchange, response));
	exchange->passed_on = answer->identified && !answer->not_run;
	if (exchange->passed_on)
		gc_relay_record_passing(exchange->relay, true);
	exchange->hop_version = gc_str_dup(exchange, version);
	if (answer->not_run) {
		double seconds = 0;

		gc_parse_decimal(gc_http_message_find_header(response,
							     "retry-after"),
				 RETURN_MAX_S, &seconds);
		exchange->hop_return_ms = (int64_t)(1000 * seconds);
	}
}

/*
 * A stream that has begun goes on under the configuration that admitted it, also if
 * the one of that daemon denies it. The response of a server names its version.
 */
static bool is_denial(const gc_exchange_t *exchange,
		      const gc_http_message_t *response)
{
	int status = gc_http_message_status(response);

	return (exchange->head_sent || exchange->held_events) &&
	       status >= 400 && status < 500 &&
	       !gc_http_message_find_header(response, HOP_VERSION_HEADER).data;
}

void gc_exchange_finish_hop(gc_exchange_t *exchange)
{
	if (!exchange->answer->identified) {
		gc_exchange_finish_attempt(
			exchange, GC_END_BROKEN,
			"the response isn't that of a daemon to the request");
	} else if (exchange->answer->not_run) {
		gc_exchange_finish_attempt(
			exchange, GC_END_UNREACHABLE,
			"the daemon did not run the request");
	} else if (exchange->head_sent || exchange->held_events) {
		gc_exchange_finish_attempt(
			exchange, GC_END_FAILED,
			"the daemon responded with an error status");
	} else {
		/* It has made the attempts that were left. */
		gc_backend_record_success(exchange->backend);
		gc_exchange_respond(exchange);
	}
}

static uint64_t read_number(const gc_http_message_t *message, const char *name,
			    uint64_t fallback)
{
	int64_t number;

	return gc_parse_whole(gc_http_message_find_header(message, name),
			      INT64_MAX, &number)
		       ? (uint64_t)number
		       : fallback;
}

const gc_refusal_t *gc_exchange_admit_received(gc_exchange_t *exchange)
{
	static const gc_refusal_t stale = {
		.status = 503,
		.code = "stale",
		.message = "the configuration is older than that of the daemon "
			   "that passed the request on",
		.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
		.not_run = true,
	};
	static const gc_refusal_t busy = {
		.status = 503,
		.code = "busy",
		.message = "too many requests of other daemons",
		.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
		.not_run = true,
	};
	static const gc_refusal_t leaving = {
		.status = 503,
		.code = "stopping",
		.message = "the daemon is stopping",
		.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
		.not_run = true,
	};
	const gc_relay_t *relay = exchange->relay;
	const gc_http_message_t *request = exchange->request;
	gc_str_t version;

	if (read_number(request, HOP_CONFIG_HEADER, G_MAXUINT64) >
	    gc_routes_version(relay->view->routes))
		return &stale;
	if (relay->stopping)
		return &leaving;
	if (relay->n_received >= MAX_RECEIVED)
		return &busy;
	/* One attempt is left, or the request wouldn't be passed on. */
	exchange->attempts.sent =
		(uint32_t)MIN(read_number(request, HOP_SENT_HEADER, 0),
			      MAX(exchange->route->max_attempts, 1) - 1);
	version = gc_http_message_find_header(request, HOP_VERSION_HEADER);
	if (version.data)
		exchange->version = gc_str_dup(exchange, version);
	exchange->recorded_by_peer =
		gc_http_message_find_header(request, HOP_RECORDS_HEADER).data !=
		NULL;
	log_received(exchange, GC_EVENT_ROUTED_RECEIVED,
		     "request of another daemon");
	gc_counter_add(gc_counter("goldcrest_routed_received_total",
				  "Requests that other daemons passed on.",
				  NULL, NULL),
		       1);
	return NULL;
}

/* A daemon that the list doesn't name yet, or didn't name since this one started, is
 * told so, as it can't tell a closed connection from a request that was run. */
const gc_refusal_t *gc_exchange_reject_unknown(const gc_exchange_t *exchange)
{
	static const gc_refusal_t unknown = {
		.status = 503,
		.code = "unknown_daemon",
		.message = "the request comes from the address of no daemon",
		.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
		.not_run = true,
	};

	log_received(exchange, GC_EVENT_ROUTED_UNKNOWN,
		     "request of an unknown daemon");
	return &unknown;
}

static void log_received(const gc_exchange_t *exchange, gc_log_event_t event,
			 const char *message)
{
	gc_str_t name =
		gc_http_message_find_header(exchange->request, HOP_HEADER);
	g_autofree char *daemon = g_strndup(name.data ? name.data : "",
					    MIN(name.len, GC_NAME_MAX));

	gc_log(GC_LOG_INFO, event, message, "request", exchange->id.data,
	       "daemon", daemon, NULL);
}

void gc_exchange_append_hop_result(const gc_exchange_t *exchange, GString *head)
{
	if (!exchange->received)
		return;
	g_string_append(head, HOP_RESULT_HEADER ": " RESULT_DONE "\r\n");
	if (exchange->sequencer)
		g_string_append_printf(
			head, HOP_VERSION_HEADER ": %.*s\r\n",
			GC_STR_ARG(gc_backend_version(exchange->backend)));
}

void gc_refusal_append_hop_result(const gc_refusal_t *refusal, GString *head)
{
	if (!refusal->received)
		return;
	/* What the newer configuration denies, no other daemon allows. */
	g_string_append(head,
			refusal->not_run && refusal->status == 503
				? HOP_RESULT_HEADER ": " RESULT_NOT_RUN "\r\n"
				: HOP_RESULT_HEADER ": " RESULT_DONE "\r\n");
}
