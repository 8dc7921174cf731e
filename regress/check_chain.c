/*
 * Guards the format of the stand-in engine's tokens, each of which ends in the
 * hash of the prompt and all tokens before it: test callers verify responses by
 * it. The tokens were recorded; no process is started.
 */
#include <check.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

static const char prompt[] = "how do I book a sofa";
static const char *const recorded_tokens[] = {
	"pensiwn:e1-1:86699583 ",  "lwfans:e1-1:598074ce ",
	"wardrobe:e1-1:0a717f1e ", "payslip:e2-1:ae9150be ",
	"blwyddyn:e2-1:b786c978 ", "pension:e2-1:45af064f ",
};

static int first_mismatch(const char *const *tokens, int n);

/* Returns the index of the first token with a wrong hash, or -1. */
static int first_mismatch(const char *const *tokens, int n)
{
	uint64_t hash = XXH64(prompt, strlen(prompt), 0);

	for (int i = 0; i < n; i++) {
		const char *hash_suffix = strrchr(tokens[i], ':');
		char expected[11];

		g_snprintf(expected, sizeof(expected), ":%08" PRIx32 " ",
			   (uint32_t)hash);
		if (!hash_suffix || strcmp(hash_suffix, expected) != 0)
			return i;
		hash = XXH64(tokens[i], strlen(tokens[i]), hash);
	}
	return -1;
}

/* From token 3 on, another engine continues the run. */
START_TEST(test_recorded_response)
{
	ck_assert_int_eq(first_mismatch(recorded_tokens,
					G_N_ELEMENTS(recorded_tokens)),
			 -1);
}
END_TEST

START_TEST(test_missing_repeated_or_mixed_tokens)
{
	const char *missing[] = {recorded_tokens[0], recorded_tokens[2],
				 recorded_tokens[3]};
	const char *repeated[] = {recorded_tokens[0], recorded_tokens[1],
				  recorded_tokens[1]};
	const char *mixed[] = {recorded_tokens[0], recorded_tokens[1],
			       recorded_tokens[2],
			       "sofa:other-000000-1:00000000 "};

	ck_assert_int_eq(first_mismatch(missing, 3), 1);
	ck_assert_int_eq(first_mismatch(repeated, 3), 2);
	ck_assert_int_eq(first_mismatch(mixed, 4), 3);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("chain");
	TCase *tcase = tcase_create("chain");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_recorded_response);
	tcase_add_test(tcase, test_missing_repeated_or_mixed_tokens);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
