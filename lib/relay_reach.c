/*
 * What links to backend servers show: whether this daemon reaches any server of a
 * service, and tries in the background while it doesn't.
 */
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/relay_private.h"

/* Time for a server's answer to a try. */
#define TRY_TIMEOUT_MS 300
/* How long nobody is asked to take a request before the daemon counts as serving
 * again: callers who are sent elsewhere don't show whether that has changed. */
#define ALONE_MS 3000

static void arm_timer(gc_relay_t *relay);
static void on_timer(void *ctx);
static void on_try_ended(void *ctx, int status, gc_str_t response,
			 gc_attempt_end_t end);
static void record_reached(gc_relay_t *relay, gc_backend_t *server);
static void tell_serving(gc_relay_t *relay);
static bool is_cut_off_from_all(const gc_relay_t *relay);

void gc_relay_create_reach(gc_relay_t *relay, const gc_upstream_conf_t *conf)
{
	relay->reach_upstream = gc_upstream_create(relay, conf);
	relay->reach = gc_reach_create(relay);
	relay->reach_timer =
		gc_timer_create(relay, relay->conf.timers, on_timer, relay);
	gc_relay_create_silence(relay);
}

void gc_relay_destroy_reach(gc_relay_t *relay)
{
	if (relay->reach_query)
		gc_backend_query_destroy(relay->reach_query);
	relay->reach_query = NULL;
	gc_backend_unref(relay->reach_server);
	relay->reach_server = NULL;
	gc_relay_destroy_silence(relay);
}

void gc_relay_record_response(gc_relay_t *relay, gc_str_t service,
			      bool new_connection)
{
	if (relay->hop_peers)
		gc_reach_record_response(relay->reach,
					 gc_clock_now(relay->conf.clock),
					 service, new_connection);
}

/* A server that sends nothing, or sends something wrong, has a sound link. */
void gc_relay_record_link(gc_relay_t *relay, const gc_backend_t *server,
			  gc_attempt_end_t end)
{
	if (!relay->hop_peers || (end != GC_END_UNREACHABLE &&
				  end != GC_END_BROKEN && end != GC_END_CUT))
		return;
	gc_reach_record_failed(relay->reach, gc_clock_now(relay->conf.clock),
			       gc_backend_service(server),
			       gc_backend_incarnation(server),
			       end == GC_END_UNREACHABLE);
	/* What cut one connection holds the others to the server, too. */
	if (end == GC_END_CUT)
		gc_upstream_close_idle(relay->upstream, server);
	/* Judged now, so that the next request finds the result of the first try. */
	(void)gc_relay_is_cut_off(relay, gc_backend_service(server));
}

void gc_relay_record_lost(gc_relay_t *relay, const gc_backend_set_t *servers)
{
	if (!relay->hop_peers)
		return;
	for (size_t i = 0; i < servers->n; i++)
		gc_reach_record_failed(relay->reach,
				       gc_clock_now(relay->conf.clock),
				       gc_backend_service(servers->list[i]),
				       gc_backend_incarnation(servers->list[i]),
				       false);
}

bool gc_relay_is_cut_off(gc_relay_t *relay, gc_str_t service)
{
	struct timespec now = gc_clock_now(relay->conf.clock);
	size_t n_servers;

	if (!relay->hop_peers)
		return false;
	if (gc_reach_is_cut_off(relay->reach, service))
		return true;
	n_servers = gc_backends_count_ejected(relay->backends, now, service);
	if (!gc_reach_judge(relay->reach, now, service, n_servers))
		return false;
	gc_relay_begin_tries(relay, service, n_servers,
			     gc_reach_n_failed(relay->reach, service));
	return true;
}

void gc_relay_begin_tries(gc_relay_t *relay, gc_str_t service, size_t n_servers,
			  size_t n_failed)
{
	g_autofree char *name = g_strndup(service.data, service.len);
	g_autofree char *servers = g_strdup_printf("%zu", n_servers);
	g_autofree char *failed = g_strdup_printf("%zu", n_failed);

	gc_log(GC_LOG_WARNING, GC_EVENT_SERVICE_CUT_OFF, "reaches no server",
	       "service", name, "servers", servers, "failed", failed, NULL);
	arm_timer(relay);
}

static void arm_timer(gc_relay_t *relay)
{
	gc_str_t service;
	int64_t ms = gc_reach_next_try_ms(
		relay->reach, gc_clock_now(relay->conf.clock), &service);

	if (ms >= 0 && !relay->reach_query)
		gc_timer_set(relay->reach_timer, ms);
}

static void on_timer(void *ctx)
{
	gc_relay_t *relay = ctx;
	struct timespec now = gc_clock_now(relay->conf.clock);
	gc_backend_query_conf_t conf = {
		.upstream = relay->reach_upstream,
		.timers = relay->conf.timers,
		.method = "GET",
		.path = relay->conf.adapter->load_path,
		.body = GC_STR_EMPTY,
		.timeout_ms = TRY_TIMEOUT_MS,
		.done = on_try_ended,
		.ctx = relay,
	};
	gc_str_t service;
	gc_backend_t *server;

	tell_serving(relay);
	if (relay->reach_query ||
	    gc_reach_next_try_ms(relay->reach, now, &service) != 0) {
		arm_timer(relay);
		return;
	}
	server =
		gc_backends_nth(relay->backends, now, service,
				gc_reach_begin_try(relay->reach, now, service));
	if (!server) {
		arm_timer(relay);
		return;
	}
	relay->reach_server = gc_backend_ref(server);
	relay->reach_query = gc_backend_query_start(relay, &conf, server);
}

/* Any response comes from the service's side of the link. */
static void on_try_ended(void *ctx, int status, gc_str_t response,
			 gc_attempt_end_t end)
{
	gc_relay_t *relay = ctx;
	gc_backend_t *server = relay->reach_server;

	/* The query frees itself after this callback. */
	talloc_steal(NULL, relay->reach_query);
	relay->reach_query = NULL;
	relay->reach_server = NULL;
	gc_upstream_close_idle(relay->reach_upstream, server);
	if (status != 0)
		record_reached(relay, server);
	gc_backend_unref(server);
	arm_timer(relay);
}

static void record_reached(gc_relay_t *relay, gc_backend_t *server)
{
	gc_str_t service = gc_backend_service(server);
	g_autofree char *name = g_strndup(service.data, service.len);

	gc_backend_record_activity(server);
	if (gc_reach_record_try(relay->reach, gc_clock_now(relay->conf.clock),
				service))
		gc_log(GC_LOG_INFO, GC_EVENT_SERVICE_REACHED,
		       "reaches servers again", "service", name, "server",
		       gc_backend_id(server).data, NULL);
	tell_serving(relay);
}

void gc_relay_record_passing(gc_relay_t *relay, bool taken)
{
	relay->alone = !taken;
	if (relay->alone)
		relay->alone_at = gc_clock_now(relay->conf.clock);
	tell_serving(relay);
}

static void tell_serving(gc_relay_t *relay)
{
	bool alone =
		relay->alone &&
		gc_ms_between(relay->alone_at,
			      gc_clock_now(relay->conf.clock)) < ALONE_MS &&
		is_cut_off_from_all(relay);

	if (alone == relay->told_alone)
		return;
	relay->told_alone = alone;
	if (relay->conf.set_serving)
		relay->conf.set_serving(relay->conf.share_ctx, !alone);
}

static bool is_cut_off_from_all(const gc_relay_t *relay)
{
	const gc_fleet_view_t *view = relay->view;

	for (size_t i = 0; i < view->n_servers; i++)
		if (!gc_reach_is_cut_off(relay->reach,
					 view->servers[i].service))
			return false;
	return true;
}
