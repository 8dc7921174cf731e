/*
 * Instances that failed, stalled or are leaving must get no work, and an
 * ejected engine must be used again after a successful probe.
 */
#include <check.h>
#include <stdlib.h>

#include "core/clock.h"
#include "core/health.h"

static const gc_str_t e1 = {"e1", 2};
static gc_health_t *health;
static struct timespec now;
static json_t *labels;

static void setup(void);
static void teardown(void);
static bool apply_list(size_t n, bool leaving);
static gc_health_instance_t get_instance(size_t i);
static void advance_ms(int64_t ms);
static int64_t advance_to_probe(void);

static void setup(void)
{
	health = gc_health_create(NULL);
	now = (struct timespec){.tv_sec = 100000};
	labels = json_pack("{ss}", "kind", "engine");
	apply_list(2, false);
}

static void teardown(void)
{
	gc_health_instance_t instance;

	for (size_t i = 0; i < gc_health_count(health); i++) {
		gc_health_get(health, now, i, &instance);
		ck_assert_ptr_nonnull(instance.labels);
	}
	talloc_free(health);
	json_decref(labels);
}

/* Applies a list of the first n of e1 and e2, with e1 leaving or not. */
static bool apply_list(size_t n, bool leaving)
{
	gc_instance_list_entry_t entries[] = {
		{e1, GC_STR_LIT("http://1"), GC_STR_LIT("a"), labels, leaving},
		{GC_STR_LIT("e2"), GC_STR_LIT("http://2"), GC_STR_LIT("b"),
		 labels, false},
	};

	return gc_health_on_list(health, now, entries, n);
}

static gc_health_instance_t get_instance(size_t i)
{
	gc_health_instance_t instance;

	gc_health_get(health, now, i, &instance);
	return instance;
}

static void advance_ms(int64_t ms)
{
	now = gc_add_ms(now, ms);
}

/* Advances the time until e1's probe is due; returns the time passed. */
static int64_t advance_to_probe(void)
{
	int64_t ms = 0;

	while (gc_health_start_probe(health, now).len == 0) {
		ck_assert_int_lt(ms, 200000);
		advance_ms(100);
		ms += 100;
	}
	return ms;
}

START_TEST(test_failure_ejects_once)
{
	ck_assert(
		gc_health_on_stream_report(health, now, e1, GC_ENGINE_FAILED));
	ck_assert(get_instance(0).ejected);
	ck_assert(!get_instance(1).ejected);
	/* Only the first of many reports is passed on to peers. */
	ck_assert(
		!gc_health_on_stream_report(health, now, e1, GC_ENGINE_FAILED));
	ck_assert(!gc_health_on_stream_report(health, now, GC_STR_LIT("e9"),
					      GC_ENGINE_FAILED));
}
END_TEST

START_TEST(test_single_stall_does_not_eject)
{
	ck_assert(!gc_health_on_stream_report(health, now, e1,
					      GC_ENGINE_STALLED));
	advance_ms(20000);
	ck_assert(!gc_health_on_stream_report(health, now, e1,
					      GC_ENGINE_STALLED));
	gc_health_on_stream_report(health, now, e1, GC_ENGINE_OK);
	ck_assert(!gc_health_on_stream_report(health, now, e1,
					      GC_ENGINE_STALLED));
	ck_assert(
		gc_health_on_stream_report(health, now, e1, GC_ENGINE_STALLED));
}
END_TEST

START_TEST(test_ejection_time_doubles_up_to_limit)
{
	const int64_t expected[] = {2000,  4000,  8000, 16000,
				    32000, 60000, 60000};

	gc_health_on_stream_report(health, now, e1, GC_ENGINE_FAILED);
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
		ck_assert_int_eq(advance_to_probe(), expected[i]);
		gc_health_on_probe_result(health, now, e1, false);
		ck_assert(get_instance(0).ejected);
	}
}
END_TEST

START_TEST(test_probe_readmits)
{
	gc_health_on_stream_report(health, now, e1, GC_ENGINE_FAILED);
	/* A result without a started probe changes nothing. */
	gc_health_on_probe_result(health, now, e1, true);
	ck_assert(get_instance(0).ejected);
	advance_to_probe();
	ck_assert(get_instance(0).ejected);
	gc_health_on_probe_result(health, now, e1, true);
	ck_assert(!get_instance(0).ejected);
	/*
	 * A failure soon after the re-admission doubles the time of ejection;
	 * a later one starts with the minimum again.
	 */
	gc_health_on_stream_report(health, now, e1, GC_ENGINE_FAILED);
	ck_assert_int_eq(advance_to_probe(), 4000);
	gc_health_on_probe_result(health, now, e1, true);
	advance_ms(61000);
	gc_health_on_stream_report(health, now, e1, GC_ENGINE_FAILED);
	ck_assert_int_eq(advance_to_probe(), 2000);
}
END_TEST

START_TEST(test_probe_without_result_is_repeated)
{
	gc_health_on_stream_report(health, now, e1, GC_ENGINE_FAILED);
	advance_to_probe();
	ck_assert_uint_eq(gc_health_start_probe(health, now).len, 0);
	ck_assert_int_eq(advance_to_probe(), 3000);
}
END_TEST

START_TEST(test_peer_report_probes_at_once)
{
	gc_health_on_load(health, now, e1, 8, 0, 0);
	advance_ms(1000);
	/* The load report is later than the failure that the peer saw. */
	ck_assert(!gc_health_on_peer_report(health, now, e1, 5000));
	ck_assert(gc_health_on_peer_report(health, now, e1, 0));
	ck_assert(get_instance(0).ejected);
	ck_assert_int_eq(advance_to_probe(), 0);
	gc_health_on_probe_result(health, now, e1, true);
	ck_assert(!get_instance(0).ejected);
}
END_TEST

START_TEST(test_leaving_is_not_undone_by_an_older_list)
{
	ck_assert(apply_list(2, true));
	ck_assert(get_instance(0).leaving);
	advance_ms(1000);
	apply_list(2, false);
	ck_assert(get_instance(0).leaving);
	advance_ms(6000);
	apply_list(2, false);
	ck_assert(!get_instance(0).leaving);
}
END_TEST

START_TEST(test_instance_missing_from_one_list_stays)
{
	apply_list(1, false);
	ck_assert_uint_eq(gc_health_count(health), 2);
	apply_list(2, false);
	apply_list(1, false);
	ck_assert_uint_eq(gc_health_count(health), 2);
	ck_assert(apply_list(1, false));
	ck_assert_uint_eq(gc_health_count(health), 1);
}
END_TEST

START_TEST(test_operator_labels_and_departure)
{
	json_t *document =
		json_pack("{si s{s{s{ss} sb}}}", "version", 1, "instances",
			  "e1", "labels", "kind", "other", "departing", 1);
	gc_config_t *config = gc_config_parse(document, NULL);

	gc_health_set_config(health, config);
	ck_assert(get_instance(0).leaving);
	ck_assert(!get_instance(1).leaving);
	ck_assert_str_eq(json_string_value(json_object_get(
				 get_instance(0).labels, "kind")),
			 "other");
	/* A later list must not undo the operator's label. */
	apply_list(2, false);
	ck_assert_str_eq(json_string_value(json_object_get(
				 get_instance(0).labels, "kind")),
			 "other");
	gc_config_unref(config);
	json_decref(document);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("health");
	TCase *tcase = tcase_create("health");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, test_failure_ejects_once);
	tcase_add_test(tcase, test_single_stall_does_not_eject);
	tcase_add_test(tcase, test_ejection_time_doubles_up_to_limit);
	tcase_add_test(tcase, test_probe_readmits);
	tcase_add_test(tcase, test_probe_without_result_is_repeated);
	tcase_add_test(tcase, test_peer_report_probes_at_once);
	tcase_add_test(tcase, test_leaving_is_not_undone_by_an_older_list);
	tcase_add_test(tcase, test_instance_missing_from_one_list_stays);
	tcase_add_test(tcase, test_operator_labels_and_departure);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
