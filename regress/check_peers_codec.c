/*
 * Guards against messages that decode to other values than were encoded, and
 * against malformed messages that are accepted or read beyond their end.
 */
#include <check.h>
#include <stdlib.h>

#include "lib/peers_codec.h"

/* The number of callback calls and their arguments as text. */
typedef struct received {
	unsigned int n_calls;
	GString *text;
} received_t;

static void on_heartbeat(void *ctx, const gc_heartbeat_t *heartbeat);
static void on_config_pull(void *ctx, gc_str_t from, gc_str_t reply_to);
static void on_config(void *ctx, gc_str_t from, uint64_t version,
		      gc_str_t document);
static void on_engine_down(void *ctx, gc_str_t from, gc_str_t engine,
			   int64_t age_ms);

static const gc_peers_ops_t ops = {
	.heartbeat = on_heartbeat,
	.config_pull = on_config_pull,
	.config = on_config,
	.engine_down = on_engine_down,
};

static void on_heartbeat(void *ctx, const gc_heartbeat_t *heartbeat)
{
	received_t *received = ctx;

	received->n_calls++;
	g_string_append_printf(
		received->text,
		"%.*s %.*s %.*s %.*s %llu %lld %llu %llu %u %d%d%d [",
		GC_STR_ARG(heartbeat->from.name),
		GC_STR_ARG(heartbeat->from.failure_domain),
		GC_STR_ARG(heartbeat->from.peer_url),
		GC_STR_ARG(heartbeat->from.caller_url),
		(unsigned long long)heartbeat->version,
		(long long)heartbeat->confirmed_age_ms,
		(unsigned long long)heartbeat->stamp,
		(unsigned long long)heartbeat->echo, heartbeat->known,
		heartbeat->from.leaving, heartbeat->wants_reply,
		heartbeat->voter);
	for (size_t i = 0; i < heartbeat->n_hints; i++)
		g_string_append_printf(
			received->text, "%.*s %.*s;",
			GC_STR_ARG(heartbeat->hints[i].name),
			GC_STR_ARG(heartbeat->hints[i].peer_url));
	g_string_append(received->text, "]");
}

static void on_config_pull(void *ctx, gc_str_t from, gc_str_t reply_to)
{
	received_t *received = ctx;

	received->n_calls++;
	g_string_append_printf(received->text, "pull %.*s %.*s",
			       GC_STR_ARG(from), GC_STR_ARG(reply_to));
}

static void on_config(void *ctx, gc_str_t from, uint64_t version,
		      gc_str_t document)
{
	received_t *received = ctx;

	received->n_calls++;
	g_string_append_printf(received->text, "config %.*s %d %.*s",
			       GC_STR_ARG(from), (int)version,
			       GC_STR_ARG(document));
}

static void on_engine_down(void *ctx, gc_str_t from, gc_str_t engine,
			   int64_t age_ms)
{
	received_t *received = ctx;

	received->n_calls++;
	g_string_append_printf(received->text, "down %.*s %.*s %d",
			       GC_STR_ARG(from), GC_STR_ARG(engine),
			       (int)age_ms);
}

static gc_heartbeat_t full_heartbeat(void)
{
	return (gc_heartbeat_t){
		.from = {.name = GC_STR_LIT("d1"),
			 .failure_domain = GC_STR_LIT("a"),
			 .peer_url = GC_STR_LIT("tcp://1"),
			 .caller_url = GC_STR_LIT("http://1"),
			 .leaving = true},
		.version = UINT64_MAX,
		.confirmed_age_ms = -1,
		.stamp = 5,
		.echo = 6,
		.known = 7,
		.voter = true,
		.hints = {{.name = GC_STR_LIT("d2"),
			   .failure_domain = GC_STR_LIT("b"),
			   .peer_url = GC_STR_LIT("tcp://2"),
			   .caller_url = GC_STR_LIT("http://2")}},
		.n_hints = 1,
	};
}

static void expect_decoded(msgpack_sbuffer *buffer, const char *text)
{
	received_t received = {.text = g_string_new(NULL)};
	gc_str_t message = {buffer->data, buffer->size};

	ck_assert(gc_peers_decode(message, &ops, &received));
	ck_assert_uint_eq(received.n_calls, 1);
	ck_assert_str_eq(received.text->str, text);
	g_string_free(received.text, TRUE);
	msgpack_sbuffer_destroy(buffer);
	msgpack_sbuffer_init(buffer);
}

START_TEST(test_encode_decode)
{
	gc_heartbeat_t heartbeat = full_heartbeat();
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	gc_peers_encode_heartbeat(&buffer, &heartbeat);
	expect_decoded(&buffer,
		       "d1 a tcp://1 http://1 18446744073709551615 -1 5 6 7 "
		       "101 [d2 tcp://2;]");
	heartbeat.from.peer_url = GC_STR_EMPTY;
	heartbeat.confirmed_age_ms = 1500;
	gc_peers_encode_heartbeat(&buffer, &heartbeat);
	/* Bounds the size of most of the control traffic. */
	ck_assert_uint_le(buffer.size, 24);
	expect_decoded(&buffer, "d1    18446744073709551615 1500 5 6 7 101 []");
	gc_peers_encode_config_pull(&buffer, GC_STR_LIT("d1"),
				    GC_STR_LIT("tcp://1"));
	expect_decoded(&buffer, "pull d1 tcp://1");
	gc_peers_encode_config(&buffer, GC_STR_LIT("d1"), 3, GC_STR_LIT("{}"));
	expect_decoded(&buffer, "config d1 3 {}");
	gc_peers_encode_engine_down(&buffer, GC_STR_LIT("d1"), GC_STR_LIT("e1"),
				    20);
	expect_decoded(&buffer, "down d1 e1 20");
	msgpack_sbuffer_destroy(&buffer);
}
END_TEST

/*
 * Every truncated message must be rejected. A message with one changed byte may
 * be decoded or rejected, but must not crash the decoder.
 */
START_TEST(test_malformed_messages)
{
	gc_heartbeat_t heartbeat = full_heartbeat();
	received_t received = {.text = g_string_new(NULL)};
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	gc_peers_encode_heartbeat(&buffer, &heartbeat);
	for (size_t len = 0; len < buffer.size; len++)
		ck_assert(!gc_peers_decode((gc_str_t){buffer.data, len}, &ops,
					   &received));
	ck_assert_uint_eq(received.n_calls, 0);
	for (size_t i = 0; i < buffer.size; i++) {
		for (unsigned int value = 0; value < 256; value++) {
			char original = buffer.data[i];

			buffer.data[i] = (char)value;
			gc_peers_decode((gc_str_t){buffer.data, buffer.size},
					&ops, &received);
			buffer.data[i] = original;
		}
	}
	msgpack_sbuffer_destroy(&buffer);
	g_string_free(received.text, TRUE);
}
END_TEST

START_TEST(test_empty_name)
{
	received_t received = {.text = g_string_new(NULL)};
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	gc_peers_encode_config_pull(&buffer, GC_STR_EMPTY,
				    GC_STR_LIT("tcp://1"));
	ck_assert(!gc_peers_decode((gc_str_t){buffer.data, buffer.size}, &ops,
				   &received));
	msgpack_sbuffer_destroy(&buffer);
	g_string_free(received.text, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("peers_codec");
	TCase *tcase = tcase_create("peers_codec");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_encode_decode);
	tcase_add_test(tcase, test_malformed_messages);
	tcase_add_test(tcase, test_empty_name);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
