/* Guards against estimating more cached tokens than an engine can have. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "lib/affinity.h"

static char text[20000];
static int engine_a, engine_b;

static gc_str_t prompt(size_t len)
{
	return (gc_str_t){text, len};
}

START_TEST(test_common_prefix)
{
	gc_affinity_t *affinity = gc_affinity_create(NULL);

	memset(text, 'x', sizeof(text));
	gc_affinity_record(affinity, prompt(1000), &engine_a);
	ck_assert_uint_eq(gc_affinity_cached_bytes(affinity, prompt(1000),
						   &engine_a),
			  1000);
	ck_assert_uint_eq(
		gc_affinity_cached_bytes(affinity, prompt(1000), &engine_b), 0);
	/* Common prefixes are found at the hashed lengths only. */
	ck_assert_uint_eq(gc_affinity_cached_bytes(affinity, prompt(3000),
						   &engine_a),
			  512);
	text[300] = 'y';
	ck_assert_uint_eq(gc_affinity_cached_bytes(affinity, prompt(1000),
						   &engine_a),
			  256);
	text[0] = 'y';
	ck_assert_uint_eq(
		gc_affinity_cached_bytes(affinity, prompt(1000), &engine_a), 0);
	talloc_free(affinity);
}
END_TEST

START_TEST(test_prompt_lengths)
{
	gc_affinity_t *affinity = gc_affinity_create(NULL);
	static const size_t lengths[] = {0, 1, 127, 128, 129, 16384, 20000};

	memset(text, 'x', sizeof(text));
	for (size_t i = 0; i < sizeof(lengths) / sizeof(*lengths); i++) {
		gc_str_t p = prompt(lengths[i]);

		text[0]++;
		gc_affinity_record(affinity, p, &engine_a);
		ck_assert_uint_eq(gc_affinity_cached_bytes(affinity, p,
							   &engine_a),
				  lengths[i]);
	}
	talloc_free(affinity);
}
END_TEST

/* The table is bounded: old prompts are evicted, the newest are found. */
START_TEST(test_eviction)
{
	gc_affinity_t *affinity = gc_affinity_create(NULL);

	memset(text, 'x', sizeof(text));
	for (uint32_t i = 0; i < 100000; i++) {
		memcpy(text, &i, sizeof(i));
		gc_affinity_record(affinity, prompt(200), &engine_a);
		ck_assert_uint_eq(gc_affinity_cached_bytes(
					  affinity, prompt(200), &engine_a),
				  200);
	}
	memset(text, 0, sizeof(uint32_t));
	ck_assert_uint_eq(
		gc_affinity_cached_bytes(affinity, prompt(200), &engine_a), 0);
	talloc_free(affinity);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("affinity");
	TCase *tcase = tcase_create("affinity");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_common_prefix);
	tcase_add_test(tcase, test_prompt_lengths);
	tcase_add_test(tcase, test_eviction);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
