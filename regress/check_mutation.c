/*
 * Seeded mutations of valid bytes for each parser that reads from outside.
 * Guards against a parser that reads or writes out of its bounds, does not end,
 * or holds more than its limit. Run under sanitizers by make check-sanitize;
 * MUTATIONS sets the number for each parser, MUTATION_SEED the first seed.
 */
#include <string.h>

#include "core/cursor.h"
#include "core/event_sequencer.h"
#include "lib/http_message.h"
#include "lib/peers_codec.h"
#include "lib/sse.h"
#include "platform/platform.h"
#include "platform/records.h"
#include "regress/unit.h"

#define DEFAULT_MUTATIONS 20000
#define DEFAULT_SEED	  20261204
#define MAX_CHANGES	  8
#define MAX_PIECE_BYTES	  64

typedef void (*parse_t)(gc_str_t bytes, uint64_t *random);

/* Bytes that mean something to one of the parsers. */
static const char *const tokens[] = {
	"\r\n",
	"\n\n",
	":",
	",",
	"\0",
	"{",
	"}",
	"[",
	"\"",
	"id: ",
	"0",
	"-1",
	"18446744073709551616",
	"chunked",
	"Content-Length: 9",
	"data: ",
	"\xc3\x28",
	"\xdd\xff",
};

static uint64_t setting(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);

	return text ? g_ascii_strtoull(text, NULL, 10) : fallback;
}

static void mutate(GByteArray *bytes, uint64_t *random)
{
	size_t n = unit_next_random(random) % MAX_CHANGES + 1;

	while (n-- > 0) {
		guint at = (guint)(unit_next_random(random) % (bytes->len + 1));
		guint len = bytes->len - at;
		const char *token =
			tokens[unit_next_random(random) % G_N_ELEMENTS(tokens)];
		uint8_t byte = (uint8_t)unit_next_random(random);
		g_autofree guint8 *rest = g_memdup2(bytes->data + at, len);

		switch (unit_next_random(random) % 5) {
		case 0: /* another byte */
			if (len > 0)
				bytes->data[at] = byte;
			break;
		case 1: /* cut off */
			g_byte_array_set_size(bytes, at);
			break;
		case 2: /* some bytes left out */
			g_byte_array_remove_range(bytes, at,
						  (guint)(byte % 16) < len
							  ? (guint)(byte % 16)
							  : len);
			break;
		case 3: /* repeated from there */
			g_byte_array_append(bytes, rest, len);
			break;
		default: /* a token inserted */
			g_byte_array_set_size(bytes, at);
			g_byte_array_append(bytes, (const guint8 *)token,
					    (guint)strlen(token));
			g_byte_array_append(bytes, rest, len);
		}
	}
}

static void run(const char *const *samples, size_t n_samples, parse_t parse)
{
	uint64_t seed = setting("MUTATION_SEED", DEFAULT_SEED);
	uint64_t n = setting("MUTATIONS", DEFAULT_MUTATIONS);

	for (uint64_t i = 0; i < n; i++) {
		uint64_t random = seed + i;
		const char *sample = samples[i % n_samples];
		GByteArray *bytes = g_byte_array_new();

		g_byte_array_append(bytes, (const guint8 *)sample,
				    (guint)strlen(sample));
		mutate(bytes, &random);
		parse((gc_str_t){bytes->len ? (const char *)bytes->data : "",
				 bytes->len},
		      &random);
		g_byte_array_free(bytes, TRUE);
	}
}

/* Cuts the next piece off bytes. */
static gc_str_t next_piece(gc_str_t *bytes, uint64_t *random)
{
	gc_str_t piece = *bytes;
	size_t max = unit_next_random(random) % MAX_PIECE_BYTES + 1;

	if (piece.len > max)
		piece.len = max;
	bytes->data += piece.len;
	bytes->len -= piece.len;
	return piece;
}

static void parse_http(gc_str_t bytes, gc_http_message_kind_t kind,
		       uint64_t *random)
{
	gc_http_message_limits_t limits = {.max_head = 300, .max_body = 200};
	gc_http_message_t *message = gc_http_message_create(NULL, kind);

	gc_http_message_set_limits(message, &limits);
	while (bytes.len > 0 &&
	       gc_http_message_state(message) < GC_HTTP_MESSAGE_COMPLETE) {
		gc_http_message_feed(message, next_piece(&bytes, random));
		ck_assert_uint_le(gc_http_message_body(message).len, 200);
	}
	gc_http_message_feed_eof(message);
	ck_assert_int_ge(gc_http_message_state(message),
			 GC_HTTP_MESSAGE_COMPLETE);
	for (size_t i = 0; i < gc_http_message_n_headers(message); i++)
		gc_http_message_is_hop_by_hop(
			message, gc_http_message_header(message, i).name);
	talloc_free(message);
}

static void parse_request(gc_str_t bytes, uint64_t *random)
{
	parse_http(bytes, GC_HTTP_MESSAGE_REQUEST, random);
}

static void parse_response(gc_str_t bytes, uint64_t *random)
{
	parse_http(bytes, GC_HTTP_MESSAGE_RESPONSE, random);
}

START_TEST(test_http)
{
	static const char *const requests[] = {
		"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
		"hello",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\n5;x=y\r\nhello\r\n0\r\nT: v\r\n\r\n",
	};
	static const char *const responses[] = {
		"HTTP/1.1 200 OK\r\nConnection: close, X\r\nX: 1\r\n\r\nbody",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\n"
		"Content-Length: 2\r\n\r\nno",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"a\r\nid: 1\ndata\r\n0\r\n\r\n",
	};

	run(requests, G_N_ELEMENTS(requests), parse_request);
	run(responses, G_N_ELEMENTS(responses), parse_response);
}
END_TEST

/* The ids of emitted events have to follow each other. */
static void on_stream_event(void *ctx, gc_str_t event)
{
	unsigned int *n = ctx;

	ck_assert_uint_gt(event.len, 0);
	(*n)++;
}

static void parse_events(gc_str_t bytes, uint64_t *random)
{
	gc_event_sequencer_t *sequencer = gc_event_sequencer_create(NULL, 3);
	unsigned int n = 0;
	bool ok = true;

	while (ok && bytes.len > 0)
		ok = gc_event_sequencer_feed(sequencer,
					     next_piece(&bytes, random),
					     on_stream_event, &n, NULL);
	ck_assert_int_eq(gc_event_sequencer_last_id(sequencer), 3 + (int)n);
	talloc_free(sequencer);
}

static void on_sse_event(void *ctx, const gc_sse_event_t *event)
{
	ck_assert_uint_le(event->data.len, 100);
}

static void parse_sse(gc_str_t bytes, uint64_t *random)
{
	gc_sse_t *sse = gc_sse_create(NULL, 100, on_sse_event, NULL);

	while (bytes.len > 0 && gc_sse_feed(sse, next_piece(&bytes, random)))
		continue;
	talloc_free(sse);
}

START_TEST(test_streams)
{
	static const char *const samples[] = {
		"id: 4\ndata: a\n\nid: 5\ndata: b\n\n: wait\n\nid: 6\r\n"
		"data: c\r\n\r\n",
		"event: run\nid:4\ndata: {\"run\":\"e1\"}\ndata: x\n\n",
	};

	run(samples, G_N_ELEMENTS(samples), parse_events);
	run(samples, G_N_ELEMENTS(samples), parse_sse);
}
END_TEST

static void parse_platform(gc_str_t bytes, uint64_t *random)
{
	const gc_adapter_t *adapter = &gc_platform_adapter;
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_registry_entry_t entry;
	gc_backend_load_t load;
	gc_address_query_t query;
	gc_str_t handle;
	int64_t prompt;
	int64_t output;
	gc_str_t id = adapter->prompt_id(bytes);
	gc_str_t ids[4];
	size_t n_ids = adapter->shared_parts(bytes, ids, 4);

	gc_routes_unref(gc_platform_read_routes(bytes, NULL, NULL));
	adapter->read_server(mem, GC_STR_LIT("i"), bytes, &entry, NULL);
	adapter->read_load(bytes, &load);
	adapter->read_copy_handle(mem, bytes, &handle);
	adapter->read_address_query(mem, bytes, &query);
	adapter->read_token_counts(bytes, &prompt, &output);
	ck_assert_uint_le(id.len, bytes.len);
	for (size_t i = 0; i < n_ids; i++)
		ck_assert_uint_le(ids[i].len, bytes.len);
	talloc_free(mem);
}

START_TEST(test_platform_records)
{
	static const char *const samples[] = {
		"{\"version\":3,\"routes\":[{\"host\":\"h\",\"path_prefix\":"
		"\"/a/\",\"kind\":\"idempotent\",\"service\":\"s\"}],"
		"\"tenants\":[{\"name\":\"n\",\"api_keys\":[\"k\"]}]}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
		"\"slots\":4,\"state\":\"ready\",\"born\":7}",
		"{\"running\":1,\"queued\":2,\"kv_used\":3,\"kv_total\":4}",
		"{\"handle\":\"h1\"}",
		"/v1/resolve?name=h&region=r&zone=a",
		"5c1e07a2:800,91bd3f06:410",
		"1460,80",
	};

	run(samples, G_N_ELEMENTS(samples), parse_platform);
}
END_TEST

static void on_heartbeat(void *ctx, const gc_heartbeat_t *heartbeat)
{
	ck_assert_uint_le(heartbeat->n_hints, GC_MEMBERSHIP_MAX_HINTS);
}

static void on_config_pull(void *ctx, gc_str_t from, gc_str_t reply_to)
{
}

static void on_config(void *ctx, gc_str_t from, uint64_t version,
		      gc_str_t document)
{
}

static void on_engine_down(void *ctx, gc_str_t from, gc_str_t engine,
			   int64_t age_ms)
{
}

static void parse_peer_message(gc_str_t bytes, uint64_t *random)
{
	static const gc_peers_ops_t ops = {.heartbeat = on_heartbeat,
					   .config_pull = on_config_pull,
					   .config = on_config,
					   .engine_down = on_engine_down};

	gc_peers_decode(bytes, &ops, NULL);
}

static void parse_cursor(gc_str_t bytes, uint64_t *random)
{
	static const uint8_t key[GC_FLEET_KEY_LEN] = {1};
	gc_cursor_t cursor;

	/* Nobody else has the key. */
	ck_assert(!gc_cursor_decode(key, bytes, &cursor, NULL));
}

START_TEST(test_own_messages)
{
	msgpack_sbuffer buffer;
	g_autofree char *message = NULL;
	const char *samples[2];
	static const char *const cursors[] = {
		"AQIDBAUGBwgJCgsMDQ4PEBESExQVFhcYGRobHB0eHyA="};

	msgpack_sbuffer_init(&buffer);
	gc_peers_encode_config(&buffer, GC_STR_LIT("d1"), 7,
			       GC_STR_LIT("{\"version\":7}"));
	message = g_strndup(buffer.data, buffer.size);
	samples[0] = message;
	samples[1] = "\x95\x01\xa2"
		     "d1\x07\xa1x\xc0";
	run(samples, 2, parse_peer_message);
	run(cursors, 1, parse_cursor);
	msgpack_sbuffer_destroy(&buffer);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_http, test_streams,
				      test_platform_records, test_own_messages,
				      NULL};

	return unit_run("mutation", tests);
}
