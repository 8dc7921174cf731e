/*
 * Guards against a refused connection that is detected only by a timer, against
 * bytes missing from the byte counter of a call, against responses without end that
 * are kept, and against parts of responses and statuses out of range that count as
 * answers.
 */
#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"
#include "core/error.h"
#include "lib/httpc.h"

/* On loopback a refusal arrives within microseconds. */
#define MAX_REFUSAL_MS 50

typedef struct call_result {
	bool done;
	bool sent;
	int code; /* gc_errcode_t; -1: no error */
	int status;
} call_result_t;

/* A server that answers one request in its own thread. */
typedef struct one_shot_server {
	int sock;
	size_t received;
} one_shot_server_t;

typedef struct early_server {
	one_shot_server_t server;
	const char *response;
	bool whole; /* reads a body to its last byte, END, first */
	bool orderly; /* a close before the reset */
} early_server_t;

static uint16_t closed_port(void);
static uint16_t start_listening(one_shot_server_t *server);
static void *serve_one_request(void *ctx);
static void *answer_early(void *ctx);
static int call_early(early_server_t *early, size_t body_bytes);
static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err);

static uint16_t closed_port(void)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);
	int sock = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(sock, (struct sockaddr *)&addr, len), 0);
	ck_assert_int_eq(getsockname(sock, (struct sockaddr *)&addr, &len), 0);
	close(sock);
	return ntohs(addr.sin_port);
}

static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err)
{
	call_result_t *call_result = ctx;

	call_result->done = true;
	call_result->sent = sent;
	call_result->code = err ? err->code : -1;
	call_result->status = status;
}

START_TEST(test_connection_refused_at_once)
{
	static const gc_http_call_ops_t ops = {.done = on_done};
	struct tevent_context *ev = tevent_context_init(NULL);
	gc_httpc_t *client = gc_httpc_create(ev, ev);
	call_result_t call_result = {.sent = true};
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%u/", closed_port());
	gc_http_call_conf_t conf = {.method = "GET", .url = url};
	struct timespec started_at = gc_clock_now(&gc_clock_system);
	int64_t ms;

	gc_httpc_start(client, &conf, &ops, &call_result);
	while (!call_result.done)
		tevent_loop_once(ev);
	ms = gc_ms_between(started_at, gc_clock_now(&gc_clock_system));
	ck_assert_int_eq(call_result.code, GC_ERR_IO);
	ck_assert(!call_result.sent);
	ck_assert_int_lt(ms, MAX_REFUSAL_MS);
	talloc_free(ev);
}
END_TEST

#define BODY	 "0123456789"
#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour"

static uint16_t start_listening(one_shot_server_t *server)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);

	server->sock = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(server->sock, (struct sockaddr *)&addr, len), 0);
	ck_assert_int_eq(listen(server->sock, 1), 0);
	ck_assert_int_eq(
		getsockname(server->sock, (struct sockaddr *)&addr, &len), 0);
	return ntohs(addr.sin_port);
}

static void *serve_one_request(void *ctx)
{
	one_shot_server_t *server = ctx;
	int sock = accept(server->sock, NULL, NULL);
	char request[4096] = "";

	while (!strstr(request, "\r\n\r\n" BODY)) {
		ssize_t n = read(sock, request + server->received,
				 sizeof(request) - 1 - server->received);

		if (n <= 0)
			break;
		server->received += n;
	}
	if (write(sock, RESPONSE, strlen(RESPONSE)) < 0)
		server->received = 0;
	close(sock);
	close(server->sock);
	return NULL;
}

START_TEST(test_counts_headers_and_bodies)
{
	static const gc_http_call_ops_t ops = {.done = on_done};
	struct tevent_context *ev = tevent_context_init(NULL);
	gc_httpc_t *client = gc_httpc_create(ev, ev);
	one_shot_server_t server = {0};
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u/path",
					       start_listening(&server));
	gc_metric_t *bytes = gc_counter("test_bytes", "", NULL, NULL);
	gc_http_call_conf_t conf = {.method = "PUT",
				    .url = url,
				    .body = gc_str(BODY),
				    .bytes = bytes};
	GThread *thread = g_thread_new("server", serve_one_request, &server);
	call_result_t call_result = {0};

	gc_httpc_start(client, &conf, &ops, &call_result);
	while (!call_result.done)
		tevent_loop_once(ev);
	g_thread_join(thread);
	ck_assert_int_eq(call_result.code, -1);
	ck_assert_uint_eq(gc_counter_value(bytes),
			  server.received + strlen(RESPONSE));
	talloc_free(ev);
}
END_TEST

/* Sent at most, so that a fault ends. */
#define ENDLESS_BYTES (80 << 20)
/* Of the whole process; a body of the largest size takes twice that as it grows. */
#define MAX_MEMORY_KB (64 << 10)

typedef struct endless_server {
	one_shot_server_t server;
	const char *start, *part; /* the part is repeated */
	size_t sent;
} endless_server_t;

static void *send_without_end(void *ctx)
{
	endless_server_t *endless = ctx;
	int sock = accept(endless->server.sock, NULL, NULL);
	g_autoptr(GString) parts = g_string_new(NULL);
	char request[4096];
	ssize_t n = read(sock, request, sizeof(request));

	while (parts->len < 65536)
		g_string_append(parts, endless->part);
	if (n > 0)
		n = send(sock, endless->start, strlen(endless->start),
			 MSG_NOSIGNAL);
	while (n > 0 && endless->sent < ENDLESS_BYTES) {
		n = send(sock, parts->str, parts->len, MSG_NOSIGNAL);
		endless->sent += n > 0 ? (size_t)n : 0;
	}
	close(sock);
	close(endless->server.sock);
	return NULL;
}

/* A call without a limit of its own. */
START_TEST(test_endless_responses)
{
	/* Of a sanitizer. */
	const char *own = g_getenv("SANITIZER_KB");
	long own_kb = own ? strtol(own, NULL, 10) : 0;
	static const struct {
		const char *start, *part;
	} forms[] = {
		{"HTTP/1.1 200 OK\r\n\r\n", "x"},
		{"HTTP/1.1 500 Error\r\n\r\n", "x"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		 "4\r\nabcd\r\n"},
		{"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
		 "x"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		 "X-More: 1\r\n"},
		{"", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"", "x"},
		{"", "\r\n"},
	};
	static const gc_http_call_ops_t ops = {.done = on_done};

	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
		struct tevent_context *ev = tevent_context_init(NULL);
		gc_httpc_t *client = gc_httpc_create(ev, ev);
		endless_server_t endless = {.start = forms[i].start,
					    .part = forms[i].part};
		g_autofree char *url =
			g_strdup_printf("http://127.0.0.1:%u/",
					start_listening(&endless.server));
		gc_http_call_conf_t conf = {
			.method = "GET", .url = url, .timeout_ms = 5000};
		call_result_t call_result = {0};
		struct rusage usage;
		GThread *thread =
			g_thread_new("server", send_without_end, &endless);

		gc_httpc_start(client, &conf, &ops, &call_result);
		while (!call_result.done)
			tevent_loop_once(ev);
		talloc_free(ev);
		g_thread_join(thread);
		ck_assert_msg(call_result.code != -1, "form %zu", i);
		ck_assert_int_eq(getrusage(RUSAGE_SELF, &usage), 0);
		ck_assert_msg(usage.ru_maxrss < MAX_MEMORY_KB + own_kb,
			      "form %zu: %ld", i, usage.ru_maxrss);
	}
}
END_TEST

/* More than the buffers of both sockets hold. */
#define LONG_BODY_BYTES (32 << 20)
#define EARLY_END_US	50000
#define END		'.'

static void *answer_early(void *ctx)
{
	early_server_t *early = ctx;
	struct linger linger = {.l_onoff = 1};
	int sock = accept(early->server.sock, NULL, NULL);
	char request[4096];
	ssize_t n = read(sock, request, sizeof(request));

	while (n > 0 && early->whole && request[n - 1] != END)
		n = read(sock, request, sizeof(request));
	if (n > 0)
		n = send(sock, early->response, strlen(early->response),
			 MSG_NOSIGNAL);
	if (n > 0 && early->orderly)
		shutdown(sock, SHUT_WR);
	g_usleep(EARLY_END_US);
	setsockopt(sock, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(sock);
	close(early->server.sock);
	return NULL;
}

/* Returns the code of the result of a call. */
static int call_early(early_server_t *early, size_t body_bytes)
{
	static const gc_http_call_ops_t ops = {.done = on_done};
	struct tevent_context *ev = tevent_context_init(NULL);
	gc_httpc_t *client = gc_httpc_create(ev, ev);
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u/",
					       start_listening(&early->server));
	g_autofree char *body = g_strnfill(body_bytes, 'x');
	gc_http_call_conf_t conf = {.method = "POST",
				    .url = url,
				    .body = {body, body_bytes},
				    .timeout_ms = 5000};
	call_result_t call_result = {0};
	GThread *thread = g_thread_new("server", answer_early, early);

	if (body_bytes > 0)
		body[body_bytes - 1] = END;
	gc_httpc_start(client, &conf, &ops, &call_result);
	while (!call_result.done)
		tevent_loop_once(ev);
	talloc_free(ev);
	g_thread_join(thread);
	return call_result.code;
}

/* With and without a close, the server breaks off; only a length tells that its
 * response is complete. */
START_TEST(test_end_before_request_is_taken)
{
	static const char *const responses[] = {
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}",
		"HTTP/1.0 200 OK\r\n\r\n{}",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n{}",
		"HTTP/1.1 404 Not Found\r\n\r\n{}",
		"HTTP/1.1 503 Busy\r\n\r\n{}",
	};
	early_server_t sized = {
		.response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
			    "Connection: close\r\n\r\n{}",
		.orderly = true};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(responses); i++) {
		early_server_t early = {.response = responses[i / 2],
					.orderly = i % 2};

		ck_assert_msg(call_early(&early, LONG_BODY_BYTES) == GC_ERR_IO,
			      "response %zu, orderly %d", i / 2, early.orderly);
	}
	ck_assert_int_eq(call_early(&sized, LONG_BODY_BYTES), -1);
}
END_TEST

/* Bodies that libcurl sends with the head, and others. */
START_TEST(test_end_after_request_is_taken)
{
	static const size_t sizes[] = {0, 10, 60000, 1000000};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		early_server_t early = {.response = "HTTP/1.1 200 OK\r\n\r\n{}",
					.whole = sizes[i] > 0,
					.orderly = true};

		ck_assert_msg(call_early(&early, sizes[i]) == -1, "size %zu",
			      sizes[i]);
	}
}
END_TEST

typedef struct status_server {
	one_shot_server_t server;
	const char *response;
} status_server_t;

/* Leaves the connection open until the client closes it. */
static void *send_status(void *ctx)
{
	status_server_t *server = ctx;
	int sock = accept(server->server.sock, NULL, NULL);
	char request[4096];
	ssize_t n = read(sock, request, sizeof(request));

	if (n > 0)
		n = send(sock, server->response, strlen(server->response),
			 MSG_NOSIGNAL);
	while (n > 0)
		n = read(sock, request, sizeof(request));
	close(sock);
	close(server->server.sock);
	return NULL;
}

static void on_any_data(void *ctx, int status, gc_str_t data)
{
	ck_abort_msg("data with status %d", status);
}

/* libcurl gives those above 599 as an answer, and waits after a 101. */
START_TEST(test_statuses_out_of_range_are_errors)
{
	static const char *const lines[] = {
		"600 OK",  "700 OK",
		"999 OK",  "1000 OK",
		"000 OK",  "001 OK",
		"099 OK",  "20 OK",
		"0200 OK", "101 Switch\r\nUpgrade: x\r\nConnection: upgrade",
	};
	static const char *const starts[] = {
		"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"};

	for (size_t i = 0; i < 4 * G_N_ELEMENTS(lines); i++) {
		const gc_http_call_ops_t ops = {
			.done = on_done,
			.data = i % 2 ? on_any_data : NULL,
		};
		struct tevent_context *ev = tevent_context_init(NULL);
		gc_httpc_t *client = gc_httpc_create(ev, ev);
		g_autofree char *response = g_strdup_printf(
			"%sHTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}",
			starts[i / 2 % 2], lines[i / 4]);
		status_server_t server = {.response = response};
		g_autofree char *url =
			g_strdup_printf("http://127.0.0.1:%u/",
					start_listening(&server.server));
		gc_http_call_conf_t conf = {
			.method = "GET", .url = url, .timeout_ms = 2000};
		call_result_t call_result = {0};
		GThread *thread = g_thread_new("server", send_status, &server);

		gc_httpc_start(client, &conf, &ops, &call_result);
		while (!call_result.done)
			tevent_loop_once(ev);
		talloc_free(ev);
		g_thread_join(thread);
		ck_assert_msg(call_result.code == GC_ERR_PROTOCOL, "%s: %d",
			      response, call_result.code);
		ck_assert(call_result.sent);
		ck_assert_int_eq(call_result.status, 0);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("httpc");
	TCase *tcase = tcase_create("httpc");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_connection_refused_at_once);
	tcase_add_test(tcase, test_counts_headers_and_bodies);
	tcase_add_test(tcase, test_endless_responses);
	tcase_add_test(tcase, test_end_before_request_is_taken);
	tcase_add_test(tcase, test_end_after_request_is_taken);
	tcase_add_test(tcase, test_statuses_out_of_range_are_errors);
	tcase_set_timeout(tcase, 60);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
