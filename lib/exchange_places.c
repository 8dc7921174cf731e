/* Places at brittle servers for routed requests. */
#include "lib/relay_private.h"

/* Most places that are asked for at once. */
#define MAX_WANTED 8

static void ask(gc_relay_t *relay, gc_backend_t *server, unsigned int rank,
		uint32_t wanted);
static bool may_use(const gc_exchange_t *exchange, const gc_backend_t *server);
static void on_report_timer(void *ctx);
static bool is_load_awaited(const gc_relay_t *relay, gc_str_t service);

void gc_relay_start_place_reports(gc_relay_t *relay)
{
	relay->places_timer = gc_timer_create(relay, relay->conf.timers,
					      on_report_timer, relay);
	gc_timer_set(relay->places_timer, GC_PLACES_REPORT_MS);
}

void gc_relay_ask_places(gc_relay_t *relay, gc_backend_t *server,
			 const gc_exchange_t *exchange)
{
	unsigned int rank =
		exchange ? gc_exchange_rank(exchange) : GC_PERMIT_RANK_MAX;
	uint32_t wanted = exchange != NULL;

	for (const gc_exchange_t *other = relay->exchanges; other;
	     other = other->next) {
		if (!other->waiting || other == exchange ||
		    !may_use(other, server))
			continue;
		wanted = MIN(wanted + 1, MAX_WANTED);
		rank = MIN(rank, gc_exchange_rank(other));
	}
	ask(relay, server, rank, wanted);
}

/* A request doesn't return to a server that it has left. */
static bool may_use(const gc_exchange_t *exchange, const gc_backend_t *server)
{
	gc_backend_set_t avoid = gc_exchange_avoid(exchange);

	return gc_str_eq(exchange->service, gc_backend_service(server)) &&
	       !gc_backend_is_avoided(server, &avoid);
}

static void ask(gc_relay_t *relay, gc_backend_t *server, unsigned int rank,
		uint32_t wanted)
{
	gc_place_ask_t message = {.wanted = wanted, .rank = rank};

	gc_backend_begin_place_ask(server, gc_clock_now(relay->conf.clock),
				   &message);
	relay->conf.ask_places(relay->conf.share_ctx, &message);
}

/* Requests that wait here ask for the place that has become free. */
void gc_relay_report_places(gc_relay_t *relay, gc_backend_t *server)
{
	struct timespec now = gc_clock_now(relay->conf.clock);

	if (!gc_backend_is_place_report_due(server, now))
		return;
	if (gc_backend_brittle(server) != GC_NOT_BRITTLE &&
	    !gc_backend_is_leaving(server) &&
	    gc_backend_may_ask_place(server, now, GC_PERMIT_RANK_BEGUN))
		gc_relay_ask_places(relay, server, NULL);
	else
		ask(relay, server, GC_PERMIT_RANK_MAX, 0);
}

static void on_report_timer(void *ctx)
{
	gc_relay_t *relay = ctx;
	gc_backend_t *server = NULL;

	while ((server = gc_backends_next_place_report(
			relay->backends, server,
			gc_clock_now(relay->conf.clock))))
		gc_relay_report_places(relay, server);
	gc_timer_set(relay->places_timer, GC_PLACES_REPORT_MS);
}

void gc_relay_add_places(gc_relay_t *relay, const gc_place_answer_t *answer)
{
	gc_backend_t *server = gc_backends_record_places(
		relay->backends, gc_clock_now(relay->conf.clock), answer);

	if (!server)
		return;
	gc_backend_ref(server);
	if (answer->to_ask)
		gc_relay_start_waiting(relay, gc_backend_service(server));
	/* Others could use what isn't used at once. Asking for it again would give it
	 * back again, without an end. */
	if (!is_load_awaited(relay, gc_backend_service(server)) &&
	    gc_backend_drop_unused_places(server))
		ask(relay, server, GC_PERMIT_RANK_MAX, 0);
	else
		gc_relay_report_places(relay, server);
	gc_backend_unref(server);
}

/* True if a request for the service is to start once loads have been reported. */
static bool is_load_awaited(const gc_relay_t *relay, gc_str_t service)
{
	for (const gc_exchange_t *exchange = relay->exchanges; exchange;
	     exchange = exchange->next)
		if (exchange->load_probe &&
		    gc_str_eq(exchange->service, service))
			return true;
	return false;
}
