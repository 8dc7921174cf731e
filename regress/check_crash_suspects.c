/*
 * Load pattern: requests with one deadly trait come at any daemon, and each
 * crashes the server that answers it, together with sound streams there. Guards
 * against such requests that go on to crash servers, and against sound requests
 * that are refused because they share a trait with deadly ones or were on servers
 * that crashed for another reason.
 */
#include "core/crash_suspects.h"
#include "regress/unit.h"

/* Longer than the time within which crashes can be one event. */
#define APART_MS 400

enum { COMMON = 100, DEADLY = 201, OTHER = 302 };

static gc_crash_suspects_t *suspects;
static uint64_t next_id;

static gc_request_traits_t traits_of(uint64_t a, uint64_t b)
{
	gc_request_traits_t traits = {.parts = {a, b}, .n_parts = b ? 2 : 1};

	return traits;
}

static void start(void)
{
	talloc_free(suspects);
	suspects = gc_crash_suspects_create(NULL);
	next_id = 1;
}

/* The report's time of day is that of its arrival. */
static void report_at(int64_t ms, uint64_t server, uint64_t domain, uint64_t a,
		      uint64_t b, uint64_t revision)
{
	gc_crash_report_t report = {
		.id = next_id++,
		.server = server,
		.domain = domain,
		.at_ms = 1000000 + ms,
		.traits = traits_of(a, b),
	};

	gc_crash_suspects_add_report(suspects, unit_at(ms), &report, revision);
}

/* Of another server of one failure domain each time. */
static void report(int64_t ms, uint64_t a, uint64_t b, uint64_t revision)
{
	report_at(ms, 1000 + next_id, 1, a, b, revision);
}

static void crash_three_times(uint64_t a, uint64_t b)
{
	for (int i = 0; i < 3; i++)
		report(i * APART_MS, a, b, 0);
}

static gc_suspect_verdict_t judge(int64_t ms, uint64_t a, uint64_t b)
{
	gc_request_traits_t traits = traits_of(a, b);

	return gc_crash_suspects_judge(suspects, unit_at(ms), &traits);
}

static void serve(int64_t ms, uint64_t a, uint64_t b)
{
	gc_request_traits_t traits = traits_of(a, b);

	gc_crash_suspects_record_served(suspects, unit_at(ms), &traits);
}

/* A daemon that has lost its links reports servers that go on. A report of the
 * server's last crash, and responses to earlier requests, prove nothing. */
START_TEST(test_server_that_answers_later_has_not_crashed)
{
	start();
	report_at(0, 1, 1, DEADLY, 0, 0);
	report_at(APART_MS, 2, 2, DEADLY, 0, 0);
	report_at(2 * APART_MS, 3, 3, DEADLY, 0, 0);
	gc_crash_suspects_record_alive(suspects, unit_at(APART_MS - 1), 2);
	ck_assert_int_eq(judge(1000, DEADLY, 0), GC_SUSPECT_REFUSE);
	gc_crash_suspects_record_alive(suspects, unit_at(1000), 4);
	ck_assert_int_eq(judge(1000, DEADLY, 0), GC_SUSPECT_REFUSE);
	gc_crash_suspects_record_alive(suspects, unit_at(APART_MS + 1), 2);
	ck_assert_int_eq(judge(1000, DEADLY, 0), GC_SUSPECT_SEND);
	report_at(1001, 5, 1, DEADLY, 0, 0);
	ck_assert_int_eq(judge(1002, DEADLY, 0), GC_SUSPECT_REFUSE);
}
END_TEST

START_TEST(test_third_crash_blocks)
{
	start();
	report(0, DEADLY, 0, 0);
	report(APART_MS, DEADLY, 0, 0);
	ck_assert_int_eq(judge(1000, DEADLY, 0), GC_SUSPECT_SEND);
	report(2 * APART_MS, DEADLY, 0, 0);
	ck_assert_int_eq(judge(1000, DEADLY, 0), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(1000, OTHER, DEADLY), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(1000, OTHER, 0), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_sound_victims_of_a_crash_dont_blame_the_common_part)
{
	start();
	for (int i = 0; i < 3; i++) {
		report_at(i * APART_MS, 50 + (uint64_t)i, 1, COMMON, 0, 0);
		report_at(i * APART_MS + 1, 50 + (uint64_t)i, 1, COMMON, DEADLY,
			  0);
	}
	ck_assert_int_eq(judge(2000, COMMON, 0), GC_SUSPECT_SEND);
	ck_assert_int_eq(judge(2000, COMMON, OTHER), GC_SUSPECT_SEND);
	ck_assert_int_eq(judge(2000, COMMON, DEADLY), GC_SUSPECT_REFUSE);
}
END_TEST

START_TEST(test_own_report_takes_its_revision_from_the_store)
{
	gc_crash_report_t reports[3];

	start();
	for (int i = 0; i < 3; i++) {
		reports[i] = (gc_crash_report_t){
			.id = (uint64_t)i + 1,
			.server = (uint64_t)i + 50,
			.at_ms = i * APART_MS,
			.traits = traits_of(DEADLY, 0),
		};
		gc_crash_suspects_add_report(suspects, unit_at(i * APART_MS),
					     &reports[i], 0);
	}
	for (int i = 0; i < 3; i++)
		gc_crash_suspects_add_report(suspects, unit_at(1000),
					     &reports[i], 100 + (uint64_t)i);
	/* An older notice, read again with a full list. */
	gc_crash_suspects_add_served(suspects, unit_at(1100), DEADLY, 50);
	ck_assert_int_eq(judge(1200, DEADLY, 0), GC_SUSPECT_REFUSE);
	gc_crash_suspects_add_served(suspects, unit_at(1300), DEADLY, 103);
	ck_assert_int_eq(judge(1400, DEADLY, 0), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_service_clears_a_part_that_is_named_twice)
{
	start();
	crash_three_times(COMMON, COMMON);
	ck_assert_int_eq(judge(2000, COMMON, 0), GC_SUSPECT_REFUSE);
	serve(2001, COMMON, 0);
	ck_assert_int_eq(judge(2002, COMMON, 0), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_known_report_is_ignored)
{
	gc_crash_report_t same = {
		.id = 7, .at_ms = 0, .traits = traits_of(DEADLY, 0)};

	start();
	for (int i = 0; i < 5; i++) {
		same.at_ms = i * APART_MS;
		gc_crash_suspects_add_report(suspects, unit_at(i * APART_MS),
					     &same, (uint64_t)i);
	}
	ck_assert_int_eq(judge(3000, DEADLY, 0), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_mass_crash_counts_once)
{
	start();
	for (int i = 0; i < 20; i++)
		report(i * 15, COMMON, 0, 0);
	ck_assert_int_eq(judge(400, COMMON, 0), GC_SUSPECT_SEND);
	report(301, COMMON, 0, 0);
	ck_assert_int_eq(judge(400, COMMON, 0), GC_SUSPECT_SEND);
	report(602, COMMON, 0, 0);
	ck_assert_int_eq(judge(700, COMMON, 0), GC_SUSPECT_REFUSE);
}
END_TEST

/* A late report belongs to the crash of its server. */
START_TEST(test_late_report_of_same_event_counts_once)
{
	gc_crash_report_t late = {
		.server = 5, .at_ms = 1000000, .traits = traits_of(COMMON, 0)};

	start();
	for (int i = 0; i < 4; i++) {
		late.id = (uint64_t)i + 50;
		gc_crash_suspects_add_report(suspects, unit_at(i * APART_MS),
					     &late, 0);
	}
	ck_assert_int_eq(judge(3000, COMMON, 0), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_request_without_all_suspects_is_sent)
{
	start();
	crash_three_times(COMMON, DEADLY);
	ck_assert_int_eq(judge(1000, COMMON, DEADLY), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(1000, COMMON, OTHER), GC_SUSPECT_SEND);
	ck_assert_int_eq(judge(1000, COMMON, 0), GC_SUSPECT_SEND);
	/* Nothing tells yet which of both is deadly. */
	ck_assert_int_eq(judge(1000, DEADLY, OTHER), GC_SUSPECT_SEND);
	serve(1001, COMMON, OTHER);
	ck_assert_int_eq(judge(1002, DEADLY, OTHER), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(1002, COMMON, DEADLY), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(1002, COMMON, OTHER), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_deadly_part_in_different_company)
{
	start();
	report(0, COMMON, DEADLY, 0);
	report(APART_MS, OTHER, DEADLY, 0);
	report(2 * APART_MS, DEADLY, 0, 0);
	ck_assert_int_eq(judge(1000, DEADLY, 999), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(1000, COMMON, OTHER), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_service_clears_only_earlier_reports)
{
	start();
	crash_three_times(COMMON, 0);
	/* Not later than the newest report. */
	serve(2 * APART_MS, COMMON, 0);
	report(3 * APART_MS, COMMON, 0, 0);
	report(4 * APART_MS, COMMON, 0, 0);
	ck_assert_int_eq(judge(2000, COMMON, 0), GC_SUSPECT_REFUSE);
	serve(2001, COMMON, 0);
	ck_assert_int_eq(judge(2002, COMMON, 0), GC_SUSPECT_SEND);
	report(3000, COMMON, 0, 0);
	report(4000, COMMON, 0, 0);
	ck_assert_int_eq(judge(4001, COMMON, 0), GC_SUSPECT_SEND);
	report(5000, COMMON, 0, 0);
	ck_assert_int_eq(judge(5001, COMMON, 0), GC_SUSPECT_REFUSE);
}
END_TEST

START_TEST(test_service_elsewhere_goes_by_revision)
{
	start();
	for (uint64_t i = 0; i < 3; i++)
		report((int64_t)i * APART_MS, COMMON, 0, 10 + i);
	gc_crash_suspects_add_served(suspects, unit_at(1000), COMMON, 10);
	ck_assert_int_eq(judge(1001, COMMON, 0), GC_SUSPECT_REFUSE);
	gc_crash_suspects_add_served(suspects, unit_at(1002), COMMON, 11);
	ck_assert_int_eq(judge(1003, COMMON, 0), GC_SUSPECT_SEND);
	/* Read from the store after a service that came later. */
	gc_crash_suspects_add_served(suspects, unit_at(1004), COMMON, 20);
	for (uint64_t i = 0; i < 3; i++)
		report(2000 + (int64_t)i * APART_MS, COMMON, 0, 17 + i);
	ck_assert_int_eq(judge(4000, COMMON, 0), GC_SUSPECT_SEND);
	for (uint64_t i = 0; i < 3; i++)
		report(5000 + (int64_t)i * APART_MS, COMMON, 0, 20 + i);
	ck_assert_int_eq(judge(7000, COMMON, 0), GC_SUSPECT_REFUSE);
}
END_TEST

START_TEST(test_service_elsewhere_clears_local_reports)
{
	start();
	crash_three_times(COMMON, 0);
	gc_crash_suspects_add_served(suspects, unit_at(1000), COMMON, 1);
	ck_assert_int_eq(judge(1001, COMMON, 0), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_reports_expire)
{
	start();
	for (uint64_t i = 0; i < 3; i++)
		report((int64_t)i * APART_MS, DEADLY, 0, 1 + i);
	/* The owner of the trials is another daemon. */
	gc_crash_suspects_set_rank(suspects, (DEADLY + 1) % 2, 2);
	ck_assert_int_eq(judge(599999, DEADLY, 0), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(600000, DEADLY, 0), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_reports_that_only_this_daemon_has_are_tried_by_it)
{
	start();
	crash_three_times(DEADLY, 0);
	gc_crash_suspects_set_rank(suspects, (DEADLY + 1) % 2, 2);
	ck_assert_int_eq(judge(40000, DEADLY, 0), GC_SUSPECT_TRY);
	ck_assert_int_eq(judge(40001, DEADLY, 0), GC_SUSPECT_REFUSE);
}
END_TEST

START_TEST(test_pause_between_trials_doubles)
{
	start();
	crash_three_times(DEADLY, 0);
	ck_assert_int_eq(judge(30799, DEADLY, 0), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(30800, DEADLY, 0), GC_SUSPECT_TRY);
	ck_assert_int_eq(judge(30801, DEADLY, 0), GC_SUSPECT_REFUSE);
	report(31500, DEADLY, 0, 0);
	ck_assert_int_eq(judge(90799, DEADLY, 0), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(90800, DEADLY, 0), GC_SUSPECT_TRY);
	report(91500, DEADLY, 0, 0);
	ck_assert_int_eq(judge(210799, DEADLY, 0), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(210800, DEADLY, 0), GC_SUSPECT_TRY);
	serve(211000, DEADLY, 0);
	ck_assert_int_eq(judge(211001, DEADLY, 0), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_one_daemon_tries)
{
	int n_tries = 0;

	for (size_t rank = 0; rank < 5; rank++) {
		start();
		gc_crash_suspects_set_rank(suspects, rank, 5);
		for (uint64_t i = 0; i < 3; i++)
			report((int64_t)i * APART_MS, COMMON, DEADLY, 1 + i);
		n_tries += judge(40000, COMMON, DEADLY) == GC_SUSPECT_TRY;
	}
	ck_assert_int_eq(n_tries, 1);
	start();
	gc_crash_suspects_set_rank(suspects, 0, 0);
	crash_three_times(DEADLY, 0);
	ck_assert_int_eq(judge(40000, DEADLY, 0), GC_SUSPECT_TRY);
}
END_TEST

START_TEST(test_service_is_told_once_per_report)
{
	uint64_t told[4];

	start();
	report(0, COMMON, DEADLY, 0);
	serve(10, COMMON, 0);
	ck_assert_uint_eq(gc_crash_suspects_take_served(suspects, unit_at(11),
							told, 4),
			  0);
	report(APART_MS, COMMON, DEADLY, 0);
	ck_assert_uint_eq(gc_crash_suspects_take_served(suspects, unit_at(500),
							told, 4),
			  0);
	serve(501, COMMON, OTHER);
	ck_assert_uint_eq(gc_crash_suspects_take_served(suspects, unit_at(502),
							told, 4),
			  1);
	ck_assert_uint_eq(told[0], COMMON);
	serve(503, COMMON, OTHER);
	ck_assert_uint_eq(gc_crash_suspects_take_served(suspects, unit_at(504),
							told, 4),
			  0);
	report(1000, COMMON, DEADLY, 0);
	serve(1001, COMMON, 0);
	ck_assert_uint_eq(gc_crash_suspects_take_served(suspects, unit_at(1002),
							told, 4),
			  1);
}
END_TEST

START_TEST(test_service_is_not_told_after_another_daemon)
{
	uint64_t told[4];

	start();
	report(0, COMMON, 0, 5);
	report(APART_MS, COMMON, 0, 6);
	serve(500, COMMON, 0);
	gc_crash_suspects_add_served(suspects, unit_at(501), COMMON, 7);
	ck_assert_uint_eq(gc_crash_suspects_take_served(suspects, unit_at(502),
							told, 4),
			  0);
}
END_TEST

/* Sends of a whole request; server n is in failure domain n % 3. */
static gc_request_traits_t request_traits(uint64_t request)
{
	return (gc_request_traits_t){.request = request};
}

static uint64_t lose(int64_t ms, uint64_t server, uint64_t request, bool resent,
		     int64_t clock_error_ms)
{
	gc_crash_report_t report = {
		.id = next_id++,
		.server = server,
		.domain = server % 3,
		.at_ms = 1000000 + ms + clock_error_ms,
		.resent = resent,
		.traits = request_traits(request),
	};

	gc_crash_suspects_add_loss(suspects, unit_at(ms), &report);
	return report.id;
}

static void crash(int64_t ms, uint64_t server, uint64_t request, bool resent)
{
	gc_crash_suspects_settle(suspects, lose(ms, server, request, resent, 0),
				 true);
}

static gc_suspect_verdict_t judge_request(int64_t ms, uint64_t request)
{
	gc_request_traits_t traits = request_traits(request);

	return gc_crash_suspects_judge(suspects, unit_at(ms), &traits);
}

static void serve_request(int64_t ms, uint64_t request)
{
	gc_request_traits_t traits = request_traits(request);

	gc_crash_suspects_record_served(suspects, unit_at(ms), &traits);
}

/* As in the record: two servers within 100 ms under one request, then a third
 * under its repeat. */
START_TEST(test_servers_that_end_within_100_ms_count_each)
{
	start();
	crash(0, 1, DEADLY, false);
	crash(84, 2, DEADLY, true);
	ck_assert_int_eq(judge_request(85, DEADLY), GC_SUSPECT_SEND);
	crash(200, 3, DEADLY, false);
	ck_assert_int_eq(judge_request(201, DEADLY), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge_request(201, OTHER), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_servers_of_one_domain_count_each_as_request_goes_on)
{
	start();
	for (uint64_t i = 0; i < 3; i++)
		crash((int64_t)i * 50, 3 * i, DEADLY, i > 0);
	ck_assert_int_eq(judge_request(200, DEADLY), GC_SUSPECT_REFUSE);
}
END_TEST

/* Several daemons lose the same server, and their clocks differ. */
START_TEST(test_reports_on_one_server_count_once)
{
	start();
	for (int i = 0; i < 9; i++)
		gc_crash_suspects_settle(
			suspects, lose(i, 1, DEADLY, false, i * 2000), true);
	ck_assert_int_eq(judge_request(100, DEADLY), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_reports_with_one_wrong_time_count_each)
{
	start();
	for (int i = 0; i < 3; i++)
		gc_crash_suspects_settle(suspects,
					 lose(i * 5000, (uint64_t)i + 1, DEADLY,
					      false, -i * 5000),
					 true);
	ck_assert_int_eq(judge_request(20000, DEADLY), GC_SUSPECT_REFUSE);
}
END_TEST

/* Deadly prompts that come at one moment, in different domains. */
START_TEST(test_burst_of_deadly_prompts_counts_each_server)
{
	start();
	for (uint64_t i = 0; i < 3; i++)
		report_at(0, 10 + i, i, DEADLY, 0, 0);
	ck_assert_int_eq(judge(1, DEADLY, 0), GC_SUSPECT_REFUSE);
}
END_TEST

/* A request that many callers ask for while a failure domain is lost. */
START_TEST(test_lost_domain_does_not_block_a_hot_request)
{
	start();
	for (uint64_t i = 0; i < 10; i++)
		crash((int64_t)i * 10, 3 * i, i % 2 ? DEADLY : 400 + i, false);
	ck_assert_int_eq(judge_request(200, DEADLY), GC_SUSPECT_SEND);
}
END_TEST

/* All servers lose power: a part that most prompts share was at most of them. */
START_TEST(test_loss_of_all_servers_does_not_block_a_common_part)
{
	start();
	for (uint64_t i = 0; i < 12; i++)
		report_at((int64_t)i * 10, 10 + i, i % 3,
			  i % 4 ? COMMON : OTHER, 0, 0);
	ck_assert_int_eq(judge(200, COMMON, 0), GC_SUSPECT_SEND);
	ck_assert_int_eq(judge(200, OTHER, 0), GC_SUSPECT_SEND);
}
END_TEST

/* Any daemon tries it, as the other one was in more crashes. */
START_TEST(test_neighbour_of_a_deadly_request_is_tried_soon)
{
	start();
	gc_crash_suspects_set_rank(suspects, (OTHER + 1) % 2, 2);
	for (uint64_t i = 0; i < 3; i++) {
		crash((int64_t)i * 1000, i, DEADLY, false);
		crash((int64_t)i * 1000, i, OTHER, false);
	}
	crash(3000, 3, DEADLY, false);
	ck_assert_int_eq(judge_request(3001, DEADLY), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge_request(5001, OTHER), GC_SUSPECT_TRY);
	serve_request(5002, OTHER);
	ck_assert_int_eq(judge_request(5003, OTHER), GC_SUSPECT_SEND);
	ck_assert_int_eq(judge_request(5003, DEADLY), GC_SUSPECT_REFUSE);
}
END_TEST

/* Nothing tells which of both it is: one is tried soon. */
START_TEST(test_doubt_between_two_requests_ends_soon)
{
	start();
	for (uint64_t i = 0; i < 3; i++) {
		crash((int64_t)i * 1000, i, DEADLY, false);
		crash((int64_t)i * 1000, i, OTHER, false);
	}
	ck_assert_int_eq(judge_request(4999, OTHER), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge_request(5000, OTHER), GC_SUSPECT_TRY);
	serve_request(5100, OTHER);
	ck_assert_int_eq(judge_request(5101, OTHER), GC_SUSPECT_SEND);
	ck_assert_int_eq(judge_request(5101, DEADLY), GC_SUSPECT_REFUSE);
}
END_TEST

START_TEST(test_two_deadly_requests_at_once)
{
	start();
	for (uint64_t i = 0; i < 6; i++)
		crash((int64_t)i * 100, i, i % 2 ? DEADLY : OTHER, false);
	ck_assert_int_eq(judge_request(1000, DEADLY), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge_request(1000, OTHER), GC_SUSPECT_REFUSE);
}
END_TEST

/* The second attempt follows a loss at once, its check takes longer. */
START_TEST(test_request_waits_while_its_losses_are_checked)
{
	uint64_t id;

	start();
	crash(0, 1, DEADLY, false);
	crash(100, 2, DEADLY, true);
	id = lose(200, 3, DEADLY, false, 0);
	ck_assert_int_eq(judge_request(202, DEADLY), GC_SUSPECT_WAIT);
	gc_crash_suspects_settle(suspects, id, false);
	ck_assert_int_eq(judge_request(300, DEADLY), GC_SUSPECT_SEND);
	id = lose(400, 4, DEADLY, false, 0);
	gc_crash_suspects_settle(suspects, id, true);
	ck_assert_int_eq(judge_request(401, DEADLY), GC_SUSPECT_REFUSE);
}
END_TEST

/* A daemon of an older build that is cut off reports servers that go on. Others of
 * older builds believe it until they are told of a service. */
START_TEST(test_refuted_report_does_not_count)
{
	uint64_t told[4];
	uint64_t ids[4];

	start();
	for (uint64_t i = 0; i < 4; i++)
		ids[i] = lose((int64_t)i * 100, i + 1, DEADLY, false, 0);
	ck_assert_int_eq(judge_request(400, DEADLY), GC_SUSPECT_WAIT);
	for (int i = 0; i < 4; i++)
		gc_crash_suspects_refute(suspects, ids[i]);
	ck_assert_int_eq(judge_request(401, DEADLY), GC_SUSPECT_SEND);
	gc_crash_suspects_record_alive(suspects, unit_at(402), 1);
	serve_request(403, DEADLY);
	ck_assert_uint_eq(gc_crash_suspects_take_served(suspects, unit_at(404),
							told, 4),
			  1);
	ck_assert_uint_eq(told[0], DEADLY);
	/* The servers crashed after all. */
	start();
	for (uint64_t i = 0; i < 3; i++) {
		ids[i] = lose((int64_t)i * 100, i + 1, DEADLY, false, 0);
		gc_crash_suspects_refute(suspects, ids[i]);
		gc_crash_suspects_settle(suspects, ids[i], true);
	}
	ck_assert_int_eq(judge_request(401, DEADLY), GC_SUSPECT_REFUSE);
}
END_TEST

START_TEST(test_served_request_is_cleared)
{
	start();
	for (uint64_t i = 0; i < 3; i++)
		crash((int64_t)i * 1000, i, OTHER, false);
	ck_assert_int_eq(judge_request(2500, OTHER), GC_SUSPECT_REFUSE);
	serve_request(2600, OTHER);
	ck_assert_int_eq(judge_request(2601, OTHER), GC_SUSPECT_SEND);
	crash(3000, 4, OTHER, false);
	crash(4000, 5, OTHER, false);
	ck_assert_int_eq(judge_request(4001, OTHER), GC_SUSPECT_SEND);
}
END_TEST

START_TEST(test_trials_end_after_three_crashes)
{
	int n_trials = 0;

	start();
	for (uint64_t i = 0; i < 3; i++)
		crash((int64_t)i * 1000, i, DEADLY, false);
	for (int64_t ms = 3000; ms < 590000; ms += 1000) {
		if (judge_request(ms, DEADLY) != GC_SUSPECT_TRY)
			continue;
		n_trials++;
		crash(ms + 100, 1000 + (uint64_t)ms, DEADLY, false);
	}
	ck_assert_int_eq(n_trials, 3);
}
END_TEST

enum { DAY_MS = 24 * 60 * 60 * 1000 };

/* The daemons restart one after the other: each has what the store has. */
START_TEST(test_three_trials_in_a_day_across_restarts)
{
	gc_crash_evidence_t evidence[4];
	size_t n_told = 0;
	int n_trials = 0;

	start();
	for (uint64_t i = 0; i < 3; i++)
		crash((int64_t)i * 1000, i, DEADLY, false);
	for (int64_t ms = 60000; ms < DAY_MS; ms += 60000) {
		size_t n = gc_crash_suspects_keep(suspects, unit_at(ms),
						  evidence, 4);

		if (n > 0) {
			n_told++;
			ck_assert_uint_eq(n, 1);
			ck_assert_uint_eq(evidence[0].trait, DEADLY);
			ck_assert_uint_eq(evidence[0].n, 3 + (size_t)n_trials);
			ck_assert_int_gt(evidence[0].left_ms, 0);
			ck_assert_int_le(evidence[0].left_ms, DAY_MS);
		}
		if (n > 0 && ms % 720000 == 0) {
			start();
			next_id = 1000 + (uint64_t)ms;
			for (size_t i = 0; i < evidence[0].n; i++) {
				gc_crash_suspects_add_report(
					suspects, unit_at(ms),
					&evidence[0].reports[i], i + 1);
				gc_crash_suspects_extend(
					suspects, unit_at(ms),
					evidence[0].reports[i].id,
					evidence[0].left_ms);
			}
		}
		switch (judge_request(ms + 1, DEADLY)) {
		case GC_SUSPECT_TRY:
			n_trials++;
			crash(ms + 100, 1000 + (uint64_t)ms, DEADLY, false);
			break;
		case GC_SUSPECT_REFUSE:
			break;
		default:
			ck_abort_msg("sent after %d min", (int)(ms / 60000));
		}
	}
	ck_assert_int_eq(n_trials, 3);
	/* Often enough that no notice ends before the next one. */
	ck_assert_uint_ge(n_told, DAY_MS / 300000);
}
END_TEST

/* The first one may be gone, or know nothing. */
START_TEST(test_three_daemons_tell_of_a_refused_request_in_turn)
{
	gc_crash_evidence_t evidence[4];
	unsigned int n_turns[5] = {0};
	size_t n = 0;

	for (size_t rank = 0; rank < 5; rank++) {
		start();
		gc_crash_suspects_set_rank(suspects, rank, 5);
		for (uint64_t i = 0; i < 3; i++)
			crash((int64_t)i * 1000, i, DEADLY, false);
		crash(4000, 8, OTHER, false);
		n = gc_crash_suspects_keep(suspects, unit_at(60000), evidence,
					   4);
		ck_assert_uint_le(n, 1);
		if (n > 0) {
			ck_assert_uint_lt(evidence[0].turn, 5);
			n_turns[evidence[0].turn]++;
		}
	}
	for (size_t i = 0; i < 5; i++)
		ck_assert_uint_eq(n_turns[i], i < 3);
	start();
	for (uint64_t i = 0; i < 3; i++)
		crash((int64_t)i * 1000, i, DEADLY, false);
	serve_request(5000, DEADLY);
	ck_assert_uint_eq(gc_crash_suspects_keep(suspects, unit_at(60000),
						 evidence, 4),
			  0);
}
END_TEST

/* Nothing else tells daemons that start: the reports may be displaced in the store. */
START_TEST(test_further_crashes_are_told_at_once)
{
	gc_crash_evidence_t evidence[4];

	start();
	for (uint64_t i = 0; i < 2; i++)
		crash((int64_t)i * 1000, i, DEADLY, false);
	ck_assert(!gc_crash_suspects_has_due(suspects));
	for (size_t i = 3; i < 6; i++) {
		int64_t ms = (int64_t)i * 1000;

		crash(ms, i, DEADLY, false);
		crash(ms + 400, 10 + i, OTHER + i, false);
		ck_assert(gc_crash_suspects_has_due(suspects));
		ck_assert_uint_eq(gc_crash_suspects_keep_due(suspects,
							     unit_at(ms + 500),
							     evidence, 4),
				  1);
		ck_assert_uint_eq(evidence[0].trait, DEADLY);
		ck_assert_uint_eq(evidence[0].n, i);
		ck_assert(!gc_crash_suspects_has_due(suspects));
		ck_assert_uint_eq(gc_crash_suspects_keep(suspects,
							 unit_at(ms + 501),
							 evidence, 4),
				  0);
	}
}
END_TEST

START_TEST(test_a_restored_store_is_told_again)
{
	gc_crash_evidence_t evidence[4];

	start();
	for (uint64_t i = 0; i < 3; i++)
		crash((int64_t)i * 1000, i, DEADLY, false);
	ck_assert_uint_eq(gc_crash_suspects_keep_due(suspects, unit_at(4000),
						     evidence, 4),
			  1);
	gc_crash_suspects_store_restored(suspects);
	ck_assert(gc_crash_suspects_has_due(suspects));
	ck_assert_uint_eq(gc_crash_suspects_keep_due(suspects, unit_at(4001),
						     evidence, 4),
			  1);
	ck_assert_uint_eq(evidence[0].trait, DEADLY);
	/* Not if it was served since. */
	serve_request(5000, DEADLY);
	gc_crash_suspects_store_restored(suspects);
	ck_assert_uint_eq(gc_crash_suspects_keep_due(suspects, unit_at(5001),
						     evidence, 4),
			  0);
}
END_TEST

/* Traits for which there is no space are returned by the next calls. */
START_TEST(test_many_refused_requests_are_told_in_parts)
{
	gc_crash_evidence_t evidence[2];
	bool told[5] = {false};
	size_t n_told = 0;
	size_t n;

	start();
	for (uint64_t i = 0; i < 15; i++)
		crash((int64_t)i * 1000, i, 100 + i % 5, false);
	for (int64_t ms = 15000; gc_crash_suspects_has_due(suspects); ms++) {
		n = gc_crash_suspects_keep_due(suspects, unit_at(ms), evidence,
					       2);
		ck_assert_uint_gt(n, 0);
		for (size_t i = 0; i < n; i++) {
			ck_assert(!told[evidence[i].trait - 100]);
			told[evidence[i].trait - 100] = true;
			n_told++;
		}
	}
	ck_assert_uint_eq(n_told, 5);
}
END_TEST

/* Memory is bounded; what recurs and the newest reports and services stay. */
START_TEST(test_reports_that_recur_stay)
{
	start();
	crash_three_times(DEADLY, 0);
	for (int i = 0; i < 5000; i++)
		report(2000 + i, 5000 + (uint64_t)i, 0, 0);
	ck_assert_int_eq(judge(8000, DEADLY, 0), GC_SUSPECT_REFUSE);
	for (int i = 0; i < 3; i++)
		report(9000 + i * APART_MS, OTHER, 0, 0);
	ck_assert_int_eq(judge(11000, OTHER, 0), GC_SUSPECT_REFUSE);

	start();
	for (uint64_t i = 0; i < 5000; i++)
		gc_crash_suspects_add_served(suspects, unit_at(0), 10000 + i,
					     100);
	for (uint64_t i = 0; i < 3; i++) {
		report((int64_t)i * APART_MS, 10000, 0, 10 + i);
		report((int64_t)i * APART_MS, 14999, 0, 10 + i);
	}
	ck_assert_int_eq(judge(1000, 10000, 0), GC_SUSPECT_REFUSE);
	ck_assert_int_eq(judge(1000, 14999, 0), GC_SUSPECT_SEND);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_third_crash_blocks,
		test_server_that_answers_later_has_not_crashed,
		test_service_clears_a_part_that_is_named_twice,
		test_own_report_takes_its_revision_from_the_store,
		test_sound_victims_of_a_crash_dont_blame_the_common_part,
		test_known_report_is_ignored,
		test_mass_crash_counts_once,
		test_late_report_of_same_event_counts_once,
		test_request_without_all_suspects_is_sent,
		test_deadly_part_in_different_company,
		test_service_clears_only_earlier_reports,
		test_service_elsewhere_goes_by_revision,
		test_service_elsewhere_clears_local_reports,
		test_reports_expire,
		test_reports_that_only_this_daemon_has_are_tried_by_it,
		test_pause_between_trials_doubles,
		test_one_daemon_tries,
		test_service_is_told_once_per_report,
		test_service_is_not_told_after_another_daemon,
		test_reports_that_recur_stay,
		test_servers_that_end_within_100_ms_count_each,
		test_servers_of_one_domain_count_each_as_request_goes_on,
		test_reports_on_one_server_count_once,
		test_reports_with_one_wrong_time_count_each,
		test_burst_of_deadly_prompts_counts_each_server,
		test_lost_domain_does_not_block_a_hot_request,
		test_loss_of_all_servers_does_not_block_a_common_part,
		test_neighbour_of_a_deadly_request_is_tried_soon,
		test_doubt_between_two_requests_ends_soon,
		test_two_deadly_requests_at_once,
		test_request_waits_while_its_losses_are_checked,
		test_refuted_report_does_not_count,
		test_served_request_is_cleared,
		test_trials_end_after_three_crashes,
		test_three_trials_in_a_day_across_restarts,
		test_three_daemons_tell_of_a_refused_request_in_turn,
		test_further_crashes_are_told_at_once,
		test_a_restored_store_is_told_again,
		test_many_refused_requests_are_told_in_parts,
		NULL,
	};

	return unit_run("crash_suspects", tests);
}
