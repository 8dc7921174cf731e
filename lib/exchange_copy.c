/*
 * Copies of a run's KV cache on a second backend server. The run's server sends
 * them unasked to the server that a header of the request names. If that server
 * becomes unusable, the daemon requests a copy on another one and renews it
 * periodically.
 */
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/relay_private.h"

/* Interval of checks whether the server that holds the copy is usable. */
#define COPY_CHECK_MS 200
/* The response follows the transfer, which takes some tens of ms. */
#define COPY_REQUEST_TIMEOUT_MS 600
/* Renewal interval of a requested copy, which the platform keeps for 4 s. */
#define COPY_RENEW_MS 2500

static bool wants_copy(const gc_exchange_t *exchange);
static gc_backend_t *choose_target(const gc_exchange_t *exchange);
static void set_copy(gc_exchange_t *exchange, gc_backend_t *holder,
		     gc_str_t address, gc_str_t copy_id);
static void release_requested_copy(gc_exchange_t *exchange);
static void on_released(void *ctx, int status, gc_str_t response,
			gc_attempt_end_t end);
static void request_copy(gc_exchange_t *exchange, gc_backend_t *target);
static void on_copy_response(void *ctx, int status, gc_str_t response,
			     gc_attempt_end_t end);
static struct timespec current_time(const gc_exchange_t *exchange);

static struct timespec current_time(const gc_exchange_t *exchange)
{
	return gc_clock_now(exchange->relay->conf.clock);
}

void gc_exchange_start_copy(gc_exchange_t *exchange)
{
	gc_backend_t *holder;

	if (!wants_copy(exchange))
		return;
	holder = choose_target(exchange);
	if (holder)
		set_copy(exchange, holder, gc_backend_address(holder),
			 exchange->id);
	gc_timer_set(exchange->copy_timer, COPY_CHECK_MS);
}

/* Only streams run long enough to be worth a copy. */
static bool wants_copy(const gc_exchange_t *exchange)
{
	const gc_route_service_t *service = gc_routes_find_service(
		exchange->view->routes, exchange->service);

	return service && service->copies_kv_cache && exchange->sequencer &&
	       gc_route_allows_rerun(exchange->route);
}

static gc_backend_t *choose_target(const gc_exchange_t *exchange)
{
	gc_backend_set_t avoid = gc_exchange_avoid(exchange);

	/* A run at a version that is being judged has its copy there, too. */
	avoid.not_version = GC_STR_EMPTY;
	return gc_backends_choose_copy_holder(exchange->relay->backends,
					      current_time(exchange),
					      exchange->backend, &avoid);
}

static void set_copy(gc_exchange_t *exchange, gc_backend_t *holder,
		     gc_str_t address, gc_str_t copy_id)
{
	char *location =
		talloc_asprintf(exchange, "%.*s/%.*s", GC_STR_ARG(address),
				GC_STR_ARG(copy_id));

	exchange->copy_holder = gc_backend_ref(holder);
	exchange->copy_location = gc_str(location);
	exchange->copy_handle = GC_STR_EMPTY;
	gc_backend_add_copy(holder);
}

void gc_exchange_stop_copy(gc_exchange_t *exchange)
{
	if (exchange->copy_timer)
		gc_timer_stop(exchange->copy_timer);
	if (exchange->copy_request)
		gc_backend_query_destroy(exchange->copy_request);
	exchange->copy_request = NULL;
	gc_backend_unref(exchange->copy_target);
	exchange->copy_target = NULL;
	if (!exchange->copy_holder)
		return;
	/* The next attempt needs the copy that it resumes from. */
	if (exchange->copy_holder != exchange->resume_holder)
		release_requested_copy(exchange);
	gc_backend_remove_copy(exchange->copy_holder);
	gc_backend_unref(exchange->copy_holder);
	exchange->copy_holder = NULL;
}

/* A requested copy would otherwise hold memory until its server expires it. */
static void release_requested_copy(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	g_autofree char *path = NULL;
	gc_backend_query_conf_t conf = {
		.upstream = relay->upstream,
		.timers = relay->conf.timers,
		.method = "DELETE",
		.body = GC_STR_EMPTY,
		.timeout_ms = COPY_REQUEST_TIMEOUT_MS,
		.done = on_released,
		.ctx = relay,
	};

	if (exchange->copy_handle.len == 0 || !exchange->backend ||
	    gc_backend_is_pausing(exchange->backend, current_time(exchange)))
		return;
	path = relay->conf.adapter->write_copy_delete_path(
		exchange->copy_handle);
	conf.path = path;
	gc_backend_query_start(relay, &conf, exchange->backend);
}

/* The result doesn't matter: the server expires the copy in the end. */
static void on_released(void *ctx, int status, gc_str_t response,
			gc_attempt_end_t end)
{
}

void gc_exchange_restore_copy(gc_exchange_t *exchange, gc_backend_t *holder,
			      gc_str_t location)
{
	if (!wants_copy(exchange))
		return;
	if (holder) {
		exchange->copy_holder = gc_backend_ref(holder);
		exchange->copy_location = location;
		exchange->copy_handle = GC_STR_EMPTY;
		gc_backend_add_copy(holder);
	}
	gc_timer_set(exchange->copy_timer, COPY_CHECK_MS);
}

void gc_exchange_set_resume_copy(gc_exchange_t *exchange)
{
	gc_backend_unref(exchange->resume_holder);
	exchange->resume_holder = NULL;
	/* No copy exists before the run's first event. */
	if (!exchange->copy_holder || !exchange->answer->received_event)
		return;
	exchange->resume_holder = gc_backend_ref(exchange->copy_holder);
	exchange->resume_location = exchange->copy_location;
}

void gc_exchange_on_copy_timer(void *ctx)
{
	gc_exchange_t *exchange = ctx;
	struct timespec now = current_time(exchange);
	gc_backend_t *target = NULL;

	gc_timer_set(exchange->copy_timer, COPY_CHECK_MS);
	if (exchange->copy_request || !exchange->answer->received_event ||
	    gc_backend_is_pausing(exchange->backend, now))
		return;
	if (!exchange->copy_holder ||
	    !gc_backend_usable(exchange->copy_holder, now))
		target = choose_target(exchange);
	else if (exchange->copy_handle.len > 0 &&
		 gc_ms_between(now, exchange->copy_renew_at) <= 0)
		target = exchange->copy_holder;
	if (target)
		request_copy(exchange, target);
}

static void request_copy(gc_exchange_t *exchange, gc_backend_t *target)
{
	const gc_adapter_t *adapter = exchange->relay->conf.adapter;
	g_autofree char *body = adapter->write_copy_request(
		exchange->id, gc_backend_address(target));
	gc_backend_query_conf_t conf = {
		.upstream = exchange->relay->upstream,
		.timers = exchange->relay->conf.timers,
		.method = "POST",
		.path = adapter->copy_request_path,
		.body = gc_str(body),
		.timeout_ms = COPY_REQUEST_TIMEOUT_MS,
		/* The answer names the copy of one run. */
		.apart = true,
		.done = on_copy_response,
		.ctx = exchange,
	};

	exchange->copy_target = gc_backend_ref(target);
	exchange->copy_request =
		gc_backend_query_start(exchange, &conf, exchange->backend);
}

static void on_copy_response(void *ctx, int status, gc_str_t response,
			     gc_attempt_end_t end)
{
	gc_exchange_t *exchange = ctx;
	gc_backend_t *target = exchange->copy_target;
	g_autofree char *status_text = g_strdup_printf("%d", status);
	gc_str_t handle;

	/* The query frees itself after this callback. */
	talloc_steal(NULL, exchange->copy_request);
	exchange->copy_request = NULL;
	exchange->copy_target = NULL;
	gc_log(GC_LOG_DEBUG, GC_EVENT_COPY_ORDERED, "copy request ended",
	       "request", exchange->id.data, "server",
	       gc_backend_id(target).data, "status", status_text, NULL);
	if (status == 200 && exchange->relay->conf.adapter->read_copy_handle(
				     exchange, response, &handle)) {
		if (exchange->copy_holder) {
			if (exchange->copy_holder != target)
				release_requested_copy(exchange);
			gc_backend_remove_copy(exchange->copy_holder);
			gc_backend_unref(exchange->copy_holder);
		}
		set_copy(exchange, target,
			 gc_backend_address(exchange->backend), handle);
		exchange->copy_handle = handle;
		exchange->copy_renew_at =
			gc_add_ms(current_time(exchange), COPY_RENEW_MS);
	}
	gc_backend_unref(target);
}
