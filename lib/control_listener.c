/* Readiness, addresses of daemons, metrics. */
#include "lib/control_listener.h"
#include "lib/caller_listener.h"
#include "lib/metrics.h"
#include "lib/peers_watch.h"

/* Addresses in one answer; callers use no more. */
#define MAX_ADDRESSES 64
/* With fewer daemons in the caller's failure domain, all are named. */
#define LEAST_LOCAL  2
#define METRICS_PATH "/metrics"
/* Longest wait of another daemon for changes. */
#define MAX_WAIT_MS 30000
/* Questions are small and come on short connections. */
#define MAX_HEAD_BYTES 8192
#define MAX_BODY_BYTES 1024
#define HEADER_MS      3000
#define IDLE_MS	       15000

/* A daemon that waits for changes. */
typedef struct waiter {
	gc_control_listener_t *desk;
	struct waiter *prev, *next;
	gc_caller_conn_t *caller;
	uint64_t after;
	gc_timer_t *timer;
} waiter_t;

struct gc_control_listener {
	gc_control_listener_conf_t conf;
	waiter_t *waiters;
	bool stopping;
};

static void on_request(void *ctx, gc_caller_conn_t *caller,
		       const gc_http_message_t *request);
static void on_gone(void *ctx, gc_caller_conn_t *caller);
static gc_request_limits_t get_limits(void *ctx);
static bool is_ready(const gc_control_listener_t *desk);
static bool path_is(gc_str_t target, const char *path);
static void answer_addresses(gc_control_listener_t *desk,
			     gc_caller_conn_t *caller, gc_str_t target);
static size_t collect(const gc_control_listener_t *desk, gc_str_t domain,
		      gc_str_t *addresses);
static size_t sample(const gc_control_listener_t *desk, gc_str_t *addresses,
		     size_t n);
static void answer_metrics(gc_caller_conn_t *caller);
static void wait_for_changes(gc_control_listener_t *desk,
			     gc_caller_conn_t *caller, gc_str_t target);
static bool query_number(gc_str_t target, const char *name, uint64_t *number);
static int waiter_destructor(waiter_t *waiter);
static void answer_waiter(waiter_t *waiter);
static void on_waited(void *ctx);
static void on_drained(void *ctx, gc_caller_conn_t *caller);

static const gc_caller_listener_ops_t front_ops = {
	.request = on_request,
	.gone = on_gone,
	.drained = on_drained,
	.limits = get_limits,
};

gc_control_listener_t *
gc_control_listener_create(TALLOC_CTX *mem,
			   const gc_control_listener_conf_t *conf)
{
	gc_control_listener_t *desk = talloc_zero(mem, gc_control_listener_t);

	desk->conf = *conf;
	return desk;
}

bool gc_control_listener_listen(gc_control_listener_t *desk,
				const gc_listen_t *listen, GError **err)
{
	return gc_caller_listener_create(desk, desk->conf.ev, desk->conf.timers,
					 desk->conf.clock, listen->address,
					 listen->port, &front_ops, desk,
					 err) != NULL;
}

void gc_control_listener_set_stopping(gc_control_listener_t *desk)
{
	desk->stopping = true;
}

static void on_gone(void *ctx, gc_caller_conn_t *caller)
{
	waiter_t *waiter = gc_caller_conn_data(caller);

	talloc_free(waiter);
}

/* Answers are given whole. */
static void on_drained(void *ctx, gc_caller_conn_t *caller)
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

static void on_request(void *ctx, gc_caller_conn_t *caller,
		       const gc_http_message_t *request)
{
	gc_control_listener_t *desk = ctx;
	gc_str_t target = gc_http_message_target(request);

	if (path_is(target, desk->conf.adapter->ready_path))
		gc_caller_conn_answer(caller, is_ready(desk) ? 200 : 503,
				      GC_STR_EMPTY, GC_STR_EMPTY);
	else if (path_is(target, desk->conf.adapter->addresses_path))
		answer_addresses(desk, caller, target);
	else if (path_is(target, GC_PEERS_WATCH_PATH))
		wait_for_changes(desk, caller, target);
	else if (path_is(target, METRICS_PATH))
		answer_metrics(caller);
	else
		gc_caller_conn_answer(caller, 404, GC_STR_EMPTY, GC_STR_EMPTY);
}

static bool path_is(gc_str_t target, const char *path)
{
	size_t len = strlen(path);

	return target.len >= len && memcmp(target.data, path, len) == 0 &&
	       (target.len == len || target.data[len] == '?');
}

/* Callers come only to a daemon that is among the addresses. */
static bool is_ready(const gc_control_listener_t *desk)
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

static void answer_addresses(gc_control_listener_t *desk,
			     gc_caller_conn_t *caller, gc_str_t target)
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
		gc_caller_conn_answer(caller, 503, GC_STR_EMPTY, GC_STR_EMPTY);
	} else {
		text = desk->conf.adapter->write_addresses(
			addresses, n, desk->conf.address_ttl_s);
		gc_caller_conn_answer(
			caller, 200,
			GC_STR_LIT("Content-Type: application/json\r\n"),
			gc_str(text));
	}
	talloc_free(mem);
}

/* Daemons of the failure domain, or all of them if it is empty. */
static size_t collect(const gc_control_listener_t *desk, gc_str_t domain,
		      gc_str_t *addresses)
{
	const gc_fleet_view_t *view = gc_fleet_view(desk->conf.fleet);
	size_t n = 0;

	for (size_t i = 0; i < view->n_daemons; i++) {
		const gc_registry_entry_t *daemon = &view->daemons[i];

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
static size_t sample(const gc_control_listener_t *desk, gc_str_t *addresses,
		     size_t n)
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

static void answer_metrics(gc_caller_conn_t *caller)
{
	GString *text = gc_metrics_print();

	gc_caller_conn_answer(caller, 200,
			      GC_STR_LIT("Content-Type: text/plain\r\n"),
			      (gc_str_t){text->str, text->len});
	g_string_free(text, TRUE);
}

static void wait_for_changes(gc_control_listener_t *desk,
			     gc_caller_conn_t *caller, gc_str_t target)
{
	uint64_t after;
	uint64_t wait_ms;
	waiter_t *waiter;

	if (!query_number(target, "after=", &after) ||
	    !query_number(target, "wait_ms=", &wait_ms) ||
	    wait_ms > MAX_WAIT_MS) {
		gc_caller_conn_answer(caller, 400, GC_STR_EMPTY, GC_STR_EMPTY);
		return;
	}
	waiter = talloc_zero(desk, waiter_t);
	waiter->desk = desk;
	waiter->caller = caller;
	waiter->after = after;
	waiter->timer =
		gc_timer_create(waiter, desk->conf.timers, on_waited, waiter);
	waiter->next = desk->waiters;
	if (desk->waiters)
		desk->waiters->prev = waiter;
	desk->waiters = waiter;
	talloc_set_destructor(waiter, waiter_destructor);
	gc_caller_conn_set_data(caller, waiter);
	if (gc_change_log_revision(gc_fleet_feed(desk->conf.fleet)) > after)
		answer_waiter(waiter);
	else
		gc_timer_set(waiter->timer, (int64_t)wait_ms);
}

static bool query_number(gc_str_t target, const char *name, uint64_t *number)
{
	g_autofree char *text = g_strndup(target.data, target.len);
	const char *at = strstr(text, name);
	char *after;

	if (!at)
		return false;
	*number = g_ascii_strtoull(at + strlen(name), &after, 10);
	return after != at + strlen(name);
}

static int waiter_destructor(waiter_t *waiter)
{
	if (waiter->prev)
		waiter->prev->next = waiter->next;
	else
		waiter->desk->waiters = waiter->next;
	if (waiter->next)
		waiter->next->prev = waiter->prev;
	return 0;
}

static void answer_waiter(waiter_t *waiter)
{
	gc_control_listener_t *desk = waiter->desk;
	gc_caller_conn_t *caller = waiter->caller;
	int64_t age_ms = gc_confirmed_age_ms(desk->conf.confirmed,
					     gc_clock_now(desk->conf.clock));
	g_autofree char *text = NULL;

	if (age_ms >= 0)
		text = gc_peers_watch_answer(gc_fleet_feed(desk->conf.fleet),
					     waiter->after, age_ms);
	gc_caller_conn_set_data(caller, NULL);
	talloc_free(waiter);
	if (text)
		gc_caller_conn_answer(
			caller, 200,
			GC_STR_LIT("Content-Type: application/json\r\n"),
			gc_str(text));
	else
		gc_caller_conn_answer(caller, 410, GC_STR_EMPTY, GC_STR_EMPTY);
}

static void on_waited(void *ctx)
{
	answer_waiter(ctx);
}

void gc_control_listener_changed(gc_control_listener_t *desk)
{
	uint64_t revision =
		gc_change_log_revision(gc_fleet_feed(desk->conf.fleet));
	waiter_t *next;

	for (waiter_t *waiter = desk->waiters; waiter; waiter = next) {
		next = waiter->next;
		if (revision > waiter->after)
			answer_waiter(waiter);
	}
}
