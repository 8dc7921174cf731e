/*
 * Guards against runs on engines that are leaving, avoided or full, and against
 * a popular cached prefix that overloads its engine.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/placement.h"

#define N_NAMES 100

static uint64_t next_random(void *ctx);
static gc_placement_candidate_t make_engine(const char *name, uint32_t running);
static ssize_t choose(const gc_placement_candidate_t *c, size_t n,
		      gc_policy_t policy);

static uint64_t random_state;
static const gc_random_t random_source = {next_random, NULL};

/* SplitMix64. */
static uint64_t next_random(void *ctx)
{
	uint64_t z = (random_state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

static gc_placement_candidate_t make_engine(const char *name, uint32_t running)
{
	return (gc_placement_candidate_t){.name = gc_str(name),
					  .failure_domain = GC_STR_LIT("far"),
					  .slots = 8,
					  .running = running};
}

static ssize_t choose(const gc_placement_candidate_t *c, size_t n,
		      gc_policy_t policy)
{
	gc_placement_request_t req = {.prompt_tokens = 100,
				      .policy = policy,
				      .prefer_domain = GC_STR_LIT("near")};

	return gc_placement_choose(c, n, &req, &random_source);
}

START_TEST(test_no_eligible_engine)
{
	gc_placement_candidate_t c[] = {make_engine("a", 0),
					make_engine("b", 0)};
	gc_str_t avoid[] = {GC_STR_LIT("a"), GC_STR_LIT("b")};
	gc_placement_request_t req = {.avoid = avoid, .n_avoid = 2};

	ck_assert_int_eq(choose(c, 0, GC_POLICY_LATENCY), -1);
	ck_assert_int_eq(gc_placement_choose(c, 2, &req, &random_source), -1);
	c[0].leaving = true;
	c[1].leaving = true;
	ck_assert_int_eq(choose(c, 2, GC_POLICY_LATENCY), -1);
}
END_TEST

START_TEST(test_ejected_is_last_resort)
{
	gc_placement_candidate_t c[] = {make_engine("a", 0),
					make_engine("b", 7)};

	c[0].ejected = true;
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(choose(c, 2, GC_POLICY_LATENCY), 1);
	c[1].leaving = true;
	ck_assert_int_eq(choose(c, 2, GC_POLICY_LATENCY), 0);
}
END_TEST

/*
 * The load reports lag: the daemon's own runs since the last report count, and
 * its runs in flight are a lower bound of the load.
 */
START_TEST(test_own_runs_add_to_load)
{
	gc_placement_candidate_t c[] = {make_engine("a", 1),
					make_engine("b", 2)};

	c[0].own_since_report = 3;
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(choose(c, 2, GC_POLICY_LATENCY), 1);
	c[0].own_since_report = 0;
	c[0].own_in_flight = 4;
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(choose(c, 2, GC_POLICY_LATENCY), 1);
}
END_TEST

START_TEST(test_load_is_per_slot)
{
	gc_placement_candidate_t c[] = {make_engine("a", 3),
					make_engine("b", 6)};

	c[1].slots = 64;
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(choose(c, 2, GC_POLICY_LATENCY), 1);
}
END_TEST

START_TEST(test_own_failure_domain_breaks_tie)
{
	gc_placement_candidate_t c[] = {make_engine("a", 2),
					make_engine("b", 2)};

	c[1].failure_domain = GC_STR_LIT("near");
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(choose(c, 2, GC_POLICY_LATENCY), 1);
	c[1].running = 3;
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(choose(c, 2, GC_POLICY_LATENCY), 0);
}
END_TEST

START_TEST(test_affinity_is_bounded_by_load)
{
	gc_placement_candidate_t c[] = {
		make_engine("a", 0), make_engine("b", 3), make_engine("c", 0)};

	c[1].cached_tokens = 90;
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(choose(c, 3, GC_POLICY_LATENCY), 1);
	c[1].running = 7;
	for (int i = 0; i < 20; i++)
		ck_assert_int_ne(choose(c, 3, GC_POLICY_LATENCY), 1);
}
END_TEST

/* The economy policy accepts a smaller cached fraction than latency does. */
START_TEST(test_economy_needs_less_cached)
{
	gc_placement_candidate_t c[] = {make_engine("a", 0),
					make_engine("b", 2)};

	c[1].cached_tokens = 30;
	for (int i = 0; i < 20; i++) {
		ck_assert_int_eq(choose(c, 2, GC_POLICY_ECONOMY), 1);
		ck_assert_int_eq(choose(c, 2, GC_POLICY_LATENCY), 0);
	}
}
END_TEST

START_TEST(test_equal_engines_share_the_load)
{
	gc_placement_candidate_t c[] = {make_engine("a", 0),
					make_engine("b", 0),
					make_engine("c", 0),
					make_engine("d", 0)};
	int n[4] = {0};

	for (int i = 0; i < 4000; i++)
		n[choose(c, 4, GC_POLICY_LATENCY)]++;
	for (int i = 0; i < 4; i++) {
		ck_assert_int_gt(n[i], 800);
		ck_assert_int_lt(n[i], 1200);
	}
}
END_TEST

START_TEST(test_subset)
{
	static char text[N_NAMES][8];
	gc_str_t names[N_NAMES];
	gc_str_t daemon = GC_STR_LIT("daemon-1");
	bool before[N_NAMES];
	size_t n = 0;
	size_t moved = 0;

	for (int i = 0; i < N_NAMES; i++) {
		snprintf(text[i], sizeof(text[i]), "e%d", i);
		names[i] = gc_str(text[i]);
	}
	for (int i = 0; i < N_NAMES; i++) {
		before[i] = gc_placement_in_subset(daemon, names[i], names,
						   N_NAMES, 20);
		n += before[i];
	}
	ck_assert_uint_eq(n, 20);
	/* If the last engine is removed, at most one other is added. */
	for (int i = 0; i < N_NAMES - 1; i++)
		moved += before[i] != gc_placement_in_subset(daemon, names[i],
							     names, N_NAMES - 1,
							     20);
	ck_assert_uint_le(moved, 1);
	ck_assert(
		!gc_placement_in_subset(daemon, GC_STR_LIT("x"), names, 3, 9));
	ck_assert(gc_placement_in_subset(daemon, names[0], names, 3, 9));
	ck_assert(!gc_placement_in_subset(daemon, names[0], names, 3, 0));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("placement");
	TCase *tcase = tcase_create("placement");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_no_eligible_engine);
	tcase_add_test(tcase, test_ejected_is_last_resort);
	tcase_add_test(tcase, test_own_runs_add_to_load);
	tcase_add_test(tcase, test_load_is_per_slot);
	tcase_add_test(tcase, test_own_failure_domain_breaks_tie);
	tcase_add_test(tcase, test_affinity_is_bounded_by_load);
	tcase_add_test(tcase, test_economy_needs_less_cached);
	tcase_add_test(tcase, test_equal_engines_share_the_load);
	tcase_add_test(tcase, test_subset);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
