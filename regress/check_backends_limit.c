/*
 * A daemon's view of servers that limit their requests a second. Guards against
 * requests without a permit, and against limited servers that are never asked for.
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

static void answer(gc_backends_t *backends, const gc_backend_t *server,
		   int64_t ms, uint32_t granted, int64_t wait_ms,
		   unsigned int rank)
{
	gc_permit_answer_t answer = {.server = gc_backend_incarnation(server),
				     .limit = 5,
				     .limit_at = unit_at(0),
				     .granted = granted,
				     .wait_ms = wait_ms,
				     .rank = rank};

	ck_assert_ptr_eq(gc_backends_record_permits(backends, unit_at(ms),
						    &answer),
			 server);
}

START_TEST(test_permit_is_needed_and_used_up)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);
	gc_permit_ask_t ask = {.wanted = 1};

	gc_backend_record_limit(server, unit_at(0), 5);
	ck_assert_ptr_null(choose(backends, 0));
	ck_assert(!gc_backend_usable(server, unit_at(0)));
	ck_assert_ptr_eq(choose_to_ask(backends, 0, NULL, 3), server);
	gc_backend_begin_ask(server, unit_at(0), &ask);
	ck_assert_double_eq(ask.limit, 5);
	ck_assert_ptr_null(choose_to_ask(backends, 1, NULL, 3));

	answer(backends, server, SOON_MS, 1, 0, 3);
	ck_assert_ptr_eq(choose(backends, SOON_MS), server);
	gc_backend_use_permit(server, unit_at(SOON_MS));
	ck_assert_ptr_null(choose(backends, SOON_MS));

	answer(backends, server, SOON_MS, 1, 0, 3);
	ck_assert_ptr_null(choose(backends, SOON_MS + GC_PERMIT_VALID_MS));
	talloc_free(backends);
}
END_TEST

/* What can't wait for a permit is named in the next ask. */
START_TEST(test_sent_without_permit)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);
	gc_permit_ask_t ask = {.wanted = 1};

	gc_backend_use_permit(server, unit_at(0));
	gc_backend_record_limit(server, unit_at(0), 5);
	gc_backend_use_permit(server, unit_at(0));
	gc_backend_use_permit(server, unit_at(0));
	gc_backend_begin_ask(server, unit_at(0), &ask);
	ck_assert_uint_eq(ask.sent_without, 2);
	gc_backend_begin_ask(server, unit_at(0), &ask);
	ck_assert_uint_eq(ask.sent_without, 0);
	talloc_free(backends);
}
END_TEST

START_TEST(test_refusal_holds_for_its_rank)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);

	gc_backend_record_limit(server, unit_at(0), 5);
	ck_assert_int_eq(gc_backends_earliest_return(backends, unit_at(0), APP),
			 0);
	answer(backends, server, 0, 0, 200, 3);
	ck_assert_ptr_null(choose_to_ask(backends, 100, NULL, 3));
	ck_assert_ptr_eq(choose_to_ask(backends, 100, NULL, 2), server);
	ck_assert_int_eq(
		gc_backends_earliest_return(backends, unit_at(50), APP), 150);
	ck_assert_ptr_eq(choose_to_ask(backends, 200, NULL, 3), server);
	talloc_free(backends);
}
END_TEST

/* A busy server without a limit is worse than an idle one with a limit, and an
 * idle one isn't. */
START_TEST(test_asked_only_if_better)
{
	gc_backends_t *backends = create_backends(2);
	gc_backend_t *limited = choose(backends, 0);
	gc_backend_t *other;

	gc_backend_record_limit(limited, unit_at(0), 5);
	other = choose(backends, 0);
	ck_assert_ptr_nonnull(other);
	gc_backend_add_request(limited);
	ck_assert_ptr_null(choose_to_ask(backends, 0, other, 3));
	gc_backend_add_request(other);
	gc_backend_add_request(other);
	ck_assert_ptr_eq(choose_to_ask(backends, 0, other, 3), limited);
	gc_backend_record_leaving(limited);
	ck_assert_ptr_null(choose_to_ask(backends, 0, other, 3));
	talloc_free(backends);
}
END_TEST

START_TEST(test_end_of_limit)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);
	gc_permit_answer_t older = {.server = gc_backend_incarnation(server),
				    .limit = 7,
				    .limit_at = unit_at(50)};

	gc_backend_record_limit(server, unit_at(0), 5);
	ck_assert(gc_backends_is_limited(backends, APP));
	gc_backend_record_limit(server, unit_at(100), GC_NO_LIMIT);
	ck_assert(gc_backend_limit_ended(server));
	ck_assert_ptr_eq(choose(backends, 100), server);
	gc_backends_record_permits(backends, unit_at(110), &older);
	ck_assert_double_eq(gc_backend_limit(server), GC_NO_LIMIT);
	ck_assert(!gc_backends_is_limited(backends, APP));
	talloc_free(backends);
}
END_TEST

/* A load query and the stream need a permit each. */
START_TEST(test_streams_need_two_permits)
{
	gc_backends_t *backends = create_backends(1);
	gc_backend_t *server = choose(backends, 0);
	gc_backend_t *candidate;

	gc_backend_record_limit(server, unit_at(0), 5);
	answer(backends, server, 0, 1, 0, 3);
	ck_assert_uint_eq(gc_backends_candidates(backends, unit_at(0), APP,
						 NULL, NULL, &candidate, 1),
			  0);
	answer(backends, server, 0, 1, 0, 3);
	ck_assert_uint_eq(gc_backends_candidates(backends, unit_at(0), APP,
						 NULL, NULL, &candidate, 1),
			  1);
	talloc_free(backends);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_permit_is_needed_and_used_up,
		test_sent_without_permit,
		test_refusal_holds_for_its_rank,
		test_asked_only_if_better,
		test_end_of_limit,
		test_streams_need_two_permits,
		NULL,
	};

	return unit_run("backends_limit", tests);
}
