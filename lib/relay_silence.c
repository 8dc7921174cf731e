/*
 * Servers that take requests, acknowledge them and never answer this daemon. If
 * another daemon reaches one of them that gives this one no answer, the silence is
 * that of the link, and requests are passed on.
 */
#include "lib/relay_private.h"

/* Interval of looks while requests are open. */
#define LOOK_MS 100
/* Time for a server's answer to this daemon. */
#define ANSWER_TIMEOUT_MS 300

static void on_timer(void *ctx);
static bool find_silent(gc_relay_t *relay, struct timespec now);
static void check(gc_relay_t *relay, struct timespec now, gc_str_t service);
static void on_answer(void *ctx, int status, gc_str_t response,
		      gc_attempt_end_t end);
static void end_check(gc_relay_t *relay, bool answered);

void gc_relay_create_silence(gc_relay_t *relay)
{
	relay->silence_timer =
		gc_timer_create(relay, relay->conf.timers, on_timer, relay);
}

void gc_relay_destroy_silence(gc_relay_t *relay)
{
	if (relay->silence_query)
		gc_backend_query_destroy(relay->silence_query);
	relay->silence_query = NULL;
	gc_backend_unref(relay->silence_server);
	relay->silence_server = NULL;
}

void gc_relay_watch_silence(gc_relay_t *relay)
{
	if (!relay->hop_peers || relay->silence_watched)
		return;
	relay->silence_watched = true;
	gc_timer_set(relay->silence_timer, LOOK_MS);
}

static void on_timer(void *ctx)
{
	gc_relay_t *relay = ctx;
	struct timespec now = gc_clock_now(relay->conf.clock);
	const gc_fleet_view_t *view = relay->view;
	bool watched = find_silent(relay, now);

	for (size_t i = 0; i < view->n_servers; i++) {
		gc_str_t service = view->servers[i].service;

		watched |= gc_reach_n_silent(relay->reach, service) > 0;
		if (!relay->silence_server &&
		    gc_reach_may_ask(
			    relay->reach, now, service,
			    gc_backends_heard_at(relay->backends, service),
			    gc_backends_count(relay->backends, now, service)))
			check(relay, now, service);
	}
	relay->silence_watched = watched;
	if (watched)
		gc_timer_set(relay->silence_timer, LOOK_MS);
}

/* True if requests are open at servers. */
static bool find_silent(gc_relay_t *relay, struct timespec now)
{
	bool found = false;

	for (const gc_exchange_t *exchange = relay->exchanges; exchange;
	     exchange = exchange->next) {
		struct timespec since = exchange->attempt_started;
		struct timespec heard_at;

		if (!exchange->call || exchange->hop)
			continue;
		found = true;
		heard_at = gc_backend_heard_at(exchange->backend);
		if (gc_us_between(since, heard_at) > 0)
			since = heard_at;
		if (!exchange->read_paused &&
		    gc_ms_between(since, now) >= LOOK_MS)
			gc_reach_record_silent(
				relay->reach, now, exchange->service,
				gc_backend_incarnation(exchange->backend),
				since);
	}
	return found;
}

static void check(gc_relay_t *relay, struct timespec now, gc_str_t service)
{
	gc_backend_query_conf_t conf = {
		.upstream = relay->reach_upstream,
		.timers = relay->conf.timers,
		.method = "GET",
		.path = relay->conf.adapter->load_path,
		.body = GC_STR_EMPTY,
		.timeout_ms = ANSWER_TIMEOUT_MS,
		.done = on_answer,
		.ctx = relay,
	};
	gc_backend_t *server = gc_backends_nth(relay->backends, now, service,
					       relay->n_silence_checks++);
	uint64_t token = GC_WITNESS_SILENCE | relay->n_silence_checks;

	if (!server ||
	    !gc_relay_ask_witness(relay, token, gc_backend_incarnation(server)))
		return;
	relay->silence_token = token;
	relay->silence_reached = false;
	relay->silence_server = gc_backend_ref(server);
	relay->silence_query = gc_backend_query_start(relay, &conf, server);
}

static void on_answer(void *ctx, int status, gc_str_t response,
		      gc_attempt_end_t end)
{
	gc_relay_t *relay = ctx;

	/* The query frees itself after this callback. */
	talloc_steal(NULL, relay->silence_query);
	relay->silence_query = NULL;
	gc_upstream_close_idle(relay->reach_upstream, relay->silence_server);
	if (status != 0 || relay->silence_token == 0)
		end_check(relay, status != 0);
}

bool gc_relay_add_silence_verdict(gc_relay_t *relay, uint64_t token,
				  gc_witness_verdict_t verdict)
{
	if (!(token & GC_WITNESS_SILENCE))
		return false;
	if (!relay->silence_server || token != relay->silence_token)
		return true;
	relay->silence_token = 0;
	relay->silence_reached = verdict == GC_WITNESS_REACHED;
	if (!relay->silence_query)
		end_check(relay, false);
	return true;
}

static void end_check(gc_relay_t *relay, bool answered)
{
	gc_backend_t *server = relay->silence_server;
	gc_str_t service = gc_backend_service(server);
	struct timespec now = gc_clock_now(relay->conf.clock);
	size_t n_silent = gc_reach_n_silent(relay->reach, service);

	relay->silence_server = NULL;
	if (!answered && relay->silence_reached &&
	    gc_reach_record_muted(relay->reach, now, service,
				  gc_backends_heard_at(relay->backends,
						       service)))
		gc_relay_begin_tries(relay, service,
				     gc_backends_count(relay->backends, now,
						       service),
				     n_silent);
	gc_backend_unref(server);
}
