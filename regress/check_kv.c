/*
 * Guards against a write without a definite answer being taken for a success
 * or a conflict, and against a write that is sent twice.
 */
#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "core/error.h"
#include "lib/kv.h"

#define MAX_CONNS  16
#define TIMEOUT_MS 200
/* A scripted answer that closes the connection, and one that never comes. */
#define ANSWER_CLOSE ""
#define ANSWER_NEVER "never"

/* A server in a thread of its own that gives scripted answers. */
typedef struct server {
	int listen_fd;
	uint16_t port;
	GThread *thread;
	const char *const *answers; /* one for each request; ended by NULL */
	GString *seen; /* request lines and bodies; read after the join */
	int stop; /* atomic */
} server_t;

typedef struct result {
	bool called;
	char *value;
	uint64_t index;
	gc_kv_put_t put;
	int code; /* of the error, -1 if none */
} result_t;

typedef struct fixture {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	gc_kv_t *kv;
	server_t server;
	result_t result;
} fixture_t;

static void *serve(void *ctx);
static bool serve_request(server_t *server, int fd);
static void set_up(fixture_t *f, const char *const *answers);
static void stop_server(server_t *server);
static void tear_down(fixture_t *f);
static void wait_result(fixture_t *f);
static void on_get(void *ctx, gc_str_t value, uint64_t index,
		   const GError *err);
static void on_put(void *ctx, gc_kv_put_t put, const GError *err);
static void on_keys(void *ctx, const char *const *keys, size_t n,
		    const GError *err);
static void put(fixture_t *f, const char *const *answers);

static void *serve(void *ctx)
{
	server_t *server = ctx;
	struct pollfd fds[MAX_CONNS] = {{server->listen_fd, POLLIN, 0}};
	nfds_t n = 1;

	while (!g_atomic_int_get(&server->stop)) {
		poll(fds, n, 10);
		for (nfds_t i = 1; i < n; i++) {
			if (fds[i].fd < 0 || !fds[i].revents)
				continue;
			if (!serve_request(server, fds[i].fd)) {
				close(fds[i].fd);
				fds[i].fd = -1;
			}
		}
		if (fds[0].revents && n < MAX_CONNS)
			fds[n++] = (struct pollfd){accept(server->listen_fd,
							  NULL, NULL),
						   POLLIN, 0};
	}
	for (nfds_t i = 1; i < n; i++)
		if (fds[i].fd >= 0)
			close(fds[i].fd);
	return NULL;
}

/* Requests are small enough to arrive whole. False closes the connection. */
static bool serve_request(server_t *server, int fd)
{
	char request[4096];
	ssize_t n = read(fd, request, sizeof(request) - 1);
	const char *body;
	const char *answer;

	if (n <= 0)
		return false;
	request[n] = '\0';
	body = strstr(request, "\r\n\r\n");
	g_string_append_len(server->seen, request, strcspn(request, "\r"));
	g_string_append_printf(server->seen, "|%s\n", body ? body + 4 : "");
	answer = *server->answers;
	if (answer)
		server->answers++;
	if (!answer || strcmp(answer, ANSWER_CLOSE) == 0)
		return false;
	if (strcmp(answer, ANSWER_NEVER) == 0)
		return true;
	return write(fd, answer, strlen(answer)) > 0;
}

static void set_up(fixture_t *f, const char *const *answers)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);
	char *url;

	*f = (fixture_t){.mem = talloc_new(NULL)};
	f->server.answers = answers;
	f->server.seen = g_string_new(NULL);
	f->server.listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(f->server.listen_fd, (struct sockaddr *)&addr,
			      sizeof(addr)),
			 0);
	listen(f->server.listen_fd, MAX_CONNS);
	getsockname(f->server.listen_fd, (struct sockaddr *)&addr, &len);
	f->server.port = ntohs(addr.sin_port);
	f->server.thread = g_thread_new("server", serve, &f->server);
	f->ev = tevent_context_init(f->mem);
	url = talloc_asprintf(f->mem, "http://127.0.0.1:%u", f->server.port);
	f->kv = gc_kv_create(f->mem, gc_httpc_create(f->mem, f->ev), url,
			     TIMEOUT_MS);
}

static void stop_server(server_t *server)
{
	if (!server->thread)
		return;
	g_atomic_int_set(&server->stop, 1);
	g_thread_join(server->thread);
	server->thread = NULL;
	close(server->listen_fd);
}

/* Ends the server; f->server.seen can be read after it. */
static void tear_down(fixture_t *f)
{
	stop_server(&f->server);
	gc_kv_destroy(f->kv);
	talloc_free(f->mem);
	g_free(f->result.value);
}

static void wait_result(fixture_t *f)
{
	while (!f->result.called)
		tevent_loop_once(f->ev);
	f->result.called = false;
}

static void on_get(void *ctx, gc_str_t value, uint64_t index, const GError *err)
{
	fixture_t *f = ctx;

	g_free(f->result.value);
	f->result.value = g_strndup(value.data, value.len);
	f->result.index = index;
	f->result.code = err ? err->code : -1;
	f->result.called = true;
}

static void on_put(void *ctx, gc_kv_put_t result, const GError *err)
{
	fixture_t *f = ctx;

	f->result.put = result;
	f->result.code = err ? err->code : -1;
	f->result.called = true;
}

/* The value is the list, with commas. */
static void on_keys(void *ctx, const char *const *keys, size_t n,
		    const GError *err)
{
	g_autoptr(GString) list = g_string_new(NULL);

	for (size_t i = 0; i < n; i++)
		g_string_append_printf(list, "%s,", keys[i]);
	on_get(ctx, (gc_str_t){list->str, list->len}, n, err);
}

static void put(fixture_t *f, const char *const *answers)
{
	set_up(f, answers);
	gc_kv_cas(f->kv, "a/b c", 7, GC_STR_LIT("{}"), on_put, f);
	wait_result(f);
	tear_down(f);
	ck_assert_str_eq(f->server.seen->str,
			 "PUT /v1/kv/a/b%20c?cas=7 HTTP/1.1|{}\n");
	g_string_free(f->server.seen, TRUE);
}

START_TEST(test_get)
{
	const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 57\r\n\r\n"
		"[{\"Key\":\"k\",\"Value\":\"aGVsbG8=\",\"ModifyIndex\":5000000000}]",
		"HTTP/1.1 404 Not Found\r\nX-Consul-Index: 31\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[{]",
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
		ANSWER_NEVER,
		NULL,
	};
	fixture_t f;

	set_up(&f, answers);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_result(&f);
	ck_assert_str_eq(f.result.value, "hello");
	ck_assert_uint_eq(f.result.index, 5000000000);
	ck_assert_int_eq(f.result.code, -1);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_result(&f);
	ck_assert_str_eq(f.result.value, "");
	ck_assert_uint_eq(f.result.index, 0);
	ck_assert_int_eq(f.result.code, -1);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_result(&f);
	ck_assert_int_eq(f.result.code, GC_ERR_IO);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_result(&f);
	ck_assert_int_eq(f.result.code, GC_ERR_UNAVAILABLE);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_result(&f);
	ck_assert_int_eq(f.result.code, GC_ERR_TIMEOUT);
	ck_assert_uint_eq(gc_kv_calls(f.kv), 5);
	tear_down(&f);
	g_string_free(f.server.seen, TRUE);
}
END_TEST

/* A watch of an absent record must not turn into a busy loop. */
START_TEST(test_watch_absent)
{
	const char *const answers[] = {
		"HTTP/1.1 404 Not Found\r\nX-Consul-Index: 31\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\nX-Consul-Index: 32\r\n"
		"Content-Length: 0\r\n\r\n",
		NULL,
	};
	fixture_t f;

	set_up(&f, answers);
	for (int i = 0; i < 2; i++) {
		gc_kv_watch(f.kv, "k", 0, 9, on_get, &f);
		wait_result(&f);
		ck_assert_uint_eq(f.result.index, 0);
		ck_assert_int_eq(f.result.code, -1);
	}
	tear_down(&f);
	ck_assert_str_eq(f.server.seen->str,
			 "GET /v1/kv/k?index=0&wait=9s HTTP/1.1|\n"
			 "GET /v1/kv/k?index=31&wait=9s HTTP/1.1|\n");
	g_string_free(f.server.seen, TRUE);
}
END_TEST

START_TEST(test_put)
{
	const struct {
		const char *answer;
		gc_kv_put_t put;
		int code;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue",
		 GC_KV_WRITTEN, -1},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse",
		 GC_KV_CONFLICT, -1},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n??",
		 GC_KV_UNKNOWN, GC_ERR_IO},
		{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", GC_KV_UNKNOWN,
		 GC_ERR_IO},
		{"HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n", GC_KV_CONFLICT,
		 GC_ERR_TOO_LARGE},
		{ANSWER_CLOSE, GC_KV_UNKNOWN, GC_ERR_IO},
		{ANSWER_NEVER, GC_KV_UNKNOWN, GC_ERR_TIMEOUT},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntr",
		 GC_KV_UNKNOWN, GC_ERR_TIMEOUT},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *const answers[] = {cases[i].answer, NULL};
		fixture_t f;

		put(&f, answers);
		ck_assert_int_eq(f.result.put, cases[i].put);
		ck_assert_int_eq(f.result.code, cases[i].code);
	}
}
END_TEST

/* Half a list must not pass for a whole one. */
START_TEST(test_keys)
{
	const struct {
		const char *answer;
		const char *list;
		int code;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n"
		 "[\"a/1\",\"a/2\"]",
		 "a/1,a/2,", -1},
		{"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", "", -1},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n[\"a/1\",2]", "",
		 GC_ERR_IO},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "",
		 GC_ERR_IO},
		{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "",
		 GC_ERR_UNAVAILABLE},
		{ANSWER_NEVER, "", GC_ERR_TIMEOUT},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *const answers[] = {cases[i].answer, NULL};
		fixture_t f;

		set_up(&f, answers);
		gc_kv_keys(f.kv, "a/", on_keys, &f);
		wait_result(&f);
		ck_assert_str_eq(f.result.value, cases[i].list);
		ck_assert_int_eq(f.result.code, cases[i].code);
		tear_down(&f);
		ck_assert_str_eq(f.server.seen->str,
				 "GET /v1/kv/a/?keys HTTP/1.1|\n");
		g_string_free(f.server.seen, TRUE);
	}
}
END_TEST

START_TEST(test_delete)
{
	const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue",
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", NULL};
	fixture_t f;

	set_up(&f, answers);
	gc_kv_delete(f.kv, "a/1", on_put, &f);
	wait_result(&f);
	ck_assert_int_eq(f.result.put, GC_KV_WRITTEN);
	gc_kv_delete(f.kv, "a/1", on_put, &f);
	wait_result(&f);
	ck_assert_int_eq(f.result.put, GC_KV_UNKNOWN);
	ck_assert_int_eq(f.result.code, GC_ERR_IO);
	tear_down(&f);
	ck_assert_str_eq(f.server.seen->str, "DELETE /v1/kv/a/1 HTTP/1.1|\n"
					     "DELETE /v1/kv/a/1 HTTP/1.1|\n");
	g_string_free(f.server.seen, TRUE);
}
END_TEST

START_TEST(test_put_not_sent)
{
	const char *const answers[] = {NULL};
	fixture_t f;

	set_up(&f, answers);
	stop_server(&f.server);
	gc_kv_cas(f.kv, "k", 0, GC_STR_LIT("{}"), on_put, &f);
	wait_result(&f);
	ck_assert_int_eq(f.result.put, GC_KV_UNKNOWN);
	ck_assert_int_eq(f.result.code, GC_ERR_UNAVAILABLE);
	tear_down(&f);
	g_string_free(f.server.seen, TRUE);
}
END_TEST

/* libcurl repeats a request when a reused connection closes unanswered. */
START_TEST(test_put_once)
{
	const char *const answers[] = {
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		ANSWER_CLOSE,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse",
		NULL,
	};
	fixture_t f;

	set_up(&f, answers);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_result(&f);
	gc_kv_cas(f.kv, "k", 0, GC_STR_LIT("{}"), on_put, &f);
	wait_result(&f);
	ck_assert_int_eq(f.result.put, GC_KV_UNKNOWN);
	tear_down(&f);
	ck_assert_str_eq(f.server.seen->str,
			 "GET /v1/kv/k HTTP/1.1|\n"
			 "PUT /v1/kv/k?cas=0 HTTP/1.1|{}\n");
	g_string_free(f.server.seen, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("kv");
	TCase *tcase = tcase_create("kv");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_get);
	tcase_add_test(tcase, test_watch_absent);
	tcase_add_test(tcase, test_put);
	tcase_add_test(tcase, test_keys);
	tcase_add_test(tcase, test_delete);
	tcase_add_test(tcase, test_put_not_sent);
	tcase_add_test(tcase, test_put_once);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
