/*
 * Guards against events that are lost, duplicated or assembled from two runs
 * when a stream is resumed at another server.
 */
#include <stdio.h>

#include "core/error.h"
#include "core/event_sequencer.h"
#include "regress/unit.h"

static void append_event(void *ctx, gc_str_t event);
static bool feed(gc_event_sequencer_t *sequencer, const char *data);

static GString *emitted;
static gc_errcode_t error_code;

static void append_event(void *ctx, gc_str_t event)
{
	g_string_append_len(emitted, event.data, (gssize)event.len);
}

static bool feed(gc_event_sequencer_t *sequencer, const char *data)
{
	g_autoptr(GError) err = NULL;
	bool ok;

	if (emitted)
		g_string_free(emitted, TRUE);
	emitted = g_string_new(NULL);
	ok = gc_event_sequencer_feed(sequencer, gc_str(data), append_event,
				     NULL, &err);
	if (!ok)
		error_code = (gc_errcode_t)err->code;
	return ok;
}

START_TEST(test_only_complete_events_are_emitted)
{
	gc_event_sequencer_t *sequencer =
		gc_event_sequencer_create(NULL, GC_EVENT_ID_NONE);

	ck_assert(feed(sequencer, "id: 1\ndata: a\n\nid: 2\nda"));
	ck_assert_str_eq(emitted->str, "id: 1\ndata: a\n\n");
	ck_assert(gc_event_sequencer_has_partial(sequencer));
	ck_assert(feed(sequencer, "ta: b\n\r\n"));
	ck_assert_str_eq(emitted->str, "id: 2\ndata: b\n\r\n");
	ck_assert(!gc_event_sequencer_has_partial(sequencer));
	ck_assert_int_eq(gc_event_sequencer_last_id(sequencer), 2);
	talloc_free(sequencer);
}
END_TEST

/* The first run ends at any byte; the second starts at any event that leaves no
 * gap. */
START_TEST(test_resumption_after_any_cut)
{
	const char *run = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
			  "id: 3\ndata: c\n\n";
	const char *from[] = {run, run + 15, run + 30};

	for (size_t cut = 0; cut <= strlen(run); cut++) {
		gc_event_sequencer_t *sequencer =
			gc_event_sequencer_create(NULL, GC_EVENT_ID_NONE);
		g_autofree char *head = g_strndup(run, cut);
		g_autoptr(GString) all = g_string_new(NULL);
		int64_t last;

		ck_assert(feed(sequencer, head));
		g_string_append(all, emitted->str);
		gc_event_sequencer_discard_partial(sequencer);
		last = gc_event_sequencer_last_id(sequencer);
		for (int64_t i = 0; i < 3; i++) {
			if (i > (last == GC_EVENT_ID_NONE ? 0 : last))
				break;
			ck_assert(feed(sequencer, from[i]));
			g_string_append(all, emitted->str);
		}
		ck_assert_str_eq(all->str, run);
		talloc_free(sequencer);
	}
}
END_TEST

START_TEST(test_gap_is_an_error)
{
	gc_event_sequencer_t *sequencer = gc_event_sequencer_create(NULL, 4);

	ck_assert(feed(sequencer, "id: 5\ndata: x\n\n"));
	ck_assert(!feed(sequencer, "id: 7\ndata: x\n\n"));
	ck_assert_int_eq(error_code, GC_ERR_PROTOCOL);
	ck_assert_str_eq(emitted->str, "");
	ck_assert_int_eq(gc_event_sequencer_last_id(sequencer), 5);
	talloc_free(sequencer);
}
END_TEST

START_TEST(test_event_without_id_is_an_error)
{
	gc_event_sequencer_t *sequencer =
		gc_event_sequencer_create(NULL, GC_EVENT_ID_NONE);

	ck_assert(!feed(sequencer, "data: x\n\n"));
	ck_assert_int_eq(error_code, GC_ERR_PROTOCOL);
	talloc_free(sequencer);
}
END_TEST

START_TEST(test_event_over_the_limit_is_an_error)
{
	gc_event_sequencer_t *sequencer =
		gc_event_sequencer_create(NULL, GC_EVENT_ID_NONE);
	g_autofree char *block = g_strnfill(40000, 'x');

	ck_assert(feed(sequencer, block));
	ck_assert(!feed(sequencer, block));
	ck_assert_int_eq(error_code, GC_ERR_TOO_LARGE);
	talloc_free(sequencer);
}
END_TEST

/* A run that was left sends the rest of an event that it had begun, while another
 * one has begun the same event. */
START_TEST(test_a_run_goes_on_inside_its_event)
{
	gc_event_sequencer_t *sequencer =
		gc_event_sequencer_create(NULL, GC_EVENT_ID_NONE);
	GByteArray *partial;

	ck_assert(feed(sequencer, "id: 1\ndata: a\n\nid: 2\nda"));
	partial = gc_event_sequencer_take_partial(sequencer);
	ck_assert(!gc_event_sequencer_has_partial(sequencer));
	ck_assert(feed(sequencer, "id: 2\ndata: from the oth"));
	gc_event_sequencer_set_partial(sequencer, partial);
	g_byte_array_unref(partial);
	ck_assert(feed(sequencer, "ta: b\n\nid: 3\ndata: c\n\n"));
	ck_assert_str_eq(emitted->str, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
	ck_assert(!gc_event_sequencer_has_partial(sequencer));
	talloc_free(sequencer);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_only_complete_events_are_emitted,
		test_resumption_after_any_cut,
		test_gap_is_an_error,
		test_event_without_id_is_an_error,
		test_event_over_the_limit_is_an_error,
		test_a_run_goes_on_inside_its_event,
		NULL,
	};

	return unit_run("event_sequencer", tests);
}
