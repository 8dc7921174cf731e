/*
 * Guards against verdicts on a backend server that are given before the result
 * of its connect or its answer has been read, or by an answer to an earlier call,
 * and against requests that arrive after they were given up.
 */
#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/log.h"
#include "lib/upstream.h"
#include "regress/unit.h"

#define CONNECT_TIMEOUT_MS 50
/* More than the buffers of both sockets hold. */
#define LONG_BODY_BYTES (32 << 20)
/* Time to fill these buffers. */
#define SEND_MS 100
/* The kernel repeats what isn't acknowledged several times within it. */
#define RETRANSMIT_MS 1500
/* No call of these tests takes longer. */
#define TEST_TIMEOUT_MS 3000

typedef struct test {
	struct tevent_context *ev;
	gc_timers_t *timers;
	gc_upstream_t *upstream;
	gc_backends_t *backends;
	gc_backend_t *backend;
	int listener;
	bool timed_out;
	/* Outcome of the call. */
	bool done;
	bool completed;
	gc_attempt_end_t end;
	GString *body;
} test_t;

static test_t *start_test(uint64_t *state);
static void end_test(test_t *test);
static gc_call_t *start_call(test_t *test, size_t body_bytes);
static gc_call_t *start_named(test_t *test, const char *id, bool apart);
static int answer(test_t *test, int sock, const char *response);
static void run_until_done(test_t *test);
static void respond_early(test_t *test, const char *response);
static int answer_early(test_t *test, size_t body_bytes, const char *response);
static void respond(test_t *test, const char *response);
static void run_for(test_t *test, int64_t ms);
static void drop_segments(int sock, bool drop);
static void set_flag(void *ctx);
static void on_head(void *ctx, const gc_http_message_t *response);
static void on_body(void *ctx, gc_str_t data);
static void on_complete(void *ctx, const gc_http_message_t *response);
static void on_failed(void *ctx, gc_attempt_end_t end, const char *reason);

static const gc_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

static test_t *start_test(uint64_t *state)
{
	static gc_random_t random;
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);
	test_t *test = talloc_zero(NULL, test_t);
	gc_upstream_conf_t conf = {.clock = &gc_clock_system,
				   .id_header = "Request-Id",
				   .leaving_header = "Server-Leaving",
				   .limit_header = "Server-Limit",
				   .brittle_header = "Server-Brittle",
				   .pause_max_ms = 30000,
				   .connect_timeout_ms = CONNECT_TIMEOUT_MS};
	gc_backends_conf_t backends_conf = {.failure_domain = GC_STR_LIT("a"),
					    .random = &random};
	gc_registry_entry_t entry = {.id = GC_STR_LIT("a0"),
				     .service = GC_STR_LIT("s"),
				     .failure_domain = GC_STR_LIT("a"),
				     .slots = 8,
				     .started_ms = 1};

	random = (gc_random_t){unit_next_random, state};
	test->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(test->listener, (struct sockaddr *)&sin, len), 0);
	ck_assert_int_eq(listen(test->listener, 8), 0);
	getsockname(test->listener, (struct sockaddr *)&sin, &len);
	entry.address = gc_str(
		talloc_asprintf(test, "127.0.0.1:%u", ntohs(sin.sin_port)));
	test->ev = tevent_context_init(test);
	test->timers = gc_timers_create(test, test->ev);
	conf.ev = test->ev;
	conf.timers = test->timers;
	test->upstream = gc_upstream_create(test, &conf);
	test->backends = gc_backends_create(test, &backends_conf);
	gc_backends_sync(test->backends, &entry, 1,
			 &(gc_daemon_rank_t){0, 1, 0, 1});
	test->backend = gc_backends_choose(test->backends, unit_at(0),
					   GC_STR_LIT("s"), NULL);
	ck_assert_ptr_nonnull(test->backend);
	test->body = g_string_new(NULL);
	return test;
}

static void end_test(test_t *test)
{
	close(test->listener);
	g_string_free(test->body, TRUE);
	TALLOC_FREE(test->upstream);
	talloc_free(test);
}

static gc_call_t *start_call(test_t *test, size_t body_bytes)
{
	GString *text = g_string_new(NULL);
	gc_call_t *call;

	g_string_printf(text, "POST / HTTP/1.1\r\nContent-Length: %zu\r\n\r\n",
			body_bytes);
	for (size_t i = 0; i < body_bytes; i++)
		g_string_append_c(text, 'x');
	test->done = false;
	test->completed = false;
	call = gc_upstream_start(test->upstream, test->backend,
				 (gc_str_t){text->str, text->len},
				 GC_STR_LIT("r1"), false, &call_ops, test);
	g_string_free(text, TRUE);
	ck_assert_ptr_nonnull(call);
	return call;
}

static void run_until_done(test_t *test)
{
	gc_timer_t *timer =
		gc_timer_create(test, test->timers, set_flag, &test->timed_out);

	gc_timer_set(timer, TEST_TIMEOUT_MS);
	while (!test->done && !test->timed_out)
		tevent_loop_once(test->ev);
	ck_assert(!test->timed_out);
	gc_timer_destroy(timer);
}

static void run_for(test_t *test, int64_t ms)
{
	bool over = false;
	gc_timer_t *timer =
		gc_timer_create(test, test->timers, set_flag, &over);

	gc_timer_set(timer, ms);
	while (!over)
		tevent_loop_once(test->ev);
	gc_timer_destroy(timer);
}

/* Drops what arrives at the socket, so that nothing is acknowledged. */
static void drop_segments(int sock, bool drop)
{
	struct sock_filter code[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
	struct sock_fprog program = {G_N_ELEMENTS(code), code};

	ck_assert_int_eq(setsockopt(sock, SOL_SOCKET,
				    drop ? SO_ATTACH_FILTER : SO_DETACH_FILTER,
				    &program, sizeof(program)),
			 0);
}

static void set_flag(void *ctx)
{
	*(bool *)ctx = true;
}

static void on_head(void *ctx, const gc_http_message_t *response)
{
}

static void on_body(void *ctx, gc_str_t data)
{
	test_t *test = ctx;

	g_string_append_len(test->body, data.data, (gssize)data.len);
}

static void on_complete(void *ctx, const gc_http_message_t *response)
{
	test_t *test = ctx;

	test->done = true;
	test->completed = true;
}

static void on_failed(void *ctx, gc_attempt_end_t end, const char *reason)
{
	test_t *test = ctx;

	test->done = true;
	test->end = end;
}

/* An earlier timer makes the loop look at its timers before the connect. */
START_TEST(test_connect_during_stall)
{
	static const char response[] = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
				       "Content-Length: 2\r\n\r\nok";
	uint64_t state = 1;
	test_t *test = start_test(&state);
	bool early = false;
	gc_timer_t *timer =
		gc_timer_create(test, test->timers, set_flag, &early);
	int sock;

	gc_timer_set(timer, 1);
	g_usleep(5000);
	start_call(test, 0);
	g_usleep(2 * CONNECT_TIMEOUT_MS * 1000);
	sock = accept(test->listener, NULL, NULL);
	ck_assert_int_ge(sock, 0);
	ck_assert_int_eq(send(sock, response, strlen(response), 0),
			 (ssize_t)strlen(response));
	run_until_done(test);
	ck_assert(early);
	ck_assert(test->completed);
	ck_assert_str_eq(test->body->str, "ok");
	close(sock);
	end_test(test);
}
END_TEST

/* The server answers a long request and closes without reading it. */
static void respond_early(test_t *test, const char *response)
{
	close(answer_early(test, LONG_BODY_BYTES, response));
	run_until_done(test);
}

/* The server answers a request of which it has read the begin. */
static int answer_early(test_t *test, size_t body_bytes, const char *response)
{
	char buffer[1024];
	int sock;

	start_call(test, body_bytes);
	run_for(test, SEND_MS);
	sock = accept(test->listener, NULL, NULL);
	ck_assert_int_ge(sock, 0);
	ck_assert_int_gt(recv(sock, buffer, sizeof(buffer), 0), 0);
	ck_assert_int_eq(send(sock, response, strlen(response), 0),
			 (ssize_t)strlen(response));
	return sock;
}

START_TEST(test_early_response_is_received)
{
	uint64_t state = 1;
	test_t *test = start_test(&state);

	respond_early(test, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
			    "Keep-Alive: timeout=5\r\n"
			    "Content-Length: 2\r\n\r\nok");
	ck_assert(test->completed);
	ck_assert_str_eq(test->body->str, "ok");
	/* The connection is not used again. */
	start_call(test, 0);
	ck_assert_uint_eq(gc_upstream_connections_made(test->upstream), 2);
	end_test(test);
}
END_TEST

/* Neither a truncated response nor one that ends with the connection counts as
 * complete. */
START_TEST(test_incomplete_early_response_fails)
{
	static const char *const responses[] = {
		"",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
		"Content-Length: 3\r\n\r\nok",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(responses); i++) {
		uint64_t state = 1;
		test_t *test = start_test(&state);

		respond_early(test, responses[i]);
		ck_assert(!test->completed);
		ck_assert_int_eq(test->end, GC_END_BROKEN);
		end_test(test);
	}
}
END_TEST

/* A server that closes before it has taken the request may have broken off: the reset
 * follows its close. Only a length tells that the response is complete. */
START_TEST(test_close_before_request_is_taken)
{
	static const struct {
		size_t body_bytes;
		const char *response;
		bool complete;
	} cases[] = {
		{LONG_BODY_BYTES, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nok",
		 false},
		{LONG_BODY_BYTES, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n",
		 false},
		{LONG_BODY_BYTES, "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\n\r\nok",
		 false},
		{LONG_BODY_BYTES,
		 "HTTP/1.1 100 Continue\r\n\r\n"
		 "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nok",
		 false},
		{LONG_BODY_BYTES,
		 "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
		 "Content-Length: 2\r\n\r\nok",
		 true},
		{0, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nok", true},
		{10, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nok", true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint64_t state = 1;
		test_t *test = start_test(&state);
		int sock = answer_early(test, cases[i].body_bytes,
					cases[i].response);

		ck_assert_int_eq(shutdown(sock, SHUT_WR), 0);
		run_until_done(test);
		ck_assert_msg(test->completed == cases[i].complete, "case %zu",
			      i);
		if (!cases[i].complete)
			ck_assert_int_eq(test->end, GC_END_BROKEN);
		close(sock);
		end_test(test);
	}
}
END_TEST

/* The server's host is silent until the call has been cancelled. */
START_TEST(test_cancelled_request_is_not_sent_again)
{
	static const char response[] = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
				       "Keep-Alive: timeout=5\r\n"
				       "Content-Length: 0\r\n\r\n";
	uint64_t state = 1;
	test_t *test = start_test(&state);
	char buffer[1024];
	gc_call_t *call;
	int sock;

	start_call(test, 0);
	sock = accept(test->listener, NULL, NULL);
	ck_assert_int_ge(sock, 0);
	run_for(test, 1);
	ck_assert_int_gt(recv(sock, buffer, sizeof(buffer), 0), 0);
	ck_assert_int_eq(send(sock, response, strlen(response), 0),
			 (ssize_t)strlen(response));
	run_until_done(test);
	drop_segments(sock, true);
	call = start_named(test, "r2", false);
	ck_assert_uint_eq(gc_upstream_connections_made(test->upstream), 1);
	ck_assert(gc_call_delivery(call).in_flight);
	gc_call_cancel(call);
	drop_segments(sock, false);
	run_for(test, RETRANSMIT_MS);
	ck_assert_int_le(recv(sock, buffer, sizeof(buffer), MSG_DONTWAIT), 0);
	close(sock);
	end_test(test);
}
END_TEST

/* The server's host acknowledges all that its buffer holds. */
START_TEST(test_full_window_is_not_in_flight)
{
	uint64_t state = 1;
	test_t *test = start_test(&state);
	gc_call_t *call = start_call(test, LONG_BODY_BYTES);
	gc_socket_delivery_t delivery;

	run_for(test, SEND_MS);
	delivery = gc_call_delivery(call);
	ck_assert_uint_gt(delivery.waiting, 0);
	ck_assert(!delivery.in_flight);
	end_test(test);
}
END_TEST

/* Also in a response that is discarded, as it answers another request. */
START_TEST(test_leaving_server_is_recorded)
{
	static const struct {
		const char *response;
		bool leaving;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\nserver-leaving: 1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 true},
		{"HTTP/1.1 500 Error\r\nServer-Leaving: 1 \r\n"
		 "Content-Length: 0\r\n\r\n",
		 true},
		{"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Leaving: 1\r\n"
		 "Content-Length: 0\r\n\r\n"
		 "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 true},
		{"HTTP/1.1 200 OK\r\nServer-Leaving: 0\r\n"
		 "Content-Length: 0\r\n\r\n",
		 false},
		{"HTTP/1.1 200 OK\r\nServer-Leaving: 10\r\n"
		 "Content-Length: 0\r\n\r\n",
		 false},
		{"HTTP/1.1 200 OK\r\nServer-Leaving:\r\n"
		 "Content-Length: 0\r\n\r\n",
		 false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint64_t state = 1;
		test_t *test = start_test(&state);

		respond_early(test, cases[i].response);
		ck_assert(test->completed);
		ck_assert(gc_backend_usable(test->backend, unit_at(0)) !=
			  cases[i].leaving);
		end_test(test);
	}
}
END_TEST

static void respond(test_t *test, const char *response)
{
	int sock;

	start_call(test, 0);
	sock = accept(test->listener, NULL, NULL);
	ck_assert_int_ge(sock, 0);
	ck_assert_int_eq(send(sock, response, strlen(response), 0),
			 (ssize_t)strlen(response));
	run_until_done(test);
	close(sock);
}

START_TEST(test_pause_of_server)
{
	static const struct {
		const char *status;
		const char *retry_after;
		int64_t pause_ms;
	} cases[] = {
		{"503 Busy", "1.5", 1500},
		{"503 Busy", "2 \t", 2000},
		{"503 Busy", "0.0004", 1},
		{"503 Busy", "1000000000", 30000},
		{"503 Busy", "0", 0},
		{"503 Busy", "0.000", 0},
		{"503 Busy", "-1", 0},
		{"503 Busy", "abc", 0},
		{"503 Busy", "1e9", 0},
		{"503 Busy", "0x10", 0},
		{"503 Busy", "1.2.3", 0},
		{"503 Busy", "1,5", 0},
		{"503 Busy", ".", 0},
		{"503 Busy", "", 0},
		{"503 Busy", "inf", 0},
		{"503 Busy", "nan", 0},
		{"503 Busy", "Wed, 21 Oct 2026 07:28:00 GMT", 0},
		{"503 Busy", "1000000000000000000000000000000000", 0},
		{"429 Busy", "5", 0},
		{"500 Error", "5", 0},
		{"200 OK", "5", 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint64_t state = 1;
		test_t *test = start_test(&state);
		g_autofree char *response =
			g_strdup_printf("HTTP/1.1 %s\r\nRetry-After: %s\r\n"
					"Content-Length: 0\r\n\r\n",
					cases[i].status, cases[i].retry_after);
		struct timespec before = gc_clock_now(&gc_clock_system);
		struct timespec after;

		respond(test, response);
		ck_assert(test->completed);
		after = gc_clock_now(&gc_clock_system);
		ck_assert_msg(cases[i].pause_ms > 0 ||
				      !gc_backend_is_pausing(test->backend,
							     after),
			      "%s %s", cases[i].status, cases[i].retry_after);
		ck_assert(!gc_backend_is_pausing(
			test->backend,
			gc_add_ms(after, cases[i].pause_ms + 250)));
		if (cases[i].pause_ms > 0)
			ck_assert(gc_backend_is_pausing(
				test->backend,
				gc_add_ms(before, cases[i].pause_ms - 1)));
		end_test(test);
	}
}
END_TEST

/* A call without a request id if id is NULL. */
static gc_call_t *start_named(test_t *test, const char *id, bool apart)
{
	gc_str_t text = GC_STR_LIT("GET / HTTP/1.1\r\n\r\n");
	gc_call_t *call;

	test->done = false;
	test->completed = false;
	g_string_truncate(test->body, 0);
	if (apart)
		call = gc_upstream_start_apart(test->upstream, test->backend,
					       text, &call_ops, test);
	else
		call = gc_upstream_start(test->upstream, test->backend, text,
					 gc_str(id), false, &call_ops, test);
	ck_assert_ptr_nonnull(call);
	return call;
}

/* Sends the response on the connection, or on a new one if sock is -1, and waits
 * for the end of the call. */
static int answer(test_t *test, int sock, const char *response)
{
	if (sock < 0)
		sock = accept(test->listener, NULL, NULL);
	ck_assert_int_ge(sock, 0);
	ck_assert_int_eq(send(sock, response, strlen(response), 0),
			 (ssize_t)strlen(response));
	run_until_done(test);
	return sock;
}

#define REFUSAL(id)                                                            \
	"HTTP/1.1 503 Busy\r\nRequest-Id: " id "\r\nKeep-Alive: timeout=9\r\n" \
	"Content-Length: 2\r\n\r\nno"
#define ANSWER(id)                                                           \
	"HTTP/1.1 200 OK\r\nRequest-Id: " id "\r\nKeep-Alive: timeout=9\r\n" \
	"Content-Length: 2\r\n\r\nok"
#define UNNAMED(body)                                  \
	"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\n" \
	"Content-Length: 2\r\n\r\n" body

/* The server refuses a request, gets it again, and sends the refusal once more
 * before the answer. */
START_TEST(test_earlier_refusal_of_the_same_request)
{
	uint64_t state = 1;
	test_t *test = start_test(&state);
	int first;
	int second;

	start_named(test, "r1", false);
	first = answer(test, -1, REFUSAL("r1"));
	ck_assert_str_eq(test->body->str, "no");
	/* Other requests use the connection; the refusal is skipped. */
	start_named(test, "r2", false);
	answer(test, first, REFUSAL("r1") ANSWER("r2"));
	ck_assert_str_eq(test->body->str, "ok");
	ck_assert_uint_eq(gc_upstream_connections_made(test->upstream), 1);
	start_named(test, "r1", false);
	ck_assert_uint_eq(gc_upstream_connections_made(test->upstream), 2);
	ck_assert_int_gt(send(first, REFUSAL("r1"), strlen(REFUSAL("r1")), 0),
			 0);
	second = answer(test, -1, ANSWER("r1"));
	ck_assert(test->completed);
	ck_assert_str_eq(test->body->str, "ok");
	close(first);
	close(second);
	end_test(test);
}
END_TEST

/* Also to a load query, which has no request id. */
START_TEST(test_earlier_refusal_before_a_query)
{
	uint64_t state = 1;
	test_t *test = start_test(&state);
	int sock;

	start_named(test, "r1", false);
	sock = answer(test, -1, REFUSAL("r1"));
	start_named(test, NULL, false);
	answer(test, sock, REFUSAL("r1") UNNAMED("ok"));
	ck_assert_uint_eq(gc_upstream_connections_made(test->upstream), 1);
	ck_assert_str_eq(test->body->str, "ok");
	close(sock);
	end_test(test);
}
END_TEST

/* An order for a copy must not get the answer to another one. */
START_TEST(test_calls_apart)
{
	uint64_t state = 1;
	test_t *test = start_test(&state);
	int first;
	int second;

	start_named(test, "r1", false);
	first = answer(test, -1, ANSWER("r1"));
	start_named(test, NULL, true);
	answer(test, first, UNNAMED("h1"));
	ck_assert_uint_eq(gc_upstream_connections_made(test->upstream), 1);
	start_named(test, NULL, true);
	ck_assert_uint_eq(gc_upstream_connections_made(test->upstream), 2);
	ck_assert_int_gt(send(first, UNNAMED("h1"), strlen(UNNAMED("h1")), 0),
			 0);
	second = answer(test, -1, UNNAMED("h2"));
	ck_assert_str_eq(test->body->str, "h2");
	close(first);
	close(second);
	end_test(test);
}
END_TEST

/*
 * A request was sent on a new connection although one was kept, and nothing told
 * why. The server closes the first connection; the time of the second one ends.
 */
START_TEST(test_ends_of_kept_connections_are_logged)
{
	static const char brief[] =
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
		"Keep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n";
	static const char *const expected[] = {
		"\"connection opened\",\"server\":\"a0\",\"request\":\"r1\","
		"\"kept\":\"0\"",
		"\"connection opened\",\"server\":\"a0\",\"request\":\"r1\","
		"\"kept\":\"1\"",
		"\"reason\":\"the server closed it\"",
		"\"reason\":\"its time is over\"",
	};
	uint64_t state = 1;
	test_t *test = start_test(&state);
	char text[8192] = "";
	const char *next = text;
	int fds[2];
	int first;
	int second;

	ck_assert_int_eq(pipe(fds), 0);
	ck_assert_int_eq(dup2(fds[1], STDOUT_FILENO), STDOUT_FILENO);
	gc_log_init("check", "d1", true, GC_LOG_DEBUG);
	gc_log_to_stdout(100);
	start_named(test, "r1", false);
	first = answer(test, -1, ANSWER("r1"));
	start_named(test, "r1", false);
	second = answer(test, -1, brief);
	shutdown(first, SHUT_WR);
	/* Longer than the time for reuse and the interval of the sweep. */
	run_for(test, 2200);
	ck_assert_int_gt(read(fds[0], text, sizeof(text) - 1), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
		next = strstr(next, expected[i]);
		ck_assert_msg(next != NULL, "%s not in %s", expected[i], text);
	}
	ck_assert_ptr_nonnull(strstr(next, "\"limit_ms\":\"100\""));
	close(first);
	close(second);
	end_test(test);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_connect_during_stall,
		test_early_response_is_received,
		test_incomplete_early_response_fails,
		test_close_before_request_is_taken,
		test_cancelled_request_is_not_sent_again,
		test_full_window_is_not_in_flight,
		test_leaving_server_is_recorded,
		test_pause_of_server,
		test_earlier_refusal_of_the_same_request,
		test_earlier_refusal_before_a_query,
		test_calls_apart,
		test_ends_of_kept_connections_are_logged,
		NULL,
	};

	return unit_run("upstream", tests);
}
