/* Helpers of the unit tests: test runner, test clock and random numbers. */
#ifndef GC_REGRESS_UNIT_H
#define GC_REGRESS_UNIT_H

#include <check.h>
#include <stdint.h>
#include <stdlib.h>

#include "core/clock.h"
#include "core/placement.h"

/* Runs a NULL-terminated list of tests; returns the program's exit status. */
static inline int unit_run(const char *name, const TTest *const *tests)
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create(name);
	SRunner *runner = srunner_create(suite);
	int failed;

	for (; *tests; tests++)
		tcase_add_test(tcase, *tests);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

/* Returns the time ms after the start of the test clock. */
static inline struct timespec unit_at(int64_t ms)
{
	return gc_add_ms((struct timespec){.tv_sec = 1000}, ms);
}

/* SplitMix64; ctx points to the state. */
static inline uint64_t unit_next_random(void *ctx)
{
	uint64_t *state = ctx;
	uint64_t z = (*state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

#endif
