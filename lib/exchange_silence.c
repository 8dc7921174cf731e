/*
 * Servers that send nothing: whether a request is left with its server, which may
 * only be busy or slow, or goes on elsewhere.
 */
#include "core/request_time.h"
#include "lib/relay_private.h"

/* Inactivity after which a stream fails over, as a fraction of the route's
 * target_gap_ms. The rest is left for the next server's first event. */
#define EVENT_GAP_FRACTION 0.55
/* The same before the first event, as a fraction of target_latency_ms. A server
 * that processes a long prompt sends nothing for seconds; exchange_link.c detects
 * an unreachable one earlier. */
#define FIRST_EVENT_FRACTION 1.0
/* For routes without target_latency_ms or target_gap_ms. */
#define DEFAULT_INACTIVITY_MS 5000
/* Share of the time left, at the start of the attempt or at the last event, after which
 * a silent server is left or joined by another one in any case; and the shortest such
 * time, of a stream while engines may be busy with other prompts. */
#define SILENCE_SHARE	      0.5
#define MIN_SILENCE_MS	      100
#define MIN_STREAM_SILENCE_MS 500
/* Share of the time left for a load report of a silent server, and its shortest time. */
#define QUERY_SHARE  0.25
#define MIN_QUERY_MS 50
/* Pause between such reports, as a fraction of the limit. */
#define SILENCE_QUERY_FRACTION 0.25
/* A timer that fires this late shows that the daemon itself was stalled. */
#define DAEMON_STALL_MS 150
/* Interval of checks for another server while the inactive one is kept. */
#define FAILOVER_POLL_MS 50
/* Limit for a request that was passed on, in limits of a server. */
#define HOP_FACTOR 2
/* Time to read what arrived while the daemon was stalled. */
#define STALL_CATCH_UP_MS 60

static const char INACTIVE[] =
	"the server sent nothing within the inactivity limit";

static int64_t route_inactivity_ms(const gc_exchange_t *exchange);
static int64_t query_timeout_ms(const gc_exchange_t *exchange);
static bool has_other_server(const gc_exchange_t *exchange,
			     struct timespec now);
static bool keeps_silent(gc_exchange_t *exchange,
			 const gc_backend_load_t *load);
static void start_silence_query(gc_exchange_t *exchange);
static void check_gap(gc_exchange_t *exchange, struct timespec now);
static void check_gap_later(gc_exchange_t *exchange, struct timespec now,
			    int64_t ms);
static void ask_in_gap(gc_exchange_t *exchange, struct timespec now,
		       bool is_over_limit, int64_t timeout_ms);
static void leave_in_gap(gc_exchange_t *exchange, struct timespec now);
static void on_gap_report(void *ctx, int status, gc_str_t response,
			  gc_attempt_end_t end);
static void on_silence_report(void *ctx, int status, gc_str_t response,
			      gc_attempt_end_t end);

int64_t gc_exchange_inactivity_ms(const gc_exchange_t *exchange)
{
	struct timespec since = exchange->answer->received_event
					? exchange->last_activity
					: exchange->attempt_started;
	int64_t left_ms = exchange->time_limit_ms -
			  gc_ms_between(exchange->arrived, since);

	/* The other daemon leaves a silent server itself. */
	if (exchange->hop)
		return HOP_FACTOR * route_inactivity_ms(exchange);
	return gc_share_of_time_ms(
		route_inactivity_ms(exchange), left_ms, SILENCE_SHARE,
		exchange->sequencer ? MIN_STREAM_SILENCE_MS : MIN_SILENCE_MS);
}

static int64_t route_inactivity_ms(const gc_exchange_t *exchange)
{
	const gc_route_t *route = exchange->route;
	double ms = FIRST_EVENT_FRACTION * (double)route->target_latency_ms;

	if (exchange->answer->received_event)
		ms = EVENT_GAP_FRACTION * (double)route->target_gap_ms;
	return ms > 0 ? (int64_t)ms : DEFAULT_INACTIVITY_MS;
}

bool gc_exchange_is_within_target(const gc_exchange_t *exchange,
				  struct timespec now)
{
	return gc_ms_between(exchange->attempt_started, now) <
	       route_inactivity_ms(exchange);
}

void gc_exchange_watch_silence(gc_exchange_t *exchange)
{
	int64_t limit_ms = gc_exchange_inactivity_ms(exchange);

	if (exchange->answer->received_event && !exchange->hop)
		limit_ms = gc_silence_ask_ms(limit_ms);
	gc_timer_set(exchange->inactivity_timer, limit_ms);
}

void gc_exchange_on_inactivity(void *ctx)
{
	gc_exchange_t *exchange = ctx;
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);
	int64_t limit_ms = gc_exchange_inactivity_ms(exchange);
	int64_t inactive_ms = gc_ms_between(exchange->last_activity, now);

	/* The inactivity time restarts when reading resumes. */
	if (!exchange->call || exchange->read_paused)
		return;
	if (exchange->sequencer && exchange->answer->received_event &&
	    !exchange->hop) {
		check_gap(exchange, now);
		return;
	}
	if (inactive_ms < limit_ms) {
		gc_timer_set(exchange->inactivity_timer,
			     limit_ms - inactive_ms);
		return;
	}
	if (inactive_ms > limit_ms + DAEMON_STALL_MS) {
		/* Data may have arrived while the daemon was stalled. */
		exchange->last_activity =
			gc_add_ms(now, STALL_CATCH_UP_MS - limit_ms);
		gc_timer_set(exchange->inactivity_timer, STALL_CATCH_UP_MS);
		return;
	}
	if (!gc_exchange_can_fail_over(exchange, now)) {
		gc_timer_set(exchange->inactivity_timer, FAILOVER_POLL_MS);
		return;
	}
	if (exchange->sequencer && !exchange->hop)
		start_silence_query(exchange);
	else
		gc_exchange_leave_server(exchange, INACTIVE);
}

/* The server has sent events, but perhaps no further one for a while. */
static void check_gap(gc_exchange_t *exchange, struct timespec now)
{
	gc_silence_t *silence = &exchange->silence;
	int64_t limit_ms = gc_exchange_inactivity_ms(exchange);
	int64_t silent_ms = gc_ms_between(exchange->last_activity, now);
	int64_t late_ms = MIN(silent_ms - gc_silence_ask_ms(limit_ms),
			      gc_ms_between(silence->check_at, now));
	int64_t reported_ms =
		gc_us_between(exchange->last_activity, silence->reported_at) > 0
			? gc_ms_between(silence->reported_at, now)
			: -1;
	int64_t next_ms;

	if (exchange->silence_query)
		return;
	/* Data may have arrived while the daemon was stalled. */
	if (late_ms > DAEMON_STALL_MS) {
		check_gap_later(exchange, now, STALL_CATCH_UP_MS);
		return;
	}
	switch (gc_silence_step(silent_ms, reported_ms, limit_ms, &next_ms)) {
	case GC_SILENCE_KEEP:
		check_gap_later(exchange, now, next_ms);
		break;
	case GC_SILENCE_ASK:
		ask_in_gap(exchange, now, silent_ms >= limit_ms, next_ms);
		break;
	case GC_SILENCE_LEAVE:
		leave_in_gap(exchange, now);
		break;
	}
}

/* A server that pauses can't be asked. */
static void ask_in_gap(gc_exchange_t *exchange, struct timespec now,
		       bool is_over_limit, int64_t timeout_ms)
{
	bool pausing = gc_backend_is_pausing(exchange->backend, now);

	if (pausing && is_over_limit) {
		leave_in_gap(exchange, now);
	} else if (pausing || !gc_exchange_can_fail_over(exchange, now)) {
		check_gap_later(exchange, now, FAILOVER_POLL_MS);
	} else {
		exchange->silence.check_at = now;
		gc_exchange_query_load(exchange, timeout_ms, on_gap_report);
	}
}

static void check_gap_later(gc_exchange_t *exchange, struct timespec now,
			    int64_t ms)
{
	exchange->silence.check_at = gc_add_ms(now, ms);
	gc_timer_set(exchange->inactivity_timer, ms);
}

static void leave_in_gap(gc_exchange_t *exchange, struct timespec now)
{
	if (gc_exchange_can_fail_over(exchange, now))
		gc_exchange_leave_server(exchange, INACTIVE);
	else
		check_gap_later(exchange, now, FAILOVER_POLL_MS);
}

static void on_gap_report(void *ctx, int status, gc_str_t response,
			  gc_attempt_end_t end)
{
	gc_exchange_t *exchange = ctx;
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);

	/* The query frees itself after this callback. */
	talloc_steal(NULL, exchange->silence_query);
	exchange->silence_query = NULL;
	if (status == 0 && gc_us_between(exchange->silence.check_at,
					 exchange->last_activity) <= 0) {
		leave_in_gap(exchange, now);
		return;
	}
	exchange->silence.check_at = now;
	if (status != 0)
		exchange->silence.reported_at = now;
	check_gap(exchange, now);
}

void gc_exchange_leave_server(gc_exchange_t *exchange, const char *reason)
{
	if (!gc_exchange_keep_run(exchange))
		gc_exchange_cancel_call(exchange);
	exchange->left_silent = true;
	gc_exchange_finish_attempt(exchange, GC_END_TIMED_OUT, reason);
}

static void start_silence_query(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;

	/* A server that pauses is alive and busy; it is asked afterwards. */
	if (gc_backend_is_pausing(exchange->backend,
				  gc_clock_now(relay->conf.clock)))
		gc_timer_set(exchange->inactivity_timer, FAILOVER_POLL_MS);
	else if (!exchange->silence_query)
		gc_exchange_query_load(exchange, query_timeout_ms(exchange),
				       on_silence_report);
}

static int64_t query_timeout_ms(const gc_exchange_t *exchange)
{
	return gc_share_of_time_ms(GC_SILENCE_QUERY_TIMEOUT_MS,
				   exchange->time_limit_ms -
					   gc_exchange_elapsed_ms(exchange),
				   QUERY_SHARE, MIN_QUERY_MS);
}

void gc_exchange_query_load(gc_exchange_t *exchange, int64_t timeout_ms,
			    void (*done)(void *ctx, int status,
					 gc_str_t response,
					 gc_attempt_end_t end))
{
	gc_relay_t *relay = exchange->relay;
	gc_backend_query_conf_t conf = {
		.upstream = relay->upstream,
		.timers = relay->conf.timers,
		.method = "GET",
		.path = relay->conf.adapter->load_path,
		.load_of = relay->conf.adapter,
		.body = GC_STR_EMPTY,
		.timeout_ms = timeout_ms,
		.apart = true,
		.done = done,
		.ctx = exchange,
	};

	exchange->silence_query =
		gc_backend_query_start(exchange, &conf, exchange->backend);
}

static void on_silence_report(void *ctx, int status, gc_str_t response,
			      gc_attempt_end_t end)
{
	gc_exchange_t *exchange = ctx;
	gc_backend_load_t load;
	int64_t wait_ms;
	bool reported =
		status == 200 &&
		exchange->relay->conf.adapter->read_load(response, &load);

	/* The query frees itself after this callback. */
	talloc_steal(NULL, exchange->silence_query);
	exchange->silence_query = NULL;
	if (gc_backend_is_pausing(exchange->backend,
				  gc_clock_now(exchange->relay->conf.clock))) {
		gc_timer_set(exchange->inactivity_timer, FAILOVER_POLL_MS);
		return;
	}
	if (!keeps_silent(exchange, reported ? &load : NULL)) {
		if (gc_exchange_can_fail_over(
			    exchange,
			    gc_clock_now(exchange->relay->conf.clock)))
			gc_exchange_leave_server(exchange, INACTIVE);
		else
			gc_timer_set(exchange->inactivity_timer,
				     FAILOVER_POLL_MS);
		return;
	}
	wait_ms = (int64_t)(SILENCE_QUERY_FRACTION *
			    (double)gc_exchange_inactivity_ms(exchange));
	exchange->last_activity =
		gc_add_ms(gc_clock_now(exchange->relay->conf.clock),
			  wait_ms - gc_exchange_inactivity_ms(exchange));
	gc_timer_set(exchange->inactivity_timer, wait_ms);
}

/* A server that reports is alive, and may need all of the target for the prompt. */
static bool keeps_silent(gc_exchange_t *exchange, const gc_backend_load_t *load)
{
	if (load &&
	    gc_exchange_is_within_target(
		    exchange, gc_clock_now(exchange->relay->conf.clock)))
		return true;
	return gc_silence_keep(&exchange->silence, load);
}

/*
 * A silent server may only be slow, so it is kept until the time limit unless
 * the request can go on elsewhere: it may be repeated, and attempts, retry
 * budget and another server are left.
 */
bool gc_exchange_can_fail_over(const gc_exchange_t *exchange,
			       struct timespec now)
{
	return *gc_exchange_failover_limit(exchange, now) == '\0';
}

const char *gc_exchange_failover_limit(const gc_exchange_t *exchange,
				       struct timespec now)
{
	gc_relay_t *relay = exchange->relay;
	int64_t left_ms =
		exchange->time_limit_ms - gc_exchange_elapsed_ms(exchange);

	/* The caller has a part of this server's body. */
	if (exchange->head_sent && !exchange->sequencer)
		return "body";
	if (exchange->n_tried == GC_EXCHANGE_MAX_TRIED ||
	    !gc_attempts_may_leave(&exchange->attempts, INT64_MAX))
		return "attempts";
	if (!gc_attempts_may_leave(&exchange->attempts, left_ms))
		return "time";
	if (gc_relay_awaits_retry(relay, exchange->service) ||
	    !gc_backends_has_retry(relay->backends, now, exchange->service))
		return "repeats";
	return has_other_server(exchange, now) ? "" : "servers";
}

static bool has_other_server(const gc_exchange_t *exchange, struct timespec now)
{
	gc_backend_set_t avoid = gc_exchange_avoid(exchange);
	gc_backend_t *other;
	bool cut_off = gc_relay_is_cut_off(exchange->relay, exchange->service);

	if ((exchange->hop || cut_off) && gc_exchange_has_further_hop(exchange))
		return true;
	/* Servers that aren't ejected any more aren't reached all the same. */
	if (cut_off)
		return false;
	if (exchange->copy_holder && exchange->answer->received_event &&
	    gc_backend_usable(exchange->copy_holder, now))
		return true;
	if (gc_backends_candidates(exchange->relay->backends, now,
				   exchange->service, exchange->prompt, &avoid,
				   &other, 1) > 0)
		return true;
	return gc_backends_may_ask_usable(exchange->relay->backends, now,
					  exchange->service, &avoid,
					  GC_PERMIT_RANK_BEGUN);
}
