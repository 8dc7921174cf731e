/*
 * Copies of a run's memory at a second backend server. The server of the run
 * sends them by itself to the one named at the start; if that one is lost, the
 * run's memory is ordered elsewhere and the copy renewed from time to time.
 */
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/relay_private.h"

/* How often the server that holds the copy is looked at. */
#define LOOK_MS 200
/* An order includes the transfer, which takes some tens of ms. */
#define ORDER_TIMEOUT_MS 600
/* A copy by order is renewed after this, before its server drops it; the
 * platform keeps one for 4 s. */
#define RENEW_MS 2500

static bool wants_copy(const gc_exchange_t *exchange);
static gc_backend_t *choose(const gc_exchange_t *exchange);
static void set_copy(gc_exchange_t *exchange, gc_backend_t *copy,
		     gc_str_t address, gc_str_t name);
static void drop(gc_exchange_t *exchange);
static void on_dropped(void *ctx, int status, gc_str_t answer,
		       gc_attempt_end_t end);
static void order(gc_exchange_t *exchange, gc_backend_t *target);
static void on_ordered(void *ctx, int status, gc_str_t answer,
		       gc_attempt_end_t end);
static struct timespec now_of(const gc_exchange_t *exchange);

static struct timespec now_of(const gc_exchange_t *exchange)
{
	return gc_clock_now(exchange->relay->conf.clock);
}

void gc_exchange_start_copy(gc_exchange_t *exchange)
{
	gc_backend_t *copy;

	if (!wants_copy(exchange))
		return;
	copy = choose(exchange);
	if (copy)
		set_copy(exchange, copy, gc_backend_address(copy),
			 exchange->id);
	gc_timer_set(exchange->copy_timer, LOOK_MS);
}

/* Only streams take long enough to be worth a copy of their memory. */
static bool wants_copy(const gc_exchange_t *exchange)
{
	const gc_route_service_t *service =
		gc_routes_service(exchange->view->routes, exchange->service);

	return service && service->backs_up && exchange->events &&
	       gc_route_may_repeat(exchange->route);
}

static gc_backend_t *choose(const gc_exchange_t *exchange)
{
	gc_backend_set_t tried = {exchange->tried, exchange->n_tried};

	return gc_backends_choose_copy(exchange->relay->backends,
				       now_of(exchange), exchange->backend,
				       &tried);
}

static void set_copy(gc_exchange_t *exchange, gc_backend_t *copy,
		     gc_str_t address, gc_str_t name)
{
	char *text = talloc_asprintf(exchange, "%.*s/%.*s", GC_STR_ARG(address),
				     GC_STR_ARG(name));

	exchange->copy = gc_backend_ref(copy);
	exchange->copy_name = gc_str(text);
	exchange->copy_handle = GC_STR_EMPTY;
	gc_backend_begin_copy(copy);
}

void gc_exchange_stop_copy(gc_exchange_t *exchange)
{
	if (exchange->copy_timer)
		gc_timer_stop(exchange->copy_timer);
	if (exchange->copy_order)
		gc_backend_query_destroy(exchange->copy_order);
	exchange->copy_order = NULL;
	gc_backend_unref(exchange->copy_target);
	exchange->copy_target = NULL;
	if (!exchange->copy)
		return;
	/* One that the next attempt goes on from must stay. */
	if (exchange->copy != exchange->copy_from)
		drop(exchange);
	gc_backend_end_copy(exchange->copy);
	gc_backend_unref(exchange->copy);
	exchange->copy = NULL;
}

/* A copy by order would hold memory until its server gives it up. */
static void drop(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	g_autofree char *path = NULL;
	gc_backend_query_conf_t conf = {
		.upstream = relay->upstream,
		.timers = relay->conf.timers,
		.method = "DELETE",
		.body = GC_STR_EMPTY,
		.timeout_ms = ORDER_TIMEOUT_MS,
		.done = on_dropped,
		.ctx = relay,
	};

	if (exchange->copy_handle.len == 0 || !exchange->backend)
		return;
	path = relay->conf.adapter->write_copy_drop_path(exchange->copy_handle);
	conf.path = path;
	gc_backend_query_start(relay, &conf, exchange->backend);
}

/* Whatever comes: the server frees it by itself in the end. */
static void on_dropped(void *ctx, int status, gc_str_t answer,
		       gc_attempt_end_t end)
{
}

void gc_exchange_use_copy(gc_exchange_t *exchange)
{
	gc_backend_unref(exchange->copy_from);
	exchange->copy_from = NULL;
	/* There is no copy before the run's first event. */
	if (!exchange->copy || !exchange->heard_any)
		return;
	exchange->copy_from = gc_backend_ref(exchange->copy);
	exchange->copy_from_name = exchange->copy_name;
}

void gc_exchange_on_copy_timer(void *ctx)
{
	gc_exchange_t *exchange = ctx;
	struct timespec now = now_of(exchange);
	gc_backend_t *target = NULL;

	gc_timer_set(exchange->copy_timer, LOOK_MS);
	if (exchange->copy_order || !exchange->heard_any)
		return;
	if (!exchange->copy || !gc_backend_usable(exchange->copy, now))
		target = choose(exchange);
	else if (exchange->copy_handle.len > 0 &&
		 gc_ms_between(now, exchange->copy_due) <= 0)
		target = exchange->copy;
	if (target)
		order(exchange, target);
}

static void order(gc_exchange_t *exchange, gc_backend_t *target)
{
	const gc_adapter_t *adapter = exchange->relay->conf.adapter;
	g_autofree char *body = adapter->write_copy_order(
		exchange->id, gc_backend_address(target));
	gc_backend_query_conf_t conf = {
		.upstream = exchange->relay->upstream,
		.timers = exchange->relay->conf.timers,
		.method = "POST",
		.path = adapter->copy_order_path,
		.body = gc_str(body),
		.timeout_ms = ORDER_TIMEOUT_MS,
		.done = on_ordered,
		.ctx = exchange,
	};

	exchange->copy_target = gc_backend_ref(target);
	exchange->copy_order =
		gc_backend_query_start(exchange, &conf, exchange->backend);
}

static void on_ordered(void *ctx, int status, gc_str_t answer,
		       gc_attempt_end_t end)
{
	gc_exchange_t *exchange = ctx;
	gc_backend_t *target = exchange->copy_target;
	g_autofree char *text = g_strdup_printf("%d", status);
	gc_str_t handle;

	talloc_steal(NULL, exchange->copy_order);
	exchange->copy_order = NULL;
	exchange->copy_target = NULL;
	gc_log(GC_LOG_DEBUG, GC_EVENT_COPY_ORDERED, "copy ordered", "request",
	       exchange->id.data, "server", gc_backend_id(target).data,
	       "status", text, NULL);
	if (status == 200 && exchange->relay->conf.adapter->read_copy_handle(
				     exchange, answer, &handle)) {
		if (exchange->copy) {
			if (exchange->copy != target)
				drop(exchange);
			gc_backend_end_copy(exchange->copy);
			gc_backend_unref(exchange->copy);
		}
		set_copy(exchange, target,
			 gc_backend_address(exchange->backend), handle);
		exchange->copy_handle = handle;
		exchange->copy_due = gc_add_ms(now_of(exchange), RENEW_MS);
	}
	gc_backend_unref(target);
}
