/*
 * Guards against misreading the time stamp of an idempotency key: its claim
 * would be looked up in a record other than the one that holds it.
 */
#include <check.h>
#include <stdlib.h>

#include "core/claim.h"

#define UUID	"017f22e2-79b0-7cc3-98c4-dc0c0c07398f" /* RFC 9562, A.6 */
#define UUID_MS UINT64_C(1645557742000)

static struct timespec wall_at(int64_t ms);

static struct timespec wall_at(int64_t ms)
{
	return (struct timespec){ms / 1000, (ms % 1000) * 1000000};
}

START_TEST(test_valid)
{
	char canonical[GC_UUID_MAX];
	uint64_t ms = 0;

	ck_assert(gc_uuid7_parse(GC_STR_LIT(UUID), canonical, &ms));
	ck_assert_uint_eq(ms, UUID_MS);
	ck_assert_str_eq(canonical, UUID);
	ck_assert(gc_uuid7_parse(
		GC_STR_LIT("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"), canonical,
		&ms));
	ck_assert_uint_eq(ms, UUID_MS);
	ck_assert_str_eq(canonical, UUID);
}
END_TEST

START_TEST(test_invalid)
{
	const char *const texts[] = {
		"",
		"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", /* version 4 */
		"017f22e2-79b0-7cc3-c8c4-dc0c0c07398f", /* wrong variant */
		"017f22e2-79b0-7cc3-98c4-dc0c0c07398", /* too short */
		"017f22e2-79b0-7cc3-98c4-dc0c0c07398f0", /* too long */
		"017f22e2079b0-7cc3-98c4-dc0c0c07398f", /* no dash */
		"017f22e-279b0-7cc3-98c4-dc0c0c07398f", /* dash misplaced */
		"017f22e2-79b0-7cc3-98c4-dc0c0c07398g", /* not a hex digit */
		"{17f22e2-79b0-7cc3-98c4-dc0c0c07398f", /* brace at start */
	};
	char canonical[GC_UUID_MAX];
	uint64_t ms;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert_msg(!gc_uuid7_parse(gc_str(texts[i]), canonical, &ms),
			      "%s", texts[i]);
}
END_TEST

START_TEST(test_claim_age)
{
	const int64_t ms = UUID_MS;

	ck_assert_int_eq(gc_claim_age(ms, wall_at(ms)), GC_CLAIM_CURRENT);
	ck_assert_int_eq(gc_claim_age(ms, wall_at(ms + GC_CLAIM_RETENTION_MS)),
			 GC_CLAIM_CURRENT);
	ck_assert_int_eq(gc_claim_age(ms,
				      wall_at(ms + GC_CLAIM_RETENTION_MS + 1)),
			 GC_CLAIM_EXPIRED);
	ck_assert_int_eq(gc_claim_age(ms,
				      wall_at(ms - GC_CLAIM_MAX_CLOCK_SKEW_MS)),
			 GC_CLAIM_CURRENT);
	ck_assert_int_eq(
		gc_claim_age(ms, wall_at(ms - GC_CLAIM_MAX_CLOCK_SKEW_MS - 1)),
		GC_CLAIM_FUTURE);
	ck_assert_int_eq(gc_claim_age(UINT64_C(0xffffffffffff), wall_at(ms)),
			 GC_CLAIM_FUTURE);
}
END_TEST

/* The record depends on the key only, not on the daemon's clock. */
START_TEST(test_claim_record)
{
	gc_claim_t a, b;

	gc_claim_init(&a, GC_STR_LIT("acc"), GC_STR_LIT(UUID), UUID_MS,
		      GC_STR_LIT("POST"));
	gc_claim_init(&b, GC_STR_LIT("acc"), GC_STR_LIT(UUID), UUID_MS,
		      GC_STR_LIT("PUT"));
	ck_assert_str_eq(a.record, b.record);
	ck_assert(g_str_has_prefix(a.record, "claims/457099/"));
	ck_assert_str_eq(a.key, b.key);
	ck_assert_str_ne(a.request, b.request);
	gc_claim_init(&b, GC_STR_LIT("ac"), GC_STR_LIT("c" UUID), UUID_MS,
		      GC_STR_LIT("POST"));
	ck_assert_str_ne(a.key, b.key);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("uuid");
	TCase *tcase = tcase_create("uuid");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_valid);
	tcase_add_test(tcase, test_invalid);
	tcase_add_test(tcase, test_claim_age);
	tcase_add_test(tcase, test_claim_record);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
