/*
 * Guards against stall timeouts that don't follow the engine's own pace, that
 * fire on ordinary jitter, or that leave no time to resume.
 */
#include <check.h>
#include <stdlib.h>

#include "core/stall_detector.h"

/* Output resumes within 6 s; half of it is left for the restart. */
#define LONGEST_MS 3000

static int64_t timeout_after(int64_t interval_ms, gc_policy_t policy);

static int64_t timeout_after(int64_t interval_ms, gc_policy_t policy)
{
	gc_stall_detector_t *stall = gc_stall_detector_create(NULL);
	int64_t ms;

	for (int i = 0; i < 200; i++)
		gc_stall_detector_observe(stall, false, interval_ms * 1000);
	ms = gc_stall_detector_timeout_ms(stall, false, policy);
	gc_stall_detector_destroy(stall);
	return ms;
}

START_TEST(test_follows_pace)
{
	int64_t fast = timeout_after(20, GC_POLICY_LATENCY);
	int64_t slow = timeout_after(300, GC_POLICY_LATENCY);

	ck_assert_int_gt(fast, 20);
	ck_assert_int_gt(slow, 300);
	ck_assert_int_lt(fast, slow);
	ck_assert_int_le(timeout_after(100000, GC_POLICY_ECONOMY), LONGEST_MS);
}
END_TEST

START_TEST(test_latency_suspects_earlier)
{
	gc_stall_detector_t *stall = gc_stall_detector_create(NULL);

	for (int i = 0; i < 100; i++) {
		for (int first = 0; first < 2; first++)
			ck_assert_int_lt(
				gc_stall_detector_timeout_ms(stall, first,
							     GC_POLICY_LATENCY),
				gc_stall_detector_timeout_ms(
					stall, first, GC_POLICY_ECONOMY));
		gc_stall_detector_observe(stall, i % 3 == 0,
					  1000 * (i % 7) * i);
	}
	gc_stall_detector_destroy(stall);
}
END_TEST

START_TEST(test_tolerates_jitter)
{
	gc_stall_detector_t *stall = gc_stall_detector_create(NULL);

	for (int i = 0; i < 400; i++) {
		int64_t ms = i % 4 == 0 ? 160 : 40;

		if (i > 50)
			ck_assert_int_gt(
				gc_stall_detector_timeout_ms(stall, false,
							     GC_POLICY_LATENCY),
				ms);
		gc_stall_detector_observe(stall, false, ms * 1000);
	}
	gc_stall_detector_destroy(stall);
}
END_TEST

START_TEST(test_first_token_is_separate)
{
	gc_stall_detector_t *stall = gc_stall_detector_create(NULL);
	int64_t next =
		gc_stall_detector_timeout_ms(stall, false, GC_POLICY_LATENCY);
	int64_t first;

	for (int i = 0; i < 50; i++)
		gc_stall_detector_observe(stall, true, 700000);
	first = gc_stall_detector_timeout_ms(stall, true, GC_POLICY_LATENCY);
	ck_assert_int_gt(first, 700);
	ck_assert_int_eq(gc_stall_detector_timeout_ms(stall, false,
						      GC_POLICY_LATENCY),
			 next);
	for (int i = 0; i < 50; i++)
		gc_stall_detector_observe(stall, false, 30000);
	ck_assert_int_eq(gc_stall_detector_timeout_ms(stall, true,
						      GC_POLICY_LATENCY),
			 first);
	gc_stall_detector_destroy(stall);
}
END_TEST

/* One long pause must not switch the detector off for the next stall. */
START_TEST(test_outlier)
{
	gc_stall_detector_t *stall = gc_stall_detector_create(NULL);

	for (int i = 0; i < 100; i++)
		gc_stall_detector_observe(stall, false, 30000);
	gc_stall_detector_observe(stall, false, INT64_C(3600) * 1000000);
	gc_stall_detector_observe(stall, false, -1);
	ck_assert_int_le(gc_stall_detector_timeout_ms(stall, false,
						      GC_POLICY_ECONOMY),
			 LONGEST_MS);
	for (int i = 0; i < 30; i++)
		gc_stall_detector_observe(stall, false, 30000);
	ck_assert_int_lt(gc_stall_detector_timeout_ms(stall, false,
						      GC_POLICY_LATENCY),
			 300);
	gc_stall_detector_destroy(stall);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("stall");
	TCase *tcase = tcase_create("stall");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_follows_pace);
	tcase_add_test(tcase, test_latency_suspects_earlier);
	tcase_add_test(tcase, test_tolerates_jitter);
	tcase_add_test(tcase, test_first_token_is_separate);
	tcase_add_test(tcase, test_outlier);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
