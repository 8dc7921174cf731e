/* Guards against numbers of peers that overflow sums, or that are read as others. */
#include <glib.h>

#include "core/number.h"
#include "regress/unit.h"

#define LIMIT 1000

/* -1: no number. */
static int64_t whole(const char *text)
{
	int64_t number = -1;

	ck_assert_int_eq(gc_parse_whole(gc_str(text), LIMIT, &number),
			 number != -1);
	return number;
}

static double decimal(const char *text)
{
	double number = -1;

	ck_assert_int_eq(gc_parse_decimal(gc_str(text), LIMIT, &number),
			 number >= 0);
	return number;
}

START_TEST(test_whole)
{
	static const char *const texts[] = {
		"",
		"-1",
		"+1",
		"1.0",
		"1e3",
		"0x1",
		" 1",
		"1 ",
		"1,1",
		"nan",
		"111111111111111111111111111111111"};
	int64_t number;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert_int_eq(whole(texts[i]), -1);
	ck_assert_int_eq(whole("0"), 0);
	ck_assert_int_eq(whole("0007"), 7);
	ck_assert_int_eq(whole("1000"), LIMIT);
	ck_assert_int_eq(whole("1001"), LIMIT);
	ck_assert_int_eq(whole("9223372036854775807"), LIMIT);
	ck_assert_int_eq(whole("9223372036854775808"), LIMIT);
	ck_assert_int_eq(whole("99999999999999999999"), LIMIT);
	ck_assert(gc_parse_whole(gc_str("9223372036854775807"), INT64_MAX,
				 &number));
	ck_assert_int_eq(number, INT64_MAX);
	ck_assert(gc_parse_whole(gc_str("9223372036854775806"), INT64_MAX,
				 &number));
	ck_assert_int_eq(number, INT64_MAX - 1);
	ck_assert(gc_parse_whole(gc_str("9223372036854775808"), INT64_MAX,
				 &number));
	ck_assert_int_eq(number, INT64_MAX);
}
END_TEST

START_TEST(test_decimal)
{
	static const char *const texts[] = {"",	     "-1",  "+1",  ".5",
					    "1.2.3", "1e3", "0x1", "inf",
					    "nan",   " 1",  "1 "};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert(decimal(texts[i]) < 0);
	ck_assert(decimal("0.25") == 0.25);
	ck_assert(decimal("3.") == 3);
	ck_assert(decimal("1e3") < 0);
	ck_assert(decimal("9223372036854775808") == LIMIT);
	ck_assert(decimal("1000.5") == LIMIT);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_whole, test_decimal, NULL};

	return unit_run("number", tests);
}
