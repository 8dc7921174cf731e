/* Choice of a backend server for the next attempt of a routed request. */
#include <xxhash.h>

#include "lib/relay_private.h"

/* Longest wait for a usable server before a response has begun, as a fraction of
 * target_latency_ms, or of the request's time if that is shorter; and the interval of
 * checks for one. */
#define SERVER_WAIT_FRACTION 0.125
#define SERVER_POLL_MS	     25
/* Time after which servers that turned a begun stream away are tried again. */
#define TURNED_AWAY_MS 200
/* Interval of checks for a server with room, each a load probe. */
#define ROOM_POLL_MS 100
/* Maximum number of servers whose load is queried before an attempt. */
#define LOAD_PROBE_SERVERS 4
/* A load report takes about a round trip; a server that does not report in time
 * isn't chosen. */
#define LOAD_PROBE_TIMEOUT_MS 40
/* Longest wait for the answer to an ask for a permit, before another server is
 * chosen. */
#define PERMIT_WAIT_MS 40
/* Permits for a server that is asked for its load before it gets a stream. */
#define PERMITS_WITH_QUERY 2
/* Most permits that are asked for at once. */
#define MAX_WANTED 32
/* Less urgent requests have the rank of this priority. */
#define MAX_PRIORITY 3U

static bool wait_for_permit(gc_exchange_t *exchange, struct timespec now);
static gc_backend_t *choose_to_ask(const gc_exchange_t *exchange,
				   struct timespec now, unsigned int rank,
				   bool *has_choice);
static bool asks_for_load(const gc_exchange_t *exchange);
static void end_without_time(gc_exchange_t *exchange);
static void end_without_version(gc_exchange_t *exchange);
static bool start_load_probe(gc_exchange_t *exchange, struct timespec now);
static void on_load_probe_done(void *ctx);
static gc_backend_t *best_of(const gc_exchange_t *exchange,
			     const gc_backend_set_t *servers);
static void start_at(gc_exchange_t *exchange, gc_backend_t *backend,
		     int64_t left_ms);
static bool may_start(const gc_exchange_t *exchange,
		      const gc_backend_t *backend);
static double max_wait_ms(const gc_exchange_t *exchange);
static void wait_for_room(gc_exchange_t *exchange);
static void wait_for_server(gc_exchange_t *exchange);
static void ask_for(gc_exchange_t *exchange, gc_backend_t *server,
		    struct timespec now);
static gint compare_waiting(gconstpointer a, gconstpointer b);
static bool may_servers_return(const gc_exchange_t *exchange);
static bool may_wait_for_full(gc_exchange_t *exchange);
static bool forget_full(gc_exchange_t *exchange);
static void wait_for_return(gc_exchange_t *exchange);
static bool is_wait_useless(const gc_exchange_t *exchange, double max_wait_ms);

void gc_exchange_start_next_attempt(gc_exchange_t *exchange)
{
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);
	int64_t left_ms =
		exchange->time_limit_ms - gc_exchange_elapsed_ms(exchange);
	gc_backend_set_t avoid = gc_exchange_avoid(exchange);
	gc_backend_t *backend;

	exchange->waiting = false;
	gc_timer_stop(exchange->retry_timer);
	if (left_ms > 0 && exchange->attempts.begun &&
	    exchange->n_tried == GC_EXCHANGE_MAX_TRIED) {
		wait_for_return(exchange);
		return;
	}
	if (left_ms <= 0 || exchange->n_tried == GC_EXCHANGE_MAX_TRIED) {
		end_without_time(exchange);
		return;
	}
	if (exchange->version.data &&
	    gc_exchange_is_barred(exchange, exchange->version)) {
		end_without_version(exchange);
		return;
	}
	if (exchange->resume_holder &&
	    !gc_exchange_may_go_to(exchange, exchange->resume_holder)) {
		gc_backend_unref(exchange->resume_holder);
		exchange->resume_holder = NULL;
	}
	if (!gc_exchange_check_suspects(exchange) ||
	    gc_exchange_leave_service(exchange) ||
	    wait_for_permit(exchange, now))
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
				     exchange->service, &avoid);
	if (backend)
		gc_exchange_start_attempt(exchange, backend, left_ms);
	else
		wait_for_server(exchange);
}

/*
 * True if the server that the request should go to is limited or brittle, and a
 * permit or a place was asked for. Once the answer is there, or late, the choice is
 * made again.
 */
static bool wait_for_permit(gc_exchange_t *exchange, struct timespec now)
{
	gc_relay_t *relay = exchange->relay;
	unsigned int rank = gc_exchange_rank(exchange);
	gc_backend_t *server = exchange->resume_holder;
	bool has_choice = false;

	if (server && !gc_backend_may_ask_any(server, now, rank))
		server = NULL;
	if (!server &&
	    gc_backends_is_restricted(relay->backends, exchange->service))
		server = choose_to_ask(exchange, now, rank, &has_choice);
	if (!server || (has_choice && exchange->permit_asked))
		return false;
	exchange->permit_asked = true;
	exchange->waiting = true;
	ask_for(exchange, server, now);
	gc_timer_set(exchange->retry_timer, PERMIT_WAIT_MS);
	return true;
}

static void ask_for(gc_exchange_t *exchange, gc_backend_t *server,
		    struct timespec now)
{
	unsigned int rank = gc_exchange_rank(exchange);

	if (gc_backend_limit(server) != GC_NO_LIMIT &&
	    gc_backend_may_ask(server, now, rank))
		gc_relay_ask_permits(exchange->relay, server, exchange);
	if (gc_backend_brittle(server) != GC_NOT_BRITTLE &&
	    gc_backend_may_ask_place(server, now, rank))
		gc_relay_ask_places(exchange->relay, server, exchange);
}

/*
 * The server that would be chosen, or asked for its load, if this daemon had a
 * permit or a place; NULL if there is none. *has_choice: others can be chosen.
 */
static gc_backend_t *choose_to_ask(const gc_exchange_t *exchange,
				   struct timespec now, unsigned int rank,
				   bool *has_choice)
{
	gc_relay_t *relay = exchange->relay;
	gc_backend_set_t avoid = gc_exchange_avoid(exchange);
	gc_backend_t *candidates[LOAD_PROBE_SERVERS];
	gc_backend_t *least = NULL;
	size_t n;

	if (!asks_for_load(exchange)) {
		least = gc_backends_choose(relay->backends, now,
					   exchange->service, &avoid);
		*has_choice = least != NULL;
	} else {
		n = gc_backends_candidates(relay->backends, now,
					   exchange->service, exchange->prompt,
					   &avoid, candidates,
					   LOAD_PROBE_SERVERS);
		*has_choice = n > 0;
		if (n == LOAD_PROBE_SERVERS)
			least = candidates[n - 1];
	}
	return gc_backends_choose_to_ask(relay->backends, now,
					 exchange->service, exchange->prompt,
					 &avoid, least, rank);
}

static bool asks_for_load(const gc_exchange_t *exchange)
{
	const gc_route_service_t *service = gc_routes_find_service(
		exchange->view->routes, exchange->service);

	return service && service->reports_load;
}

/*
 * What has begun goes first, then what can't be repeated, then the more urgent
 * of the rest: the route's priority, or its account's.
 */
unsigned int gc_exchange_rank(const gc_exchange_t *exchange)
{
	uint32_t priority = gc_routes_priority(
		exchange->view->routes, exchange->route, exchange->account);
	bool repeatable = gc_route_allows_rerun(exchange->route);

	if (exchange->head_sent || exchange->attempts.sent > 0 ||
	    (exchange->prompt && exchange->prompt->resumed))
		return GC_PERMIT_RANK_BEGUN;
	return 1 + MIN(priority, MAX_PRIORITY) +
	       (repeatable ? MAX_PRIORITY + 1 : 0);
}

void gc_relay_ask_permits(gc_relay_t *relay, gc_backend_t *server,
			  const gc_exchange_t *exchange)
{
	gc_permit_ask_t ask = {
		.wanted = asks_for_load(exchange) ? PERMITS_WITH_QUERY : 1,
		.rank = gc_exchange_rank(exchange),
		.account =
			XXH64(exchange->account.data, exchange->account.len, 0),
	};

	for (const gc_exchange_t *other = relay->exchanges; other;
	     other = other->next)
		if (other->waiting && other != exchange &&
		    gc_str_eq(other->service, exchange->service) &&
		    ask.wanted < MAX_WANTED)
			ask.wanted++;
	gc_backend_begin_ask(server, gc_clock_now(relay->conf.clock), &ask);
	relay->conf.ask_permits(relay->conf.share_ctx, &ask);
}

/* An ask that wants nothing. */
void gc_relay_report_limit_end(gc_relay_t *relay, gc_backend_t *server)
{
	gc_permit_ask_t ask = {0};

	gc_backend_begin_ask(server, gc_clock_now(relay->conf.clock), &ask);
	relay->conf.ask_permits(relay->conf.share_ctx, &ask);
}

void gc_relay_add_permits(gc_relay_t *relay, const gc_permit_answer_t *answer)
{
	const gc_backend_t *server = gc_backends_record_permits(
		relay->backends, gc_clock_now(relay->conf.clock), answer);

	if (server)
		gc_relay_start_waiting(relay, gc_backend_service(server));
}

/* Those that go first choose first; each of them may end, but no other. */
void gc_relay_start_waiting(gc_relay_t *relay, gc_str_t service)
{
	GPtrArray *waiting = g_ptr_array_new();

	for (gc_exchange_t *exchange = relay->exchanges; exchange;
	     exchange = exchange->next)
		if (exchange->waiting && gc_str_eq(exchange->service, service))
			g_ptr_array_add(waiting, exchange);
	g_ptr_array_sort(waiting, compare_waiting);
	for (guint i = 0; i < waiting->len; i++)
		gc_exchange_start_next_attempt(g_ptr_array_index(waiting, i));
	g_ptr_array_unref(waiting);
}

static gint compare_waiting(gconstpointer a, gconstpointer b)
{
	const gc_exchange_t *left = *(gc_exchange_t *const *)a;
	const gc_exchange_t *right = *(gc_exchange_t *const *)b;
	unsigned int left_rank = gc_exchange_rank(left);
	unsigned int right_rank = gc_exchange_rank(right);

	if (left_rank != right_rank)
		return left_rank < right_rank ? -1 : 1;
	return gc_ms_between(left->arrived, right->arrived) < 0 ? 1 : -1;
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

/* The stream's version gets nothing new since a roll-out was decided. */
static void end_without_version(gc_exchange_t *exchange)
{
	exchange->limit_reached = "version";
	gc_exchange_give_up(exchange,
			    gc_attempts_final_decision(&exchange->attempts),
			    GC_END_UNREACHABLE);
}

/* True if a load probe was started; its completion starts the attempt. */
static bool start_load_probe(gc_exchange_t *exchange, struct timespec now)
{
	gc_relay_t *relay = exchange->relay;
	gc_backend_set_t avoid = gc_exchange_avoid(exchange);
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

	if (!asks_for_load(exchange))
		return false;
	n = gc_backends_candidates(relay->backends, now, exchange->service,
				   exchange->prompt, &avoid, candidates,
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
	gc_backend_set_t unreported = gc_load_probe_unreported(probe);
	gc_backend_set_t lost = gc_load_probe_lost(probe);
	gc_backend_t *backend = best_of(exchange, &responded);
	gc_backend_t *other = best_of(exchange, &unreported);

	/* Of those without a report only this daemon's own requests are known. */
	if (other && (!backend || !may_start(exchange, backend)))
		backend = other;
	exchange->load_probe = NULL;
	if (responded.n + unreported.n > 0)
		gc_relay_record_response(exchange->relay, exchange->service,
					 false);
	else
		gc_relay_record_lost(exchange->relay, &lost);
	if (left_ms <= 0)
		end_without_time(exchange);
	else if (gc_exchange_check_suspects(exchange))
		start_at(exchange, backend, left_ms);
	gc_load_probe_destroy(probe);
}

/* Versions may have been barred since the servers were asked. */
static gc_backend_t *best_of(const gc_exchange_t *exchange,
			     const gc_backend_set_t *servers)
{
	gc_backend_t *allowed[LOAD_PROBE_SERVERS];
	gc_backend_set_t set = {.list = allowed};

	for (size_t i = 0; i < servers->n; i++)
		if (gc_exchange_may_go_to(exchange, servers->list[i]))
			allowed[set.n++] = servers->list[i];
	return gc_backends_best_of(exchange->relay->backends,
				   gc_clock_now(exchange->relay->conf.clock),
				   exchange->prompt, &set);
}

/* backend: the best of those that responded to the load queries, or NULL. */
static void start_at(gc_exchange_t *exchange, gc_backend_t *backend,
		     int64_t left_ms)
{
	if (!backend && gc_exchange_leave_service(exchange))
		return;
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

static double max_wait_ms(const gc_exchange_t *exchange)
{
	return SERVER_WAIT_FRACTION *
	       (double)MIN(exchange->route->target_latency_ms,
			   exchange->time_limit_ms);
}

static void wait_for_room(gc_exchange_t *exchange)
{
	gc_exchange_give_up_target(exchange);
	if ((double)gc_exchange_elapsed_ms(exchange) < max_wait_ms(exchange)) {
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
	double wait_ms = exchange->head_sent
				 ? (double)exchange->route->target_gap_ms
				 : max_wait_ms(exchange);
	int64_t waited_ms =
		exchange->n_tried > 0
			? gc_ms_between(
				  exchange->attempt_ended,
				  gc_clock_now(exchange->relay->conf.clock))
			: gc_exchange_elapsed_ms(exchange);

	gc_exchange_give_up_target(exchange);
	if (exchange->head_sent &&
	    (exchange->left_silent || may_servers_return(exchange))) {
		wait_for_return(exchange);
		return;
	}
	if (may_wait_for_full(exchange) ||
	    ((double)waited_ms < wait_ms &&
	     !is_wait_useless(exchange, wait_ms - (double)waited_ms))) {
		exchange->waiting = true;
		gc_timer_set(exchange->retry_timer, SERVER_POLL_MS);
		return;
	}
	exchange->limit_reached = "servers";
	gc_exchange_give_up(exchange,
			    gc_attempts_final_decision(&exchange->attempts),
			    GC_END_UNREACHABLE);
}

/* What its servers lack comes back by itself, unless they have left for good. A
 * stream of another daemon ends, so that that daemon can go on elsewhere. */
static bool may_servers_return(const gc_exchange_t *exchange)
{
	return !exchange->received &&
	       gc_backends_has_version(exchange->relay->backends,
				       exchange->service, exchange->version);
}

/*
 * The end of a request that may have run is a failure to its caller. Servers that
 * are only full have room for it before long, as what has begun goes first; it
 * waits until its time limit.
 */
static bool may_wait_for_full(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	gc_backend_set_t avoid;

	if (!exchange->attempts.may_have_run && !exchange->head_sent)
		return false;
	if (forget_full(exchange))
		return true;
	avoid = gc_exchange_avoid(exchange);
	return gc_backends_has_full(relay->backends,
				    gc_clock_now(relay->conf.clock),
				    exchange->service, &avoid);
}

/* Brittle servers that turned the request away can be tried again with a place.
 * True if there was any. */
static bool forget_full(gc_exchange_t *exchange)
{
	size_t n = 0;

	for (size_t i = 0; i < exchange->n_tried; i++) {
		gc_backend_t *server = exchange->tried[i];

		if (exchange->turned_away[i] &&
		    gc_backend_brittle(server) != GC_NOT_BRITTLE) {
			gc_backend_unref(server);
			continue;
		}
		exchange->turned_away[n] = exchange->turned_away[i];
		exchange->tried[n++] = server;
	}
	if (n == exchange->n_tried)
		return false;
	exchange->n_tried = n;
	return true;
}

/*
 * A stream that has lost or left its server and finds no other one goes back: all
 * of them may be silent, cut off or pausing for the same moment. It waits until its
 * time limit. A server is tried again once its ejection has ended.
 */
static void wait_for_return(gc_exchange_t *exchange)
{
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);
	bool too_early =
		gc_ms_between(exchange->attempt_ended, now) < TURNED_AWAY_MS;
	size_t n = 0;

	for (size_t i = 0; i < exchange->n_tried; i++) {
		gc_backend_t *server = exchange->tried[i];

		if (gc_backend_is_sound(server, now) &&
		    server != exchange->standby.backend &&
		    !(too_early && exchange->turned_away[i])) {
			gc_backend_unref(server);
		} else {
			exchange->turned_away[n] = exchange->turned_away[i];
			exchange->tried[n++] = server;
		}
	}
	exchange->n_tried = n;
	exchange->waiting = true;
	gc_timer_set(exchange->retry_timer, SERVER_POLL_MS);
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
	gc_exchange_t *exchange = ctx;

	if (exchange->awaits_retry)
		gc_exchange_on_retry_turn(exchange);
	else
		gc_exchange_start_next_attempt(exchange);
}
