/* Admission of routed requests by route, key and age of the configuration. */
#include <stdlib.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/relay_private.h"

/* When to come back after a refusal. */
#define RETRY_AFTER_MS 300
/* How long a request waits for the first configuration, and how often it
 * looks; well below an eighth of the shortest objectives seen. */
#define FIRST_CONFIG_MS	     150
#define FIRST_CONFIG_STEP_MS 5
/* The least time until a repeat after a refusal for an outage. */
#define OUTAGE_RETRY_MS 900
/* Limits until the operator's are known. */
#define FIRST_HEADER_BYTES 16384
#define FIRST_BODY_BYTES   4194304
#define FIRST_HEADER_MS	   3000
#define FIRST_IDLE_MS	   15000
/* For requests without a deadline on routes without a timeout. */
#define DEFAULT_LIMIT_MS 30000

static int relay_destructor(gc_relay_t *relay);
static void on_request(void *ctx, gc_caller_conn_t *caller,
		       const gc_http_message_t *request);
static void on_gone(void *ctx, gc_caller_conn_t *caller);
static void on_drained(void *ctx, gc_caller_conn_t *caller);
static gc_request_limits_t get_limits(void *ctx);
static void try_admit(gc_exchange_t *exchange);
static bool wait_for_configuration(gc_exchange_t *exchange);
static void on_configuration_timer(void *ctx);
static int64_t outage_retry_ms(const gc_route_t *route);
static const gc_refusal_t *admit(gc_exchange_t *exchange);
static const gc_refusal_t *check_key(gc_exchange_t *exchange, int64_t age_ms);
static gc_exchange_t *create(gc_relay_t *relay, gc_caller_conn_t *caller,
			     const gc_http_message_t *request);
static void set_limits(gc_exchange_t *exchange);
static gc_str_t host_of(const gc_http_message_t *request);
static bool key_of(const gc_exchange_t *exchange, gc_str_t *key);
static int64_t number_header(const gc_http_message_t *request, const char *name,
			     int64_t other);
static gc_rank_t rank_of(const gc_relay_t *relay);

const gc_caller_listener_ops_t gc_relay_front_ops = {
	.request = on_request,
	.gone = on_gone,
	.drained = on_drained,
	.limits = get_limits,
};

static const gc_refusal_t no_configuration = {
	.status = 503,
	.code = "not_ready",
	.why = "no configuration is known",
	.retry_after_ms = RETRY_AFTER_MS,
	.not_run = true,
};
static const gc_refusal_t stale_configuration = {
	.status = 503,
	.code = "not_confirmed",
	.why = "the configuration was not confirmed lately",
	.retry_after_ms = RETRY_AFTER_MS,
	.not_run = true,
};
static const gc_refusal_t stopping = {
	.status = 503,
	.code = "stopping",
	.why = "the daemon is stopping",
	.retry_after_ms = RETRY_AFTER_MS,
	.not_run = true,
};
static const gc_refusal_t no_route = {
	.status = 404,
	.code = "no_route",
	.why = "no route matches",
	.not_run = true,
};
static const gc_refusal_t bad_host = {
	.status = 400,
	.code = "bad_host",
	.why = "not one host, or not a path",
	.not_run = true,
};
static const gc_refusal_t wrong_key = {
	.status = 401,
	.code = "wrong_key",
	.why = "the key is missing or unknown",
	.not_run = true,
};

gc_relay_t *gc_relay_create(TALLOC_CTX *mem, const gc_relay_conf_t *conf)
{
	gc_relay_t *relay = talloc_zero(mem, gc_relay_t);
	gc_upstream_conf_t upstream = {
		.ev = conf->ev,
		.timers = conf->timers,
		.clock = conf->clock,
		.id_header = conf->adapter->headers.request_id,
		.connect_timeout_ms = conf->connect_timeout_ms,
		.liveness = conf->liveness,
	};
	gc_backends_conf_t backends = {
		.failure_domain = conf->failure_domain,
		.random = conf->random,
		.repeat_ratio = conf->repeat_ratio,
		.repeat_slack = conf->repeat_slack,
		.repeat_window_ms = conf->repeat_window_ms,
	};

	relay->conf = *conf;
	relay->upstream = gc_upstream_create(relay, &upstream);
	relay->backends = gc_backends_create(relay, &backends);
	talloc_set_destructor(relay, relay_destructor);
	return relay;
}

static int relay_destructor(gc_relay_t *relay)
{
	gc_fleet_view_unref(relay->view);
	return 0;
}

void gc_relay_set_view(gc_relay_t *relay, gc_fleet_view_t *view)
{
	gc_rank_t rank;

	gc_fleet_view_unref(relay->view);
	relay->view = gc_fleet_view_ref(view);
	rank = rank_of(relay);
	gc_backends_sync(relay->backends, view->servers, view->n_servers,
			 &rank);
}

static gc_rank_t rank_of(const gc_relay_t *relay)
{
	const gc_fleet_view_t *view = relay->view;
	gc_rank_t rank = {.n_all = view->n_daemons};

	for (size_t i = 0; i < view->n_daemons; i++) {
		const gc_registry_entry_t *daemon = &view->daemons[i];
		bool local = gc_str_eq(daemon->failure_domain,
				       relay->conf.failure_domain);

		if (gc_str_eq(daemon->id, relay->conf.instance)) {
			rank.all = i;
			rank.local = rank.n_local;
		}
		rank.n_local += local;
	}
	return rank;
}

void gc_relay_set_stopping(gc_relay_t *relay, struct timespec end)
{
	relay->stopping = true;
	relay->stop_at = end;
}

size_t gc_relay_open(const gc_relay_t *relay)
{
	return relay->n_open;
}

static gc_request_limits_t get_limits(void *ctx)
{
	const gc_relay_t *relay = ctx;

	if (relay->view && relay->view->routes)
		return *gc_routes_limits(relay->view->routes);
	return (gc_request_limits_t){
		.max_header_bytes = FIRST_HEADER_BYTES,
		.max_body_bytes = FIRST_BODY_BYTES,
		.header_timeout_ms = FIRST_HEADER_MS,
		.idle_timeout_ms = FIRST_IDLE_MS,
	};
}

static void on_request(void *ctx, gc_caller_conn_t *caller,
		       const gc_http_message_t *request)
{
	gc_relay_t *relay = ctx;

	try_admit(create(relay, caller, request));
}

static void try_admit(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	gc_caller_conn_t *caller = exchange->caller;
	const gc_refusal_t *refusal = admit(exchange);
	gc_refusal_t told;

	if (!refusal) {
		gc_exchange_run(exchange);
		return;
	}
	if (refusal == &no_configuration && wait_for_configuration(exchange))
		return;
	told = *refusal;
	if (refusal == &stale_configuration)
		told.retry_after_ms = outage_retry_ms(exchange->route);
	gc_caller_conn_set_data(caller, NULL);
	gc_relay_refuse(relay, caller, exchange->id, exchange->account, &told);
	talloc_free(exchange);
}

/*
 * An outage lasts for seconds, and callers try again once or twice: an early
 * repeat would find it still there. Half of the objective is left for the
 * answer.
 */
static int64_t outage_retry_ms(const gc_route_t *route)
{
	int64_t ms = route ? route->objective_ms / 2 : 0;

	return ms > OUTAGE_RETRY_MS ? ms : OUTAGE_RETRY_MS;
}

/*
 * A daemon that has just started knows the configuration within some ms; a
 * refusal would cost the caller one of its tries.
 */
static bool wait_for_configuration(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	int64_t waited = gc_ms_between(exchange->arrived,
				       gc_clock_now(relay->conf.clock));

	if (waited >= FIRST_CONFIG_MS)
		return false;
	if (!exchange->retry_timer)
		exchange->retry_timer =
			gc_timer_create(exchange, relay->conf.timers,
					on_configuration_timer, exchange);
	gc_timer_set(exchange->retry_timer, FIRST_CONFIG_STEP_MS);
	gc_caller_conn_set_data(exchange->caller, exchange);
	return true;
}

static void on_configuration_timer(void *ctx)
{
	try_admit(ctx);
}

static gc_exchange_t *create(gc_relay_t *relay, gc_caller_conn_t *caller,
			     const gc_http_message_t *request)
{
	gc_exchange_t *exchange = talloc_zero(relay, gc_exchange_t);
	const char *id_header = relay->conf.adapter->headers.request_id;

	exchange->relay = relay;
	exchange->caller = caller;
	exchange->request = request;
	exchange->arrived = gc_caller_conn_arrived(caller);
	exchange->limit = "";
	exchange->id =
		gc_str_dup(exchange, gc_http_message_find(request, id_header));
	exchange->head_request =
		strcmp(gc_http_message_method(request), "HEAD") == 0;
	return exchange;
}

/* Sets route, service and account; the reason if the request is refused. */
static const gc_refusal_t *admit(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	const gc_http_message_t *request = exchange->request;
	gc_str_t target = gc_http_message_target(request);
	struct timespec now = gc_clock_now(relay->conf.clock);
	int64_t age_ms = gc_confirmed_age_ms(relay->conf.confirmed, now);
	const gc_refusal_t *refusal = NULL;
	const char *query;
	gc_str_t path = target;

	if (gc_http_message_count(request, "host") != 1 || target.len == 0 ||
	    *target.data != '/')
		return &bad_host;
	if (!relay->view || !relay->view->routes || age_ms < 0)
		return &no_configuration;
	query = memchr(target.data, '?', target.len);
	if (query)
		path.len = (size_t)(query - target.data);
	exchange->route =
		gc_routes_find(relay->view->routes, host_of(request), path);
	if (!exchange->route)
		return age_ms > relay->conf.deny_age_ms ? &stale_configuration
							: &no_route;
	if (gc_routes_needs_key(relay->view->routes, exchange->route))
		refusal = check_key(exchange, age_ms);
	if (refusal == &wrong_key)
		return refusal;
	exchange->view = gc_fleet_view_ref(relay->view);
	exchange->service = gc_route_pick(
		exchange->route,
		relay->conf.random->next(relay->conf.random->ctx));
	/* The budget allows repeats for all requests that callers send to the
	 * service, also for those that this daemon can't admit. */
	gc_backends_count_request(relay->backends, now, exchange->service);
	if (refusal)
		return refusal;
	set_limits(exchange);
	if (relay->stopping &&
	    gc_ms_between(now, relay->stop_at) < exchange->limit_ms)
		return &stopping;
	return NULL;
}

static const gc_refusal_t *check_key(gc_exchange_t *exchange, int64_t age_ms)
{
	const gc_relay_conf_t *conf = &exchange->relay->conf;
	gc_str_t key;

	/* The key may have been revoked since. */
	if (age_ms > conf->admit_age_ms)
		return &stale_configuration;
	if (key_of(exchange, &key) &&
	    gc_routes_account(exchange->relay->view->routes, key,
			      &exchange->account))
		return NULL;
	return age_ms > conf->deny_age_ms ? &stale_configuration : &wrong_key;
}

static bool key_of(const gc_exchange_t *exchange, gc_str_t *key)
{
	gc_str_t value =
		gc_http_message_find(exchange->request, "authorization");
	const char *scheme = exchange->relay->conf.adapter->headers.auth_scheme;
	size_t len = strlen(scheme);

	if (gc_http_message_count(exchange->request, "authorization") != 1 ||
	    value.len <= len + 1 ||
	    g_ascii_strncasecmp(value.data, scheme, len) != 0 ||
	    value.data[len] != ' ')
		return false;
	*key = (gc_str_t){value.data + len + 1, value.len - len - 1};
	return true;
}

/* Without the port, which does not select a route. */
static gc_str_t host_of(const gc_http_message_t *request)
{
	gc_str_t host = gc_http_message_find(request, "host");
	const char *colon = memchr(host.data, ':', host.len);

	if (colon)
		host.len = (size_t)(colon - host.data);
	return host;
}

static void set_limits(gc_exchange_t *exchange)
{
	const gc_route_t *route = exchange->route;
	const char *name = exchange->relay->conf.adapter->headers.deadline_ms;
	int64_t limit =
		route->timeout_ms > 0 ? route->timeout_ms : DEFAULT_LIMIT_MS;

	exchange->deadline_ms = number_header(exchange->request, name, limit);
	exchange->limit_ms = MIN(limit, exchange->deadline_ms);
	exchange->attempts.route = route;
}

static int64_t number_header(const gc_http_message_t *request, const char *name,
			     int64_t other)
{
	gc_str_t value = gc_http_message_find(request, name);
	g_autofree char *text = NULL;
	char *after;
	int64_t number;

	if (!value.data || value.len == 0)
		return other;
	text = g_strndup(value.data, value.len);
	number = g_ascii_strtoll(text, &after, 10);
	return *after == '\0' && number >= 0 ? number : other;
}

static void on_gone(void *ctx, gc_caller_conn_t *caller)
{
	gc_exchange_t *exchange = gc_caller_conn_data(caller);

	if (exchange)
		gc_exchange_abandon(exchange);
}

static void on_drained(void *ctx, gc_caller_conn_t *caller)
{
	gc_exchange_t *exchange = gc_caller_conn_data(caller);

	if (exchange)
		gc_exchange_drained(exchange);
}
