/* Guards against work sent to instances whose labels exclude it. */
#include <check.h>
#include <stdlib.h>

#include "core/selector.h"

static bool matches(const char *selector, const char *labels);
static char *errors_of(const char *selector);

static bool matches(const char *selector, const char *labels)
{
	json_t *selector_json = json_loads(selector, 0, NULL);
	json_t *labels_json = json_loads(labels, 0, NULL);
	GString *errors = g_string_new(NULL);
	gc_selector_t *compiled =
		gc_selector_create(selector_json, "s", errors);
	bool result;

	ck_assert_str_eq(errors->str, "");
	result = gc_selector_matches(compiled, labels_json);
	gc_selector_destroy(compiled);
	g_string_free(errors, TRUE);
	json_decref(selector_json);
	json_decref(labels_json);
	return result;
}

/* The result is freed with g_free. */
static char *errors_of(const char *selector)
{
	json_t *json = json_loads(selector, JSON_DECODE_ANY, NULL);
	GString *errors = g_string_new(NULL);

	gc_selector_destroy(
		gc_selector_create(json, "pools.p.selector", errors));
	json_decref(json);
	return g_string_free(errors, FALSE);
}

START_TEST(test_match)
{
	ck_assert(matches("{}", "{}"));
	ck_assert(matches("{\"match\":{\"a\":\"1\"}}", "{\"a\":\"1\"}"));
	ck_assert(!matches("{\"match\":{\"a\":\"1\"}}", "{\"a\":\"2\"}"));
	ck_assert(!matches("{\"match\":{\"a\":\"1\"}}", "{}"));
	ck_assert(!matches("{\"match\":{\"a\":\"1\",\"b\":\"1\"}}",
			   "{\"a\":\"1\"}"));
}
END_TEST

START_TEST(test_any_of)
{
	const char *selector = "{\"any_of\":{\"a\":[\"1\",\"2\"]}}";

	ck_assert(matches(selector, "{\"a\":\"2\"}"));
	ck_assert(!matches(selector, "{\"a\":\"3\"}"));
	ck_assert(!matches(selector, "{}"));
	ck_assert(!matches("{\"any_of\":{\"a\":[]}}", "{\"a\":\"1\"}"));
}
END_TEST

START_TEST(test_none_of)
{
	const char *selector = "{\"none_of\":{\"a\":[\"1\",\"2\"]}}";

	ck_assert(!matches(selector, "{\"a\":\"2\"}"));
	ck_assert(matches(selector, "{\"a\":\"3\"}"));
	ck_assert(matches(selector, "{}"));
}
END_TEST

START_TEST(test_all_conditions_must_hold)
{
	const char *selector = "{\"match\":{\"a\":\"1\"},"
			       "\"any_of\":{\"b\":[\"1\"]},"
			       "\"none_of\":{\"c\":[\"1\"]}}";

	ck_assert(matches(selector, "{\"a\":\"1\",\"b\":\"1\"}"));
	ck_assert(!matches(selector, "{\"a\":\"1\"}"));
	ck_assert(!matches(selector, "{\"b\":\"1\"}"));
	ck_assert(!matches(selector, "{\"a\":\"1\",\"b\":\"1\",\"c\":\"1\"}"));
}
END_TEST

START_TEST(test_errors_name_the_path)
{
	g_autofree char *type = errors_of("[]");
	g_autofree char *member = errors_of("{\"macth\":{}}");
	g_autofree char *value = errors_of("{\"match\":{\"a\":1}}");
	g_autofree char *list = errors_of("{\"any_of\":{\"a\":\"1\"},"
					  "\"none_of\":{\"b\":[1]}}");

	ck_assert_str_eq(type, "pools.p.selector: not an object\n");
	ck_assert_str_eq(member, "pools.p.selector.macth: unknown member\n");
	ck_assert_str_eq(value, "pools.p.selector.match.a: not a string\n");
	ck_assert_str_eq(list,
			 "pools.p.selector.any_of.a: not a list of strings\n"
			 "pools.p.selector.none_of.b: not a list of strings\n");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("selector");
	TCase *tcase = tcase_create("selector");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_match);
	tcase_add_test(tcase, test_any_of);
	tcase_add_test(tcase, test_none_of);
	tcase_add_test(tcase, test_all_conditions_must_hold);
	tcase_add_test(tcase, test_errors_name_the_path);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
