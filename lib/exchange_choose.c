/* Choice of a backend server for the next attempt of a routed request. */
#include "lib/relay_private.h"

/* Longest wait for a usable server before a response has begun, as a fraction
 * of target_latency_ms; and the interval of checks for one. */
#define SERVER_WAIT_FRACTION 0.125
#define SERVER_POLL_MS	     25
/* Interval of checks for a server with room, each a load probe. */
#define ROOM_POLL_MS 100
/* Maximum number of servers whose load is queried before an attempt. */
#define LOAD_PROBE_SERVERS 4
/* A load report takes about a round trip; a server that does not report in time
 * isn't chosen. */
#define LOAD_PROBE_TIMEOUT_MS 40

static void end_without_time(gc_exchange_t *exchange);
static bool start_load_probe(gc_exchange_t *exchange, struct timespec now);
static void on_load_probe_done(void *ctx);
static void start_at(gc_exchange_t *exchange, gc_backend_t *backend,
		     int64_t left_ms);
static bool may_start(const gc_exchange_t *exchange,
		      const gc_backend_t *backend);
static void wait_for_room(gc_exchange_t *exchange);
static void wait_for_server(gc_exchange_t *exchange);
static bool is_wait_useless(const gc_exchange_t *exchange, double max_wait_ms);

void gc_exchange_start_next_attempt(gc_exchange_t *exchange)
{
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);
	int64_t left_ms =
		exchange->time_limit_ms - gc_exchange_elapsed_ms(exchange);
	gc_backend_set_t tried = {exchange->tried, exchange->n_tried};
	gc_backend_t *backend;

	if (left_ms <= 0 || exchange->n_tried == GC_EXCHANGE_MAX_TRIED) {
		end_without_time(exchange);
		return;
	}
	if (!gc_exchange_check_suspects(exchange))
		return;
	if (exchange->resume_holder &&
	    gc_backend_usable(exchange->resume_holder, now)) {
		gc_exchange_start_attempt(exchange, exchange->resume_holder,
					  left_ms);
		return;
	}
	gc_backend_unref(exchange->resume_holder);
	exchange->resume_holder = NULL;
	if (start_load_probe(exchange, now))
		return;
	backend = gc_backends_choose(exchange->relay->backends, now,
				     exchange->service, &tried);
	if (backend)
		gc_exchange_start_attempt(exchange, backend, left_ms);
	else
		wait_for_server(exchange);
}

/* Ends a request that has no time or no servers left to try. */
static void end_without_time(gc_exchange_t *exchange)
{
	exchange->limit_reached =
		exchange->n_tried < GC_EXCHANGE_MAX_TRIED ? "time" : "attempts";
	gc_exchange_give_up(exchange,
			    gc_attempts_final_decision(&exchange->attempts),
			    GC_END_TIMED_OUT);
}

/* True if a load probe was started; its completion starts the attempt. */
static bool start_load_probe(gc_exchange_t *exchange, struct timespec now)
{
	gc_relay_t *relay = exchange->relay;
	const gc_route_service_t *service = gc_routes_find_service(
		exchange->view->routes, exchange->service);
	gc_backend_set_t tried = {exchange->tried, exchange->n_tried};
	gc_backend_t *candidates[LOAD_PROBE_SERVERS];
	gc_load_probe_conf_t conf = {
		.upstream = relay->upstream,
		.timers = relay->conf.timers,
		.clock = relay->conf.clock,
		.adapter = relay->conf.adapter,
		.timeout_ms = LOAD_PROBE_TIMEOUT_MS,
		.done = on_load_probe_done,
		.ctx = exchange,
	};
	size_t n;

	if (!service || !service->reports_load)
		return false;
	n = gc_backends_candidates(relay->backends, now, exchange->service,
				   exchange->prompt, &tried, candidates,
				   LOAD_PROBE_SERVERS);
	if (n < 2)
		return false;
	/* Not a child of the exchange, which on_load_probe_done may free. */
	exchange->load_probe = gc_load_probe_start(relay, &conf, candidates, n);
	return true;
}

static void on_load_probe_done(void *ctx)
{
	gc_exchange_t *exchange = ctx;
	gc_load_probe_t *probe = exchange->load_probe;
	int64_t left_ms =
		exchange->time_limit_ms - gc_exchange_elapsed_ms(exchange);
	gc_backend_set_t responded = gc_load_probe_responded(probe);
	gc_backend_t *backend =
		gc_backends_best_of(exchange->relay->backends,
				    gc_clock_now(exchange->relay->conf.clock),
				    exchange->prompt, &responded);

	exchange->load_probe = NULL;
	if (left_ms <= 0)
		end_without_time(exchange);
	else if (gc_exchange_check_suspects(exchange))
		start_at(exchange, backend, left_ms);
	gc_load_probe_destroy(probe);
}

/* backend: the best of those that reported their load, or NULL. */
static void start_at(gc_exchange_t *exchange, gc_backend_t *backend,
		     int64_t left_ms)
{
	if (!backend)
		wait_for_server(exchange);
	else if (may_start(exchange, backend))
		gc_exchange_start_attempt(exchange, backend, left_ms);
	else
		wait_for_room(exchange);
}

/* What has begun goes before what is new: its caller has a part of it. */
static bool may_start(const gc_exchange_t *exchange,
		      const gc_backend_t *backend)
{
	return !exchange->prompt || exchange->prompt->resumed ||
	       exchange->head_sent || exchange->attempts.sent > 0 ||
	       gc_backend_has_room(backend,
				   gc_clock_now(exchange->relay->conf.clock),
				   exchange->prompt);
}

static void wait_for_room(gc_exchange_t *exchange)
{
	double max_wait_ms = SERVER_WAIT_FRACTION *
			     (double)exchange->route->target_latency_ms;

	if ((double)gc_exchange_elapsed_ms(exchange) < max_wait_ms) {
		gc_timer_set(exchange->retry_timer, ROOM_POLL_MS);
		return;
	}
	gc_exchange_refuse_overload(exchange);
}

/*
 * The wait is short: an early refusal is better than a late one. It counts from
 * the end of the last attempt, so that a request that left a server late can
 * still wait for others that are silent for a moment. There is none if all
 * servers pause for longer.
 */
static void wait_for_server(gc_exchange_t *exchange)
{
	double max_wait_ms =
		exchange->head_sent
			? (double)exchange->route->target_gap_ms
			: SERVER_WAIT_FRACTION *
				  (double)exchange->route->target_latency_ms;
	int64_t waited_ms =
		exchange->n_tried > 0
			? gc_ms_between(
				  exchange->attempt_ended,
				  gc_clock_now(exchange->relay->conf.clock))
			: gc_exchange_elapsed_ms(exchange);

	if ((double)waited_ms < max_wait_ms &&
	    !is_wait_useless(exchange, max_wait_ms - (double)waited_ms)) {
		gc_timer_set(exchange->retry_timer, SERVER_POLL_MS);
		return;
	}
	exchange->limit_reached = "servers";
	gc_exchange_give_up(exchange,
			    gc_attempts_final_decision(&exchange->attempts),
			    GC_END_UNREACHABLE);
}

/* What has begun waits in any case: a new server may appear, and its end would
 * be a failure, not a refusal. */
static bool is_wait_useless(const gc_exchange_t *exchange, double max_wait_ms)
{
	gc_relay_t *relay = exchange->relay;
	int64_t left_ms =
		exchange->time_limit_ms - gc_exchange_elapsed_ms(exchange);
	int64_t return_ms =
		gc_backends_earliest_return(relay->backends,
					    gc_clock_now(relay->conf.clock),
					    exchange->service);

	return !exchange->head_sent &&
	       gc_attempts_final_decision(&exchange->attempts) ==
		       GC_DECISION_REFUSE &&
	       (double)return_ms > MIN(max_wait_ms, (double)left_ms);
}

void gc_exchange_on_retry(void *ctx)
{
	gc_exchange_start_next_attempt(ctx);
}
