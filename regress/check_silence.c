/*
 * Load pattern: more streams begin than the engines can read prompts for. Each
 * server's queue is longer than the time to the first event; a daemon that
 * leaves a server for its silence puts the prompt at the end of another queue,
 * where it is read again, and the overload outlasts its cause.
 */
#include "core/silence.h"
#include "regress/unit.h"

START_TEST(test_busy_server_is_kept)
{
	gc_silence_t silence = {0};
	gc_backend_load_t busy = {.running = 3, .queued = 2};

	for (int i = 0; i < 10; i++)
		ck_assert(gc_silence_keep(&silence, &busy));
}
END_TEST

START_TEST(test_server_that_does_not_report_is_left)
{
	gc_silence_t silence = {0};

	ck_assert(!gc_silence_keep(&silence, NULL));
}
END_TEST

/* The stream may be the one whose prompt is being read. */
START_TEST(test_server_without_queue_is_left_after_a_second_report)
{
	gc_silence_t silence = {0};
	gc_backend_load_t idle = {.running = 1};
	gc_backend_load_t busy = {.running = 1, .queued = 1};

	ck_assert(gc_silence_keep(&silence, &idle));
	ck_assert(gc_silence_keep(&silence, &busy));
	ck_assert(gc_silence_keep(&silence, &idle));
	ck_assert(!gc_silence_keep(&silence, &idle));
}
END_TEST

#define LIMIT_MS 385

/* Steps through a silence whose server gives a report after each ask, or none, and
 * returns when it is left; -1: not within a second. */
static int64_t left_after(bool reports)
{
	int64_t reported_at = -1;
	int64_t ms = 0;

	while (ms < 1000) {
		int64_t next_ms;

		switch (gc_silence_step(ms,
					reported_at < 0 ? -1 : ms - reported_at,
					LIMIT_MS, &next_ms)) {
		case GC_SILENCE_KEEP:
			ck_assert_int_gt(next_ms, 0);
			ms += next_ms;
			break;
		case GC_SILENCE_ASK:
			ck_assert_int_gt(next_ms, 0);
			if (!reports)
				return ms + next_ms;
			ms += 3;
			reported_at = ms;
			break;
		case GC_SILENCE_LEAVE:
			return ms;
		}
	}
	return -1;
}

/* Engines are slower by turns, and read the prompts of other requests between the
 * steps of a stream: 9 steps with a piece of 25 ms each take up to 600 ms. */
START_TEST(test_server_that_reports_is_kept_longer)
{
	ck_assert_int_gt(left_after(true), 500);
	/* The rest of a gap of 700 ms is left for the next server. */
	ck_assert_int_le(left_after(true), 580);
}
END_TEST

/* An engine crashed and answers nothing. */
START_TEST(test_server_without_report_is_left_at_the_limit)
{
	ck_assert_int_ge(left_after(false), LIMIT_MS - 1);
	ck_assert_int_le(left_after(false), LIMIT_MS + 1);
}
END_TEST

/* It crashes after it has reported. */
START_TEST(test_report_counts_for_a_while_only)
{
	int64_t next_ms;

	ck_assert_int_eq(gc_silence_step(400, 50, LIMIT_MS, &next_ms),
			 GC_SILENCE_KEEP);
	ck_assert_int_eq(gc_silence_step(500, 180, LIMIT_MS, &next_ms),
			 GC_SILENCE_ASK);
	ck_assert_int_le(500 + next_ms, 560);
}
END_TEST

START_TEST(test_moving_stream_is_not_asked_about)
{
	int64_t next_ms;

	ck_assert_int_eq(gc_silence_step(10, -1, LIMIT_MS, &next_ms),
			 GC_SILENCE_KEEP);
	ck_assert_int_eq(next_ms, gc_silence_ask_ms(LIMIT_MS) - 10);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_busy_server_is_kept,
		test_server_that_does_not_report_is_left,
		test_server_without_queue_is_left_after_a_second_report,
		test_server_that_reports_is_kept_longer,
		test_server_without_report_is_left_at_the_limit,
		test_report_counts_for_a_while_only,
		test_moving_stream_is_not_asked_about,
		NULL,
	};

	return unit_run("silence", tests);
}
