/*
 * Guards against reporting a write without a definite response as written or
 * as a conflict, and against sending a write twice.
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

#define MAX_CONNECTIONS 16
#define TIMEOUT_MS	200
/* Scripted responses: close the connection; send nothing and keep it open. */
#define RESPONSE_CLOSE ""
#define RESPONSE_NEVER "never"

/* A server in its own thread that sends scripted responses. */
typedef struct server {
	int listen_fd;
	uint16_t port;
	GThread *thread;
	const char *const *responses; /* one per request; NULL-terminated */
	GString *requests; /* lines and bodies; read after the thread ended */
	int stop; /* atomic */
} server_t;

typedef struct result {
	bool called;
	char *value;
	uint64_t index;
	gc_kv_write_result_t write_result;
	int code; /* of the error; -1 if none */
} result_t;

typedef struct fixture {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	gc_kv_t *kv;
	server_t server;
	result_t result;
} fixture_t;

static void *run_server(void *ctx);
static bool handle_request(server_t *server, int fd);
static void set_up(fixture_t *f, const char *const *responses);
static void stop_server(server_t *server);
static void tear_down(fixture_t *f);
static void wait_for_result(fixture_t *f);
static void on_get(void *ctx, gc_str_t value, uint64_t index,
		   const GError *err);
static void on_put(void *ctx, gc_kv_write_result_t result, const GError *err);
static void on_keys(void *ctx, const char *const *keys, size_t n,
		    const GError *err);
static void expect_one_put(fixture_t *f, const char *const *responses);

static void *run_server(void *ctx)
{
	server_t *server = ctx;
	struct pollfd fds[MAX_CONNECTIONS] = {{server->listen_fd, POLLIN, 0}};
	nfds_t n = 1;

	while (!g_atomic_int_get(&server->stop)) {
		poll(fds, n, 10);
		for (nfds_t i = 1; i < n; i++) {
			if (fds[i].fd < 0 || !fds[i].revents)
				continue;
			if (!handle_request(server, fds[i].fd)) {
				close(fds[i].fd);
				fds[i].fd = -1;
			}
		}
		if (fds[0].revents && n < MAX_CONNECTIONS)
			fds[n++] = (struct pollfd){accept(server->listen_fd,
							  NULL, NULL),
						   POLLIN, 0};
	}
	for (nfds_t i = 1; i < n; i++)
		if (fds[i].fd >= 0)
			close(fds[i].fd);
	return NULL;
}

/*
 * Reads a request and sends the next response. Assumes that one read returns
 * the whole request, as requests are small. False: close the connection.
 */
static bool handle_request(server_t *server, int fd)
{
	char request[4096];
	ssize_t n = read(fd, request, sizeof(request) - 1);
	const char *body;
	const char *response;

	if (n <= 0)
		return false;
	request[n] = '\0';
	body = strstr(request, "\r\n\r\n");
	g_string_append_len(server->requests, request, strcspn(request, "\r"));
	g_string_append_printf(server->requests, "|%s\n", body ? body + 4 : "");
	response = *server->responses;
	if (response)
		server->responses++;
	if (!response || strcmp(response, RESPONSE_CLOSE) == 0)
		return false;
	if (strcmp(response, RESPONSE_NEVER) == 0)
		return true;
	return write(fd, response, strlen(response)) > 0;
}

static void set_up(fixture_t *f, const char *const *responses)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);
	char *url;

	*f = (fixture_t){.mem = talloc_new(NULL)};
	f->server.responses = responses;
	f->server.requests = g_string_new(NULL);
	f->server.listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(f->server.listen_fd, (struct sockaddr *)&addr,
			      sizeof(addr)),
			 0);
	listen(f->server.listen_fd, MAX_CONNECTIONS);
	getsockname(f->server.listen_fd, (struct sockaddr *)&addr, &len);
	f->server.port = ntohs(addr.sin_port);
	f->server.thread = g_thread_new("server", run_server, &f->server);
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

/* Stops the server; f->server.requests can be read afterwards. */
static void tear_down(fixture_t *f)
{
	stop_server(&f->server);
	gc_kv_destroy(f->kv);
	talloc_free(f->mem);
	g_free(f->result.value);
}

static void wait_for_result(fixture_t *f)
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

static void on_put(void *ctx, gc_kv_write_result_t result, const GError *err)
{
	fixture_t *f = ctx;

	f->result.write_result = result;
	f->result.code = err ? err->code : -1;
	f->result.called = true;
}

/* Stores the keys as the value, each followed by a comma. */
static void on_keys(void *ctx, const char *const *keys, size_t n,
		    const GError *err)
{
	g_autoptr(GString) list = g_string_new(NULL);

	for (size_t i = 0; i < n; i++)
		g_string_append_printf(list, "%s,", keys[i]);
	on_get(ctx, (gc_str_t){list->str, list->len}, n, err);
}

/* Writes a record and checks that the server received one request. */
static void expect_one_put(fixture_t *f, const char *const *responses)
{
	set_up(f, responses);
	gc_kv_cas(f->kv, "a/b c", 7, GC_STR_LIT("{}"), on_put, f);
	wait_for_result(f);
	tear_down(f);
	ck_assert_str_eq(f->server.requests->str,
			 "PUT /v1/kv/a/b%20c?cas=7 HTTP/1.1|{}\n");
	g_string_free(f->server.requests, TRUE);
}

START_TEST(test_get)
{
	const char *const responses[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 57\r\n\r\n"
		"[{\"Key\":\"k\",\"Value\":\"aGVsbG8=\",\"ModifyIndex\":5000000000}]",
		"HTTP/1.1 404 Not Found\r\nX-Consul-Index: 31\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[{]",
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
		RESPONSE_NEVER,
		NULL,
	};
	fixture_t f;

	set_up(&f, responses);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_for_result(&f);
	ck_assert_str_eq(f.result.value, "hello");
	ck_assert_uint_eq(f.result.index, 5000000000);
	ck_assert_int_eq(f.result.code, -1);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_for_result(&f);
	ck_assert_str_eq(f.result.value, "");
	ck_assert_uint_eq(f.result.index, 0);
	ck_assert_int_eq(f.result.code, -1);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_for_result(&f);
	ck_assert_int_eq(f.result.code, GC_ERR_IO);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_for_result(&f);
	ck_assert_int_eq(f.result.code, GC_ERR_UNAVAILABLE);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_for_result(&f);
	ck_assert_int_eq(f.result.code, GC_ERR_TIMEOUT);
	ck_assert_uint_eq(gc_kv_call_count(f.kv), 5);
	tear_down(&f);
	g_string_free(f.server.requests, TRUE);
}
END_TEST

/*
 * Repeated watches of an absent record must send the index of the last
 * response: the service does not block on index 0, which would make a busy
 * loop.
 */
START_TEST(test_watch_absent)
{
	const char *const responses[] = {
		"HTTP/1.1 404 Not Found\r\nX-Consul-Index: 31\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\nX-Consul-Index: 32\r\n"
		"Content-Length: 0\r\n\r\n",
		NULL,
	};
	fixture_t f;

	set_up(&f, responses);
	for (int i = 0; i < 2; i++) {
		gc_kv_watch(f.kv, "k", 0, 9, on_get, &f);
		wait_for_result(&f);
		ck_assert_uint_eq(f.result.index, 0);
		ck_assert_int_eq(f.result.code, -1);
	}
	tear_down(&f);
	ck_assert_str_eq(f.server.requests->str,
			 "GET /v1/kv/k?index=0&wait=9s HTTP/1.1|\n"
			 "GET /v1/kv/k?index=31&wait=9s HTTP/1.1|\n");
	g_string_free(f.server.requests, TRUE);
}
END_TEST

START_TEST(test_put)
{
	const struct {
		const char *response;
		gc_kv_write_result_t result;
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
		{RESPONSE_CLOSE, GC_KV_UNKNOWN, GC_ERR_IO},
		{RESPONSE_NEVER, GC_KV_UNKNOWN, GC_ERR_TIMEOUT},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntr",
		 GC_KV_UNKNOWN, GC_ERR_TIMEOUT},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *const responses[] = {cases[i].response, NULL};
		fixture_t f;

		expect_one_put(&f, responses);
		ck_assert_int_eq(f.result.write_result, cases[i].result);
		ck_assert_int_eq(f.result.code, cases[i].code);
	}
}
END_TEST

/* A list with an invalid entry must not be returned in part. */
START_TEST(test_list_keys)
{
	const struct {
		const char *response;
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
		{RESPONSE_NEVER, "", GC_ERR_TIMEOUT},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *const responses[] = {cases[i].response, NULL};
		fixture_t f;

		set_up(&f, responses);
		gc_kv_list_keys(f.kv, "a/", on_keys, &f);
		wait_for_result(&f);
		ck_assert_str_eq(f.result.value, cases[i].list);
		ck_assert_int_eq(f.result.code, cases[i].code);
		tear_down(&f);
		ck_assert_str_eq(f.server.requests->str,
				 "GET /v1/kv/a/?keys HTTP/1.1|\n");
		g_string_free(f.server.requests, TRUE);
	}
}
END_TEST

START_TEST(test_delete)
{
	const char *const responses[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue",
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", NULL};
	fixture_t f;

	set_up(&f, responses);
	gc_kv_delete(f.kv, "a/1", on_put, &f);
	wait_for_result(&f);
	ck_assert_int_eq(f.result.write_result, GC_KV_WRITTEN);
	gc_kv_delete(f.kv, "a/1", on_put, &f);
	wait_for_result(&f);
	ck_assert_int_eq(f.result.write_result, GC_KV_UNKNOWN);
	ck_assert_int_eq(f.result.code, GC_ERR_IO);
	tear_down(&f);
	ck_assert_str_eq(f.server.requests->str,
			 "DELETE /v1/kv/a/1 HTTP/1.1|\n"
			 "DELETE /v1/kv/a/1 HTTP/1.1|\n");
	g_string_free(f.server.requests, TRUE);
}
END_TEST

START_TEST(test_put_not_sent)
{
	const char *const responses[] = {NULL};
	fixture_t f;

	set_up(&f, responses);
	stop_server(&f.server);
	gc_kv_cas(f.kv, "k", 0, GC_STR_LIT("{}"), on_put, &f);
	wait_for_result(&f);
	ck_assert_int_eq(f.result.write_result, GC_KV_UNKNOWN);
	ck_assert_int_eq(f.result.code, GC_ERR_UNAVAILABLE);
	tear_down(&f);
	g_string_free(f.server.requests, TRUE);
}
END_TEST

/*
 * libcurl repeats a request if a reused connection is closed without a
 * response. A write must not be repeated.
 */
START_TEST(test_put_not_repeated)
{
	const char *const responses[] = {
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		RESPONSE_CLOSE,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse",
		NULL,
	};
	fixture_t f;

	set_up(&f, responses);
	gc_kv_get(f.kv, "k", on_get, &f);
	wait_for_result(&f);
	gc_kv_cas(f.kv, "k", 0, GC_STR_LIT("{}"), on_put, &f);
	wait_for_result(&f);
	ck_assert_int_eq(f.result.write_result, GC_KV_UNKNOWN);
	tear_down(&f);
	ck_assert_str_eq(f.server.requests->str,
			 "GET /v1/kv/k HTTP/1.1|\n"
			 "PUT /v1/kv/k?cas=0 HTTP/1.1|{}\n");
	g_string_free(f.server.requests, TRUE);
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
	tcase_add_test(tcase, test_list_keys);
	tcase_add_test(tcase, test_delete);
	tcase_add_test(tcase, test_put_not_sent);
	tcase_add_test(tcase, test_put_not_repeated);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
