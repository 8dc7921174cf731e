/* Readiness, addresses of daemons, metrics. */
#include "lib/desk.h"
#include "lib/front.h"
#include "lib/metrics.h"

/* Addresses in one answer; callers use no more. */
#define MAX_ADDRESSES 64
/* With fewer daemons in the caller's failure domain, all are named. */
#define LEAST_LOCAL  2
#define METRICS_PATH "/metrics"
/* Questions are small and come on short connections. */
#define MAX_HEAD_BYTES 8192
#define MAX_BODY_BYTES 1024
#define HEADER_MS      3000
#define IDLE_MS	       15000

struct gc_desk {
	gc_desk_conf_t conf;
	bool stopping;
};

static void on_request(void *ctx, gc_caller_t *caller,
		       const gc_message_t *request);
static void on_gone(void *ctx, gc_caller_t *caller);
static gc_request_limits_t get_limits(void *ctx);
static bool is_ready(const gc_desk_t *desk);
static bool path_is(gc_str_t target, const char *path);
static void answer_addresses(gc_desk_t *desk, gc_caller_t *caller,
			     gc_str_t target);
static size_t collect(const gc_desk_t *desk, gc_str_t domain,
		      gc_str_t *addresses);
static size_t sample(const gc_desk_t *desk, gc_str_t *addresses, size_t n);
static void answer_metrics(gc_caller_t *caller);

static const gc_front_ops_t front_ops = {
	.request = on_request,
	.gone = on_gone,
	.drained = on_gone,
	.limits = get_limits,
};

gc_desk_t *gc_desk_create(TALLOC_CTX *mem, const gc_desk_conf_t *conf)
{
	gc_desk_t *desk = talloc_zero(mem, gc_desk_t);

	desk->conf = *conf;
	return desk;
}

bool gc_desk_listen(gc_desk_t *desk, const gc_listen_t *listen, GError **err)
{
	return gc_front_create(desk, desk->conf.ev, desk->conf.timers,
			       desk->conf.clock, listen->address, listen->port,
			       &front_ops, desk, err) != NULL;
}

void gc_desk_set_stopping(gc_desk_t *desk)
{
	desk->stopping = true;
}

/* Every answer is given at once, so there is nothing to end. */
static void on_gone(void *ctx, gc_caller_t *caller)
{
}

static gc_request_limits_t get_limits(void *ctx)
{
	return (gc_request_limits_t){
		.max_header_bytes = MAX_HEAD_BYTES,
		.max_body_bytes = MAX_BODY_BYTES,
		.header_timeout_ms = HEADER_MS,
		.idle_timeout_ms = IDLE_MS,
	};
}

static void on_request(void *ctx, gc_caller_t *caller,
		       const gc_message_t *request)
{
	gc_desk_t *desk = ctx;
	gc_str_t target = gc_message_target(request);

	if (path_is(target, desk->conf.adapter->ready_path))
		gc_caller_answer(caller, is_ready(desk) ? 200 : 503,
				 GC_STR_EMPTY, GC_STR_EMPTY);
	else if (path_is(target, desk->conf.adapter->addresses_path))
		answer_addresses(desk, caller, target);
	else if (path_is(target, METRICS_PATH))
		answer_metrics(caller);
	else
		gc_caller_answer(caller, 404, GC_STR_EMPTY, GC_STR_EMPTY);
}

static bool path_is(gc_str_t target, const char *path)
{
	size_t len = strlen(path);

	return target.len >= len && memcmp(target.data, path, len) == 0 &&
	       (target.len == len || target.data[len] == '?');
}

/* Callers come only to a daemon that is among the addresses. */
static bool is_ready(const gc_desk_t *desk)
{
	const gc_fleet_view_t *view = gc_fleet_view(desk->conf.fleet);
	int64_t age_ms = gc_confirmed_age_ms(desk->conf.confirmed,
					     gc_clock_now(desk->conf.clock));

	if (desk->stopping || !view->routes || age_ms < 0 ||
	    age_ms > desk->conf.contact_ms)
		return false;
	for (size_t i = 0; i < view->n_daemons; i++)
		if (gc_str_eq(view->daemons[i].id, desk->conf.instance))
			return true;
	return false;
}

static void answer_addresses(gc_desk_t *desk, gc_caller_t *caller,
			     gc_str_t target)
{
	const gc_fleet_view_t *view = gc_fleet_view(desk->conf.fleet);
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_str_t *addresses = talloc_array(mem, gc_str_t, view->n_daemons + 1);
	gc_address_query_t query;
	g_autofree char *text = NULL;
	size_t n;

	desk->conf.adapter->read_address_query(mem, target, &query);
	n = collect(desk, query.failure_domain, addresses);
	if (n < LEAST_LOCAL)
		n = collect(desk, GC_STR_EMPTY, addresses);
	n = sample(desk, addresses, n);
	if (n == 0) {
		gc_caller_answer(caller, 503, GC_STR_EMPTY, GC_STR_EMPTY);
	} else {
		text = desk->conf.adapter->write_addresses(
			addresses, n, desk->conf.address_ttl_s);
		gc_caller_answer(
			caller, 200,
			GC_STR_LIT("Content-Type: application/json\r\n"),
			gc_str(text));
	}
	talloc_free(mem);
}

/* Daemons of the failure domain, or all of them if it is empty. */
static size_t collect(const gc_desk_t *desk, gc_str_t domain,
		      gc_str_t *addresses)
{
	const gc_fleet_view_t *view = gc_fleet_view(desk->conf.fleet);
	size_t n = 0;

	for (size_t i = 0; i < view->n_daemons; i++) {
		const gc_entry_t *daemon = &view->daemons[i];

		if (desk->stopping &&
		    gc_str_eq(daemon->id, desk->conf.instance))
			continue;
		if (domain.len == 0 ||
		    gc_str_eq(daemon->failure_domain, domain))
			addresses[n++] = daemon->address;
	}
	return n;
}

/* A random part, so that large fleets spread their callers. */
static size_t sample(const gc_desk_t *desk, gc_str_t *addresses, size_t n)
{
	const gc_random_t *random = desk->conf.random;

	if (n <= MAX_ADDRESSES)
		return n;
	for (size_t i = 0; i < MAX_ADDRESSES; i++) {
		size_t other = i + random->next(random->ctx) % (n - i);
		gc_str_t kept = addresses[i];

		addresses[i] = addresses[other];
		addresses[other] = kept;
	}
	return MAX_ADDRESSES;
}

static void answer_metrics(gc_caller_t *caller)
{
	GString *text = gc_metrics_print();

	gc_caller_answer(caller, 200,
			 GC_STR_LIT("Content-Type: text/plain\r\n"),
			 (gc_str_t){text->str, text->len});
	g_string_free(text, TRUE);
}
