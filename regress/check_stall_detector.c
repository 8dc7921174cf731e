/*
 * Guards against stall timeouts that don't follow the engine's token interval,
 * that expire on ordinary jitter, or that leave no time to resume.
 */
#include <check.h>
#include <stdlib.h>

#include "core/stall_detector.h"

/* Output must resume within 6 s; half of that is left for the restart. */
#define MAX_TIMEOUT_MS 3000

static int64_t timeout_after(int64_t interval_ms, gc_policy_t policy);

static int64_t timeout_after(int64_t interval_ms, gc_policy_t policy)
{
	gc_stall_detector_t *detector = gc_stall_detector_create(NULL);
	int64_t ms;

	for (int i = 0; i < 200; i++)
		gc_stall_detector_observe(detector, false, interval_ms * 1000);
	ms = gc_stall_detector_timeout_ms(detector, false, policy);
	gc_stall_detector_destroy(detector);
	return ms;
}

START_TEST(test_follows_token_interval)
{
	int64_t fast = timeout_after(20, GC_POLICY_LATENCY);
	int64_t slow = timeout_after(300, GC_POLICY_LATENCY);

	ck_assert_int_gt(fast, 20);
	ck_assert_int_gt(slow, 300);
	ck_assert_int_lt(fast, slow);
	ck_assert_int_le(timeout_after(100000, GC_POLICY_ECONOMY),
			 MAX_TIMEOUT_MS);
}
END_TEST

START_TEST(test_latency_policy_has_shorter_timeouts)
{
	gc_stall_detector_t *detector = gc_stall_detector_create(NULL);

	for (int i = 0; i < 100; i++) {
		for (int first = 0; first < 2; first++)
			ck_assert_int_lt(
				gc_stall_detector_timeout_ms(detector, first,
							     GC_POLICY_LATENCY),
				gc_stall_detector_timeout_ms(
					detector, first, GC_POLICY_ECONOMY));
		gc_stall_detector_observe(detector, i % 3 == 0,
					  1000 * (i % 7) * i);
	}
	gc_stall_detector_destroy(detector);
}
END_TEST

START_TEST(test_tolerates_jitter)
{
	gc_stall_detector_t *detector = gc_stall_detector_create(NULL);

	for (int i = 0; i < 400; i++) {
		int64_t ms = i % 4 == 0 ? 160 : 40;

		if (i > 50)
			ck_assert_int_gt(
				gc_stall_detector_timeout_ms(detector, false,
							     GC_POLICY_LATENCY),
				ms);
		gc_stall_detector_observe(detector, false, ms * 1000);
	}
	gc_stall_detector_destroy(detector);
}
END_TEST

START_TEST(test_first_token_is_separate)
{
	gc_stall_detector_t *detector = gc_stall_detector_create(NULL);
	int64_t next = gc_stall_detector_timeout_ms(detector, false,
						    GC_POLICY_LATENCY);
	int64_t first;

	for (int i = 0; i < 50; i++)
		gc_stall_detector_observe(detector, true, 700000);
	first = gc_stall_detector_timeout_ms(detector, true, GC_POLICY_LATENCY);
	ck_assert_int_gt(first, 700);
	ck_assert_int_eq(gc_stall_detector_timeout_ms(detector, false,
						      GC_POLICY_LATENCY),
			 next);
	for (int i = 0; i < 50; i++)
		gc_stall_detector_observe(detector, false, 30000);
	ck_assert_int_eq(gc_stall_detector_timeout_ms(detector, true,
						      GC_POLICY_LATENCY),
			 first);
	gc_stall_detector_destroy(detector);
}
END_TEST

/* One long interval must not disable detection of the next stall. */
START_TEST(test_outlier_does_not_disable_detection)
{
	gc_stall_detector_t *detector = gc_stall_detector_create(NULL);

	for (int i = 0; i < 100; i++)
		gc_stall_detector_observe(detector, false, 30000);
	gc_stall_detector_observe(detector, false, INT64_C(3600) * 1000000);
	gc_stall_detector_observe(detector, false, -1);
	ck_assert_int_le(gc_stall_detector_timeout_ms(detector, false,
						      GC_POLICY_ECONOMY),
			 MAX_TIMEOUT_MS);
	for (int i = 0; i < 30; i++)
		gc_stall_detector_observe(detector, false, 30000);
	ck_assert_int_lt(gc_stall_detector_timeout_ms(detector, false,
						      GC_POLICY_LATENCY),
			 300);
	gc_stall_detector_destroy(detector);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("stall_detector");
	TCase *tcase = tcase_create("stall_detector");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_follows_token_interval);
	tcase_add_test(tcase, test_latency_policy_has_shorter_timeouts);
	tcase_add_test(tcase, test_tolerates_jitter);
	tcase_add_test(tcase, test_first_token_is_separate);
	tcase_add_test(tcase, test_outlier_does_not_disable_detection);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
