/*
 * Guards against daemons that split the requests of a roll-out differently, send more
 * to the target than its bound, or send new requests to a barred version, and against
 * counts in the wrong bucket or lost counts.
 */
#include <stdio.h>

#include "core/rollout.h"
#include "core/rollout_evidence.h"
#include "unit.h"

#define DAEMONS 118
#define SEEDS	200
#define SHARE	0.1
#define SLACK	50

static gc_rollout_route_share_t routes[3];
static gc_str_t v0 = {"v0", 2};

static gc_rollout_record_t make_record(void);
static int compare_routes(const void *a, const void *b);
static gc_str_t random_id(char *id, size_t size, uint64_t *seed);
static void check_bound(size_t n_requests, const double *shares,
			const double *parts, size_t n_routes);

static gc_rollout_record_t make_record(void)
{
	return (gc_rollout_record_t){
		.service = gc_str("app"),
		.target = gc_str("v2"),
		.state = GC_ROLLOUT_RUNNING,
		.reason = GC_STR_EMPTY,
		.order = 7,
		.duration_ms = 12000,
		.share = 0.1,
		.routes = routes,
		.barred = &v0,
		.n_barred = 1,
	};
}

static int compare_routes(const void *a, const void *b)
{
	const gc_rollout_route_share_t *one = a;
	const gc_rollout_route_share_t *other = b;

	return (one->route > other->route) - (one->route < other->route);
}

static gc_str_t random_id(char *id, size_t size, uint64_t *seed)
{
	(void)snprintf(id, size, "%016llx",
		       (unsigned long long)unit_next_random(seed));
	return gc_str(id);
}

/* Each request comes to one of many daemons, each with its own copy of the record. */
static void check_bound(size_t n_requests, const double *shares,
			const double *parts, size_t n_routes)
{
	gc_rollout_record_t record = make_record();
	TALLOC_CTX *mem = talloc_new(NULL);
	const gc_rollout_record_t *copies[DAEMONS];

	for (size_t i = 0; i < n_routes; i++)
		routes[i] = (gc_rollout_route_share_t){i + 1, shares[i]};
	record.n_routes = n_routes;
	for (uint64_t seed = 0; seed < SEEDS; seed++) {
		uint64_t state = seed * 1000;
		size_t n_sent = 0;

		record.order = seed + 1;
		for (size_t i = 0; i < DAEMONS; i++)
			copies[i] = gc_rollout_record_copy(mem, &record);
		for (size_t i = 0; i < n_requests; i++) {
			double choice =
				(double)(unit_next_random(&state) >> 11) *
				0x1p-53;
			size_t route = 0;
			char id[32];

			for (; route + 1 < n_routes && choice >= parts[route];
			     route++)
				choice -= parts[route];
			n_sent += gc_rollout_selects(
				copies[unit_next_random(&state) % DAEMONS],
				route + 1, random_id(id, sizeof(id), &state));
		}
		ck_assert_uint_le(n_sent,
				  (size_t)(SHARE * (double)n_requests) + SLACK);
		talloc_free_children(mem);
	}
	talloc_free(mem);
}

/* 0.8 of the share and 0.6 of the slack, spread evenly over the routes. */
START_TEST(test_split_stays_within_the_bound)
{
	check_bound(490, (double[]){0.169, 0.085, 0.296},
		    (double[]){0.28, 0.56, 0.16}, 3);
	check_bound(2600, (double[]){0.0565, 0.241}, (double[]){0.81, 0.19}, 2);
}
END_TEST

START_TEST(test_all_daemons_split_alike)
{
	gc_rollout_record_t record = make_record();
	TALLOC_CTX *mem = talloc_new(NULL);
	uint64_t seed = 1;
	size_t n_sent = 0;

	for (int i = 0; i < 2000; i++) {
		const gc_rollout_record_t *copy =
			gc_rollout_record_copy(mem, &record);
		char id[32];
		gc_str_t request = random_id(id, sizeof(id), &seed);
		bool sent = gc_rollout_selects(&record, 1, request);

		ck_assert_int_eq(gc_rollout_selects(copy, 1, request), sent);
		n_sent += sent;
	}
	/* Of 200 expected; five standard deviations. */
	ck_assert_uint_gt(n_sent, 133);
	ck_assert_uint_lt(n_sent, 267);
	talloc_free(mem);
}
END_TEST

/* A request that a raised share sends to the target is sent there by a larger one. */
START_TEST(test_shares_of_routes)
{
	gc_rollout_record_t record = make_record();
	uint64_t seed = 3;
	char id[32];

	for (size_t i = 0; i < 3; i++)
		routes[i] = (gc_rollout_route_share_t){
			gc_rollout_route_hash(gc_str((const char *[]){
				"first", "second", "third"}[i])),
			(double)i / 2};
	qsort(routes, 3, sizeof(*routes), compare_routes);
	record.n_routes = 3;
	record.share = 0;
	for (int i = 0; i < 500; i++) {
		gc_str_t request = random_id(id, sizeof(id), &seed);

		ck_assert(!gc_rollout_selects(
			&record, gc_rollout_route_hash(gc_str("first")),
			request));
		ck_assert(gc_rollout_selects(
			&record, gc_rollout_route_hash(gc_str("third")),
			request));
		ck_assert(!gc_rollout_selects(
			&record, gc_rollout_route_hash(gc_str("unlisted")),
			request));
	}
}
END_TEST

START_TEST(test_barred_versions_get_nothing)
{
	gc_rollout_record_t record = make_record();
	gc_str_t barred[] = {gc_str("v0"), gc_str("v2")};

	ck_assert(gc_rollout_is_barred(&record, gc_str("v0")));
	ck_assert(!gc_rollout_is_barred(&record, gc_str("v2")));
	ck_assert(!gc_rollout_is_barred(&record, gc_str("v")));
	record.share = 1;
	ck_assert(gc_rollout_selects(&record, 1, gc_str("r")));
	record.barred = barred;
	record.n_barred = 2;
	ck_assert(!gc_rollout_selects(&record, 1, gc_str("r")));
	record.n_barred = 1;
	record.state = GC_ROLLOUT_ROLLED_BACK;
	ck_assert(!gc_rollout_selects(&record, 1, gc_str("r")));
	record.state = GC_ROLLOUT_SUCCEEDED;
	record.share = 0;
	ck_assert(gc_rollout_selects(&record, 1, gc_str("r")));
}
END_TEST

START_TEST(test_judged_servers_have_their_later_load)
{
	gc_rollout_record_t record = make_record();

	ck_assert_uint_eq(gc_rollout_n_judged_servers(&record, 0), 0);
	ck_assert_uint_eq(gc_rollout_n_judged_servers(&record, 3), 1);
	ck_assert_uint_eq(gc_rollout_n_judged_servers(&record, 45), 5);
	record.share = 0;
	ck_assert_uint_eq(gc_rollout_n_judged_servers(&record, 45), 1);
	record.state = GC_ROLLOUT_SUCCEEDED;
	ck_assert_uint_eq(gc_rollout_n_judged_servers(&record, 45), 45);
}
END_TEST

START_TEST(test_copy_is_independent)
{
	gc_rollout_record_t record = make_record();
	char name[] = "v9";
	gc_rollout_record_t *copy;

	record.target = gc_str(name);
	record.n_routes = 3;
	copy = gc_rollout_record_copy(NULL, &record);
	name[0] = 'x';
	routes[0].share = 0.77;
	ck_assert(gc_str_eq(copy->target, gc_str("v9")));
	ck_assert(copy->routes[0].share != 0.77);
	ck_assert_uint_eq(copy->n_barred, 1);
	ck_assert(gc_rollout_is_barred(copy, gc_str("v0")));
	talloc_free(copy);
}
END_TEST

START_TEST(test_buckets)
{
	ck_assert_uint_eq(gc_rollout_time_bucket(-5), 0);
	ck_assert_uint_eq(gc_rollout_time_bucket(0), 0);
	ck_assert_uint_eq(gc_rollout_time_bucket(1), 0);
	ck_assert_uint_eq(gc_rollout_time_bucket(2), 2);
	ck_assert_uint_eq(gc_rollout_time_bucket(INT64_MAX),
			  GC_ROLLOUT_TIME_BUCKETS - 1);
	for (int64_t ms = 2; ms < 180000; ms += 1 + ms / 50) {
		size_t bucket = gc_rollout_time_bucket(ms);

		ck_assert(gc_rollout_bucket_ms(bucket) <= (double)ms + 1e-6);
		ck_assert(gc_rollout_bucket_ms(bucket + 1) > (double)ms ||
			  bucket == GC_ROLLOUT_TIME_BUCKETS - 1);
	}
}
END_TEST

START_TEST(test_evidence_counts)
{
	gc_rollout_evidence_t *evidence = gc_rollout_evidence_create(NULL, 9);
	gc_rollout_report_t report = {.daemon = 4, .elapsed_ms = 5};

	for (int i = 0; i < 3; i++)
		gc_rollout_evidence_count_request(evidence);
	gc_rollout_evidence_count_sent(evidence);
	gc_rollout_evidence_add_time(evidence, 1, GC_ROLLOUT_ANSWER, true, 2);
	gc_rollout_evidence_add_time(evidence, 1, GC_ROLLOUT_ANSWER, false, 2);
	gc_rollout_evidence_add_failure(evidence, 1, GC_ROLLOUT_ANSWER, true);
	gc_rollout_evidence_report(evidence, &report);
	ck_assert_uint_eq(report.daemon, 4);
	ck_assert_int_eq(report.elapsed_ms, 5);
	ck_assert_uint_eq(report.order, 9);
	ck_assert_uint_eq(report.n_requests, 3);
	ck_assert_uint_eq(report.n_sent, 1);
	ck_assert_uint_eq(report.n_counts, 2);
	ck_assert(report.counts[0].target);
	ck_assert_uint_eq(report.counts[0].n, 2);
	ck_assert_uint_eq(report.counts[0].n_failed, 1);
	ck_assert_uint_eq(report.counts[0].times[2], 1);
	ck_assert_uint_eq(report.counts[1].n, 1);
	/* Routes beyond the limit are not counted, and don't displace others. */
	for (uint64_t route = 2; route < 100; route++)
		gc_rollout_evidence_add_time(evidence, route,
					     GC_ROLLOUT_EVENT_GAP, false, 9);
	gc_rollout_evidence_add_time(evidence, 2, GC_ROLLOUT_FIRST_EVENT, true,
				     9);
	gc_rollout_evidence_report(evidence, &report);
	ck_assert_uint_eq(report.n_counts, 2 + GC_ROLLOUT_MAX_ROUTES - 1 + 1);
	gc_rollout_evidence_report(evidence, &report);
	talloc_free(evidence);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_split_stays_within_the_bound,
		test_all_daemons_split_alike,
		test_shares_of_routes,
		test_barred_versions_get_nothing,
		test_judged_servers_have_their_later_load,
		test_copy_is_independent,
		test_buckets,
		test_evidence_counts,
		NULL,
	};

	return unit_run("rollout", tests);
}
