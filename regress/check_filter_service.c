/*
 * Guards against an action that is dispatched twice, lost without a word, or
 * reported as not run after it was sent. The service filter and the claims run
 * on one loop with small stand-ins of the key-value service and of a backend
 * server. The traffic thread, the configuration and the refusal are replaced
 * by the functions at the end of this file.
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

#define KV_TIMEOUT_MS 200
#define BATCH_MS      2
#define MAX_BODY      2048
#define PATH	      "/v1/services/pickup/bookings"

typedef enum backend_mode {
	BACKEND_ANSWER,
	BACKEND_BREAK, /* breaks the connection after it got an action */
	BACKEND_HOLD, /* answers when told */
} backend_mode_t;

typedef struct stored {
	GByteArray *value;
	uint64_t index;
} stored_t;

struct gc_traffic {
	struct tevent_context *ev;
	gc_httpc_t *http;
	gc_mailbox_t *mailbox;
	gc_claims_t *claims;
};

typedef struct answer {
	bool arrived;
	int status;
	char *body;
	bool replayed;
	char *run; /* of a refusal */
	int retry_after;
	gc_http_call_t *call;
} answer_t;

/*
 * A backend server in a thread of its own. It answers GET and keeps the
 * connection; it closes the connection of an action without a byte.
 */
typedef struct silent_server {
	int listen_fd;
	GThread *thread;
	int stop; /* atomic */
	unsigned int actions; /* read after the join */
} silent_server_t;

typedef struct fixture {
	TALLOC_CTX *mem;
	gc_traffic_t traffic;
	gc_kv_t *kv;
	gc_view_t view;
	gc_view_instance_t servers[2];
	gc_httpd_t *entry; /* runs the filter */
	gc_httpd_t *kv_server;
	gc_httpd_t *backend;
	GHashTable *store; /* key to stored_t */
	uint64_t last_index;
	bool kv_down;
	time_t suspend_s; /* from the next read of a record on */
	unsigned int lose_answers; /* of so many next writes */
	backend_mode_t mode;
	bool status_done;
	bool fail_get;
	size_t answer_bytes; /* of the backend server; 0: a short answer */
	gc_http_req_t *held;
	unsigned int actions; /* that the backend server got */
	unsigned int reads;
	char *fencing; /* the last Fencing-Token */
	answer_t answer;
} fixture_t;

static uint64_t next_random(void *ctx);
static struct timespec test_now(void *ctx);
static struct timespec test_wall(void *ctx);
static void set_up(fixture_t *f);
static void tear_down(fixture_t *f);
static gc_httpd_t *serve(fixture_t *f, gc_httpd_handler_t handler);
static char *url_of(fixture_t *f, gc_httpd_t *httpd, const char *path);
static gc_str_t bound_url(fixture_t *f, int *fd);
static gc_str_t refused_url(fixture_t *f);
static void *serve_silently(void *ctx);
static bool serve_once(silent_server_t *server, int fd);
static void free_stored(gpointer data);
static void on_entry(void *ctx, gc_http_req_t *req);
static void on_kv(void *ctx, gc_http_req_t *req);
static void kv_put(fixture_t *f, gc_http_req_t *req);
static void kv_get(fixture_t *f, gc_http_req_t *req);
static void on_backend(void *ctx, gc_http_req_t *req);
static void on_answer(void *ctx, int status, gc_str_t body, bool sent,
		      const GError *err);
static void clear_answer(fixture_t *f);
static void start(fixture_t *f, const char *method, const char *key,
		  const char *body);
static void request(fixture_t *f, const char *method, const char *key,
		    const char *body);
static void settle(fixture_t *f);
static char *new_key(void);

/* The service that the replaced configuration knows. */
static gc_service_t service;
static uint64_t random_state;
/* Added to the wall clock; a suspended instance wakes up later. */
static time_t suspended_s;

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

	wall.tv_sec += suspended_s;
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
	suspended_s = 0;
	service = (gc_service_t){GC_STR_LIT("pickup"),
				 GC_STR_LIT("/status/{key}"), false};
	f->traffic.ev = ev;
	f->traffic.http = gc_httpc_create(mem, ev);
	f->traffic.mailbox = gc_mailbox_create(mem, ev, NULL);
	f->store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_stored);
	f->last_index = 10;
	f->kv_server = serve(f, on_kv);
	f->backend = serve(f, on_backend);
	f->entry = serve(f, on_entry);
	f->kv = gc_kv_create(mem, f->traffic.http, url_of(f, f->kv_server, ""),
			     KV_TIMEOUT_MS);
	f->traffic.claims =
		gc_claims_create(mem, ev, f->kv, f->traffic.mailbox,
				 &gc_clock_system, &random_source, BATCH_MS);
	f->servers[0] =
		(gc_view_instance_t){.name = GC_STR_LIT("b0"),
				     .url = gc_str(url_of(f, f->backend, ""))};
	f->servers[1] = (gc_view_instance_t){.name = GC_STR_LIT("b1"),
					     .url = refused_url(f)};
	f->view.services = f->servers;
	f->view.n_services = 1;
	f->view.config = (gc_config_t *)&service;
}

static void tear_down(fixture_t *f)
{
	settle(f);
	ck_assert_uint_eq(gc_claims_open(f->traffic.claims), 0);
	clear_answer(f);
	g_free(f->fencing);
	g_hash_table_destroy(f->store);
	talloc_free(f->mem);
}

static gc_httpd_t *serve(fixture_t *f, gc_httpd_handler_t handler)
{
	const gc_httpd_conf_t conf = {.address = "127.0.0.1",
				      .max_body = 1 << 20};
	GError *err = NULL;
	gc_httpd_t *httpd =
		gc_httpd_create(f->mem, f->traffic.ev, &conf, handler, f, &err);

	ck_assert_msg(httpd != NULL, "%s", err ? err->message : "");
	return httpd;
}

static char *url_of(fixture_t *f, gc_httpd_t *httpd, const char *path)
{
	return talloc_asprintf(f->mem, "http://127.0.0.1:%u%s",
			       gc_httpd_port(httpd), path);
}

static gc_str_t bound_url(fixture_t *f, int *fd)
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

/* An address that refuses connections: bound, but not listening. */
static gc_str_t refused_url(fixture_t *f)
{
	int fd;

	return bound_url(f, &fd);
}

static void *serve_silently(void *ctx)
{
	silent_server_t *server = ctx;
	struct pollfd fds[8] = {{server->listen_fd, POLLIN, 0}};
	nfds_t n = 1;

	while (!g_atomic_int_get(&server->stop)) {
		poll(fds, n, 10);
		for (nfds_t i = 1; i < n; i++) {
			if (fds[i].fd >= 0 && fds[i].revents &&
			    !serve_once(server, fds[i].fd)) {
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

/* False closes the connection. */
static bool serve_once(silent_server_t *server, int fd)
{
	const char *answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	char text[4096] = "";

	if (read(fd, text, sizeof(text) - 1) <= 0)
		return false;
	if (g_str_has_prefix(text, "GET /bookings"))
		return write(fd, answer, strlen(answer)) > 0;
	if (g_str_has_prefix(text, "POST"))
		server->actions++;
	return false;
}

static void free_stored(gpointer data)
{
	stored_t *stored = data;

	g_byte_array_unref(stored->value);
	g_free(stored);
}

static void on_entry(void *ctx, gc_http_req_t *req)
{
	fixture_t *f = ctx;
	gc_request_ctx_t *ex =
		talloc_zero(gc_http_req_mem(req), gc_request_ctx_t);
	GError *err = NULL;

	ex->traffic = &f->traffic;
	ex->req = req;
	ex->view = &f->view;
	ex->arrived = gc_clock_now(&gc_clock_system);
	switch (gc_filter_service(ex, &err)) {
	case GC_FILTER_TAKEN:
		break;
	case GC_FILTER_REFUSE:
		gc_refuse_as(req, 503, "refused", err, GC_RUN_NOT_RUN, 1, NULL);
		break;
	case GC_FILTER_NEXT:
		gc_http_reply(req, 404, "text/plain", GC_STR_EMPTY);
		break;
	}
	g_clear_error(&err);
}

static void on_kv(void *ctx, gc_http_req_t *req)
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
		g_ascii_strtoull(gc_http_req_query(req, "cas"), NULL, 10);
	stored_t *stored = g_hash_table_lookup(f->store, key);

	if (cas != (stored ? stored->index : 0)) {
		gc_http_reply(req, 200, "application/json",
			      GC_STR_LIT("false"));
		return;
	}
	if (!stored) {
		stored = g_new0(stored_t, 1);
		g_hash_table_insert(f->store, g_strdup(key), stored);
	}
	stored->index = ++f->last_index;
	if (stored->value)
		g_byte_array_unref(stored->value);
	stored->value = g_byte_array_new();
	g_byte_array_append(stored->value, (const guint8 *)body.data, body.len);
	if (f->lose_answers > 0) {
		f->lose_answers--;
		gc_http_stream_begin(req, 200, "application/json");
		gc_http_stream_abort(req);
		return;
	}
	gc_http_reply(req, 200, "application/json", GC_STR_LIT("true"));
}

static void kv_get(fixture_t *f, gc_http_req_t *req)
{
	stored_t *stored = g_hash_table_lookup(f->store, gc_http_req_path(req));
	char *value, *text;

	suspended_s = f->suspend_s;
	if (!stored) {
		gc_http_reply(req, 404, "text/plain", GC_STR_EMPTY);
		return;
	}
	value = g_base64_encode(stored->value->data, stored->value->len);
	text = g_strdup_printf(
		"[{\"Value\":\"%s\",\"ModifyIndex\":%" G_GUINT64_FORMAT "}]",
		value, stored->index);
	gc_http_reply(req, 200, "application/json", gc_str(text));
	g_free(text);
	g_free(value);
}

static void on_backend(void *ctx, gc_http_req_t *req)
{
	fixture_t *f = ctx;
	g_autofree char *filler = g_strnfill(f->answer_bytes, 'x');
	const char *fencing;

	if (g_str_has_prefix(gc_http_req_path(req), "/status/")) {
		gc_http_reply(req, 200, "application/json",
			      f->status_done
				      ? GC_STR_LIT("{\"state\":\"done\"}")
				      : GC_STR_LIT("{\"state\":\"unknown\"}"));
		return;
	}
	ck_assert_str_eq(gc_http_req_path(req), "/bookings");
	if (strcmp(gc_http_req_method(req), "GET") == 0) {
		f->reads++;
		ck_assert_str_eq(gc_http_req_query(req, "day"), "a b");
		gc_http_reply(req, 200, "text/plain",
			      f->answer_bytes ? gc_str(filler)
					      : GC_STR_LIT("list"));
		return;
	}
	f->actions++;
	ck_assert_ptr_nonnull(gc_http_req_header(req, "Idempotency-Key"));
	fencing = gc_http_req_header(req, "Fencing-Token");
	g_free(f->fencing);
	f->fencing = g_strdup(fencing);
	if (f->mode == BACKEND_HOLD) {
		f->held = req;
	} else if (f->mode == BACKEND_BREAK) {
		gc_http_stream_begin(req, 200, "text/plain");
		gc_http_stream_abort(req);
	} else {
		gc_http_reply(req, 201, "application/json",
			      f->answer_bytes ? gc_str(filler)
					      : GC_STR_LIT("{\"id\":7}"));
	}
}

static void on_answer(void *ctx, int status, gc_str_t body, bool sent,
		      const GError *err)
{
	fixture_t *f = ctx;
	answer_t *answer = &f->answer;
	const char *retry = gc_http_call_header(answer->call, "Retry-After");
	json_t *json;

	ck_assert_msg(err == NULL, "%s", err ? err->message : "");
	answer->arrived = true;
	answer->status = status;
	answer->body = g_strndup(body.data, body.len);
	answer->replayed = gc_http_call_header(answer->call,
					       "Idempotent-Replayed") != NULL;
	answer->retry_after = retry ? atoi(retry) : 0;
	json = json_loadb(body.data, body.len, 0, NULL);
	answer->run = g_strdup(json_string_value(
		json_object_get(json_object_get(json, "error"), "run")));
	json_decref(json);
	answer->call = NULL;
}

static void clear_answer(fixture_t *f)
{
	g_free(f->answer.body);
	g_free(f->answer.run);
	f->answer = (answer_t){0};
}

static void start(fixture_t *f, const char *method, const char *key,
		  const char *body)
{
	const gc_http_call_ops_t ops = {.done = on_answer};
	char *header =
		talloc_asprintf(f->mem, "Idempotency-Key: %s", key ? key : "");
	const char *const headers[] = {key ? header : NULL, NULL};
	const gc_http_call_conf_t conf = {
		.method = method,
		.url = url_of(f, f->entry, PATH "?day=a%20b"),
		.headers = headers,
		.body = gc_str(body),
		.send_once = true,
	};

	clear_answer(f);
	f->answer.call = gc_httpc_start(f->traffic.http, &conf, &ops, f);
}

static void request(fixture_t *f, const char *method, const char *key,
		    const char *body)
{
	start(f, method, key, body);
	while (!f->answer.arrived)
		tevent_loop_once(f->traffic.ev);
}

/* Runs the loop until all outcomes are written. */
static void settle(fixture_t *f)
{
	struct timespec end = gc_add_ms(gc_clock_now(&gc_clock_system), 3000);

	while (gc_claims_open(f->traffic.claims) > 0 &&
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

START_TEST(test_action)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 201);
	ck_assert_str_eq(f.answer.body, "{\"id\":7}");
	ck_assert(!f.answer.replayed);
	ck_assert_ptr_null(f.fencing);
	settle(&f);
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 201);
	ck_assert_str_eq(f.answer.body, "{\"id\":7}");
	ck_assert(f.answer.replayed);
	request(&f, "POST", key, "{\"other\":1}");
	ck_assert_int_eq(f.answer.status, 422);
	ck_assert_str_eq(f.answer.run, "not_run");
	ck_assert_uint_eq(f.actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

START_TEST(test_unfit_keys)
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
		request(&f, "PATCH", cases[i].key, "{}");
		ck_assert_int_eq(f.answer.status, cases[i].status);
		ck_assert_str_eq(f.answer.run, cases[i].run);
	}
	ck_assert_uint_eq(f.actions, 0);
	ck_assert_uint_eq(gc_kv_calls(f.kv), 0);
	tear_down(&f);
}
END_TEST

/* The record of a key that expires during a suspension may be deleted. */
START_TEST(test_expires_before_dispatch)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.suspend_s = 25 * 3600;
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 409);
	ck_assert_str_eq(f.answer.run, "in_doubt");
	ck_assert_ptr_nonnull(strstr(f.answer.body, "key_expired"));
	ck_assert_uint_eq(f.actions, 0);
	settle(&f);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* A backend server must not fill the daemon's memory. */
START_TEST(test_long_answer)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.answer_bytes = MAX_BODY;
	request(&f, "GET", NULL, "");
	ck_assert_int_eq(f.answer.status, 200);
	ck_assert_uint_eq(strlen(f.answer.body), MAX_BODY);
	f.answer_bytes = MAX_BODY + 1;
	request(&f, "GET", NULL, "");
	ck_assert_int_eq(f.answer.status, 502);
	ck_assert_ptr_nonnull(strstr(f.answer.body, "answer_too_large"));
	ck_assert_ptr_nonnull(strstr(f.answer.body, "longer than 2048 bytes"));
	ck_assert_uint_eq(f.reads, 2);
	/* The effect of an action is known by the status alone. */
	for (int i = 0; i < 2; i++) {
		request(&f, "POST", key, "{}");
		ck_assert_int_eq(f.answer.status, 201);
		ck_assert_ptr_nonnull(
			strstr(f.answer.body, "\"run\":\"done\""));
		ck_assert(f.answer.replayed == (i == 1));
		settle(&f);
	}
	ck_assert_uint_eq(f.actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* The write took effect and its answer was lost: the action still runs. */
START_TEST(test_lost_answer)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.lose_answers = 1;
	request(&f, "PUT", key, "{}");
	ck_assert_int_eq(f.answer.status, 201);
	ck_assert_uint_eq(f.actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

START_TEST(test_broken_in_doubt)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.mode = BACKEND_BREAK;
	for (int i = 0; i < 2; i++) {
		request(&f, "POST", key, "{}");
		ck_assert_int_eq(f.answer.status, 409);
		ck_assert_str_eq(f.answer.run, "in_doubt");
		ck_assert_ptr_nonnull(strstr(f.answer.body, "unknown"));
		ck_assert_int_gt(f.answer.retry_after, 0);
	}
	f.status_done = true;
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 200);
	ck_assert_ptr_nonnull(strstr(f.answer.body, "\"run\":\"done\""));
	ck_assert_uint_eq(f.actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

START_TEST(test_broken_done)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.mode = BACKEND_BREAK;
	f.status_done = true;
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 200);
	ck_assert_ptr_nonnull(strstr(f.answer.body, "\"run\":\"done\""));
	settle(&f);
	f.status_done = false;
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 200);
	ck_assert(f.answer.replayed);
	ck_assert_uint_eq(f.actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* libcurl repeats a request when a reused connection closes unanswered. */
START_TEST(test_sent_once)
{
	silent_server_t server = {0};
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.servers[0].url = bound_url(&f, &server.listen_fd);
	listen(server.listen_fd, 8);
	server.thread = g_thread_new("backend", serve_silently, &server);
	request(&f, "GET", NULL, "");
	ck_assert_str_eq(f.answer.body, "ok");
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 409);
	ck_assert_str_eq(f.answer.run, "in_doubt");
	g_atomic_int_set(&server.stop, 1);
	g_thread_join(server.thread);
	close(server.listen_fd);
	ck_assert_uint_eq(server.actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* Nothing was sent: the claim is released and the same key can run later. */
START_TEST(test_refused_connection)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.view.services = &f.servers[1];
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 503);
	ck_assert_str_eq(f.answer.run, "not_run");
	ck_assert_int_gt(f.answer.retry_after, 0);
	settle(&f);
	f.view.services = f.servers;
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 201);
	ck_assert_uint_eq(f.actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* With one dead server of two, every action still runs, once. */
START_TEST(test_other_server)
{
	fixture_t f;

	set_up(&f);
	f.view.n_services = 2;
	for (unsigned int i = 1; i <= 8; i++) {
		char *key = new_key();

		request(&f, "POST", key, "{}");
		ck_assert_int_eq(f.answer.status, 201);
		ck_assert_uint_eq(f.actions, i);
		request(&f, "GET", NULL, "");
		ck_assert_int_eq(f.answer.status, 200);
		ck_assert_str_eq(f.answer.body, "list");
		ck_assert_uint_eq(f.reads, i);
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
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 503);
	ck_assert_str_eq(f.answer.run, "not_run");
	ck_assert_uint_eq(f.actions, 0);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* Repeats in flight are in doubt; a hang-up doesn't lose the outcome. */
START_TEST(test_hang_up)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.mode = BACKEND_HOLD;
	start(&f, "POST", key, "{}");
	while (!f.held)
		tevent_loop_once(f.traffic.ev);
	gc_http_call_cancel(f.answer.call);
	f.answer.call = NULL;
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 409);
	ck_assert_str_eq(f.answer.run, "in_doubt");
	ck_assert_int_gt(f.answer.retry_after, 0);
	gc_http_reply(f.held, 202, "text/plain", GC_STR_LIT("later"));
	for (int i = 0; i < 100; i++) {
		request(&f, "POST", key, "{}");
		if (f.answer.status != 409)
			break;
	}
	ck_assert_int_eq(f.answer.status, 202);
	ck_assert_str_eq(f.answer.body, "later");
	ck_assert(f.answer.replayed);
	ck_assert_uint_eq(f.actions, 1);
	tear_down(&f);
	g_free(key);
}
END_TEST

START_TEST(test_outage)
{
	fixture_t f;
	char *key = new_key();

	set_up(&f);
	f.kv_down = true;
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 503);
	ck_assert_str_eq(f.answer.run, "not_run");
	ck_assert_int_gt(f.answer.retry_after, 0);
	ck_assert_uint_eq(f.actions, 0);
	f.kv_down = false;
	request(&f, "POST", key, "{}");
	ck_assert_int_eq(f.answer.status, 201);
	tear_down(&f);
	g_free(key);
}
END_TEST

/* prop_claim checks that the number grows from claim to claim of a key. */
START_TEST(test_fencing)
{
	fixture_t f;

	set_up(&f);
	service.checks_fencing = true;
	for (int i = 0; i < 3; i++) {
		char *key = new_key();

		request(&f, "DELETE", key, "");
		ck_assert_int_eq(f.answer.status, 201);
		ck_assert_ptr_nonnull(f.fencing);
		ck_assert_uint_gt(g_ascii_strtoull(f.fencing, NULL, 10), 0);
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
	tcase_add_test(tcase, test_action);
	tcase_add_test(tcase, test_unfit_keys);
	tcase_add_test(tcase, test_expires_before_dispatch);
	tcase_add_test(tcase, test_long_answer);
	tcase_add_test(tcase, test_lost_answer);
	tcase_add_test(tcase, test_broken_in_doubt);
	tcase_add_test(tcase, test_broken_done);
	tcase_add_test(tcase, test_sent_once);
	tcase_add_test(tcase, test_refused_connection);
	tcase_add_test(tcase, test_other_server);
	tcase_add_test(tcase, test_leaving_server);
	tcase_add_test(tcase, test_hang_up);
	tcase_add_test(tcase, test_outage);
	tcase_add_test(tcase, test_fencing);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

void gc_refuse_as(gc_http_req_t *req, unsigned int status, const char *code,
		  const GError *err, gc_run_state_t run,
		  unsigned int retry_after_s, json_t *outcome)
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

gc_httpc_t *gc_traffic_http(gc_traffic_t *traffic)
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
	static const gc_settings_t settings = {.max_body_bytes = MAX_BODY};

	return &settings;
}

struct gc_claims *gc_traffic_claims(gc_traffic_t *traffic)
{
	return traffic->claims;
}
