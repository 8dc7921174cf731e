/*
 * Guards against events that are lost, repeated or put together from two runs
 * when a stream goes on at another server.
 */
#include <stdio.h>

#include "core/error.h"
#include "core/event_sequencer.h"
#include "regress/unit.h"

static void collect(void *ctx, gc_str_t event);
static bool feed(gc_event_sequencer_t *events, const char *data);

static GString *out;
static gc_errcode_t code;

static void collect(void *ctx, gc_str_t event)
{
	g_string_append_len(out, event.data, (gssize)event.len);
}

static bool feed(gc_event_sequencer_t *events, const char *data)
{
	g_autoptr(GError) err = NULL;
	bool ok;

	if (out)
		g_string_free(out, TRUE);
	out = g_string_new(NULL);
	ok = gc_event_sequencer_feed(events, gc_str(data), collect, NULL, &err);
	if (!ok)
		code = (gc_errcode_t)err->code;
	return ok;
}

START_TEST(test_whole_events_only)
{
	gc_event_sequencer_t *events =
		gc_event_sequencer_create(NULL, GC_EVENT_ID_NONE);

	ck_assert(feed(events, "id: 1\ndata: a\n\nid: 2\nda"));
	ck_assert_str_eq(out->str, "id: 1\ndata: a\n\n");
	ck_assert(gc_event_sequencer_partial(events));
	ck_assert(feed(events, "ta: b\n\r\n"));
	ck_assert_str_eq(out->str, "id: 2\ndata: b\n\r\n");
	ck_assert(!gc_event_sequencer_partial(events));
	ck_assert_int_eq(gc_event_sequencer_last_id(events), 2);
	talloc_free(events);
}
END_TEST

/* Any cut of the first run and any overlap of the second give one stream. */
START_TEST(test_every_cut_and_overlap)
{
	const char *run = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
			  "id: 3\ndata: c\n\n";
	const char *from[] = {run, run + 15, run + 30};

	for (size_t cut = 0; cut <= strlen(run); cut++) {
		gc_event_sequencer_t *events =
			gc_event_sequencer_create(NULL, GC_EVENT_ID_NONE);
		g_autofree char *head = g_strndup(run, cut);
		g_autoptr(GString) all = g_string_new(NULL);
		int64_t last;

		ck_assert(feed(events, head));
		g_string_append(all, out->str);
		gc_event_sequencer_restart(events);
		last = gc_event_sequencer_last_id(events);
		for (int64_t i = 0; i < 3; i++) {
			if (i > (last == GC_EVENT_ID_NONE ? 0 : last))
				break;
			ck_assert(feed(events, from[i]));
			g_string_append(all, out->str);
		}
		ck_assert_str_eq(all->str, run);
		talloc_free(events);
	}
}
END_TEST

START_TEST(test_gap_is_refused)
{
	gc_event_sequencer_t *events = gc_event_sequencer_create(NULL, 4);

	ck_assert(feed(events, "id: 5\ndata: x\n\n"));
	ck_assert(!feed(events, "id: 7\ndata: x\n\n"));
	ck_assert_int_eq(code, GC_ERR_PROTOCOL);
	ck_assert_str_eq(out->str, "");
	ck_assert_int_eq(gc_event_sequencer_last_id(events), 5);
	talloc_free(events);
}
END_TEST

START_TEST(test_event_without_id_is_refused)
{
	gc_event_sequencer_t *events =
		gc_event_sequencer_create(NULL, GC_EVENT_ID_NONE);

	ck_assert(!feed(events, "data: x\n\n"));
	ck_assert_int_eq(code, GC_ERR_PROTOCOL);
	talloc_free(events);
}
END_TEST

START_TEST(test_endless_event_is_refused)
{
	gc_event_sequencer_t *events =
		gc_event_sequencer_create(NULL, GC_EVENT_ID_NONE);
	g_autofree char *block = g_strnfill(40000, 'x');

	ck_assert(feed(events, block));
	ck_assert(!feed(events, block));
	ck_assert_int_eq(code, GC_ERR_TOO_LARGE);
	talloc_free(events);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_whole_events_only,	       test_every_cut_and_overlap,
		test_gap_is_refused,	       test_event_without_id_is_refused,
		test_endless_event_is_refused, NULL,
	};

	return unit_run("events", tests);
}
