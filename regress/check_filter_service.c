/*
 * Guards against an action that is dispatched twice, lost without an error, or
 * reported as not run after it was sent. The service filter and the claims run
 * on one event loop with small test servers for the key-value service and a
 * backend server. Test doubles of the traffic thread, the configuration and the
 * refusals are at the end of this file.
 */
#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>

#include "core/error.h"
#include "lib/claims.h"
#include "lib/filter.h"

#define KV_TIMEOUT_MS  200
#define BATCH_MS       2
#define MAX_BODY_BYTES 2048
#define REQUEST_PATH   "/v1/services/pickup/bookings"

typedef enum backend_mode {
	BACKEND_REPLY,
	BACKEND_DISCONNECT, /* closes the connection of an action */
	BACKEND_NO_STATUS, /* answers with 999 */
	BACKEND_DEFER, /* the test sends the response later */
} backend_mode_t;

typedef struct kv_entry {
	GByteArray *value;
	uint64_t index;
} kv_entry_t;

struct gc_traffic {
	struct tevent_context *ev;
	gc_httpc_t *http;
	gc_mailbox_t *mailbox;
	gc_claims_t *claims;
};

typedef struct response {
	bool arrived;
	int status;
	char *body;
	bool replayed;
	char *run; /* run state of a refusal */
	int retry_after;
	gc_http_call_t *call;
} response_t;

/*
 * A backend server in its own thread. It answers GET and keeps the connection
 * open; it closes the connection of an action without a response.
 */
typedef struct dropping_server {
	int listen_fd;
	GThread *thread;
	int stopping; /* atomic */
	unsigned int n_actions; /* read after the join */
} dropping_server_t;

typedef struct fixture {
	TALLOC_CTX *mem;
	gc_traffic_t traffic;
	gc_kv_t *kv;
	gc_view_t view;
	gc_view_instance_t servers[2];
	gc_httpd_t *frontend; /* server whose handler runs the filter */
	gc_httpd_t *kv_server;
	gc_httpd_t *backend;
	GHashTable *kv_entries; /* key to kv_entry_t */
	uint64_t last_kv_index;
	bool kv_down;
	time_t suspend_at_read_s; /* a read sets wall_offset_s to this */
	unsigned int n_responses_to_lose; /* of the next key-value writes */
	backend_mode_t mode;
	bool status_done;
	bool fail_get;
	size_t response_bytes; /* from the backend server; 0: a short body */
	gc_http_req_t *deferred; /* action to which the test responds */
	unsigned int n_actions; /* received by the backend server */
	unsigned int n_reads; /* GET requests received by the backend server */
	char *fencing_token; /* last Fencing-Token received */
	response_t response;
} fixture_t;

static uint64_t next_random(void *ctx);
static struct timespec test_now(void *ctx);
static struct timespec test_wall(void *ctx);
static void set_up(fixture_t *f);
static void tear_down(fixture_t *f);
static gc_httpd_t *start_server(fixture_t *f, gc_httpd_handler_t handler);
static char *server_url(fixture_t *f, gc_httpd_t *httpd, const char *path);
static gc_str_t url_of_new_socket(fixture_t *f, int *fd);
static gc_str_t refused_url(fixture_t *f);
static void *run_dropping_server(void *ctx);
static bool serve_request(dropping_server_t *server, int fd);
static void free_kv_entry(gpointer data);
static void on_frontend_request(void *ctx, gc_http_req_t *req);
static void on_kv_request(void *ctx, gc_http_req_t *req);
static void kv_put(fixture_t *f, gc_http_req_t *req);
static void kv_get(fixture_t *f, gc_http_req_t *req);
static void on_backend_request(void *ctx, gc_http_req_t *req);
static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);
static void clear_response(fixture_t *f);
static void start_request(fixture_t *f, const char *method, const char *key,
			  const char *body);
static void run_request(fixture_t *f, const char *method, const char *key,
			const char *body);
static void wait_for_claims(fixture_t *f);
static char *new_key(void);

/* The only service of the configuration. */
static gc_service_t service;
static uint64_t random_state;
/* Added to the wall clock, as after a suspension of the instance. */
static time_t wall_offset_s;

static uint64_t next_random(void *ctx)
{
	random_state = random_state * UINT64_C(6364136223846793005) + 1;
	return random_state >> 33;
}

static struct timespec test_now(void *ctx)
{
	return gc_clock_now(&gc_clock_system);
}

static struct timespec test_wall(void *ctx)
{
	struct timespec wall = gc_clock_wall(&gc_clock_system);

	wall.tv_sec += wall_offset_s;
	return wall;
}

static const gc_clock_t test_clock = {.now = test_now, .wall = test_wall};
static const gc_random_t random_source = {.next = next_random};

static void set_up(fixture_t *f)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);

	*f = (fixture_t){.mem = mem};
	random_state = 7;
	wall_offset_s = 0;
	service = (gc_service_t){GC_STR_LIT("pickup"),
				 GC_STR_LIT("/status/{key}"), false};
	f->traffic.ev = ev;
	f->traffic.http = gc_httpc_create(mem, ev);
	f->traffic.mailbox = gc_mailbox_create(mem, ev, NULL);
	f->kv_entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_kv_entry);
	f->last_kv_index = 10;
	f->kv_server = start_server(f, on_kv_request);
	f->backend = start_server(f, on_backend_request);
	f->frontend = start_server(f, on_frontend_request);
	f->kv = gc_kv_create(mem, f->traffic.http,
			     server_url(f, f->kv_server, ""), KV_TIMEOUT_MS);
	f->traffic.claims =
		gc_claims_create(mem, ev, f->kv, f->traffic.mailbox,
				 &gc_clock_system, &random_source, BATCH_MS);
	f->servers[0] = (gc_view_instance_t){
		.name = GC_STR_LIT("b0"),
		.url = gc_str(server_url(f, f->backend, ""))};
	f->servers[1] = (gc_view_instance_t){.name = GC_STR_LIT("b1"),
					     .url = refused_url(f)};
	f->view.servers = f->servers;
	f->view.n_servers = 1;
	f->view.config = (gc_config_t *)&service;
}

static void tear_down(fixture_t *f)
{
	wait_for_claims(f);
	ck_assert_uint_eq(gc_claims_open_count(f->traffic.claims), 0);
	clear_response(f);
	g_free(f->fencing_token);
	g_hash_table_destroy(f->kv_entries);
	talloc_free(f->mem);
}

static gc_httpd_t *start_server(fixture_t *f, gc_httpd_handler_t handler)
{
	const gc_httpd_conf_t conf = {.address = "127.0.0.1",
				      .max_body = 1 << 20};
	GError *err = NULL;
	gc_httpd_t *httpd =
		gc_httpd_create(f->mem, f->traffic.ev, &conf, handler, f, &err);

	ck_assert_msg(httpd != NULL, "%s", err ? err->message : "");
	return httpd;
}

static char *server_url(fixture_t *f, gc_httpd_t *httpd, const char *path)
{
	return talloc_asprintf(f->mem, "http://127.0.0.1:%u%s",
			       gc_httpd_port(httpd), path);
}

/* Binds a socket to a free port and returns its URL. */
static gc_str_t url_of_new_socket(fixture_t *f, int *fd)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);

	*fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(*fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	getsockname(*fd, (struct sockaddr *)&addr, &len);
	return gc_str(talloc_asprintf(f->mem, "http://127.0.0.1:%u",
				      ntohs(addr.sin_port)));
}

/* Connections are refused: the socket is bound but doesn't listen. */
static gc_str_t refused_url(fixture_t *f)
{
	int fd;

	return url_of_new_socket(f, &fd);
}

static void *run_dropping_server(void *ctx)
{
	dropping_server_t *server = ctx;
	struct pollfd fds[8] = {{server->listen_fd, POLLIN, 0}};
	nfds_t n = 1;

	while (!g_atomic_int_get(&server->stopping)) {
		poll(fds, n, 10);
		for (nfds_t i = 1; i < n; i++) {
			if (fds[i].fd >= 0 && fds[i].revents &&
			    !serve_request(server, fds[i].fd)) {
				close(fds[i].fd);
				fds[i].fd = -1;
			}
		}
		if (fds[0].revents && n < G_N_ELEMENTS(fds))
			fds[n++] = (struct pollfd){accept(server->listen_fd,
							  NULL, NULL),
						   POLLIN, 0};
	}
	return NULL;
}

/* False if the connection is to be closed. */
static bool serve_request(dropping_server_t *server, int fd)
{
	const char *response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	char text[4096] = "";

	if (read(fd, text, sizeof(text) - 1) <= 0)
		return false;
	if (g_str_has_prefix(text, "GET /bookings"))
		return write(fd, response, strlen(response)) > 0;
	if (g_str_has_prefix(text, "POST"))
		server->n_actions++;
	return false;
}

static void free_kv_entry(gpointer data)
{
	kv_entry_t *kv_entry = data;

	g_byte_array_unref(kv_entry->value);
	g_free(kv_entry);
}

static void on_frontend_request(void *ctx, gc_http_req_t *req)
{
	fixture_t *f = ctx;
	gc_request_ctx_t *req_ctx =
		talloc_zero(gc_http_req_mem(req), gc_request_ctx_t);
	GError *err = NULL;

	req_ctx->traffic = &f->traffic;
	req_ctx->req = req;
	req_ctx->view = &f->view;
	req_ctx->arrived = gc_clock_now(&gc_clock_system);
	switch (gc_filter_service(req_ctx, &err)) {
	case GC_FILTER_HANDLED:
		break;
	case GC_FILTER_REFUSE:
		gc_refuse_with_status(req, 503, "refused", err, GC_RUN_NOT_RUN,
				      1, NULL);
		break;
	case GC_FILTER_NEXT:
		gc_http_reply(req, 404, "text/plain", GC_STR_EMPTY);
		break;
	}
	g_clear_error(&err);
}

static void on_kv_request(void *ctx, gc_http_req_t *req)
{
	fixture_t *f = ctx;

	if (f->kv_down)
		gc_http_reply(req, 500, "text/plain", GC_STR_EMPTY);
	else if (strcmp(gc_http_req_method(req), "PUT") == 0)
		kv_put(f, req);
	else
		kv_get(f, req);
}

static void kv_put(fixture_t *f, gc_http_req_t *req)
{
	const char *key = gc_http_req_path(req);
	gc_str_t body = gc_http_req_body(req);
	uint64_t cas =
		g_ascii_strtoull(gc_http_req_query_arg(req, "cas"), NULL, 10);
	kv_entry_t *kv_entry = g_hash_table_lookup(f->kv_entries, key);

	if (cas != (kv_entry ? kv_entry->index : 0)) {
		gc_http_reply(req, 200, "application/json",
			      GC_STR_LIT("false"));
		return;
	}
	if (!kv_entry) {
		kv_entry = g_new0(kv_entry_t, 1);
		g_hash_table_insert(f->kv_entries, g_strdup(key), kv_entry);
	}
	kv_entry->index = ++f->last_kv_index;
	if (kv_entry->value)
		g_byte_array_unref(kv_entry->value);
	kv_entry->value = g_byte_array_new();
	g_byte_array_append(kv_entry->value, (const guint8 *)body.data,
			    body.len);
	if (f->n_responses_to_lose > 0) {
		f->n_responses_to_lose--;
		gc_http_stream_begin(req, 200, "application/json");
		gc_http_stream_abort(req);
		return;
	}
	gc_http_reply(req, 200, "application/json", GC_STR_LIT("true"));
}

static void kv_get(fixture_t *f, gc_http_req_t *req)
{
	kv_entry_t *kv_entry =
		g_hash_table_lookup(f->kv_entries, gc_http_req_path(req));
	char *value, *text;

	wall_offset_s = f->suspend_at_read_s;
	if (!kv_entry) {
		gc_http_reply(req, 404, "text/plain", GC_STR_EMPTY);
		return;
	}
	value = g_base64_encode(kv_entry->value->data, kv_entry->value->len);
	text = g_strdup_printf(
		"[{\"Value\":\"%s\",\"ModifyIndex\":%" G_GUINT64_FORMAT "}]",
		value, kv_entry->index);
	gc_http_reply(req, 200, "application/json", gc_str(text));
	g_free(text);
	g_free(value);
}

static void on_backend_request(void *ctx, gc_http_req_t *req)
{
	fixture_t *f = ctx;
	g_autofree char *filler = g_strnfill(f->response_bytes, 'x');
	const char *fencing_token;

	if (g_str_has_prefix(gc_http_req_path(req), "/status/")) {
		gc_http_reply(req, 200, "application/json",
			      f->status_done
				      ? GC_STR_LIT("{\"state\":\"done\"}")
				      : GC_STR_LIT("{\"state\":\"unknown\"}"));
		return;
	}
	ck_assert_str_eq(gc_http_req_path(req), "/bookings");
	if (strcmp(gc_http_req_method(req), "GET") == 0) {
		f->n_reads++;
		ck_assert_str_eq(gc_http_req_query_arg(req, "day"), "a b");
		if (f->mode == BACKEND_NO_STATUS) {
			gc_http_reply(req, 999, "text/plain",
				      GC_STR_LIT("list"));
			return;
		}
		gc_http_reply(req, 200, "text/plain",
			      f->response_bytes ? gc_str(filler)
						: GC_STR_LIT("list"));
		return;
	}
	f->n_actions++;
	ck_assert_ptr_nonnull(gc_http_req_header(req, "Idempotency-Key"));
	fencing_token = gc_http_req_header(req, "Fencing-Token");
	g_free(f->fencing_token);
	f->fencing_token = g_strdup(fencing_token);
	if (f->mode == BACKEND_NO_STATUS) {
		gc_http_reply(req, 999, "application/json",
			      GC_STR_LIT("{\"id\":7}"));
	} else if (f->mode == BACKEND_DEFER) {
		f->deferred = req;
	} else if (f->mode == BACKEND_DISCONNECT) {
		gc_http_stream_begin(req, 200, "text/plain");
		gc_http_stream_abort(req);
	} else {
		gc_http_reply(req, 201, "application/json",
			      f->response_bytes ? gc_str(filler)
						: GC_STR_LIT("{\"id\":7}"));
	}
}

static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err)
{
	fixture_t *f = ctx;
	response_t *response = &f->response;
	const char *retry = gc_http_call_header(response->call, "Retry-After");
	json_t *json;

	ck_assert_msg(err == NULL, "%s", err ? err->message : "");
	response->arrived = true;
	response->status = status;
	response->body = g_strndup(body.data, body.len);
	response->replayed = gc_http_call_header(response->call,
						 "Idempotent-Replayed") != NULL;
	response->retry_after = retry ? atoi(retry) : 0;
	json = json_loadb(body.data, body.len, 0, NULL);
	response->run = g_strdup(json_string_value(
		json_object_get(json_object_get(json, "error"), "run")));
	json_decref(json);
	response->call = NULL;
}

static void clear_response(fixture_t *f)
{
	g_free(f->response.body);
	g_free(f->response.run);
	f->response = (response_t){0};
}

static void start_request(fixture_t *f, const char *method, const char *key,
			  const char *body)
{
	const gc_http_call_ops_t ops = {.done = on_response};
	char *header =
		talloc_asprintf(f->mem, "Idempotency-Key: %s", key ? key : "");
	const char *const headers[] = {key ? header : NULL, NULL};
	const gc_http_call_conf_t conf = {
		.method = method,
		.url = server_url(f, f->frontend, REQUEST_PATH "?day=a%20b"),
		.headers = headers,
		.body = gc_str(body),
		.send_once = true,
	};

	clear_response(f);
	f->response.call = gc_httpc_start(f->traffic.http, &conf, &ops, f);
}

static void run_request(fixture_t *f, const char *method, const char *key,
			const char *body)
{
	start_request(f, method, key, body);
	while (!f->response.arrived)
		tevent_loop_once(f->traffic.ev);
}

/* Runs the loop until all outcomes are written, for at most 3 s. */
static void wait_for_claims(fixture_t *f)
{
	struct timespec end = gc_add_ms(gc_clock_now(&gc_clock_system), 3000);

	while (gc_claims_open_count(f->traffic.claims) > 0 &&
	       gc_us_between(gc_clock_now(&gc_clock_system), end) > 0)
		tevent_loop_once(f->traffic.ev);
}

static char *new_key(void)
{
	struct timespec wall = gc_clock_wall(&gc_clock_system);
	uint64_t ms = wall.tv_sec * UINT64_C(1000) + wall.tv_nsec / 1000000;
	static unsigned int number;

	return g_strdup_printf("%08x-%04x-7000-8000-%012x",
			       (unsigned int)(ms >> 16),
			       (unsigned int)(ms & 0xffff), ++number);
}

START_TEST(test_runs_once_and_replays)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 201);
	ck_assert_str_eq(f.response.body, "{\"id\":7}");
	ck_assert(!f.response.replayed);
	ck_assert_ptr_null(f.fencing_token);
	wait_for_claims(&f);
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 201);
	ck_assert_str_eq(f.response.body, "{\"id\":7}");
	ck_assert(f.response.replayed);
	run_request(&f, "POST", key, "{\"other\":1}");
	ck_assert_int_eq(f.response.status, 422);
	ck_assert_str_eq(f.response.run, "not_run");
	ck_assert_uint_eq(f.n_actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

START_TEST(test_invalid_keys)
{
	const struct {
		const char *key;
		int status;
		const char *run;
	} cases[] = {
		{NULL, 400, "not_run"},
		{"7", 400, "not_run"},
		{"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 409, "in_doubt"},
		{"f17f22e2-79b0-7cc3-98c4-dc0c0c07398f", 400, "not_run"},
	};
	fixture_t f;

	set_up(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		run_request(&f, "PATCH", cases[i].key, "{}");
		ck_assert_int_eq(f.response.status, cases[i].status);
		ck_assert_str_eq(f.response.run, cases[i].run);
	}
	ck_assert_uint_eq(f.n_actions, 0);
	ck_assert_uint_eq(gc_kv_call_count(f.kv), 0);
	tear_down(&f);
}
END_TEST

/*
 * An action whose key expired while the instance was suspended isn't run: the
 * record with its claim may be deleted.
 */
START_TEST(test_key_expires_before_dispatch)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.suspend_at_read_s = 25 * 3600;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 409);
	ck_assert_str_eq(f.response.run, "in_doubt");
	ck_assert_ptr_nonnull(strstr(f.response.body, "key_expired"));
	ck_assert_uint_eq(f.n_actions, 0);
	wait_for_claims(&f);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* A long response of a backend server must not exhaust the daemon's memory. */
START_TEST(test_oversized_response)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.response_bytes = MAX_BODY_BYTES;
	run_request(&f, "GET", NULL, "");
	ck_assert_int_eq(f.response.status, 200);
	ck_assert_uint_eq(strlen(f.response.body), MAX_BODY_BYTES);
	f.response_bytes = MAX_BODY_BYTES + 1;
	run_request(&f, "GET", NULL, "");
	ck_assert_int_eq(f.response.status, 502);
	ck_assert_ptr_nonnull(strstr(f.response.body, "answer_too_large"));
	ck_assert_ptr_nonnull(
		strstr(f.response.body, "longer than 2048 bytes"));
	ck_assert_uint_eq(f.n_reads, 2);
	/* The stored outcome of the action is its status without a body. */
	for (int i = 0; i < 2; i++) {
		run_request(&f, "POST", key, "{}");
		ck_assert_int_eq(f.response.status, 201);
		ck_assert_ptr_nonnull(
			strstr(f.response.body, "\"run\":\"done\""));
		ck_assert(f.response.replayed == (i == 1));
		wait_for_claims(&f);
	}
	ck_assert_uint_eq(f.n_actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* The claim is written but the response is lost: the action still runs. */
START_TEST(test_kv_response_lost)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.n_responses_to_lose = 1;
	run_request(&f, "PUT", key, "{}");
	ck_assert_int_eq(f.response.status, 201);
	ck_assert_uint_eq(f.n_actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

START_TEST(test_connection_lost_in_doubt)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.mode = BACKEND_DISCONNECT;
	for (int i = 0; i < 2; i++) {
		run_request(&f, "POST", key, "{}");
		ck_assert_int_eq(f.response.status, 409);
		ck_assert_str_eq(f.response.run, "in_doubt");
		ck_assert_ptr_nonnull(strstr(f.response.body, "unknown"));
		ck_assert_int_gt(f.response.retry_after, 0);
	}
	f.status_done = true;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 200);
	ck_assert_ptr_nonnull(strstr(f.response.body, "\"run\":\"done\""));
	ck_assert_uint_eq(f.n_actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* 999 was stored and given to the caller as the outcome. */
START_TEST(test_status_out_of_range_in_doubt)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.mode = BACKEND_NO_STATUS;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 409);
	ck_assert_str_eq(f.response.run, "in_doubt");
	f.status_done = true;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 200);
	ck_assert_uint_eq(f.n_actions, 1);
	run_request(&f, "GET", NULL, "");
	ck_assert_int_eq(f.response.status, 502);
	tear_down(&f);
	g_free(key);
}
END_TEST

START_TEST(test_connection_lost_done)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.mode = BACKEND_DISCONNECT;
	f.status_done = true;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 200);
	ck_assert_ptr_nonnull(strstr(f.response.body, "\"run\":\"done\""));
	wait_for_claims(&f);
	f.status_done = false;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 200);
	ck_assert(f.response.replayed);
	ck_assert_uint_eq(f.n_actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* libcurl repeats a request if a reused connection closes with no response. */
START_TEST(test_libcurl_does_not_repeat)
{
	dropping_server_t server = {0};
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.servers[0].url = url_of_new_socket(&f, &server.listen_fd);
	listen(server.listen_fd, 8);
	server.thread = g_thread_new("backend", run_dropping_server, &server);
	run_request(&f, "GET", NULL, "");
	ck_assert_str_eq(f.response.body, "ok");
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 409);
	ck_assert_str_eq(f.response.run, "in_doubt");
	g_atomic_int_set(&server.stopping, 1);
	g_thread_join(server.thread);
	close(server.listen_fd);
	ck_assert_uint_eq(server.n_actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* Nothing was sent: the claim is released and the key can be used again. */
START_TEST(test_connection_refused)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.view.servers = &f.servers[1];
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 503);
	ck_assert_str_eq(f.response.run, "not_run");
	ck_assert_int_gt(f.response.retry_after, 0);
	wait_for_claims(&f);
	f.view.servers = f.servers;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 201);
	ck_assert_uint_eq(f.n_actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* With one of two servers down, every action still runs, once. */
START_TEST(test_retry_on_other_server)
{
	fixture_t f;

	set_up(&f);
	f.view.n_servers = 2;
	for (unsigned int i = 1; i <= 8; i++) {
		char *key = new_key();

		run_request(&f, "POST", key, "{}");
		ck_assert_int_eq(f.response.status, 201);
		ck_assert_uint_eq(f.n_actions, i);
		run_request(&f, "GET", NULL, "");
		ck_assert_int_eq(f.response.status, 200);
		ck_assert_str_eq(f.response.body, "list");
		ck_assert_uint_eq(f.n_reads, i);
		g_free(key);
	}
	tear_down(&f);
}
END_TEST

START_TEST(test_leaving_server)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.servers[0].leaving = true;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 503);
	ck_assert_str_eq(f.response.run, "not_run");
	ck_assert_uint_eq(f.n_actions, 0);
	tear_down(&f);
	g_free(key);
}
END_TEST

/*
 * A repeat while the action is in flight is reported as in doubt. The outcome
 * is stored although the first caller has disconnected.
 */
START_TEST(test_caller_disconnects)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.mode = BACKEND_DEFER;
	start_request(&f, "POST", key, "{}");
	while (!f.deferred)
		tevent_loop_once(f.traffic.ev);
	gc_http_call_cancel(f.response.call);
	f.response.call = NULL;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 409);
	ck_assert_str_eq(f.response.run, "in_doubt");
	ck_assert_int_gt(f.response.retry_after, 0);
	gc_http_reply(f.deferred, 202, "text/plain", GC_STR_LIT("later"));
	for (int i = 0; i < 100; i++) {
		run_request(&f, "POST", key, "{}");
		if (f.response.status != 409)
			break;
	}
	ck_assert_int_eq(f.response.status, 202);
	ck_assert_str_eq(f.response.body, "later");
	ck_assert(f.response.replayed);
	ck_assert_uint_eq(f.n_actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

START_TEST(test_kv_outage)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.kv_down = true;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 503);
	ck_assert_str_eq(f.response.run, "not_run");
	ck_assert_int_gt(f.response.retry_after, 0);
	ck_assert_uint_eq(f.n_actions, 0);
	f.kv_down = false;
	run_request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.response.status, 201);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* prop_claim checks that the token grows with each claim of a key. */
START_TEST(test_fencing_token)
{
	fixture_t f;

	set_up(&f);
	service.checks_fencing = true;
	for (int i = 0; i < 3; i++) {
		char *key = new_key();

		run_request(&f, "DELETE", key, "");
		ck_assert_int_eq(f.response.status, 201);
		ck_assert_ptr_nonnull(f.fencing_token);
		ck_assert_uint_gt(g_ascii_strtoull(f.fencing_token, NULL, 10),
				  0);
		g_free(key);
	}
	tear_down(&f);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("filter_service");
	TCase *tcase = tcase_create("filter_service");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 20);
	tcase_add_test(tcase, test_runs_once_and_replays);
	tcase_add_test(tcase, test_invalid_keys);
	tcase_add_test(tcase, test_key_expires_before_dispatch);
	tcase_add_test(tcase, test_oversized_response);
	tcase_add_test(tcase, test_kv_response_lost);
	tcase_add_test(tcase, test_connection_lost_in_doubt);
	tcase_add_test(tcase, test_status_out_of_range_in_doubt);
	tcase_add_test(tcase, test_connection_lost_done);
	tcase_add_test(tcase, test_libcurl_does_not_repeat);
	tcase_add_test(tcase, test_connection_refused);
	tcase_add_test(tcase, test_retry_on_other_server);
	tcase_add_test(tcase, test_leaving_server);
	tcase_add_test(tcase, test_caller_disconnects);
	tcase_add_test(tcase, test_kv_outage);
	tcase_add_test(tcase, test_fencing_token);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

void gc_refuse_with_status(gc_http_req_t *req, unsigned int status,
			   const char *code, const GError *err,
			   gc_run_state_t run, unsigned int retry_after_s,
			   json_t *outcome)
{
	json_t *json = json_pack("{s:{s:s, s:s, s:s, s:O*}}", "error",
				 "message", err->message, "code", code, "run",
				 gc_run_state_name(run), "outcome", outcome);
	char *text = json_dumps(json, 0);
	char *retry = g_strdup_printf("%u", retry_after_s);

	if (retry_after_s > 0)
		gc_http_req_add_header(req, "Retry-After", retry);
	gc_http_reply(req, status, "application/json", gc_str(text));
	g_free(retry);
	free(text);
	json_decref(json);
}

const gc_service_t *gc_config_service(const gc_config_t *config, gc_str_t name)
{
	return gc_str_eq(name, service.name) ? &service : NULL;
}

bool gc_config_serves_service(const gc_config_t *config,
			      const gc_account_t *account, gc_str_t name,
			      json_t *labels)
{
	return true;
}

bool gc_config_is_departing(const gc_config_t *config, gc_str_t instance)
{
	return false;
}

gc_view_t *gc_view_ref(gc_view_t *view)
{
	return view;
}

void gc_view_unref(gc_view_t *view)
{
}

struct tevent_context *gc_traffic_ev(gc_traffic_t *traffic)
{
	return traffic->ev;
}

gc_httpc_t *gc_traffic_http_client(gc_traffic_t *traffic)
{
	return traffic->http;
}

gc_mailbox_t *gc_traffic_mailbox(gc_traffic_t *traffic)
{
	return traffic->mailbox;
}

const gc_clock_t *gc_traffic_clock(gc_traffic_t *traffic)
{
	return &test_clock;
}

const gc_random_t *gc_traffic_random(gc_traffic_t *traffic)
{
	return &random_source;
}

void gc_traffic_job_add(gc_traffic_t *traffic, gc_traffic_job_t *job)
{
}

void gc_traffic_job_remove(gc_traffic_job_t *job)
{
}

const gc_settings_t *gc_traffic_settings(gc_traffic_t *traffic)
{
	static const gc_settings_t settings = {.max_body_bytes =
						       MAX_BODY_BYTES};

	return &settings;
}

struct gc_claims *gc_traffic_claims(gc_traffic_t *traffic)
{
	return traffic->claims;
}
