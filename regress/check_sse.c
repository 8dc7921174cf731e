/* Guards against events lost or merged when they arrive in several reads. */
#include <check.h>
#include <stdlib.h>

#include <glib.h>

#include "lib/sse.h"

static void append_event(void *ctx, const gc_sse_event_t *event);
static void feed_in_chunks(gc_sse_t *sse, const char *text, size_t chunk_len);

static void append_event(void *ctx, const gc_sse_event_t *event)
{
	g_string_append_printf(ctx, "[%.*s|%.*s|%.*s]", GC_STR_ARG(event->name),
			       GC_STR_ARG(event->id), GC_STR_ARG(event->data));
}

static void feed_in_chunks(gc_sse_t *sse, const char *text, size_t chunk_len)
{
	size_t len = strlen(text);

	for (size_t i = 0; i < len; i += chunk_len) {
		size_t n = len - i < chunk_len ? len - i : chunk_len;

		ck_assert(gc_sse_feed(sse, (gc_str_t){text + i, n}));
	}
}

START_TEST(test_chunks)
{
	const char *text = ": note\nid: 7\ndata: a\ndata: b\n\n"
			   "event: end\r\ndata:c\r\n\r\n\n";

	for (size_t chunk_len = 1; chunk_len < 12; chunk_len++) {
		GString *out = g_string_new(NULL);
		gc_sse_t *sse = gc_sse_create(NULL, 100, append_event, out);

		feed_in_chunks(sse, text, chunk_len);
		ck_assert_str_eq(out->str, "[message|7|a\nb][end||c]");
		talloc_free(sse);
		g_string_free(out, TRUE);
	}
}
END_TEST

START_TEST(test_line_too_long)
{
	GString *out = g_string_new(NULL);
	gc_sse_t *sse = gc_sse_create(NULL, 8, append_event, out);

	ck_assert(!gc_sse_feed(sse, GC_STR_LIT("data: 0123456789\n\n")));
	ck_assert_uint_eq(out->len, 0);
	talloc_free(sse);
	g_string_free(out, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sse");
	TCase *tcase = tcase_create("sse");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_chunks);
	tcase_add_test(tcase, test_line_too_long);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
