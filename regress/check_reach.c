/*
 * Failure: a daemon that is partitioned from all servers of a service doesn't find
 * that out, or takes one server's crash for it, or wavers while links come and go.
 */
#include "core/reach.h"
#include "regress/unit.h"

static const gc_str_t app = {"app", 3};
static const gc_str_t llm = {"llm", 3};

START_TEST(test_one_failed_server_of_three_is_not_cut_off)
{
	gc_reach_t *reach = gc_reach_create(NULL);

	gc_reach_record_failed(reach, unit_at(0), app, 1, false);
	gc_reach_record_failed(reach, unit_at(100), app, 1, false);
	ck_assert(!gc_reach_judge(reach, unit_at(100), app, 3));
	ck_assert(!gc_reach_is_cut_off(reach, app));
	talloc_free(reach);
}
END_TEST

START_TEST(test_two_failed_servers_or_the_only_one_are)
{
	gc_reach_t *reach = gc_reach_create(NULL);

	gc_reach_record_failed(reach, unit_at(0), app, 1, false);
	gc_reach_record_failed(reach, unit_at(250), app, 2, false);
	ck_assert(!gc_reach_is_cut_off(reach, app));
	ck_assert(gc_reach_judge(reach, unit_at(250), app, 3));
	ck_assert(gc_reach_is_cut_off(reach, app));
	ck_assert(!gc_reach_judge(reach, unit_at(300), app, 3));
	ck_assert_uint_eq(gc_reach_n_failed(reach, app), 2);
	/* Another service has links of its own. */
	ck_assert(!gc_reach_is_cut_off(reach, llm));
	gc_reach_record_failed(reach, unit_at(300), llm, 3, false);
	ck_assert(gc_reach_judge(reach, unit_at(300), llm, 1));
	talloc_free(reach);
}
END_TEST

START_TEST(test_service_without_servers_or_failures_is_not_cut_off)
{
	gc_reach_t *reach = gc_reach_create(NULL);

	ck_assert(!gc_reach_judge(reach, unit_at(0), app, 0));
	ck_assert(!gc_reach_judge(reach, unit_at(0), app, 3));
	gc_reach_record_failed(reach, unit_at(0), app, 1, false);
	ck_assert(!gc_reach_judge(reach, unit_at(0), app, 0));
	talloc_free(reach);
}
END_TEST

START_TEST(test_response_forgets_failures)
{
	gc_reach_t *reach = gc_reach_create(NULL);

	gc_reach_record_failed(reach, unit_at(0), app, 1, false);
	gc_reach_record_response(reach, unit_at(50), app, false);
	gc_reach_record_failed(reach, unit_at(100), app, 2, false);
	ck_assert(!gc_reach_judge(reach, unit_at(100), app, 3));
	gc_reach_record_failed(reach, unit_at(150), app, 3, false);
	ck_assert(gc_reach_judge(reach, unit_at(150), app, 3));
	ck_assert(gc_reach_record_try(reach, unit_at(400), app));
	ck_assert(!gc_reach_is_cut_off(reach, app));
	ck_assert(!gc_reach_record_try(reach, unit_at(450), app));
	talloc_free(reach);
}
END_TEST

/* Something between takes all bytes and answers nothing. */
START_TEST(test_silence_of_a_service_is_asked_about)
{
	gc_reach_t *reach = gc_reach_create(NULL);

	gc_reach_record_silent(reach, unit_at(200), app, 1, unit_at(100));
	ck_assert(!gc_reach_may_ask(reach, unit_at(1200), app, unit_at(50), 3));
	gc_reach_record_silent(reach, unit_at(500), app, 2, unit_at(400));
	ck_assert(!gc_reach_may_ask(reach, unit_at(1050), app, unit_at(50), 3));
	ck_assert(gc_reach_may_ask(reach, unit_at(1100), app, unit_at(50), 3));
	ck_assert(!gc_reach_may_ask(reach, unit_at(1200), app, unit_at(50), 3));
	ck_assert(gc_reach_may_ask(reach, unit_at(1600), app, unit_at(50), 3));
	ck_assert(
		gc_reach_record_muted(reach, unit_at(1900), app, unit_at(50)));
	ck_assert(gc_reach_is_cut_off(reach, app));
	ck_assert(gc_reach_record_try(reach, unit_at(2500), app));
	ck_assert(
		!gc_reach_may_ask(reach, unit_at(4000), app, unit_at(2500), 3));
	talloc_free(reach);
}
END_TEST

/* One byte of any server shows that links are sound. */
START_TEST(test_silence_ends_with_anything_heard)
{
	gc_reach_t *reach = gc_reach_create(NULL);

	gc_reach_record_silent(reach, unit_at(200), app, 1, unit_at(100));
	gc_reach_record_silent(reach, unit_at(200), app, 2, unit_at(100));
	ck_assert(
		!gc_reach_may_ask(reach, unit_at(1200), app, unit_at(150), 2));
	gc_reach_record_silent(reach, unit_at(1300), app, 1, unit_at(1200));
	gc_reach_record_silent(reach, unit_at(1300), app, 2, unit_at(1200));
	ck_assert(gc_reach_may_ask(reach, unit_at(2200), app, unit_at(150), 2));
	ck_assert(!gc_reach_record_muted(reach, unit_at(2500), app,
					 unit_at(2400)));
	ck_assert(!gc_reach_is_cut_off(reach, app));
	talloc_free(reach);
}
END_TEST

/* Connections that were open before live on while new ones are refused. */
START_TEST(test_response_on_a_kept_connection_does_not_end_it)
{
	gc_reach_t *reach = gc_reach_create(NULL);

	gc_reach_record_failed(reach, unit_at(0), app, 1, false);
	gc_reach_record_failed(reach, unit_at(0), app, 2, false);
	ck_assert(gc_reach_judge(reach, unit_at(0), app, 2));
	ck_assert(!gc_reach_has_kept(reach, unit_at(0), app));
	gc_reach_record_response(reach, unit_at(100), app, true);
	ck_assert(gc_reach_is_cut_off(reach, app));
	ck_assert(gc_reach_has_kept(reach, unit_at(200), app));
	ck_assert(!gc_reach_has_kept(reach, unit_at(5000), app));
	ck_assert(gc_reach_record_try(reach, unit_at(5000), app));
	ck_assert(!gc_reach_has_kept(reach, unit_at(5000), app));
	talloc_free(reach);
}
END_TEST

/* Streams go on while no connection can be opened. */
START_TEST(test_kept_connections_say_nothing_about_new_ones)
{
	gc_reach_t *reach = gc_reach_create(NULL);

	gc_reach_record_failed(reach, unit_at(0), app, 1, true);
	gc_reach_record_response(reach, unit_at(10), app, false);
	gc_reach_record_failed(reach, unit_at(20), app, 2, true);
	gc_reach_record_response(reach, unit_at(30), app, false);
	ck_assert(gc_reach_judge(reach, unit_at(30), app, 3));
	talloc_free(reach);

	reach = gc_reach_create(NULL);
	gc_reach_record_failed(reach, unit_at(0), app, 1, true);
	gc_reach_record_response(reach, unit_at(10), app, true);
	gc_reach_record_failed(reach, unit_at(20), app, 2, true);
	ck_assert(!gc_reach_judge(reach, unit_at(30), app, 3));
	talloc_free(reach);
}
END_TEST

/* A third of 36 servers crashes, and the others are avoided with their domains. */
START_TEST(test_two_of_many_servers_are_not_enough)
{
	gc_reach_t *reach = gc_reach_create(NULL);

	gc_reach_record_failed(reach, unit_at(0), app, 1, true);
	gc_reach_record_failed(reach, unit_at(1), app, 2, false);
	gc_reach_record_failed(reach, unit_at(2), app, 3, true);
	ck_assert(!gc_reach_judge(reach, unit_at(3), app, 36));
	for (uint64_t server = 4; server <= 6; server++)
		gc_reach_record_failed(reach, unit_at(4), app, server, false);
	ck_assert(gc_reach_judge(reach, unit_at(5), app, 36));
	talloc_free(reach);
}
END_TEST

START_TEST(test_old_failures_do_not_count)
{
	gc_reach_t *reach = gc_reach_create(NULL);

	gc_reach_record_failed(reach, unit_at(0), app, 1, false);
	gc_reach_record_failed(reach, unit_at(60000), app, 2, false);
	ck_assert(!gc_reach_judge(reach, unit_at(60000), app, 2));
	talloc_free(reach);
}
END_TEST

/* Nothing is sent in calm times; while cut off, a few tries a second. */
START_TEST(test_links_are_tried_only_while_cut_off)
{
	gc_reach_t *reach = gc_reach_create(NULL);
	gc_str_t service = GC_STR_EMPTY;
	unsigned int n_tries = 0;

	ck_assert_int_eq(gc_reach_next_try_ms(reach, unit_at(0), &service), -1);
	gc_reach_record_failed(reach, unit_at(0), app, 1, false);
	gc_reach_record_failed(reach, unit_at(0), app, 2, false);
	ck_assert_int_eq(gc_reach_next_try_ms(reach, unit_at(0), &service), -1);
	ck_assert(gc_reach_judge(reach, unit_at(0), app, 2));
	for (int ms = 0; ms < 10000; ms += 10) {
		if (gc_reach_next_try_ms(reach, unit_at(ms), &service) != 0)
			continue;
		ck_assert(gc_str_eq(service, app));
		ck_assert_uint_eq(gc_reach_begin_try(reach, unit_at(ms),
						     service),
				  n_tries);
		n_tries++;
	}
	ck_assert_uint_ge(n_tries, 10);
	ck_assert_uint_le(n_tries, 40);
	gc_reach_record_try(reach, unit_at(10000), app);
	ck_assert_int_eq(gc_reach_next_try_ms(reach, unit_at(20000), &service),
			 -1);
	talloc_free(reach);
}
END_TEST

static int64_t cut_off_at(gc_reach_t *reach, int64_t ms)
{
	gc_str_t service;

	gc_reach_record_failed(reach, unit_at(ms), app, 1, false);
	gc_reach_record_failed(reach, unit_at(ms), app, 2, false);
	ck_assert(gc_reach_judge(reach, unit_at(ms), app, 2));
	/* The first try is due at once. */
	ck_assert_int_eq(gc_reach_next_try_ms(reach, unit_at(ms), &service), 0);
	gc_reach_begin_try(reach, unit_at(ms), app);
	return gc_reach_next_try_ms(reach, unit_at(ms), &service);
}

/* Links that come and go each second are tried less often, at least once a
 * second; after calm as often as at first. */
START_TEST(test_unsteady_links_are_tried_less_often)
{
	gc_reach_t *reach = gc_reach_create(NULL);
	int64_t first_ms = cut_off_at(reach, 0);
	int64_t last_ms = first_ms;

	for (int i = 1; i < 6; i++) {
		int64_t ms;

		gc_reach_record_try(reach, unit_at(i * 1000 - 500), app);
		ms = cut_off_at(reach, i * 1000);
		ck_assert_int_ge(ms, last_ms);
		last_ms = ms;
	}
	ck_assert_int_gt(last_ms, first_ms);
	ck_assert_int_le(last_ms, 1000);
	gc_reach_record_try(reach, unit_at(6000), app);
	ck_assert_int_eq(cut_off_at(reach, 60000), first_ms);
	talloc_free(reach);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_one_failed_server_of_three_is_not_cut_off,
		test_two_failed_servers_or_the_only_one_are,
		test_service_without_servers_or_failures_is_not_cut_off,
		test_response_forgets_failures,
		test_silence_of_a_service_is_asked_about,
		test_silence_ends_with_anything_heard,
		test_response_on_a_kept_connection_does_not_end_it,
		test_kept_connections_say_nothing_about_new_ones,
		test_two_of_many_servers_are_not_enough,
		test_old_failures_do_not_count,
		test_links_are_tried_only_while_cut_off,
		test_unsteady_links_are_tried_less_often,
		NULL,
	};

	return unit_run("reach", tests);
}
