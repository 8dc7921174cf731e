/* Readiness, addresses of daemons, metrics, watches of other daemons. */
#include "lib/control_listener.h"
#include "core/number.h"
#include "lib/caller_listener.h"
#include "lib/config_peer.h"
#include "lib/crash_witness.h"
#include "lib/metrics.h"
#include "lib/peers_watch.h"
#include "lib/permits_peer.h"
#include "lib/places_peer.h"
#include "lib/rollouts.h"
#include "lib/rollouts_peer.h"

/* Addresses in one response; callers use no more. */
#define MAX_ADDRESSES 64
/* With fewer daemons in the caller's failure domain, daemons of all failure
 * domains are listed. */
#define MIN_LOCAL_ADDRESSES 2
#define METRICS_PATH	    "/metrics"
/* Longest wait that a watch of another daemon may request. */
#define MAX_WATCH_WAIT_MS 30000
/* Requests are small and come on short-lived connections; the longest ones are reports
 * on roll-outs. */
#define MAX_HEADER_BYTES  8192
#define MAX_BODY_BYTES	  GC_ROLLOUTS_MAX_BODY
#define HEADER_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS	  15000

/* A watch of another daemon that waits for changes. */
typedef struct watch {
	gc_control_listener_t *listener;
	struct watch *prev, *next;
	gc_caller_conn_t *conn;
	uint64_t era; /* of the store, to which `after` belongs */
	uint64_t after; /* revision; later changes are sent */
	bool takes_compact; /* not of daemons of earlier versions */
	gc_timer_t *timer; /* ends the wait */
} watch_t;

/* A question of another daemon about a server. */
typedef struct question {
	gc_caller_conn_t *conn;
	gc_witness_query_t *query;
} question_t;

struct gc_control_listener {
	gc_control_listener_conf_t conf;
	watch_t *watches;
	bool not_serving;
	bool stopping;
};

static void on_request(void *ctx, gc_caller_conn_t *conn,
		       const gc_http_message_t *request);
static void on_conn_closed(void *ctx, gc_caller_conn_t *conn);
static gc_request_limits_t get_limits(void *ctx);
static bool is_ready(const gc_control_listener_t *listener);
static bool path_matches(gc_str_t target, const char *path);
static void send_addresses(gc_control_listener_t *listener,
			   gc_caller_conn_t *conn, gc_str_t target);
static size_t collect_addresses(const gc_control_listener_t *listener,
				gc_str_t domain, gc_str_t *addresses);
static size_t sample_addresses(const gc_control_listener_t *listener,
			       gc_str_t *addresses, size_t n);
static void send_permits(gc_control_listener_t *listener,
			 gc_caller_conn_t *conn, gc_str_t target);
static void start_question(gc_control_listener_t *listener,
			   gc_caller_conn_t *conn, gc_str_t target);
static int question_destructor(question_t *question);
static void on_question_answered(void *ctx, const char *text);
static void send_places(gc_control_listener_t *listener, gc_caller_conn_t *conn,
			gc_str_t target);
static void on_places(void *ctx, const char *text);
static void send_rollout(gc_control_listener_t *listener,
			 gc_caller_conn_t *conn, gc_str_t body);
static void send_config(gc_control_listener_t *listener, gc_caller_conn_t *conn,
			gc_str_t target);
static void send_metrics(gc_caller_conn_t *conn);
static void start_watch(gc_control_listener_t *listener, gc_caller_conn_t *conn,
			gc_str_t target);
static bool parse_query_number(gc_str_t target, const char *name,
			       uint64_t *number);
static int watch_destructor(watch_t *watch);
static bool has_news(const watch_t *watch);
static void send_changes(watch_t *watch);
static void on_wait_timeout(void *ctx);
static void on_drained(void *ctx, gc_caller_conn_t *conn);

static const gc_caller_listener_ops_t listener_ops = {
	.request = on_request,
	.disconnected = on_conn_closed,
	.drained = on_drained,
	.limits = get_limits,
};

gc_control_listener_t *
gc_control_listener_create(TALLOC_CTX *mem,
			   const gc_control_listener_conf_t *conf)
{
	gc_control_listener_t *listener =
		talloc_zero(mem, gc_control_listener_t);

	listener->conf = *conf;
	return listener;
}

bool gc_control_listener_listen(gc_control_listener_t *listener,
				const gc_listen_address_t *listen, GError **err)
{
	return gc_caller_listener_create(listener, listener->conf.ev,
					 listener->conf.timers,
					 listener->conf.clock, listen->address,
					 listen->port, &listener_ops, listener,
					 err) != NULL;
}

void gc_control_listener_set_stopping(gc_control_listener_t *listener)
{
	listener->stopping = true;
}

void gc_control_listener_set_serving(gc_control_listener_t *listener,
				     bool serving)
{
	listener->not_serving = !serving;
}

static void on_conn_closed(void *ctx, gc_caller_conn_t *conn)
{
	/* A watch, a question, or an ask for places that waits. */
	talloc_free(gc_caller_conn_data(conn));
}

/* Not used: no response is chunked. */
static void on_drained(void *ctx, gc_caller_conn_t *conn)
{
}

static gc_request_limits_t get_limits(void *ctx)
{
	return (gc_request_limits_t){
		.max_header_bytes = MAX_HEADER_BYTES,
		.max_body_bytes = MAX_BODY_BYTES,
		.header_timeout_ms = HEADER_TIMEOUT_MS,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
	};
}

static void on_request(void *ctx, gc_caller_conn_t *conn,
		       const gc_http_message_t *request)
{
	gc_control_listener_t *listener = ctx;
	gc_str_t target = gc_http_message_target(request);

	if (path_matches(target, listener->conf.adapter->ready_path))
		gc_caller_conn_respond(conn, is_ready(listener) ? 200 : 503,
				       GC_STR_EMPTY, GC_STR_EMPTY);
	else if (path_matches(target, listener->conf.adapter->addresses_path))
		send_addresses(listener, conn, target);
	else if (path_matches(target, GC_PEERS_WATCH_PATH))
		start_watch(listener, conn, target);
	else if (path_matches(target, GC_PERMITS_PATH))
		send_permits(listener, conn, target);
	else if (path_matches(target, GC_CRASH_WITNESS_PATH))
		start_question(listener, conn, target);
	else if (path_matches(target, GC_PLACES_PATH))
		send_places(listener, conn, target);
	else if (path_matches(target, GC_ROLLOUTS_PATH))
		send_rollout(listener, conn, gc_http_message_body(request));
	else if (path_matches(target, GC_CONFIG_PEER_PATH))
		send_config(listener, conn, target);
	else if (path_matches(target, METRICS_PATH))
		send_metrics(conn);
	else
		gc_caller_conn_respond(conn, 404, GC_STR_EMPTY, GC_STR_EMPTY);
}

static bool path_matches(gc_str_t target, const char *path)
{
	size_t len = strlen(path);

	return target.len >= len && memcmp(target.data, path, len) == 0 &&
	       (target.len == len || target.data[len] == '?');
}

/* Not ready while unregistered: callers find daemons by their entries. */
static bool is_ready(const gc_control_listener_t *listener)
{
	const gc_fleet_view_t *view = gc_fleet_view(listener->conf.fleet);
	int64_t age_ms = gc_confirmed_age_ms(
		listener->conf.confirmed, gc_clock_now(listener->conf.clock));

	if (listener->stopping || listener->not_serving || !view->routes ||
	    age_ms < 0 || age_ms > listener->conf.max_confirmed_age_ms)
		return false;
	for (size_t i = 0; i < view->n_daemons; i++)
		if (gc_str_eq(view->daemons[i].id, listener->conf.instance))
			return true;
	return false;
}

static void send_addresses(gc_control_listener_t *listener,
			   gc_caller_conn_t *conn, gc_str_t target)
{
	const gc_fleet_view_t *view = gc_fleet_view(listener->conf.fleet);
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_str_t *addresses = talloc_array(mem, gc_str_t, view->n_daemons + 1);
	gc_address_query_t query;
	g_autofree char *text = NULL;
	size_t n;

	listener->conf.adapter->read_address_query(mem, target, &query);
	n = collect_addresses(listener, query.failure_domain, addresses);
	if (n < MIN_LOCAL_ADDRESSES)
		n = collect_addresses(listener, GC_STR_EMPTY, addresses);
	n = sample_addresses(listener, addresses, n);
	if (n == 0) {
		gc_caller_conn_respond(conn, 503, GC_STR_EMPTY, GC_STR_EMPTY);
	} else {
		text = listener->conf.adapter->write_addresses(
			addresses, n, listener->conf.address_ttl_s);
		gc_caller_conn_respond(
			conn, 200,
			GC_STR_LIT("Content-Type: application/json\r\n"),
			gc_str(text));
	}
	talloc_free(mem);
}

/*
 * Stores the addresses of the daemons of the failure domain, or of all daemons
 * if domain is empty, and returns their number.
 */
static size_t collect_addresses(const gc_control_listener_t *listener,
				gc_str_t domain, gc_str_t *addresses)
{
	const gc_fleet_view_t *view = gc_fleet_view(listener->conf.fleet);
	size_t n = 0;

	for (size_t i = 0; i < view->n_daemons; i++) {
		const gc_registry_entry_t *daemon = &view->daemons[i];

		if ((listener->stopping || listener->not_serving) &&
		    gc_str_eq(daemon->id, listener->conf.instance))
			continue;
		if (domain.len == 0 ||
		    gc_str_eq(daemon->failure_domain, domain))
			addresses[n++] = daemon->address;
	}
	return n;
}

/* Moves a random sample to the front, to spread callers over large fleets. */
static size_t sample_addresses(const gc_control_listener_t *listener,
			       gc_str_t *addresses, size_t n)
{
	const gc_random_t *random = listener->conf.random;

	if (n <= MAX_ADDRESSES)
		return n;
	for (size_t i = 0; i < MAX_ADDRESSES; i++) {
		size_t other = i + random->next(random->ctx) % (n - i);
		gc_str_t swapped = addresses[i];

		addresses[i] = addresses[other];
		addresses[other] = swapped;
	}
	return MAX_ADDRESSES;
}

static void send_permits(gc_control_listener_t *listener,
			 gc_caller_conn_t *conn, gc_str_t target)
{
	g_autofree char *text =
		gc_permits_peer_response(listener->conf.permits, target);

	gc_caller_conn_respond(conn, text ? 200 : 400,
			       GC_STR_LIT("Content-Type: application/json\r\n"),
			       gc_str(text));
}

static void start_question(gc_control_listener_t *listener,
			   gc_caller_conn_t *conn, gc_str_t target)
{
	question_t *question = talloc_zero(listener, question_t);

	question->conn = conn;
	talloc_set_destructor(question, question_destructor);
	question->query = gc_witness_query_start(
		listener->conf.witness, target, on_question_answered, question);
	if (!question->query) {
		talloc_free(question);
		gc_caller_conn_respond(conn, 404, GC_STR_EMPTY, GC_STR_EMPTY);
		return;
	}
	gc_caller_conn_set_data(conn, question);
}

static int question_destructor(question_t *question)
{
	if (question->query)
		gc_witness_query_destroy(question->query);
	return 0;
}

static void on_question_answered(void *ctx, const char *text)
{
	question_t *question = ctx;
	gc_caller_conn_t *conn = question->conn;

	/* The query frees itself after this callback. */
	question->query = NULL;
	talloc_free(question);
	gc_caller_conn_set_data(conn, NULL);
	gc_caller_conn_respond(conn, 200,
			       GC_STR_LIT("Content-Type: application/json\r\n"),
			       gc_str(text));
}

static void send_places(gc_control_listener_t *listener, gc_caller_conn_t *conn,
			gc_str_t target)
{
	void *pending = gc_places_peer_request(listener->conf.places, target,
					       on_places, conn);

	if (pending)
		gc_caller_conn_set_data(conn, pending);
}

static void on_places(void *ctx, const char *text)
{
	gc_caller_conn_t *conn = ctx;

	gc_caller_conn_set_data(conn, NULL);
	gc_caller_conn_respond(conn, text ? 200 : 400,
			       GC_STR_LIT("Content-Type: application/json\r\n"),
			       text ? gc_str(text) : GC_STR_EMPTY);
}

static void send_rollout(gc_control_listener_t *listener,
			 gc_caller_conn_t *conn, gc_str_t body)
{
	g_autofree char *text =
		gc_rollouts_peer_response(listener->conf.rollouts, body);

	gc_caller_conn_respond(conn, text ? 200 : 400,
			       GC_STR_LIT("Content-Type: application/json\r\n"),
			       gc_str(text));
}

/* A newer configuration shows that the other one is a copy's, however long ago it was
 * confirmed; only one that is in force shows that none is newer. */
static void send_config(gc_control_listener_t *listener, gc_caller_conn_t *conn,
			gc_str_t target)
{
	uint64_t known;
	uint64_t version;
	gc_str_t record =
		gc_fleet_config_record(listener->conf.fleet, &version);

	if (!parse_query_number(target, "newer_than=", &known))
		gc_caller_conn_respond(conn, 400, GC_STR_EMPTY, GC_STR_EMPTY);
	else if (record.len > 0 && version > known)
		gc_caller_conn_respond(
			conn, 200,
			GC_STR_LIT("Content-Type: application/json\r\n"),
			record);
	else if (record.len > 0 &&
		 gc_is_confirmed_within(listener->conf.confirmed,
					gc_clock_now(listener->conf.clock),
					listener->conf.max_confirmed_age_ms))
		gc_caller_conn_respond(conn, 204, GC_STR_EMPTY, GC_STR_EMPTY);
	else
		gc_caller_conn_respond(conn, 404, GC_STR_EMPTY, GC_STR_EMPTY);
}

static void send_metrics(gc_caller_conn_t *conn)
{
	GString *text = gc_metrics_format();

	gc_caller_conn_respond(conn, 200,
			       GC_STR_LIT("Content-Type: text/plain\r\n"),
			       (gc_str_t){text->str, text->len});
	g_string_free(text, TRUE);
}

static void start_watch(gc_control_listener_t *listener, gc_caller_conn_t *conn,
			gc_str_t target)
{
	uint64_t after;
	uint64_t era;
	uint64_t wait_ms;
	uint64_t compact;
	watch_t *watch;

	if (!parse_query_number(target, "after=", &after) ||
	    !parse_query_number(target, "wait_ms=", &wait_ms) ||
	    wait_ms > MAX_WATCH_WAIT_MS) {
		gc_caller_conn_respond(conn, 400, GC_STR_EMPTY, GC_STR_EMPTY);
		return;
	}
	/* Daemons of earlier versions don't send it. */
	if (!parse_query_number(target, "era=", &era))
		era = 0;
	watch = talloc_zero(listener, watch_t);
	watch->listener = listener;
	watch->conn = conn;
	watch->era = era;
	watch->after = after;
	watch->takes_compact = parse_query_number(target, "compact=", &compact);
	watch->timer = gc_timer_create(watch, listener->conf.timers,
				       on_wait_timeout, watch);
	watch->next = listener->watches;
	if (listener->watches)
		listener->watches->prev = watch;
	listener->watches = watch;
	talloc_set_destructor(watch, watch_destructor);
	gc_caller_conn_set_data(conn, watch);
	if (has_news(watch))
		send_changes(watch);
	else
		gc_timer_set(watch->timer, (int64_t)wait_ms);
}

static bool parse_query_number(gc_str_t target, const char *name,
			       uint64_t *number)
{
	g_autofree char *text = g_strndup(target.data, target.len);
	const char *found = strstr(text, name);
	int64_t whole;

	while (found && found > text && found[-1] != '?' && found[-1] != '&')
		found = strstr(found + 1, name);
	if (!found)
		return false;
	found += strlen(name);
	if (!gc_parse_whole((gc_str_t){found, strcspn(found, "&")}, INT64_MAX,
			    &whole))
		return false;
	*number = (uint64_t)whole;
	return true;
}

static int watch_destructor(watch_t *watch)
{
	if (watch->prev)
		watch->prev->next = watch->next;
	else
		watch->listener->watches = watch->next;
	if (watch->next)
		watch->next->prev = watch->prev;
	return 0;
}

/* A watch of another era gets its refusal at once. */
static bool has_news(const watch_t *watch)
{
	const gc_change_log_t *change_log =
		gc_fleet_change_log(watch->listener->conf.fleet);

	return gc_change_log_era(change_log) != watch->era ||
	       gc_change_log_revision(change_log) > watch->after;
}

static void send_changes(watch_t *watch)
{
	gc_control_listener_t *listener = watch->listener;
	gc_caller_conn_t *conn = watch->conn;
	int64_t age_ms = gc_confirmed_age_ms(
		listener->conf.confirmed, gc_clock_now(listener->conf.clock));
	const gc_change_log_t *change_log =
		gc_fleet_change_log(listener->conf.fleet);
	g_autofree char *text = NULL;
	g_autofree char *refusal = gc_peers_watch_refusal(change_log);

	if (age_ms >= 0)
		text = gc_peers_watch_response(change_log, watch->era,
					       watch->after, age_ms,
					       watch->takes_compact);
	gc_caller_conn_set_data(conn, NULL);
	talloc_free(watch);
	if (text)
		gc_caller_conn_respond(
			conn, 200,
			GC_STR_LIT("Content-Type: application/json\r\n"),
			gc_str(text));
	else
		gc_caller_conn_respond(
			conn, 410,
			GC_STR_LIT("Content-Type: application/json\r\n"),
			gc_str(refusal));
}

static void on_wait_timeout(void *ctx)
{
	send_changes(ctx);
}

void gc_control_listener_notify_watches(gc_control_listener_t *listener)
{
	watch_t *next;

	for (watch_t *watch = listener->watches; watch; watch = next) {
		next = watch->next;
		if (has_news(watch))
			send_changes(watch);
	}
}
