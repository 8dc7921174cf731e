/*
 * Retries and the retry budget. Attempts that fail at the same moment can ask for
 * more retries than the budget has. What would end in a failure otherwise waits
 * for its turn, as the window moves on while its caller still waits. Those whose
 * callers have a part of the response go first, then those that came first.
 */
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/relay_private.h"

/* Interval of checks: requests that arrive add to the budget. */
#define TURN_POLL_MS 100
/* Time that is left for the next attempt when its turn comes. */
#define MIN_LEFT_MS 100

static bool may_wait(const gc_exchange_t *exchange);
static void set_awaiting(gc_exchange_t *exchange, bool awaiting);
static bool goes_before(const gc_exchange_t *exchange,
			const gc_exchange_t *other);
static gc_exchange_t *find_first(const gc_relay_t *relay, gc_str_t service);
static unsigned int place_in_line(const gc_exchange_t *exchange);
static void start_in_turn(gc_relay_t *relay, gc_str_t service);
static int64_t turn_ms(const gc_exchange_t *exchange);
static void log_delay(const gc_exchange_t *exchange, int64_t ms);
static void end_without_retry(gc_exchange_t *exchange);

void gc_exchange_retry(gc_exchange_t *exchange, gc_attempt_end_t end)
{
	gc_relay_t *relay = exchange->relay;
	struct timespec now = gc_clock_now(relay->conf.clock);
	int64_t ms;

	exchange->last_end = end;
	if (!gc_relay_awaits_retry(relay, exchange->service) &&
	    gc_backends_take_retry(relay->backends, now, exchange->service)) {
		exchange->retry_unused = true;
		exchange->retry_taken = now;
		gc_exchange_start_next_attempt(exchange);
		return;
	}
	ms = may_wait(exchange) ? turn_ms(exchange) : -1;
	if (ms < 0) {
		end_without_retry(exchange);
		return;
	}
	log_delay(exchange, ms);
	set_awaiting(exchange, true);
	gc_timer_set(exchange->retry_timer, MIN(ms, TURN_POLL_MS));
}

/*
 * A request that was not run is refused at once, and a response that reports a
 * failure is forwarded. A begun response to another daemon ends, so that that daemon
 * can go on elsewhere; it would forward any failure.
 */
static bool may_wait(const gc_exchange_t *exchange)
{
	if (exchange->head_sent)
		return !exchange->received;
	if (exchange->held_events)
		return true;
	return exchange->attempts.may_have_run &&
	       exchange->last_end != GC_END_FAILED;
}

static void set_awaiting(gc_exchange_t *exchange, bool awaiting)
{
	exchange->awaits_retry = awaiting;
	if (awaiting)
		exchange->relay->n_awaiting_retry++;
	else
		exchange->relay->n_awaiting_retry--;
}

void gc_exchange_stop_waiting(gc_exchange_t *exchange)
{
	if (exchange->awaits_retry)
		set_awaiting(exchange, false);
	exchange->waiting = false;
	gc_timer_stop(exchange->retry_timer);
}

void gc_exchange_on_retry_turn(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	gc_str_t service = gc_str_dup(NULL, exchange->service);
	int64_t ms = turn_ms(exchange);

	if (ms < 0)
		end_without_retry(exchange);
	else
		gc_timer_set(exchange->retry_timer, CLAMP(ms, 1, TURN_POLL_MS));
	start_in_turn(relay, service);
	talloc_free((char *)service.data);
}

/* Each of them may end, but no other. */
static void start_in_turn(gc_relay_t *relay, gc_str_t service)
{
	struct timespec now = gc_clock_now(relay->conf.clock);
	gc_exchange_t *first;

	while ((first = find_first(relay, service)) &&
	       gc_backends_take_retry(relay->backends, now, service)) {
		set_awaiting(first, false);
		first->retry_unused = true;
		first->retry_taken = now;
		/* The wait for a server begins now. */
		first->attempt_ended = now;
		gc_exchange_start_next_attempt(first);
	}
}

static gc_exchange_t *find_first(const gc_relay_t *relay, gc_str_t service)
{
	gc_exchange_t *first = NULL;

	if (relay->n_awaiting_retry == 0)
		return NULL;
	for (gc_exchange_t *other = relay->exchanges; other;
	     other = other->next)
		if (other->awaits_retry && gc_str_eq(other->service, service) &&
		    (!first || goes_before(other, first)))
			first = other;
	return first;
}

static bool goes_before(const gc_exchange_t *exchange,
			const gc_exchange_t *other)
{
	if (exchange->head_sent != other->head_sent)
		return exchange->head_sent;
	return gc_ms_between(exchange->arrived, other->arrived) > 0;
}

bool gc_relay_awaits_retry(const gc_relay_t *relay, gc_str_t service)
{
	return find_first(relay, service) != NULL;
}

/* Time until its turn, or -1 if that is too late. */
static int64_t turn_ms(const gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	int64_t left_ms = exchange->time_limit_ms -
			  gc_exchange_elapsed_ms(exchange) - MIN_LEFT_MS;

	/* The caller of a stream can take it up at another daemon, which may
	 * have retries left, as soon as its connection breaks. A server that was
	 * only silent is no reason to end it. */
	if (exchange->head_sent && !exchange->left_silent &&
	    exchange->route->resumable &&
	    exchange->route->target_latency_ms > 0)
		left_ms = MIN(left_ms, exchange->route->target_latency_ms);
	return gc_backends_retry_turn_ms(relay->backends,
					 gc_clock_now(relay->conf.clock),
					 exchange->service,
					 place_in_line(exchange), left_ms);
}

/* 1: the first one. */
static unsigned int place_in_line(const gc_exchange_t *exchange)
{
	unsigned int place = 1;

	for (const gc_exchange_t *other = exchange->relay->exchanges; other;
	     other = other->next)
		if (other != exchange && other->awaits_retry &&
		    gc_str_eq(other->service, exchange->service) &&
		    goes_before(other, exchange))
			place++;
	return place;
}

static void log_delay(const gc_exchange_t *exchange, int64_t ms)
{
	g_autofree char *turn = g_strdup_printf("%" G_GINT64_FORMAT, ms);
	g_autofree char *place = g_strdup_printf("%u", place_in_line(exchange));
	g_autofree char *elapsed_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT, gc_exchange_elapsed_ms(exchange));

	gc_log(GC_LOG_INFO, GC_EVENT_RETRY_DELAYED, "retry waits", "request",
	       exchange->id.data, "begun", exchange->head_sent ? "yes" : "no",
	       "ms", elapsed_ms, "place", place, "turn_ms", turn, NULL);
	gc_counter_add(gc_counter("goldcrest_routed_retries_delayed_total",
				  "Retries that waited for the retry budget.",
				  NULL, NULL),
		       1);
}

static void end_without_retry(gc_exchange_t *exchange)
{
	gc_attempt_end_t end = exchange->last_end;

	exchange->limit_reached = "repeats";
	gc_exchange_give_up(
		exchange,
		end == GC_END_FAILED && !exchange->held_events
			? GC_DECISION_FORWARD
			: gc_attempts_final_decision(&exchange->attempts),
		end);
}
