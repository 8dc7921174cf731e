/* Stand-in for the platform: options, routing, rate limits, faults, stats. */
#include <math.h>
#include <string.h>

#include "standin-platform.h"

#define WEIGHT_FILE_BYTES 4096

/* A delayed request, or the delayed response to a write. */
typedef struct deferred {
	platform_t *platform;
	gc_http_req_t *req;
	char *response; /* NULL: the request is not handled yet */
} deferred_t;

static gint list_lag_ms = 1000;
static gdouble writes_per_s = 300;
static gdouble reads_per_s = 2000;
static gdouble weights_per_s = 2;

static const GOptionEntry entries[] = {
	{"list-lag-ms", 0, 0, G_OPTION_ARG_INT, &list_lag_ms,
	 "Delay of changes of the instance list (1000)", "MS"},
	{"writes-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &writes_per_s,
	 "Key-value writes per second; 0: no limit (300)", "N"},
	{"reads-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &reads_per_s,
	 "Key-value reads per second; 0: no limit (2000)", "N"},
	{"weights-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &weights_per_s,
	 "Weight store reads per second; 0: no limit (2)", "N"},
	{0},
};

static void *start(standin_t *standin);
static void stop(void *ctx);
static void handle(void *ctx, gc_http_req_t *req);
static bool is_kv_path(const char *path);
static bool route_instance_list(platform_t *platform, gc_http_req_t *req);
static void handle_kv(platform_t *platform, gc_http_req_t *req);
static bool consume_kv_quota(platform_t *platform, gc_http_req_t *req);
static void route_kv(platform_t *platform, gc_http_req_t *req);
static bool token_bucket_take(token_bucket_t *bucket);
static void defer(platform_t *platform, gc_http_req_t *req,
		  const char *response);
static void on_delay(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static bool in_outage(const platform_t *platform);
static void reply_outage(platform_t *platform, gc_http_req_t *req);
static bool delay_is_active(const platform_t *platform);
static void reply_weights(platform_t *platform, gc_http_req_t *req);
static void reply_stats(platform_t *platform, gc_http_req_t *req);
static void handle_fault(platform_t *platform, gc_http_req_t *req);
static bool apply_fault(platform_t *platform, const json_t *body);
static void begin_outage(platform_t *platform, const json_t *body);
static void begin_delay(platform_t *platform, const json_t *body);

int main(int argc, char **argv)
{
	static const standin_conf_t conf = {
		.program = "standin-platform",
		.summary = "Key-value service, instance list and weight store.",
		.options = entries,
		.handler = handle,
		.start = start,
		.stop = stop,
	};

	return standin_main(&conf, argc, argv);
}

static void *start(standin_t *standin)
{
	platform_t *platform = talloc_zero(standin->mem, platform_t);

	platform->standin = standin;
	platform->kv = kv_create(platform, platform);
	platform->sessions = sessions_create(platform, platform);
	platform->list = instance_list_create(platform, standin, list_lag_ms);
	platform->reads = (token_bucket_t){.rate = reads_per_s};
	platform->writes = (token_bucket_t){.rate = writes_per_s};
	platform->weights = (token_bucket_t){.rate = weights_per_s};
	return platform;
}

static void stop(void *ctx)
{
	platform_t *platform = ctx;

	kv_end_watches(platform->kv, false);
	instance_list_end_watches(platform->list);
}

static void handle(void *ctx, gc_http_req_t *req)
{
	platform_t *platform = ctx;
	const char *path = gc_http_req_path(req);

	if (standin_req_matches(req, "POST", "/faults"))
		handle_fault(platform, req);
	else if (standin_req_matches(req, "GET", "/stats"))
		reply_stats(platform, req);
	else if (g_str_has_prefix(path, "/weights/"))
		reply_weights(platform, req);
	else if (is_kv_path(path))
		handle_kv(platform, req);
	else if (!route_instance_list(platform, req))
		standin_reply_error(req, 404, "no such path: %s", path);
}

static bool is_kv_path(const char *path)
{
	return g_str_has_prefix(path, "/v1/kv/") ||
	       g_str_has_prefix(path, "/v1/session/");
}

static bool route_instance_list(platform_t *platform, gc_http_req_t *req)
{
	static const char health[] = "/v1/health/service/";
	static const char deregister[] = "/v1/agent/service/deregister/";
	const char *method = gc_http_req_method(req);
	const char *path = gc_http_req_path(req);

	if (strcmp(method, "GET") == 0 && g_str_has_prefix(path, health)) {
		platform->stats.list_queries++;
		instance_list_query(platform->list, req, path + strlen(health));
		return true;
	}
	if (standin_req_matches(req, "PUT", "/v1/agent/service/register")) {
		platform->stats.registrations++;
		instance_list_register(platform->list, req);
		return true;
	}
	if (strcmp(method, "PUT") == 0 && g_str_has_prefix(path, deregister)) {
		platform->stats.registrations++;
		instance_list_deregister(platform->list, req,
					 path + strlen(deregister));
		return true;
	}
	return false;
}

static void handle_kv(platform_t *platform, gc_http_req_t *req)
{
	if (in_outage(platform)) {
		reply_outage(platform, req);
		return;
	}
	if (!consume_kv_quota(platform, req)) {
		platform->stats.refused++;
		standin_reply_retry_after(req, 429, 1, "rate limit exceeded");
		return;
	}
	if (delay_is_active(platform) && !platform->delay_responses)
		defer(platform, req, NULL);
	else
		route_kv(platform, req);
}

/* Counts the request; returns false if it exceeds its rate limit. */
static bool consume_kv_quota(platform_t *platform, gc_http_req_t *req)
{
	bool read = strcmp(gc_http_req_method(req), "GET") == 0;

	if (!token_bucket_take(read ? &platform->reads : &platform->writes))
		return false;
	if (!read)
		platform->stats.writes++;
	else if (kv_is_watch(req))
		platform->stats.watches++;
	else
		platform->stats.reads++;
	return true;
}

static void route_kv(platform_t *platform, gc_http_req_t *req)
{
	const char *method = gc_http_req_method(req);
	const char *path = gc_http_req_path(req);
	const char *key;

	if (g_str_has_prefix(path, "/v1/session/")) {
		if (!session_handle(platform->sessions, req,
				    path + strlen("/v1/session/")))
			standin_reply_error(req, 404, "no such path: %s", path);
		return;
	}
	key = path + strlen("/v1/kv/");
	if (strcmp(method, "GET") == 0)
		kv_get(platform->kv, req, key);
	else if (strcmp(method, "PUT") == 0)
		kv_put(platform->kv, req, key);
	else if (strcmp(method, "DELETE") == 0)
		kv_delete(platform->kv, req, key);
	else
		standin_reply_error(req, 405, "no such method: %s", method);
}

static bool token_bucket_take(token_bucket_t *bucket)
{
	int64_t now = standin_monotonic_us();
	double burst = fmax(bucket->rate, 1);

	if (bucket->rate <= 0)
		return true;
	if (bucket->refilled_us == 0)
		bucket->tokens = burst;
	else
		bucket->tokens = fmin(
			burst, bucket->tokens + (now - bucket->refilled_us) *
							bucket->rate / 1e6);
	bucket->refilled_us = now;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

static void defer(platform_t *platform, gc_http_req_t *req,
		  const char *response)
{
	deferred_t *deferred = talloc_zero(platform, deferred_t);

	deferred->platform = platform;
	deferred->req = req;
	deferred->response = talloc_strdup(deferred, response);
	standin_add_timer_us(platform->standin->ev, deferred,
			     platform->delay_us, on_delay, deferred);
}

static void on_delay(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	deferred_t *deferred = ctx;

	if (deferred->response)
		standin_reply_text(deferred->req, 200, deferred->response);
	else
		route_kv(deferred->platform, deferred->req);
	talloc_free(deferred);
}

void platform_reply_applied(platform_t *platform, gc_http_req_t *req,
			    const char *text)
{
	if (platform->lose_responses == 0) {
		platform_reply_write(platform, req, text);
		return;
	}
	platform->lose_responses--;
	platform->stats.lost++;
	standin_abort_connection(req);
}

void platform_reply_write(platform_t *platform, gc_http_req_t *req,
			  const char *text)
{
	if (delay_is_active(platform) && platform->delay_responses)
		defer(platform, req, text);
	else
		standin_reply_text(req, 200, text);
}

bool platform_parse_duration(const char *text, int64_t *us)
{
	static const struct {
		const char *unit;
		double us;
	} units[] = {{"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}};
	char *unit;
	double n;

	if (!text)
		return false;
	n = g_ascii_strtod(text, &unit);
	if (unit == text || !(n >= 0 && n < 1e6))
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(units); i++) {
		if (strcmp(unit, units[i].unit) != 0)
			continue;
		*us = (int64_t)(n * units[i].us);
		return true;
	}
	return false;
}

static bool in_outage(const platform_t *platform)
{
	return platform->outage_until_us > standin_monotonic_us();
}

static void reply_outage(platform_t *platform, gc_http_req_t *req)
{
	platform->stats.unavailable++;
	if (platform->outage_aborts)
		standin_abort_connection(req);
	else
		standin_reply_error(req, 503, "unavailable");
}

static bool delay_is_active(const platform_t *platform)
{
	return platform->delay_until_us > standin_monotonic_us();
}

static void reply_weights(platform_t *platform, gc_http_req_t *req)
{
	g_autofree char *bytes = NULL;

	platform->stats.weights++;
	if (!token_bucket_take(&platform->weights)) {
		platform->stats.refused++;
		standin_reply_retry_after(
			req, 429,
			(unsigned int)ceil(1 / platform->weights.rate),
			"rate limit exceeded");
		return;
	}
	bytes = g_malloc0(WEIGHT_FILE_BYTES);
	gc_http_reply(req, 200, "application/octet-stream",
		      (gc_str_t){bytes, WEIGHT_FILE_BYTES});
}

static void reply_stats(platform_t *platform, gc_http_req_t *req)
{
	const platform_stats_t *stats = &platform->stats;

	standin_reply(req, 200,
		      json_pack("{sI sI sI sI sI sI sI sI sI}", "reads",
				(json_int_t)stats->reads, "writes",
				(json_int_t)stats->writes, "watches",
				(json_int_t)stats->watches, "list",
				(json_int_t)stats->list_queries, "refused",
				(json_int_t)stats->refused, "registrations",
				(json_int_t)stats->registrations, "weights",
				(json_int_t)stats->weights, "unavailable",
				(json_int_t)stats->unavailable, "lost",
				(json_int_t)stats->lost));
}

static void handle_fault(platform_t *platform, gc_http_req_t *req)
{
	json_t *body = standin_parse_body(req);

	if (!body)
		return;
	if (apply_fault(platform, body))
		standin_reply_text(req, 200, "{\"ok\":true}\n");
	else
		standin_reply_error(req, 400, "unknown fault");
	json_decref(body);
}

static bool apply_fault(platform_t *platform, const json_t *body)
{
	const char *name = json_string_value(json_object_get(body, "fault"));

	if (!name)
		return false;
	if (strcmp(name, "outage") == 0) {
		begin_outage(platform, body);
	} else if (strcmp(name, "delay") == 0) {
		begin_delay(platform, body);
	} else if (strcmp(name, "lose") == 0) {
		platform->lose_responses = standin_get_int(body, "count", 1);
	} else if (strcmp(name, "list_lag") == 0) {
		instance_list_set_lag(platform->list,
				      standin_get_int(body, "ms", list_lag_ms));
	} else if (strcmp(name, "list_no_blocking") == 0) {
		instance_list_set_blocking(platform->list, false);
	} else if (strcmp(name, "clear") == 0) {
		platform->outage_until_us = 0;
		platform->delay_until_us = 0;
		platform->lose_responses = 0;
		instance_list_set_lag(platform->list, list_lag_ms);
		instance_list_set_blocking(platform->list, true);
	} else {
		return false;
	}
	return true;
}

static void begin_outage(platform_t *platform, const json_t *body)
{
	platform->outage_until_us = standin_monotonic_us() +
				    standin_get_int(body, "ms", 1000) * 1000;
	platform->outage_aborts = json_is_true(json_object_get(body, "cut"));
	kv_end_watches(platform->kv, platform->outage_aborts);
}

/* Without for_ms the delay lasts until it is cleared. */
static void begin_delay(platform_t *platform, const json_t *body)
{
	int64_t for_ms = standin_get_int(body, "for_ms", INT32_MAX);

	platform->delay_us = standin_get_int(body, "ms", 1000) * 1000;
	platform->delay_until_us = standin_monotonic_us() + for_ms * 1000;
	platform->delay_responses =
		json_is_true(json_object_get(body, "answers"));
}
