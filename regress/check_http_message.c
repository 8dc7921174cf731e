/*
 * Guards against request smuggling (requests that two parsers interpret
 * differently), truncated responses that are accepted as complete, statuses out of
 * range that are passed over or accepted, and trailers that are taken for headers.
 */
#include "lib/http_message.h"
#include "regress/unit.h"

static gc_http_message_t *parse(gc_http_message_kind_t kind, const char *text,
				size_t step);
static gc_http_message_state_t state_of(gc_http_message_kind_t kind,
					const char *text);
static const char *body_of(const gc_http_message_t *message);

/* Feeds step bytes at a time, up to the end of the message. */
static gc_http_message_t *parse(gc_http_message_kind_t kind, const char *text,
				size_t step)
{
	gc_http_message_t *message = gc_http_message_create(NULL, kind);
	const gc_http_message_limits_t limits = {.max_head = 400,
						 .max_body = 100};
	size_t len = strlen(text);

	gc_http_message_set_limits(message, &limits);
	for (size_t at = 0; at < len; at += step) {
		gc_str_t part = {text + at, MIN(step, len - at)};

		if (gc_http_message_feed(message, part) < part.len)
			break;
	}
	return message;
}

static gc_http_message_state_t state_of(gc_http_message_kind_t kind,
					const char *text)
{
	gc_http_message_t *message = parse(kind, text, strlen(text));
	gc_http_message_state_t state = gc_http_message_state(message);

	talloc_free(message);
	return state;
}

static const char *body_of(const gc_http_message_t *message)
{
	gc_str_t body = gc_http_message_body(message);

	return talloc_strndup(message, body.data, body.len);
}

START_TEST(test_request_in_parts_of_any_size)
{
	const char *text = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-Long: v w\r\n"
			   "Connection: close, x-hop\r\nX-Hop: 1\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n"
			   "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Long: t\r\n\r\n";

	for (size_t step = 1; step <= strlen(text); step++) {
		gc_http_message_t *m =
			parse(GC_HTTP_MESSAGE_REQUEST, text, step);

		ck_assert_int_eq(gc_http_message_state(m),
				 GC_HTTP_MESSAGE_COMPLETE);
		ck_assert_str_eq(gc_http_message_method(m), "POST");
		ck_assert(
			gc_str_eq(gc_http_message_target(m), gc_str("/a/b?c")));
		ck_assert(gc_str_eq(gc_http_message_find_header(m, "x-long"),
				    gc_str("v w")));
		ck_assert_uint_eq(gc_http_message_count_header(m, "X-Long"), 1);
		ck_assert(gc_http_message_is_hop_by_hop(m, gc_str("X-Hop")));
		ck_assert(!gc_http_message_is_hop_by_hop(m, gc_str("X-Long")));
		ck_assert(!gc_http_message_keep_alive(m));
		ck_assert_str_eq(body_of(m), "abcde");
		talloc_free(m);
	}
}
END_TEST

START_TEST(test_ambiguous_requests_are_invalid)
{
	static const char *const texts[] = {
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\x01z\r\n\r\n",
		"GET / HTTP/2.0\r\nHost: h\r\n\r\n",
		"GET /\r\n\r\n",
		"G@T / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\n-1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		/* A CR without an LF, which http-parser took for the end of the
		 * head, of a chunk's size and of a chunk. */
		"POST / HTTP/1.1\r\nHost: h\r\n\rX: a\r\n\r\n",
		"POST / HTTP/1.1\rHost: h\r\n\r\n",
		"\rPOST / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\n1\rXa\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\n1\r\naXY0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\n0\r\nT: a\r\n b\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert_msg(state_of(GC_HTTP_MESSAGE_REQUEST, texts[i]) ==
				      GC_HTTP_MESSAGE_INVALID,
			      "%s", texts[i]);
}
END_TEST

START_TEST(test_folded_headers_are_invalid)
{
	static const char *const texts[] = {
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n\tb\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\nX: a\n b\n\n",
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 3\r\n\r\n",
		"\r\nGET / HTTP/1.1\r\n Host: h\r\n\r\n",
	};
	static const char body[] = "POST / HTTP/1.1\r\nHost: h\r\n"
				   "Content-Length: 8\r\n\r\na\r\n b\r\n ";

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		for (size_t step = 1; step <= 64; step++) {
			gc_http_message_t *m =
				parse(GC_HTTP_MESSAGE_REQUEST, texts[i], step);

			ck_assert_msg(gc_http_message_state(m) ==
					      GC_HTTP_MESSAGE_INVALID,
				      "%s", texts[i]);
			talloc_free(m);
		}
	ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_REQUEST, body),
			 GC_HTTP_MESSAGE_COMPLETE);
}
END_TEST

/* Their body was read as the next request. */
START_TEST(test_methods_that_no_route_can_name)
{
	static const char *const heads[] = {
		"CONNECT / HTTP/1.1\r\nHost: h\r\nContent-Length: 33\r\n\r\n",
		"CONNECT h.example:80 HTTP/1.1\r\nHost: h\r\n\r\n",
		"TRACE / HTTP/1.1\r\nHost: h\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++)
		ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_REQUEST, heads[i]),
				 GC_HTTP_MESSAGE_UNSUPPORTED);
	ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_REQUEST,
				  "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
			 GC_HTTP_MESSAGE_INVALID);
}
END_TEST

START_TEST(test_size_limits)
{
	g_autofree char *padding = g_strnfill(500, 'x');
	g_autofree char *head = g_strdup_printf(
		"GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", padding);
	g_autofree char *chunked = g_strdup_printf(
		"POST / HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: chunked\r\n\r\n1f4\r\n%s\r\n0\r\n\r\n",
		padding);

	ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_REQUEST, head),
			 GC_HTTP_MESSAGE_HEAD_TOO_LARGE);
	ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_REQUEST, chunked),
			 GC_HTTP_MESSAGE_BODY_TOO_LARGE);
	ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_REQUEST,
				  "POST / HTTP/1.1\r\nHost: h\r\n"
				  "Content-Length: 101\r\n\r\n"),
			 GC_HTTP_MESSAGE_BODY_TOO_LARGE);
}
END_TEST

START_TEST(test_pipelined_request_is_not_consumed)
{
	const char *text = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
			   "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
	gc_http_message_t *m =
		gc_http_message_create(NULL, GC_HTTP_MESSAGE_REQUEST);
	size_t used = gc_http_message_feed(m, gc_str(text));

	ck_assert_uint_eq(used, strlen(text) / 2);
	ck_assert_int_eq(gc_http_message_state(m), GC_HTTP_MESSAGE_COMPLETE);
	gc_http_message_reset(m);
	ck_assert_int_eq(gc_http_message_state(m), GC_HTTP_MESSAGE_EMPTY);
	gc_http_message_feed(m, gc_str(text + used));
	ck_assert(gc_str_eq(gc_http_message_target(m), gc_str("/2")));
	talloc_free(m);
}
END_TEST

START_TEST(test_interim_and_unframed_responses)
{
	gc_http_message_t *m;

	m = parse(GC_HTTP_MESSAGE_RESPONSE,
		  "HTTP/1.1 100 Continue\r\nX: no\r\n\r\n"
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		  1);
	ck_assert_int_eq(gc_http_message_state(m), GC_HTTP_MESSAGE_COMPLETE);
	ck_assert_int_eq(gc_http_message_status(m), 200);
	ck_assert_ptr_null(gc_http_message_find_header(m, "x").data);
	ck_assert(gc_http_message_keep_alive(m));
	talloc_free(m);

	m = parse(GC_HTTP_MESSAGE_RESPONSE, "HTTP/1.1 200 OK\r\n\r\nab", 3);
	ck_assert_int_eq(gc_http_message_state(m), GC_HTTP_MESSAGE_BODY);
	ck_assert(gc_http_message_body_until_close(m));
	gc_http_message_feed_eof(m);
	ck_assert_int_eq(gc_http_message_state(m), GC_HTTP_MESSAGE_COMPLETE);
	ck_assert_str_eq(body_of(m), "ab");
	talloc_free(m);
}
END_TEST

/* Whatever a response says of its connection, one without a length or chunks ends
 * it; one with both is ambiguous. */
START_TEST(test_responses_without_length_end_their_connection)
{
	static const char *const unframed[] = {
		"HTTP/1.1 200 OK\r\n\r\nab",
		"HTTP/1.0 200 OK\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nab",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab",
	};
	static const char *const ambiguous[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		"Content-Length: 2\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		"Content-Length: 3\r\n\r\nabc",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(unframed); i++)
		for (size_t step = 1; step <= strlen(unframed[i]); step++) {
			gc_http_message_t *m = parse(GC_HTTP_MESSAGE_RESPONSE,
						     unframed[i], step);

			ck_assert_int_eq(gc_http_message_state(m),
					 GC_HTTP_MESSAGE_BODY);
			ck_assert(gc_http_message_body_until_close(m));
			gc_http_message_feed_eof(m);
			ck_assert_int_eq(gc_http_message_state(m),
					 GC_HTTP_MESSAGE_COMPLETE);
			ck_assert(!gc_http_message_keep_alive(m));
			ck_assert_str_eq(body_of(m), "ab");
			talloc_free(m);
		}
	for (size_t i = 0; i < G_N_ELEMENTS(ambiguous); i++) {
		gc_http_message_t *m =
			parse(GC_HTTP_MESSAGE_RESPONSE, ambiguous[i], 1);

		ck_assert_msg(gc_http_message_state(m) ==
				      GC_HTTP_MESSAGE_INVALID,
			      "%s", ambiguous[i]);
		talloc_free(m);
	}
}
END_TEST

START_TEST(test_truncated_responses_are_invalid)
{
	static const char *const texts[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab",
		"HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		gc_http_message_t *m = parse(GC_HTTP_MESSAGE_RESPONSE, texts[i],
					     strlen(texts[i]));

		gc_http_message_feed_eof(m);
		ck_assert_msg(gc_http_message_state(m) ==
				      GC_HTTP_MESSAGE_INVALID,
			      "%s", texts[i]);
		talloc_free(m);
	}
}
END_TEST

START_TEST(test_response_to_head_has_no_body)
{
	gc_http_message_t *m =
		gc_http_message_create(NULL, GC_HTTP_MESSAGE_RESPONSE);

	gc_http_message_expect_no_body(m);
	gc_http_message_feed(m, gc_str("HTTP/1.1 200 OK\r\n"
				       "Content-Length: 5\r\n\r\n"));
	ck_assert_int_eq(gc_http_message_state(m), GC_HTTP_MESSAGE_COMPLETE);
	talloc_free(m);
}
END_TEST

/* A status under 200 was read as an interim response, and the next head was taken for
 * the answer. */
START_TEST(test_statuses_out_of_range_are_invalid)
{
	static const char *const statuses[] = {
		"000",	 "001",	 "020",	 "099",	 "0",	 "20",	"99",  "0200",
		"00200", "0100", "0103", "1000", "2000", "600", "700", "999",
		"-20",	 "2x0",	 "2 00", "0x64", "+200", "",
	};
	static const char *const starts[] = {
		"",
		"\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(starts); j++) {
			g_autofree char *text = g_strdup_printf(
				"%sHTTP/1.1 %s OK\r\nContent-Length: 2\r\n\r\nok"
				"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
				starts[j], statuses[i]);

			for (size_t step = 1; step <= strlen(text); step++) {
				gc_http_message_t *m = parse(
					GC_HTTP_MESSAGE_RESPONSE, text, step);

				ck_assert_msg(gc_http_message_state(m) ==
						      GC_HTTP_MESSAGE_INVALID,
					      "%s, by %zu", text, step);
				ck_assert_str_ne(gc_http_message_error(m), "");
				talloc_free(m);
			}
		}
}
END_TEST

START_TEST(test_status_is_checked_before_the_end_of_the_head)
{
	ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_RESPONSE, "HTTP/1.1 000 "),
			 GC_HTTP_MESSAGE_INVALID);
	ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_RESPONSE, "HTTP/1.1 0200"),
			 GC_HTTP_MESSAGE_INVALID);
	ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_RESPONSE, "HTTP/1.1 200\r"),
			 GC_HTTP_MESSAGE_HEAD);
}
END_TEST

START_TEST(test_statuses_in_range)
{
	for (int status = 200; status <= 599; status++) {
		g_autofree char *text = g_strdup_printf(
			"\r\nHTTP/1.1 %d\r\nContent-Length: 0\r\n\r\n", status);
		gc_http_message_t *m = parse(GC_HTTP_MESSAGE_RESPONSE, text,
					     (size_t)status % 5 + 1);

		ck_assert_int_eq(gc_http_message_state(m),
				 GC_HTTP_MESSAGE_COMPLETE);
		ck_assert_int_eq(gc_http_message_status(m), status);
		talloc_free(m);
	}
}
END_TEST

/* Nothing was sent that asks for another protocol. */
START_TEST(test_protocol_switch_is_invalid)
{
	static const char *const heads[] = {
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n"
		"Connection: upgrade\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++)
		for (size_t step = 1; step <= strlen(heads[i]); step++) {
			gc_http_message_t *m =
				parse(GC_HTTP_MESSAGE_RESPONSE, heads[i], step);

			ck_assert_msg(gc_http_message_state(m) ==
					      GC_HTTP_MESSAGE_INVALID,
				      "%s", heads[i]);
			talloc_free(m);
		}
}
END_TEST

START_TEST(test_interim_responses_without_end)
{
	const gc_str_t interim =
		gc_str("HTTP/1.1 102 Processing\r\nX: y\r\n\r\n");
	gc_http_message_t *m =
		gc_http_message_create(NULL, GC_HTTP_MESSAGE_RESPONSE);
	const gc_http_message_limits_t limits = {.max_head = 400};
	size_t n = 0;

	gc_http_message_set_limits(m, &limits);
	while (n < 1000 && gc_http_message_state(m) < GC_HTTP_MESSAGE_COMPLETE)
		n += gc_http_message_feed(m, interim);
	ck_assert_int_eq(gc_http_message_state(m),
			 GC_HTTP_MESSAGE_HEAD_TOO_LARGE);
	ck_assert_uint_le(n, 400 + interim.len);
	talloc_free(m);
}
END_TEST

/* These end with their head, whatever it says of a body (RFC 9112, 6.3): http-parser
 * took what follows an interim response for the begin of the answer's body, and waited
 * for the bytes that a 304 tells the length of. */
START_TEST(test_responses_that_never_have_a_body)
{
	static const char *const lengths[] = {"Content-Length: 2",
					      "Transfer-Encoding: chunked"};
	static const char answer[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
		g_autofree char *interim = g_strdup_printf(
			"HTTP/1.1 103 Early Hints\r\n%s\r\n\r\n%s", lengths[i],
			answer);
		g_autofree char *with_body = g_strdup_printf(
			"HTTP/1.1 103 Early Hints\r\n%s\r\n\r\n2\r\nno\r\n%s",
			lengths[i], answer);
		g_autofree char *empty = g_strdup_printf(
			"HTTP/1.1 204 No Content\r\n%s\r\n\r\n", lengths[i]);
		g_autofree char *unchanged = g_strdup_printf(
			"HTTP/1.1 304 Not Modified\r\n%s\r\n\r\n", lengths[i]);

		for (size_t step = 1; step <= strlen(interim); step++) {
			gc_http_message_t *m =
				parse(GC_HTTP_MESSAGE_RESPONSE, interim, step);

			ck_assert_msg(gc_http_message_state(m) ==
					      GC_HTTP_MESSAGE_COMPLETE,
				      "%s", interim);
			ck_assert_int_eq(gc_http_message_status(m), 200);
			ck_assert_str_eq(body_of(m), "ok");
			talloc_free(m);
		}
		ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_RESPONSE, with_body),
				 GC_HTTP_MESSAGE_INVALID);
		/* The body may follow, and belongs to no other response. */
		{
			gc_http_message_t *m = parse(GC_HTTP_MESSAGE_RESPONSE,
						     empty, strlen(empty));

			ck_assert_int_eq(gc_http_message_state(m),
					 GC_HTTP_MESSAGE_COMPLETE);
			ck_assert(!gc_http_message_keep_alive(m));
			talloc_free(m);
		}
		ck_assert_int_eq(state_of(GC_HTTP_MESSAGE_RESPONSE, unchanged),
				 GC_HTTP_MESSAGE_COMPLETE);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_request_in_parts_of_any_size,
		test_ambiguous_requests_are_invalid,
		test_folded_headers_are_invalid,
		test_methods_that_no_route_can_name,
		test_size_limits,
		test_pipelined_request_is_not_consumed,
		test_interim_and_unframed_responses,
		test_responses_without_length_end_their_connection,
		test_truncated_responses_are_invalid,
		test_response_to_head_has_no_body,
		test_statuses_out_of_range_are_invalid,
		test_status_is_checked_before_the_end_of_the_head,
		test_statuses_in_range,
		test_protocol_switch_is_invalid,
		test_interim_responses_without_end,
		test_responses_that_never_have_a_body,
		NULL,
	};

	return unit_run("http_message", tests);
}
