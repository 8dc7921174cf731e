/*
 * Guards against repeats that multiply the load of a failing service: no
 * window may see more than its share, wherever it begins.
 */
#include "core/retry_window.h"
#include "regress/unit.h"

#define WINDOW_MS 10000
#define STEPS	  600
#define STEP_MS	  100

static const gc_retry_window_conf_t conf = {WINDOW_MS, 0.5, 3};

/* Takes all that it can get, with requests in bursts. */
START_TEST(test_every_window)
{
	unsigned int requests[STEPS] = {0};
	unsigned int repeats[STEPS] = {0};
	gc_retry_window_t budget = {0};

	for (int i = 0; i < STEPS; i++) {
		struct timespec now = unit_at(i * STEP_MS);

		if (i % 37 < 5) {
			gc_retry_window_count(&budget, &conf, now);
			requests[i]++;
		}
		while (gc_retry_window_take(&budget, &conf, now))
			repeats[i]++;
	}
	/* The requests of the window or the one half a window before it. */
	for (int from = 100; from + 100 <= STEPS; from++) {
		double best = 0;
		double used = 0;

		for (int shift = 0; shift <= 50; shift += 50) {
			double sum = 0;

			for (int i = from - shift; i < from - shift + 100; i++)
				sum += requests[i];
			best = sum > best ? sum : best;
		}
		for (int i = from; i < from + 100; i++)
			used += repeats[i];
		ck_assert_double_le(used, 0.5 * (best + 5) + 3);
	}
}
END_TEST

START_TEST(test_quiet_times_give_nothing)
{
	gc_retry_window_t budget = {0};
	unsigned int repeats = 0;

	for (int i = 0; i < 100; i++)
		gc_retry_window_count(&budget, &conf, unit_at(0));
	while (gc_retry_window_take(&budget, &conf, unit_at(60000)))
		repeats++;
	ck_assert_uint_eq(repeats, 3);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_every_window,
		test_quiet_times_give_nothing,
		NULL,
	};

	return unit_run("budget", tests);
}
