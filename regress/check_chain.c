/*
 * Guards against a change of the rule of the stand-in engine's token chain:
 * callers verify answers by it. Starts no process; the tokens were recorded.
 */
#include <check.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

static const char prompt[] = "how do I book a sofa";
static const char *const recorded[] = {
	"pensiwn:e1-1:86699583 ",  "lwfans:e1-1:598074ce ",
	"wardrobe:e1-1:0a717f1e ", "payslip:e2-1:ae9150be ",
	"blwyddyn:e2-1:b786c978 ", "pension:e2-1:45af064f ",
};

static int first_broken(const char *const *tokens, int n);

/* Index of the first token that doesn't show the chain's hash, or -1. */
static int first_broken(const char *const *tokens, int n)
{
	uint64_t hash = XXH64(prompt, strlen(prompt), 0);

	for (int i = 0; i < n; i++) {
		const char *shown = strrchr(tokens[i], ':');
		char expected[11];

		g_snprintf(expected, sizeof(expected), ":%08" PRIx32 " ",
			   (uint32_t)hash);
		if (!shown || strcmp(shown, expected) != 0)
			return i;
		hash = XXH64(tokens[i], strlen(tokens[i]), hash);
	}
	return -1;
}

/* A run and, from token 3 on, its continuation by another engine. */
START_TEST(test_recorded_answer)
{
	ck_assert_int_eq(first_broken(recorded, G_N_ELEMENTS(recorded)), -1);
}
END_TEST

START_TEST(test_missing_repeated_mixed)
{
	const char *missing[] = {recorded[0], recorded[2], recorded[3]};
	const char *repeated[] = {recorded[0], recorded[1], recorded[1]};
	const char *mixed[] = {recorded[0], recorded[1], recorded[2],
			       "sofa:other-000000-1:00000000 "};

	ck_assert_int_eq(first_broken(missing, 3), 1);
	ck_assert_int_eq(first_broken(repeated, 3), 2);
	ck_assert_int_eq(first_broken(mixed, 4), 3);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("chain");
	TCase *tcase = tcase_create("chain");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_recorded_answer);
	tcase_add_test(tcase, test_missing_repeated_mixed);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
