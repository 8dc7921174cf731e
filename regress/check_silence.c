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

int main(void)
{
	const TTest *const tests[] = {
		test_busy_server_is_kept,
		test_server_that_does_not_report_is_left,
		test_server_without_queue_is_left_after_a_second_report,
		NULL,
	};

	return unit_run("silence", tests);
}
