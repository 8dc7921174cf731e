/* Admission of routed requests by route, API key and configuration age. */
#include <stdlib.h>

#include "core/number.h"
#include "core/request_time.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/relay_private.h"

/* Least Retry-After of a refusal. */
#define REFUSAL_RETRY_AFTER_MS 300
/* How long a request waits for the first configuration, and the interval of its
 * checks. Well below an eighth of the shortest latency targets of routes, the
 * time that a request may wait for a server. */
#define INITIAL_CONFIG_WAIT_MS 150
#define INITIAL_CONFIG_POLL_MS 5
/* Longest share of the caller's time that it waits. */
#define INITIAL_CONFIG_SHARE 0.5
/* Least Retry-After while the configuration can't be confirmed. */
#define MIN_OUTAGE_RETRY_AFTER_MS 900
/* Request limits until the operator's configuration is known. */
#define INITIAL_MAX_HEADER_BYTES  16384
#define INITIAL_MAX_BODY_BYTES	  4194304
#define INITIAL_HEADER_TIMEOUT_MS 3000
#define INITIAL_IDLE_TIMEOUT_MS	  15000
/* Room for what a daemon adds to the head of a request that it passes on. */
#define HOP_HEADER_BYTES 2048
/* Connections to daemons are kept for less than INITIAL_IDLE_TIMEOUT_MS. */
#define HOP_KEEP_ALIVE_MS 8000
/* Longest time that a caller may name. */
#define DEADLINE_MAX_MS (24 * 3600 * INT64_C(1000))
/* Time limit on routes without a timeout. */
#define DEFAULT_TIME_LIMIT_MS 30000

static void create_hop_peers(gc_relay_t *relay, const gc_upstream_conf_t *conf,
			     const gc_backends_conf_t *peers_conf);
static int relay_destructor(gc_relay_t *relay);
static void on_request(void *ctx, gc_caller_conn_t *caller,
		       const gc_http_message_t *request);
static void on_forwarded(void *ctx, gc_caller_conn_t *caller,
			 const gc_http_message_t *request);
static bool knows_daemon(void *ctx, gc_str_t ip);
static gc_request_limits_t get_forward_limits(void *ctx);
static void on_disconnected(void *ctx, gc_caller_conn_t *caller);
static void on_drained(void *ctx, gc_caller_conn_t *caller);
static gc_request_limits_t get_limits(void *ctx);
static gc_str_t get_request_id(void *ctx, const gc_http_message_t *request);
static void on_refresh(void *ctx, gc_caller_conn_t *caller);
static void on_resume_source(void *ctx, gc_caller_conn_t *caller);
static void on_end_slow(void *ctx, gc_caller_conn_t *caller);
static void try_admit(gc_exchange_t *exchange);
static bool wait_for_config(gc_exchange_t *exchange);
static void on_config_timer(void *ctx);
static int64_t outage_retry_after_ms(const gc_route_t *route);
static const gc_refusal_t *admit(gc_exchange_t *exchange);
static const gc_refusal_t *check_key(gc_exchange_t *exchange,
				     int64_t config_age_ms);
static gc_exchange_t *create_exchange(gc_relay_t *relay,
				      gc_caller_conn_t *caller,
				      const gc_http_message_t *request);
static void set_time_limit(gc_exchange_t *exchange);
static gc_str_t request_host(const gc_http_message_t *request);
static bool parse_api_key(const gc_exchange_t *exchange, gc_str_t *key);
static bool read_deadline(const gc_http_message_t *request, const char *name,
			  int64_t *ms);
static gc_daemon_rank_t daemon_rank(const gc_relay_t *relay);

const gc_caller_listener_ops_t gc_relay_listener_ops = {
	.request = on_request,
	.disconnected = on_disconnected,
	.drained = on_drained,
	.limits = get_limits,
	.request_id = get_request_id,
	.refresh = on_refresh,
	.resume_source = on_resume_source,
	.end_slow = on_end_slow,
};

const gc_caller_listener_ops_t gc_relay_forward_ops = {
	.request = on_forwarded,
	.disconnected = on_disconnected,
	.drained = on_drained,
	.limits = get_forward_limits,
	.knows = knows_daemon,
	.request_id = get_request_id,
	.refresh = on_refresh,
	.resume_source = on_resume_source,
	.end_slow = on_end_slow,
};

static const gc_refusal_t no_config = {
	.status = 503,
	.code = "not_ready",
	.message = "no configuration has been received yet",
	.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
	.not_run = true,
};
static const gc_refusal_t stale_config = {
	.status = 503,
	.code = "not_confirmed",
	.message = "the configuration was not confirmed recently",
	.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
	.not_run = true,
};
static const gc_refusal_t stopping = {
	.status = 503,
	.code = "stopping",
	.message = "the daemon is stopping",
	.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
	.not_run = true,
};
static const gc_refusal_t no_route = {
	.status = 404,
	.code = "no_route",
	.message = "no route matches the host and path",
	.not_run = true,
};
static const gc_refusal_t bad_host = {
	.status = 400,
	.code = "bad_host",
	.message = "exactly one Host header and an absolute path are required",
	.not_run = true,
};
static const gc_refusal_t wrong_key = {
	.status = 401,
	.code = "wrong_key",
	.message = "the API key is missing or unknown",
	.not_run = true,
};

gc_relay_t *gc_relay_create(TALLOC_CTX *mem, const gc_relay_conf_t *conf)
{
	gc_relay_t *relay = talloc_zero(mem, gc_relay_t);
	gc_upstream_conf_t upstream_conf = {
		.ev = conf->ev,
		.timers = conf->timers,
		.clock = conf->clock,
		.id_header = conf->adapter->headers.request_id,
		.leaving_header = conf->adapter->headers.leaving,
		.limit_header = conf->adapter->headers.limit,
		.brittle_header = conf->adapter->headers.brittle,
		.pause_max_ms = conf->pause_max_ms,
		.connect_timeout_ms = conf->connect_timeout_ms,
		.source = conf->source,
		.liveness = conf->liveness,
		.unsent_max = conf->bounds_buffers ? GC_KERNEL_UNSENT_BYTES : 0,
	};
	gc_backends_conf_t backends_conf = {
		.failure_domain = conf->failure_domain,
		.random = conf->random,
		.repeat_ratio = conf->repeat_ratio,
		.repeat_slack = conf->repeat_slack,
		.repeat_window_ms = conf->repeat_window_ms,
	};

	gc_crash_checks_conf_t checks_conf = {
		.timers = conf->timers,
		.clock = conf->clock,
		.adapter = conf->adapter,
		.confirmed = conf->confirmed,
		.ask_witness = gc_relay_ask_witness,
		.settled = gc_relay_on_losses_settled,
		.ctx = relay,
	};

	relay->conf = *conf;
	relay->upstream = gc_upstream_create(relay, &upstream_conf);
	relay->backends = gc_backends_create(relay, &backends_conf);
	relay->crash_suspects = gc_crash_suspects_create(relay);
	relay->hop_sources = gc_hop_sources_create(relay, conf->departed_ms);
	if (conf->passes_on)
		create_hop_peers(relay, &upstream_conf, &backends_conf);
	gc_relay_create_reach(relay, &upstream_conf);
	relay->base_versions = gc_base_versions_create(relay);
	relay->store_answers = true;
	checks_conf.upstream = relay->upstream;
	checks_conf.backends = relay->backends;
	relay->crash_checks = gc_crash_checks_create(relay, &checks_conf);
	relay->keep_timer = gc_timer_create(relay, conf->timers,
					    gc_relay_on_keep_timer, relay);
	relay->kept_at = gc_clock_now(conf->clock);
	gc_timer_set(relay->keep_timer, GC_KEEP_INTERVAL_MS);
	relay->alive_timer = gc_timer_create(relay, conf->timers,
					     gc_relay_on_alive_timer, relay);
	gc_relay_start_place_reports(relay);
	talloc_set_destructor(relay, relay_destructor);
	return relay;
}

/* Responses of daemons speak of servers, not of the daemons. */
static void create_hop_peers(gc_relay_t *relay, const gc_upstream_conf_t *conf,
			     const gc_backends_conf_t *peers_conf)
{
	gc_upstream_conf_t hop_conf = *conf;

	hop_conf.source = relay->conf.forward_source;
	hop_conf.leaving_header = NULL;
	hop_conf.keep_alive_ms = HOP_KEEP_ALIVE_MS;
	relay->hop_upstream = gc_upstream_create(relay, &hop_conf);
	relay->hop_peers =
		gc_hop_peers_create(relay, peers_conf, relay->conf.instance);
}

static int relay_destructor(gc_relay_t *relay)
{
	gc_relay_destroy_reach(relay);
	for (size_t i = 0; i < relay->n_alive; i++)
		gc_backend_unref(relay->alive[i].server);
	gc_fleet_view_unref(relay->view);
	return 0;
}

void gc_relay_set_view(gc_relay_t *relay, gc_fleet_view_t *view)
{
	gc_daemon_rank_t rank;

	gc_hop_sources_set_view(relay->hop_sources,
				gc_clock_now(relay->conf.clock), view);
	gc_fleet_view_unref(relay->view);
	relay->view = gc_fleet_view_ref(view);
	rank = daemon_rank(relay);
	gc_backends_set_routes(relay->backends, view->routes);
	gc_backends_sync(relay->backends, view->servers, view->n_servers,
			 &rank);
	if (relay->hop_peers)
		gc_hop_peers_set_view(relay->hop_peers, relay->view);
	gc_crash_checks_servers_changed(relay->crash_checks);
	gc_crash_suspects_set_rank(relay->crash_suspects, rank.all, rank.n_all);
	gc_relay_update_versions(relay);
}

static gc_daemon_rank_t daemon_rank(const gc_relay_t *relay)
{
	const gc_fleet_view_t *view = relay->view;
	gc_daemon_rank_t rank = {.n_all = view->n_daemons};

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

/* A request that this makes the listener read next is refused at once. */
void gc_relay_end_requests(gc_relay_t *relay)
{
	while (relay->exchanges)
		gc_exchange_on_stop(relay->exchanges);
}

size_t gc_relay_in_flight(const gc_relay_t *relay)
{
	return relay->n_exchanges;
}

static gc_request_limits_t get_limits(void *ctx)
{
	const gc_relay_t *relay = ctx;

	if (relay->view && relay->view->routes)
		return *gc_routes_limits(relay->view->routes);
	return (gc_request_limits_t){
		.max_header_bytes = INITIAL_MAX_HEADER_BYTES,
		.max_body_bytes = INITIAL_MAX_BODY_BYTES,
		.header_timeout_ms = INITIAL_HEADER_TIMEOUT_MS,
		.idle_timeout_ms = INITIAL_IDLE_TIMEOUT_MS,
	};
}

static gc_str_t get_request_id(void *ctx, const gc_http_message_t *request)
{
	const gc_relay_t *relay = ctx;

	return gc_http_message_find_header(
		request, relay->conf.adapter->headers.request_id);
}

static void on_refresh(void *ctx, gc_caller_conn_t *caller)
{
	gc_exchange_count_unsent(gc_caller_conn_data(caller));
}

static void on_resume_source(void *ctx, gc_caller_conn_t *caller)
{
	gc_exchange_resume_server(gc_caller_conn_data(caller));
}

static void on_end_slow(void *ctx, gc_caller_conn_t *caller)
{
	gc_exchange_on_slow_peer(gc_caller_conn_data(caller));
}

static void on_request(void *ctx, gc_caller_conn_t *caller,
		       const gc_http_message_t *request)
{
	gc_relay_t *relay = ctx;

	try_admit(create_exchange(relay, caller, request));
}

static void on_forwarded(void *ctx, gc_caller_conn_t *caller,
			 const gc_http_message_t *request)
{
	gc_exchange_t *exchange = create_exchange(ctx, caller, request);

	exchange->received = true;
	exchange->unknown_daemon = !gc_caller_conn_is_known(caller);
	try_admit(exchange);
}

static bool knows_daemon(void *ctx, gc_str_t ip)
{
	const gc_relay_t *relay = ctx;

	return gc_hop_sources_has(relay->hop_sources,
				  gc_clock_now(relay->conf.clock), ip);
}

/* The daemon that passes a request on has kept to the limits of callers. */
static gc_request_limits_t get_forward_limits(void *ctx)
{
	gc_request_limits_t limits = get_limits(ctx);

	limits.max_header_bytes += HOP_HEADER_BYTES;
	limits.max_body_bytes =
		MAX(limits.max_body_bytes, INITIAL_MAX_BODY_BYTES);
	limits.header_timeout_ms = INITIAL_HEADER_TIMEOUT_MS;
	limits.idle_timeout_ms = INITIAL_IDLE_TIMEOUT_MS;
	return limits;
}

static void try_admit(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	gc_caller_conn_t *caller = exchange->caller;
	const gc_refusal_t *refusal = admit(exchange);
	gc_refusal_t response;

	if (!refusal) {
		gc_exchange_run(exchange);
		return;
	}
	if (refusal == &no_config && !exchange->received &&
	    wait_for_config(exchange))
		return;
	response = *refusal;
	response.received = exchange->received;
	if (refusal == &stale_config)
		response.retry_after_ms =
			outage_retry_after_ms(exchange->route);
	gc_caller_conn_set_data(caller, NULL);
	gc_relay_refuse(relay, caller, exchange->id, exchange->account,
			&response);
	gc_fleet_view_unref(exchange->view);
	talloc_free(exchange);
}

/*
 * Retry-After while the configuration can't be confirmed. Such an outage lasts
 * for seconds and callers retry only once or twice, so an early retry would be
 * refused as well. Half of target_latency_ms is left for the response.
 */
static int64_t outage_retry_after_ms(const gc_route_t *route)
{
	int64_t ms = route ? route->target_latency_ms / 2 : 0;

	return ms > MIN_OUTAGE_RETRY_AFTER_MS ? ms : MIN_OUTAGE_RETRY_AFTER_MS;
}

/*
 * Delays admission while no configuration is known; false after
 * INITIAL_CONFIG_WAIT_MS. A daemon that has just started gets a configuration
 * within some ms, and a refusal would cost the caller one of its retries.
 */
static bool wait_for_config(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	int64_t waited_ms = gc_ms_between(exchange->arrived,
					  gc_clock_now(relay->conf.clock));
	int64_t deadline_ms = DEADLINE_MAX_MS;

	read_deadline(exchange->request,
		      relay->conf.adapter->headers.deadline_ms, &deadline_ms);
	if (waited_ms >= gc_share_of_time_ms(INITIAL_CONFIG_WAIT_MS,
					     deadline_ms, INITIAL_CONFIG_SHARE,
					     0))
		return false;
	if (!exchange->retry_timer)
		exchange->retry_timer =
			gc_timer_create(exchange, relay->conf.timers,
					on_config_timer, exchange);
	gc_timer_set(exchange->retry_timer, INITIAL_CONFIG_POLL_MS);
	gc_caller_conn_set_data(exchange->caller, exchange);
	return true;
}

static void on_config_timer(void *ctx)
{
	try_admit(ctx);
}

static gc_exchange_t *create_exchange(gc_relay_t *relay,
				      gc_caller_conn_t *caller,
				      const gc_http_message_t *request)
{
	gc_exchange_t *exchange = talloc_zero(relay, gc_exchange_t);
	const char *id_header = relay->conf.adapter->headers.request_id;

	exchange->relay = relay;
	exchange->caller = caller;
	exchange->request = request;
	exchange->arrived = gc_caller_conn_arrived(caller);
	exchange->limit_reached = "";
	exchange->id = gc_str_dup(
		exchange, gc_http_message_find_header(request, id_header));
	exchange->head_request =
		strcmp(gc_http_message_method(request), "HEAD") == 0;
	return exchange;
}

/* Sets route, service and account. Returns NULL or the refusal to send. */
static const gc_refusal_t *admit(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	const gc_http_message_t *request = exchange->request;
	gc_str_t target = gc_http_message_target(request);
	struct timespec now = gc_clock_now(relay->conf.clock);
	int64_t config_age_ms = gc_confirmed_age_ms(relay->conf.confirmed, now);
	const gc_refusal_t *refusal = NULL;
	const char *query;
	gc_str_t path = target;

	if (exchange->unknown_daemon)
		return gc_exchange_reject_unknown(exchange);
	if (gc_http_message_count_header(request, "host") != 1 ||
	    target.len == 0 || *target.data != '/')
		return &bad_host;
	if (!relay->view || !relay->view->routes || config_age_ms < 0)
		return &no_config;
	query = memchr(target.data, '?', target.len);
	if (query)
		path.len = (size_t)(query - target.data);
	exchange->route = gc_routes_find(relay->view->routes,
					 request_host(request), path);
	if (!exchange->route)
		return config_age_ms > relay->conf.deny_age_ms ? &stale_config
							       : &no_route;
	if (gc_routes_needs_key(relay->view->routes, exchange->route))
		refusal = check_key(exchange, config_age_ms);
	if (refusal == &wrong_key)
		return refusal;
	exchange->view = gc_fleet_view_ref(relay->view);
	exchange->service = gc_route_choose_service(
		exchange->route,
		relay->conf.random->next(relay->conf.random->ctx));
	/* The retry budget grows with all requests that callers send to the
	 * service, including those that this daemon can't admit. */
	if (!exchange->received)
		gc_backends_count_request(relay->backends, now,
					  exchange->service);
	if (refusal)
		return refusal;
	set_time_limit(exchange);
	if (exchange->received)
		return gc_exchange_admit_received(exchange);
	if (relay->stopping &&
	    gc_ms_between(now, relay->stop_at) < exchange->time_limit_ms)
		return &stopping;
	return NULL;
}

static const gc_refusal_t *check_key(gc_exchange_t *exchange,
				     int64_t config_age_ms)
{
	const gc_relay_conf_t *conf = &exchange->relay->conf;
	gc_str_t key;

	/* The key may have been revoked since the last confirmation. */
	if (config_age_ms > conf->admit_age_ms)
		return &stale_config;
	if (parse_api_key(exchange, &key) &&
	    gc_routes_find_account(exchange->relay->view->routes, key,
				   &exchange->account))
		return NULL;
	return config_age_ms > conf->deny_age_ms ? &stale_config : &wrong_key;
}

static bool parse_api_key(const gc_exchange_t *exchange, gc_str_t *key)
{
	gc_str_t value =
		gc_http_message_find_header(exchange->request, "authorization");
	const char *scheme = exchange->relay->conf.adapter->headers.auth_scheme;
	size_t len = strlen(scheme);

	if (gc_http_message_count_header(exchange->request, "authorization") !=
		    1 ||
	    value.len <= len + 1 ||
	    g_ascii_strncasecmp(value.data, scheme, len) != 0 ||
	    value.data[len] != ' ')
		return false;
	*key = (gc_str_t){value.data + len + 1, value.len - len - 1};
	return true;
}

/* The Host header without the port, which routes don't match on. */
static gc_str_t request_host(const gc_http_message_t *request)
{
	gc_str_t host = gc_http_message_find_header(request, "host");
	const char *colon = memchr(host.data, ':', host.len);

	if (colon)
		host.len = (size_t)(colon - host.data);
	return host;
}

static void set_time_limit(gc_exchange_t *exchange)
{
	const gc_route_t *route = exchange->route;
	const char *name = exchange->relay->conf.adapter->headers.deadline_ms;
	int64_t timeout_ms = route->timeout_ms > 0 ? route->timeout_ms
						   : DEFAULT_TIME_LIMIT_MS;
	gc_request_time_t time;

	exchange->deadline_ms = timeout_ms;
	exchange->named_deadline =
		read_deadline(exchange->request, name, &exchange->deadline_ms);
	time = gc_request_time(timeout_ms,
			       exchange->named_deadline ? exchange->deadline_ms
							: GC_NO_DEADLINE,
			       gc_caller_conn_round_trip_ms(exchange->caller));
	exchange->time_limit_ms = time.limit_ms;
	exchange->last_answer_ms = time.last_answer_ms;
	exchange->end_ms = time.end_ms;
	exchange->attempts.route = route;
}

/* False for a deadline that isn't a number, or comes twice, as for an absent one. */
static bool read_deadline(const gc_http_message_t *request, const char *name,
			  int64_t *ms)
{
	return gc_http_message_count_header(request, name) == 1 &&
	       gc_parse_whole(gc_http_message_find_header(request, name),
			      DEADLINE_MAX_MS, ms);
}

static void on_disconnected(void *ctx, gc_caller_conn_t *caller)
{
	gc_exchange_t *exchange = gc_caller_conn_data(caller);

	if (exchange)
		gc_exchange_on_disconnect(exchange);
}

static void on_drained(void *ctx, gc_caller_conn_t *caller)
{
	gc_exchange_t *exchange = gc_caller_conn_data(caller);

	if (exchange)
		gc_exchange_on_drained(exchange);
}
