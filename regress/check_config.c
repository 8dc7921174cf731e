/*
 * Parsing, queries and changes of the configuration: invalid values must be
 * refused with their paths, and a change must not lose other values.
 */
#include <check.h>
#include <stdlib.h>

#include "core/config.h"
#include "core/config_edit.h"
#include "core/error.h"

/* SHA-256 of "lone-star-key" and "cyflogres-key". */
#define KEY_A "6d95c1c115ca7d50db0537a2bbc36d7c5b7cfe97ffb22d2a9abfe1d7e18d9711"
#define KEY_B "1afb926f2f1b866ebb66bd22e358aabd9b0faa16b5e1fe1d3c00aeb9b7fcb825"

static const char *const valid =
	"{\"version\":7,"
	"\"instances\":{\"e1\":{\"labels\":{\"gpu\":\"big\"},"
	"\"departing\":true},\"e2\":{}},"
	"\"pools\":{\"engines\":{\"kind\":\"engine\","
	"\"selector\":{\"match\":{\"kind\":\"engine\"}}},"
	"\"plain\":{\"kind\":\"service\","
	"\"selector\":{\"match\":{\"kind\":\"service\"}}}},"
	"\"models\":{\"b\":{\"version\":\"1\",\"pool\":\"engines\"},"
	"\"a\":{\"version\":\"2\",\"pool\":\"engines\","
	"\"selector\":{\"match\":{\"gpu\":\"big\"}}}},"
	"\"services\":{\"print\":{\"pool\":\"plain\","
	"\"checks_fencing\":true,\"status_path\":\"/status/{key}\"}},"
	"\"accounts\":{\"lone-star\":{\"key_sha256\":\"" KEY_A "\","
	"\"weight\":3,\"policy\":\"economy\",\"max_in_flight\":5},"
	"\"small\":{\"key_sha256\":\"" KEY_B "\","
	"\"selector\":{\"none_of\":{\"gpu\":[\"big\"]}}}}}";

static json_t *load_json(const char *text);
static gc_config_t *parse(const char *text);
static char *parse_errors(const char *patch);
static char *selector_errors(const char *patch);

static json_t *load_json(const char *text)
{
	json_t *json = json_loads(text, 0, NULL);

	ck_assert_ptr_nonnull(json);
	return json;
}

static gc_config_t *parse(const char *text)
{
	json_t *json = load_json(text);
	GError *err = NULL;
	gc_config_t *config = gc_config_parse(json, &err);

	ck_assert_msg(config != NULL, "%s", err ? err->message : "");
	json_decref(json);
	return config;
}

/* Errors of the valid document after a merge patch; freed with g_free. */
static char *parse_errors(const char *patch)
{
	json_t *base = load_json(valid);
	json_t *patch_json = load_json(patch);
	json_t *json = gc_config_merge(base, patch_json);
	GError *err = NULL;
	char *text;

	ck_assert_ptr_null(gc_config_parse(json, &err));
	ck_assert_int_eq(err->code, GC_ERR_INVALID);
	text = g_strdup(err->message);
	g_error_free(err);
	json_decref(base);
	json_decref(patch_json);
	json_decref(json);
	return text;
}

START_TEST(test_valid_document)
{
	gc_config_t *config = parse(valid);
	const gc_account_t *account =
		gc_config_account_by_key(config, GC_STR_LIT("lone-star-key"));
	const gc_service_t *service =
		gc_config_service(config, GC_STR_LIT("print"));

	ck_assert_uint_eq(gc_config_version(config), 7);
	ck_assert_ptr_nonnull(account);
	ck_assert(gc_str_eq(account->name, GC_STR_LIT("lone-star")));
	ck_assert_uint_eq(account->weight, 3);
	ck_assert_uint_eq(account->max_in_flight, 5);
	ck_assert_int_eq(account->policy, GC_POLICY_ECONOMY);
	ck_assert_ptr_null(
		gc_config_account_by_key(config, GC_STR_LIT("lone-star-kez")));
	ck_assert_ptr_null(gc_config_account_by_key(config, GC_STR_EMPTY));
	ck_assert(service->checks_fencing);
	ck_assert(gc_str_eq(service->status_path, GC_STR_LIT("/status/{key}")));
	ck_assert_ptr_null(gc_config_service(config, GC_STR_LIT("prin")));
	ck_assert(gc_config_is_departing(config, GC_STR_LIT("e1")));
	ck_assert(!gc_config_is_departing(config, GC_STR_LIT("e2")));
	ck_assert(!gc_config_is_departing(config, GC_STR_LIT("e3")));
	gc_config_unref(config);
}
END_TEST

static void append_name(void *ctx, gc_str_t name)
{
	g_string_append_printf(ctx, "%.*s ", GC_STR_ARG(name));
}

START_TEST(test_models_in_order)
{
	gc_config_t *config = parse(valid);
	GString *names = g_string_new(NULL);

	gc_config_foreach_model(config, append_name, names);
	ck_assert_str_eq(names->str, "a b ");
	ck_assert(gc_config_has_model(config, GC_STR_LIT("a")));
	ck_assert(!gc_config_has_model(config, GC_STR_LIT("engines")));
	g_string_free(names, TRUE);
	gc_config_unref(config);
}
END_TEST

START_TEST(test_selectors_of_pool_model_and_account)
{
	gc_config_t *config = parse(valid);
	const gc_account_t *big_account =
		gc_config_account_by_key(config, GC_STR_LIT("lone-star-key"));
	json_t *listed = load_json("{\"kind\":\"engine\",\"gpu\":\"small\"}");
	json_t *e1 = gc_config_merge_labels(config, GC_STR_LIT("e1"), listed);
	json_t *e3 = gc_config_merge_labels(config, GC_STR_LIT("e3"), listed);
	json_t *plain = load_json("{\"kind\":\"service\"}");
	gc_str_t a = GC_STR_LIT("a");
	gc_str_t b = GC_STR_LIT("b");

	/* The operator's label replaces the listed one. */
	ck_assert(gc_config_serves_model(config, big_account, a, e1));
	ck_assert(!gc_config_serves_model(config, big_account, a, e3));
	ck_assert(gc_config_serves_model(config, big_account, b, e3));
	ck_assert(!gc_config_serves_model(config, big_account, b, plain));
	ck_assert(!gc_config_serves_model(config, big_account, GC_STR_LIT("c"),
					  e1));
	ck_assert(gc_config_serves_service(config, big_account,
					   GC_STR_LIT("print"), plain));
	ck_assert(!gc_config_serves_service(config, big_account,
					    GC_STR_LIT("print"), e1));
	json_decref(listed);
	json_decref(e1);
	json_decref(e3);
	json_decref(plain);
	gc_config_unref(config);
}
END_TEST

START_TEST(test_account_selector_excludes)
{
	gc_config_t *config = parse(valid);
	const gc_account_t *small =
		gc_config_account_by_key(config, GC_STR_LIT("cyflogres-key"));
	json_t *big_engine = load_json("{\"kind\":\"engine\",\"gpu\":\"big\"}");

	ck_assert_ptr_nonnull(small);
	ck_assert(!gc_config_serves_model(config, small, GC_STR_LIT("b"),
					  big_engine));
	json_decref(big_engine);
	gc_config_unref(config);
}
END_TEST

/* An invalid value and the expected error with its path. */
static const struct {
	const char *patch;
	const char *error;
} invalid[] = {
	{"{\"version\":0}",
	 "version: not an integer from 1 to 9223372036854775807"},
	{"{\"version\":null}", "version: missing"},
	{"{\"pool\":{}}", "pool: unknown member"},
	{"{\"pools\":{\"x\":{}}}", "pools.x.kind: missing"},
	{"{\"pools\":{\"x\":{\"kind\":\"gpu\"}}}",
	 "pools.x.kind: neither \"engine\" nor \"service\""},
	{"{\"pools\":{\"x\":{\"kind\":\"engine\",\"selector\":{\"a\":{}}}}}",
	 "pools.x.selector.a: unknown member"},
	{"{\"models\":{\"m\":{\"pool\":\"nix\"}}}",
	 "models.m.pool: unknown pool \"nix\""},
	{"{\"models\":{\"m\":{\"pool\":\"plain\"}}}",
	 "models.m.pool: pool \"plain\" is not of kind \"engine\""},
	{"{\"services\":{\"print\":{\"pool\":\"engines\"}}}",
	 "services.print.pool: pool \"engines\" is not of kind \"service\""},
	{"{\"services\":{\"print\":{\"checks_fencing\":1}}}",
	 "services.print.checks_fencing: not true or false"},
	{"{\"accounts\":{\"small\":{\"key_sha256\":\"abc\"}}}",
	 "accounts.small.key_sha256: not 64 hex digits"},
	{"{\"accounts\":{\"small\":{\"weight\":0}}}",
	 "accounts.small.weight: not an integer from 1 to 1000000"},
	{"{\"accounts\":{\"small\":{\"policy\":\"fast\"}}}",
	 "accounts.small.policy: neither \"latency\" nor \"economy\""},
	{"{\"accounts\":{\"small\":{\"key_sha256\":\"" KEY_A "\"}}}",
	 "accounts.small.key_sha256: also key of account \"lone-star\""},
	{"{\"instances\":{\"e2\":{\"labels\":{\"a\":1}}}}",
	 "instances.e2.labels.a: not a string"},
	{"{\"instances\":{\"e2\":{\"departing\":\"yes\"}}}",
	 "instances.e2.departing: not true or false"},
	{"{\"accounts\":[]}", "accounts: not an object"},
};

START_TEST(test_invalid_values)
{
	g_autofree char *errors = parse_errors(invalid[_i].patch);

	ck_assert_str_eq(errors, invalid[_i].error);
}
END_TEST

START_TEST(test_all_errors_are_reported)
{
	g_autofree char *errors =
		parse_errors("{\"instances\":1,\"models\":{\"b\":{\"pool\":"
			     "\"nix\",\"x\":1}}}");

	ck_assert_str_eq(errors, "instances: not an object\n"
				 "models.b.x: unknown member\n"
				 "models.b.pool: unknown pool \"nix\"");
}
END_TEST

/* Errors of gc_config_check_selectors with two instances; freed with g_free. */
static char *selector_errors(const char *patch)
{
	json_t *base = load_json(valid);
	json_t *patch_json = load_json(patch);
	json_t *json = gc_config_merge(base, patch_json);
	gc_config_t *config = gc_config_parse(json, NULL);
	gc_labelled_instance_t instances[] = {
		{GC_STR_LIT("e1"),
		 load_json("{\"kind\":\"engine\",\"gpu\":\"big\"}")},
		{GC_STR_LIT("s1"), load_json("{\"kind\":\"service\"}")},
	};
	GError *err = NULL;
	char *text;

	ck_assert_ptr_nonnull(config);
	gc_config_check_selectors(config, instances, 2, &err);
	text = g_strdup(err ? err->message : "");
	g_clear_error(&err);
	gc_config_unref(config);
	json_decref(instances[0].labels);
	json_decref(instances[1].labels);
	json_decref(base);
	json_decref(patch_json);
	json_decref(json);
	return text;
}

START_TEST(test_selectors_without_match)
{
	g_autofree char *ok = selector_errors("{}");
	g_autofree char *pool = selector_errors(
		"{\"pools\":{\"x\":{\"kind\":\"engine\",\"selector\":"
		"{\"match\":{\"a\":\"b\"}}}}}");
	g_autofree char *model = selector_errors(
		"{\"models\":{\"a\":{\"selector\":{\"match\":{\"kind\":"
		"\"service\"}}}}}");
	g_autofree char *account = selector_errors(
		"{\"accounts\":{\"small\":{\"selector\":{\"match\":{\"a\":"
		"\"b\"}}}}}");

	ck_assert_str_eq(ok, "");
	ck_assert_str_eq(pool, "pools.x.selector: matches no instance");
	ck_assert_str_eq(model,
			 "models.a.selector: matches no instance of its pool");
	ck_assert_str_eq(account,
			 "accounts.small.selector: matches no instance");
}
END_TEST

START_TEST(test_instance_in_pools_of_two_kinds)
{
	g_autofree char *errors = selector_errors(
		"{\"pools\":{\"x\":{\"kind\":\"service\",\"selector\":"
		"{\"match\":{\"gpu\":\"big\"}}}}}");

	ck_assert_str_eq(errors,
			 "pools.engines.selector: instance \"e1\" is also in "
			 "pool \"x\" of another kind");
}
END_TEST

/* The examples of RFC 7386, appendix A. */
static const struct {
	const char *target;
	const char *patch;
	const char *result;
} merges[] = {
	{"{\"a\":\"b\"}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
	{"{\"a\":\"b\"}", "{\"b\":\"c\"}", "{\"a\":\"b\",\"b\":\"c\"}"},
	{"{\"a\":\"b\"}", "{\"a\":null}", "{}"},
	{"{\"a\":\"b\",\"b\":\"c\"}", "{\"a\":null}", "{\"b\":\"c\"}"},
	{"{\"a\":[\"b\"]}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
	{"{\"a\":\"c\"}", "{\"a\":[\"b\"]}", "{\"a\":[\"b\"]}"},
	{"{\"a\":{\"b\":\"c\"}}", "{\"a\":{\"b\":\"d\",\"c\":null}}",
	 "{\"a\":{\"b\":\"d\"}}"},
	{"{\"a\":[{\"b\":\"c\"}]}", "{\"a\":[1]}", "{\"a\":[1]}"},
	{"[\"a\",\"b\"]", "[\"c\",\"d\"]", "[\"c\",\"d\"]"},
	{"{\"a\":\"b\"}", "[\"c\"]", "[\"c\"]"},
	{"{\"e\":null}", "{\"a\":1}", "{\"a\":1,\"e\":null}"},
	{"[1,2]", "{\"a\":\"b\",\"c\":null}", "{\"a\":\"b\"}"},
	{"{}", "{\"a\":{\"bb\":{\"ccc\":null}}}", "{\"a\":{\"bb\":{}}}"},
};

START_TEST(test_merge_patch)
{
	json_t *target = load_json(merges[_i].target);
	json_t *patch = load_json(merges[_i].patch);
	json_t *result = gc_config_merge(target, patch);
	char *text = json_dumps(result, JSON_COMPACT | JSON_SORT_KEYS);

	ck_assert_str_eq(text, merges[_i].result);
	free(text);
	json_decref(target);
	json_decref(patch);
	json_decref(result);
}
END_TEST

START_TEST(test_changed_paths)
{
	json_t *before = load_json(valid);
	json_t *patch = load_json(
		"{\"version\":8,\"instances\":null,\"accounts\":{\"small\":"
		"{\"weight\":2},\"new\":{\"weight\":1}}}");
	json_t *after = gc_config_merge(before, patch);
	json_t *paths = gc_config_changed_paths(before, after);
	char *text = json_dumps(paths, JSON_COMPACT);

	ck_assert_str_eq(text, "[\"accounts.new\",\"accounts.small.weight\","
			       "\"instances.e1\",\"instances.e2\"]");
	free(text);
	json_decref(before);
	json_decref(patch);
	json_decref(after);
	json_decref(paths);
}
END_TEST

/* Only the nonces of the latest GC_CONFIG_MAX_CHANGES changes are found. */
START_TEST(test_latest_nonces_are_kept)
{
	json_t *document = json_object();
	char nonce[16];

	for (uint64_t i = 1; i <= GC_CONFIG_MAX_CHANGES + 1; i++) {
		g_snprintf(nonce, sizeof(nonce), "n%d", (int)i);
		gc_config_record_change(document, i, nonce, "d");
	}
	ck_assert_uint_eq(gc_config_version_of_nonce(document, "n1"), 0);
	ck_assert_uint_eq(gc_config_version_of_nonce(document, "n2"), 2);
	ck_assert_uint_eq(gc_config_version_of_nonce(document, nonce),
			  GC_CONFIG_MAX_CHANGES + 1);
	json_decref(document);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config");
	TCase *tcase = tcase_create("config");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_valid_document);
	tcase_add_test(tcase, test_models_in_order);
	tcase_add_test(tcase, test_selectors_of_pool_model_and_account);
	tcase_add_test(tcase, test_account_selector_excludes);
	tcase_add_loop_test(tcase, test_invalid_values, 0,
			    G_N_ELEMENTS(invalid));
	tcase_add_test(tcase, test_all_errors_are_reported);
	tcase_add_test(tcase, test_selectors_without_match);
	tcase_add_test(tcase, test_instance_in_pools_of_two_kinds);
	tcase_add_loop_test(tcase, test_merge_patch, 0, G_N_ELEMENTS(merges));
	tcase_add_test(tcase, test_changed_paths);
	tcase_add_test(tcase, test_latest_nonces_are_kept);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
