/*
 * Servers whose host acknowledges nothing, or that this daemon hears nothing of:
 * they may be gone, or only be silent for a moment. New requests avoid them. What
 * they have been sent goes on elsewhere if it can, and stays otherwise.
 */
#include "lib/relay_private.h"

/* Interval of looks at the unacknowledged bytes of a request, and at a server
 * that can't be left yet. */
#define LOOK_MS 100
/* Looks without progress after which a request counts as stuck. More than a
 * round trip and one retransmission. */
#define STUCK_LOOKS 3
/* A server that sent nothing to this daemon for that time is asked for its
 * load. */
#define UNHEARD_MS 2000

static bool may_ever_leave(const gc_exchange_t *exchange);
static void look_again(gc_exchange_t *exchange);
static void on_stuck(gc_exchange_t *exchange);
static void check_server(gc_exchange_t *exchange);
static int64_t unheard_ms(const gc_exchange_t *exchange, struct timespec now);
static void on_link_report(void *ctx, int status, gc_str_t response,
			   gc_attempt_end_t end);
static void leave_or_stay(gc_exchange_t *exchange, const char *reason);

void gc_exchange_watch_link(gc_exchange_t *exchange)
{
	exchange->unacked_bytes = gc_call_delivery(exchange->call).waiting;
	exchange->stuck_looks = 0;
	exchange->link_failed = false;
	gc_timer_set(exchange->link_timer, LOOK_MS);
}

void gc_exchange_on_link_timer(void *ctx)
{
	gc_exchange_t *exchange = ctx;
	gc_socket_delivery_t delivery;

	if (!exchange->call)
		return;
	delivery = gc_call_delivery(exchange->call);
	if (delivery.waiting == 0) {
		check_server(exchange);
		return;
	}
	if (delivery.in_flight && delivery.waiting == exchange->unacked_bytes)
		exchange->stuck_looks++;
	else
		exchange->stuck_looks = 0;
	exchange->unacked_bytes = delivery.waiting;
	if (exchange->stuck_looks >= STUCK_LOOKS)
		on_stuck(exchange);
	else
		gc_timer_set(exchange->link_timer, LOOK_MS);
}

static void on_stuck(gc_exchange_t *exchange)
{
	if (!exchange->hop && !exchange->link_failed)
		gc_relay_record_link(exchange->relay, exchange->backend,
				     GC_END_CUT);
	leave_or_stay(exchange, "the server did not acknowledge the request");
}

/* The end of an attempt records the server's failure itself. */
static void leave_or_stay(gc_exchange_t *exchange, const char *reason)
{
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);

	if (gc_exchange_can_fail_over(exchange, now)) {
		gc_exchange_leave_server(exchange, reason);
		return;
	}
	if (!exchange->link_failed)
		gc_backend_record_failure(exchange->backend, now,
					  GC_END_TIMED_OUT);
	exchange->link_failed = true;
	look_again(exchange);
}

static void look_again(gc_exchange_t *exchange)
{
	if (may_ever_leave(exchange))
		gc_timer_set(exchange->link_timer, LOOK_MS);
}

/* Attempts and time only become fewer. */
static bool may_ever_leave(const gc_exchange_t *exchange)
{
	return gc_attempts_may_leave(&exchange->attempts,
				     exchange->time_limit_ms -
					     gc_exchange_elapsed_ms(exchange));
}

/*
 * The server has the whole request. Until the first event of a stream it may be
 * busy for long, so that only its silence on all connections tells that it is
 * gone; afterwards the longest gap between two events does.
 */
static void check_server(gc_exchange_t *exchange)
{
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);
	int64_t left_ms = UNHEARD_MS - unheard_ms(exchange, now);

	/* A daemon that runs the request watches its server itself. */
	if (exchange->hop || exchange->answer->received_event ||
	    !may_ever_leave(exchange))
		return;
	if (left_ms > 0) {
		gc_timer_set(exchange->link_timer, left_ms);
		return;
	}
	/* A server that pauses is not asked. */
	if (exchange->silence_query || exchange->read_paused ||
	    gc_backend_is_pausing(exchange->backend, now) ||
	    !gc_exchange_can_fail_over(exchange, now)) {
		look_again(exchange);
		return;
	}
	gc_exchange_query_load(exchange, GC_SILENCE_QUERY_TIMEOUT_MS,
			       on_link_report);
}

static int64_t unheard_ms(const gc_exchange_t *exchange, struct timespec now)
{
	return MIN(gc_ms_between(exchange->attempt_started, now),
		   gc_ms_between(gc_backend_heard_at(exchange->backend), now));
}

static void on_link_report(void *ctx, int status, gc_str_t response,
			   gc_attempt_end_t end)
{
	gc_exchange_t *exchange = ctx;

	/* The query frees itself after this callback. */
	talloc_steal(NULL, exchange->silence_query);
	exchange->silence_query = NULL;
	/* The limit on inactivity may have passed meanwhile. */
	gc_timer_set(exchange->inactivity_timer, LOOK_MS);
	if (status != 0)
		check_server(exchange);
	else
		leave_or_stay(exchange, "the server fell silent");
}
