/*
 * A daemon's view of brittle servers. Guards against requests without a place, and
 * against places that this daemon keeps although nothing is in flight for them.
 */
#include "core/backends.h"
#include "regress/unit.h"

#define APP	GC_STR_LIT("app")
#define SOON_MS 10

static uint64_t random_state;
static const gc_random_t test_random = {unit_next_random, &random_state};

static gc_backends_t *create_backends(size_t n)
{
	static const char *const ids[] = {"s1", "s2", "s3"};
	gc_backends_conf_t conf = {.failure_domain = GC_STR_LIT("a"),
				   .random = &test_random,
				   .repeat_ratio = 1,
				   .repeat_window_ms = 1000};
	gc_registry_entry_t servers[3];
	gc_daemon_rank_t rank = {.n_all = 1, .n_local = 1};
	gc_backends_t *backends = gc_backends_create(NULL, &conf);

	for (size_t i = 0; i < n; i++)
		servers[i] =
			(gc_registry_entry_t){.id = gc_str(ids[i]),
					      .service = APP,
					      .address = gc_str(ids[i]),
					      .failure_domain = GC_STR_LIT("a"),
					      .slots = 4,
					      .started_ms = 1};
	gc_backends_sync(backends, servers, n, &rank);
	return backends;
}

static gc_backend_t *choose(gc_backends_t *backends, int64_t ms)
{
	return gc_backends_choose(backends, unit_at(ms), APP, NULL);
}

static gc_backend_t *choose_to_ask(gc_backends_t *backends, int64_t ms,
				   const gc_backend_t *chosen,
				   unsigned int rank)
{
	return gc_backends_choose_to_ask(backends, unit_at(ms), APP, NULL, NULL,
					 chosen, rank);
}

static gc_place_ask_t begin_ask(gc_backend_t *server, int64_t ms,
				uint32_t wanted)
{
	gc_place_ask_t ask = {.wanted = wanted};

	gc_backend_begin_place_ask(server, unit_at(ms), &ask);
	return ask;
}

static void answer(gc_backends_t *backends, const gc_backend_t *server,
		   int64_t ms, uint32_t granted, int64_t wait_ms)
{
	gc_place_answer_t answer = {.server = gc_backend_incarnation(server),
				    .brittle = 6,
				    .brittle_at = unit_at(0),
				    .to_ask = true,
				    .granted = granted,
				    .wait_ms = wait_ms,
				    .rank = 3};

	ck_assert_ptr_eq(gc_backends_record_places(backends, unit_at(ms),
						   &answer),
			 server);
}

START_TEST(test_full_server_is_told_from_a_lost_one)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);
	gc_backend_set_t avoid = {.list = &server, .n = 1};

	ck_assert(!gc_backends_has_full(backends, unit_at(0), APP, NULL));
	gc_backend_record_brittle(server, unit_at(0), 6);
	ck_assert(gc_backends_has_full(backends, unit_at(0), APP, NULL));
	ck_assert(!gc_backends_has_full(backends, unit_at(0), APP, &avoid));
	gc_backend_record_failure(server, unit_at(10), GC_END_BROKEN);
	ck_assert(!gc_backends_has_full(backends, unit_at(20), APP, NULL));
	talloc_free(backends);
}
END_TEST

/* The others of its failure domain failed; it may be there all the same. */
START_TEST(test_full_server_of_an_ejected_domain)
{
	gc_backends_t *backends = create_backends(3);
	gc_backend_t *servers[3];
	gc_backend_set_t avoid = {.list = servers, .n = 0};

	for (size_t i = 0; i < 3; i++) {
		servers[i] =
			gc_backends_choose(backends, unit_at(0), APP, &avoid);
		avoid.n++;
	}
	gc_backend_record_brittle(servers[2], unit_at(0), 6);
	for (size_t i = 0; i < 2; i++)
		gc_backend_record_failure(servers[i], unit_at(10),
					  GC_END_TIMED_OUT);
	avoid.n = 1;
	ck_assert(!gc_backend_usable(servers[2], unit_at(20)));
	ck_assert(gc_backends_has_full(backends, unit_at(20), APP, &avoid));
	avoid.n = 3;
	ck_assert(!gc_backends_has_full(backends, unit_at(20), APP, &avoid));
	talloc_free(backends);
}
END_TEST

/* A request that waits for a full server is asked for there, as gc_backends_choose
 * would choose it: sound ones first, then those that only their domain ejected. */
START_TEST(test_ejected_servers_are_asked_last)
{
	gc_backends_t *backends = create_backends(3);
	gc_backend_t *servers[3];
	gc_backend_set_t avoid = {.list = servers, .n = 0};
	gc_backend_t *server;

	for (size_t i = 0; i < 3; i++) {
		servers[i] =
			gc_backends_choose(backends, unit_at(0), APP, &avoid);
		avoid.n++;
	}
	for (size_t i = 0; i < 3; i++)
		gc_backend_record_brittle(servers[i], unit_at(0), 6);
	gc_backend_record_failure(servers[0], unit_at(10), GC_END_TIMED_OUT);
	for (int i = 0; i < 8; i++)
		ck_assert_ptr_ne(choose_to_ask(backends, 20, NULL, 3),
				 servers[0]);
	gc_backend_record_failure(servers[1], unit_at(20), GC_END_TIMED_OUT);
	ck_assert(!gc_backend_usable(servers[2], unit_at(30)));
	ck_assert(!gc_backends_may_ask_usable(backends, unit_at(30), APP, NULL,
					      3));
	ck_assert_ptr_eq(choose_to_ask(backends, 30, NULL, 3), servers[2]);
	begin_ask(servers[2], 30, 1);
	ck_assert_ptr_null(choose_to_ask(backends, 31, NULL, 3));
	gc_backend_record_failure(servers[2], unit_at(40), GC_END_TIMED_OUT);
	server = choose_to_ask(backends, 50, NULL, 3);
	ck_assert(server == servers[0] || server == servers[1]);
	answer(backends, server, 60, 1, 0);
	ck_assert_ptr_eq(choose(backends, 60), server);
	talloc_free(backends);
}
END_TEST

START_TEST(test_place_is_needed_and_used_up)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);

	gc_backend_record_brittle(server, unit_at(0), 6);
	ck_assert_ptr_null(choose(backends, 0));
	ck_assert_ptr_eq(choose_to_ask(backends, 0, NULL, 3), server);
	ck_assert_double_eq(begin_ask(server, 0, 1).brittle, 6);
	ck_assert_ptr_null(choose_to_ask(backends, 1, NULL, 3));
	answer(backends, server, SOON_MS, 1, 0);
	ck_assert_ptr_eq(choose(backends, SOON_MS), server);
	gc_backend_add_request(server);
	ck_assert_ptr_null(choose(backends, SOON_MS));
	answer(backends, server, SOON_MS, 1, 0);
	ck_assert_ptr_null(choose(backends, SOON_MS + GC_PLACE_VALID_MS));
	talloc_free(backends);
}
END_TEST

START_TEST(test_what_is_held)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);
	gc_place_ask_t ask;

	gc_backend_add_request(server);
	gc_backend_record_brittle(server, unit_at(0), 6);
	ck_assert(gc_backend_is_place_report_due(server, unit_at(0)));
	ask = begin_ask(server, 0, 2);
	ck_assert_uint_eq(ask.held, 1);
	ck_assert(!gc_backend_is_place_report_due(server, unit_at(0)));
	answer(backends, server, SOON_MS, 2, 0);
	gc_backend_add_request(server);
	ask = begin_ask(server, SOON_MS, 0);
	ck_assert_uint_eq(ask.held, 3);
	ck_assert_uint_eq(ask.got, 2);
	gc_backend_remove_request(server);
	ck_assert(gc_backend_is_place_report_due(server, unit_at(SOON_MS)));
	gc_backend_drop_unused_places(server);
	ck_assert_uint_eq(begin_ask(server, SOON_MS, 0).held, 1);
	/* What is in flight is named again from time to time. */
	ck_assert(gc_backend_is_place_report_due(
		server, unit_at(SOON_MS + GC_PLACES_REPORT_MS)));
	talloc_free(backends);
}
END_TEST

/* The server may go on with a request whose connection was closed. */
START_TEST(test_abandoned_request)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);

	gc_backend_add_request(server);
	gc_backend_record_brittle(server, unit_at(0), 6);
	gc_backend_abandon_request(server, unit_at(0));
	gc_backend_remove_request(server);
	ck_assert_uint_eq(begin_ask(server, 1, 0).held, 1);
	ck_assert(gc_backend_is_place_report_due(server, unit_at(1000)));
	ck_assert_uint_eq(begin_ask(server, 1000, 0).held, 0);
	ck_assert(!gc_backend_is_place_report_due(server, unit_at(2000)));
	talloc_free(backends);
}
END_TEST

START_TEST(test_turned_away)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);

	gc_backend_add_request(server);
	gc_backend_record_brittle(server, unit_at(0), 6);
	answer(backends, server, 0, 2, 0);
	gc_backend_record_failure(server, unit_at(1), GC_END_REFUSED);
	ck_assert_ptr_null(choose(backends, 1));
	ck_assert_uint_eq(begin_ask(server, 1, 0).turned_away, 1);
	ck_assert_uint_eq(begin_ask(server, 1, 0).turned_away, 0);
	talloc_free(backends);
}
END_TEST

START_TEST(test_denied)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);

	gc_backend_record_brittle(server, unit_at(0), 6);
	answer(backends, server, 0, 0, 200);
	ck_assert_ptr_null(choose_to_ask(backends, 100, NULL, 3));
	ck_assert_ptr_eq(choose_to_ask(backends, 100, NULL, 2), server);
	ck_assert_int_eq(
		gc_backends_earliest_return(backends, unit_at(50), APP), 150);
	talloc_free(backends);
}
END_TEST

START_TEST(test_end)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);

	gc_backend_record_brittle(server, unit_at(10), 6);
	begin_ask(server, 10, 0);
	ck_assert(gc_backends_is_restricted(backends, APP));
	gc_backend_record_brittle(server, unit_at(20), GC_NOT_BRITTLE);
	ck_assert(gc_backend_is_place_report_due(server, unit_at(20)));
	ck_assert_double_eq(begin_ask(server, 20, 0).brittle, GC_NOT_BRITTLE);
	/* An issuer that knows only what was before. */
	answer(backends, server, 30, 0, 0);
	ck_assert(!gc_backends_is_restricted(backends, APP));
	ck_assert_ptr_eq(choose(backends, 30), server);
	ck_assert(!gc_backend_is_place_report_due(server, unit_at(5000)));
	talloc_free(backends);
}
END_TEST

START_TEST(test_told_by_issuer)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);

	gc_backend_record_brittle(server, unit_at(-100), GC_NOT_BRITTLE);
	answer(backends, server, 30, 0, 0);
	ck_assert(gc_backends_is_restricted(backends, APP));
	ck_assert_ptr_null(choose(backends, 30));
	talloc_free(backends);
}
END_TEST

/* Both a permit and a place are needed. */
START_TEST(test_limited_and_brittle)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);
	gc_permit_answer_t permit = {.server = gc_backend_incarnation(server),
				     .limit = 5,
				     .limit_at = unit_at(0),
				     .granted = 1};

	gc_backend_record_brittle(server, unit_at(0), 6);
	gc_backend_record_limit(server, unit_at(0), 5);
	ck_assert_ptr_eq(choose_to_ask(backends, 0, NULL, 3), server);
	answer(backends, server, 0, 1, 0);
	ck_assert_ptr_null(choose(backends, 0));
	ck_assert_ptr_eq(choose_to_ask(backends, 0, NULL, 3), server);
	gc_backends_record_permits(backends, unit_at(0), &permit);
	ck_assert_ptr_eq(choose(backends, 0), server);
	ck_assert_ptr_null(choose_to_ask(backends, 0, NULL, 3));
	talloc_free(backends);
}
END_TEST

/* A server that has just started counts as brittle until it answers, if another
 * one of its service is: the daemons would send it more than it has room for. */
START_TEST(test_started_beside_brittle_one)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);
	gc_registry_entry_t servers[2] = {
		{.id = GC_STR_LIT("s1"),
		 .service = APP,
		 .address = GC_STR_LIT("s1"),
		 .failure_domain = GC_STR_LIT("a"),
		 .slots = 4,
		 .started_ms = 1},
		{.id = GC_STR_LIT("s2"),
		 .service = APP,
		 .address = GC_STR_LIT("s2"),
		 .failure_domain = GC_STR_LIT("a"),
		 .slots = 4,
		 .started_ms = 1},
	};
	gc_daemon_rank_t rank = {.n_all = 1, .n_local = 1};
	gc_backend_t *started;

	gc_backend_record_brittle(server, unit_at(0), 6);
	gc_backends_sync(backends, servers, 2, &rank);
	ck_assert_ptr_null(choose(backends, 0));
	gc_backend_record_brittle(server, unit_at(1), GC_NOT_BRITTLE);
	started = choose_to_ask(backends, 1, NULL, 3);
	ck_assert_ptr_nonnull(started);
	gc_backend_record_brittle(started, unit_at(1), GC_NOT_BRITTLE);
	servers[1].started_ms = 2;
	gc_backends_sync(backends, servers, 2, &rank);
	ck_assert(!gc_backends_is_restricted(backends, APP));
	talloc_free(backends);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_place_is_needed_and_used_up,
		test_full_server_is_told_from_a_lost_one,
		test_full_server_of_an_ejected_domain,
		test_ejected_servers_are_asked_last,
		test_what_is_held,
		test_abandoned_request,
		test_turned_away,
		test_denied,
		test_end,
		test_told_by_issuer,
		test_limited_and_brittle,
		test_started_beside_brittle_one,
		NULL,
	};

	return unit_run("backends_brittle", tests);
}
