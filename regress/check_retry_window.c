/*
 * Guards against retries that multiply the load of a failing service: no
 * window, wherever it begins, may have more retries than the budget allows.
 */
#include "core/retry_window.h"
#include "regress/unit.h"

#define WINDOW_MS 10000
#define STEPS	  600
#define STEP_MS	  100

static const gc_retry_window_conf_t conf = {WINDOW_MS, 0.5, 3};

/* Requests come in bursts; every retry that is allowed is taken. */
START_TEST(test_retries_are_bounded_in_every_window)
{
	unsigned int requests[STEPS] = {0};
	unsigned int retries[STEPS] = {0};
	gc_retry_window_t window = {0};

	for (int i = 0; i < STEPS; i++) {
		struct timespec now = unit_at(i * STEP_MS);

		if (i % 37 < 5) {
			gc_retry_window_count_request(&window, &conf, now);
			requests[i]++;
		}
		while (gc_retry_window_has(&window, &conf, now)) {
			ck_assert(gc_retry_window_take(&window, &conf, now));
			retries[i]++;
		}
		ck_assert(!gc_retry_window_take(&window, &conf, now));
	}
	/* Requests of the window or of the one that starts half a window
	 * earlier, whichever has more. */
	for (int start = 100; start + 100 <= STEPS; start++) {
		double max_requests = 0;
		double used = 0;

		for (int shift = 0; shift <= 50; shift += 50) {
			double sum = 0;

			for (int i = start - shift; i < start - shift + 100;
			     i++)
				sum += requests[i];
			max_requests = sum > max_requests ? sum : max_requests;
		}
		for (int i = start; i < start + 100; i++)
			used += retries[i];
		ck_assert_double_le(used, 0.5 * (max_requests + 5) + 3);
	}
}
END_TEST

START_TEST(test_old_requests_allow_no_retries)
{
	gc_retry_window_t window = {0};
	unsigned int retries = 0;

	for (int i = 0; i < 100; i++)
		gc_retry_window_count_request(&window, &conf, unit_at(0));
	while (gc_retry_window_take(&window, &conf, unit_at(60000)))
		retries++;
	ck_assert_uint_eq(retries, 3);
}
END_TEST

/* The n-th turn is the time at which the n-th retry is taken, if requests come as
 * before: retries were spread over the window, and more are wanted at once. */
START_TEST(test_turns_come_when_foreseen)
{
	enum { N_TURNS = 8, WARM_UP = 200 };
	gc_retry_window_t window = {0};
	int64_t turns[N_TURNS];
	unsigned int n_taken = 0;

	for (int i = 0; i < WARM_UP; i++) {
		gc_retry_window_count_request(&window, &conf,
					      unit_at(i * STEP_MS));
		if (i % 2 == 0)
			gc_retry_window_take(&window, &conf,
					     unit_at(i * STEP_MS));
	}
	while (gc_retry_window_take(&window, &conf, unit_at(WARM_UP * STEP_MS)))
		;
	for (unsigned int n = 0; n < N_TURNS; n++)
		turns[n] = gc_retry_window_turn_ms(&window, &conf,
						   unit_at(WARM_UP * STEP_MS),
						   n + 1, 4 * WINDOW_MS);
	for (int64_t ms = 0; n_taken < N_TURNS; ms += STEP_MS) {
		struct timespec now = unit_at(WARM_UP * STEP_MS + ms);

		ck_assert_int_le(ms, 4 * WINDOW_MS);
		gc_retry_window_count_request(&window, &conf, now);
		while (n_taken < N_TURNS &&
		       gc_retry_window_take(&window, &conf, now)) {
			ck_assert_int_gt(turns[n_taken], 0);
			ck_assert_int_le(llabs(turns[n_taken++] - ms),
					 WINDOW_MS / GC_RETRY_WINDOW_BUCKETS +
						 STEP_MS);
		}
	}
}
END_TEST

START_TEST(test_turns_are_bounded)
{
	const gc_retry_window_conf_t none = {WINDOW_MS, 0.5, 0.9};
	gc_retry_window_t window = {0};

	ck_assert_int_eq(gc_retry_window_turn_ms(&window, &none, unit_at(0), 1,
						 100 * WINDOW_MS),
			 -1);
	ck_assert_int_eq(
		gc_retry_window_turn_ms(&window, &conf, unit_at(0), 3, 0), 0);
	ck_assert_int_eq(gc_retry_window_turn_ms(&window, &conf, unit_at(0), 4,
						 WINDOW_MS / 2),
			 -1);
	ck_assert_int_gt(gc_retry_window_turn_ms(&window, &conf, unit_at(0), 4,
						 2 * WINDOW_MS),
			 0);
	/* Asking takes nothing. */
	ck_assert_int_eq(
		gc_retry_window_turn_ms(&window, &conf, unit_at(0), 3, 0), 0);
}
END_TEST

/* What is given back can be taken again, and what was used counts until its window has
 * passed, whichever was taken first. */
START_TEST(test_unused_retries_are_given_back)
{
	const gc_retry_window_conf_t two = {WINDOW_MS, 0, 2};
	const int64_t late = WINDOW_MS * 9 / 10;
	gc_retry_window_t window = {0};

	gc_retry_window_return(&window, &two, unit_at(0));
	ck_assert(gc_retry_window_take(&window, &two, unit_at(0)));
	ck_assert(gc_retry_window_take(&window, &two, unit_at(late)));
	ck_assert(!gc_retry_window_take(&window, &two, unit_at(late)));
	gc_retry_window_return(&window, &two, unit_at(0));
	ck_assert(gc_retry_window_take(&window, &two, unit_at(late)));
	/* Two were used at `late`. */
	for (int64_t ms = late; ms <= late + WINDOW_MS; ms += STEP_MS)
		ck_assert(!gc_retry_window_has(&window, &two, unit_at(ms)));
	/* It is too old. */
	ck_assert(gc_retry_window_take(&window, &two, unit_at(4 * WINDOW_MS)));
	ck_assert(gc_retry_window_take(&window, &two, unit_at(4 * WINDOW_MS)));
	gc_retry_window_return(&window, &two, unit_at(late));
	ck_assert(!gc_retry_window_has(&window, &two, unit_at(4 * WINDOW_MS)));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_retries_are_bounded_in_every_window,
		test_old_requests_allow_no_retries,
		test_turns_come_when_foreseen,
		test_turns_are_bounded,
		test_unused_retries_are_given_back,
		NULL,
	};

	return unit_run("retry_window", tests);
}
