/*
 * Guards against roll-outs that take a good version back, miss a bad one, decide on
 * too little, or change a decision. The load of each case is that of services with 40
 * and 217 requests a second, at 4, 15 and 118 daemons.
 */
#include "rollout_load.h"
#include "unit.h"

#define SEEDS 20
/* Of SEEDS. At 40 requests a second the budget allows some 20 answers of a route, of
 * which so few may be bad that no test tells them from chance. */
#define MOST	   17
#define MIDDLE_MS  6000
#define HARD_LIMIT 12000

static const gc_rollout_limits_t limits = {0.1, 50, 5000};

static load_spec_t service(bool large, int n_daemons);
static void expect_good(void (*change)(load_spec_t *spec));
static void expect_bad(void (*change)(load_spec_t *spec), int least);
static void make_bad_on_rarest(load_spec_t *spec);

static load_spec_t service(bool large, int n_daemons)
{
	load_spec_t spec = {
		.requests_per_s = 40,
		.routes = {{0.28, true, 280},
			   {0.56, true, 200},
			   {0.16, true, 360}},
		.n_routes = 3,
		.n_daemons = n_daemons,
		.duration_ms = HARD_LIMIT,
		.limits = limits,
		.spread = 0.35,
		.bad_factor = 5,
		.bad_route = -1,
		.burst_requests = 1,
		.burst_slow = 1,
		.burst_route = -1,
		.max_lag_ms = 300,
	};

	if (!large)
		return spec;
	spec.requests_per_s = 217;
	spec.routes[0] = (load_route_t){0.81, false, 120};
	spec.routes[1] = (load_route_t){0.19, false, 120};
	spec.n_routes = 2;
	return spec;
}

static void expect_good(void (*change)(load_spec_t *spec))
{
	for (int i = 0; i < 6; i++) {
		load_spec_t spec = service(i % 2, (int[]){4, 15, 118}[i / 2]);

		if (change)
			change(&spec);
		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			load_result_t result;

			load_run(&spec, seed, &result);
			ck_assert_msg(result.state == GC_ROLLOUT_SUCCEEDED,
				      "%d daemons, seed %d: %s", spec.n_daemons,
				      (int)seed, result.reason);
			ck_assert_int_eq(result.n_changed_decisions, 0);
			ck_assert_int_le(result.n_records, 12);
		}
	}
}

static void expect_bad(void (*change)(load_spec_t *spec), int least)
{
	for (int i = 0; i < 6; i++) {
		bool large = i % 2;
		load_spec_t spec = service(large, (int[]){4, 15, 118}[i / 2]);
		int n = 0;

		change(&spec);
		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			load_result_t result;

			load_run(&spec, seed, &result);
			n += result.state == GC_ROLLOUT_ROLLED_BACK;
			ck_assert_int_le(result.decided_ms, HARD_LIMIT);
			ck_assert_int_eq(result.n_changed_decisions, 0);
			ck_assert_msg(result.excess <= 0, "%f over the bound",
				      result.excess);
			ck_assert_uint_lt(result.n_bad_at_decision, 50);
		}
		ck_assert_msg(n >= (large ? SEEDS : least),
			      "%d daemons, %.0f a second: %d of %d",
			      spec.n_daemons, spec.requests_per_s, n, SEEDS);
	}
}

static void make_bad_on_rarest(load_spec_t *spec)
{
	spec->bad_route = spec->n_routes - 1;
}

START_TEST(test_good)
{
	expect_good(NULL);
}
END_TEST

static void add_burst(load_spec_t *spec)
{
	spec->burst_from_ms = 4000;
	spec->burst_to_ms = 7000;
	spec->burst_requests = 3;
	spec->burst_slow = 3;
}

START_TEST(test_good_in_a_burst)
{
	expect_good(add_burst);
}
END_TEST

static void add_base_failures(load_spec_t *spec)
{
	spec->base_failures = 0.14;
}

START_TEST(test_good_where_others_fail_too)
{
	expect_good(add_base_failures);
}
END_TEST

static void fail_often(load_spec_t *spec)
{
	spec->bad_failures = 0.3;
}

START_TEST(test_fails)
{
	expect_bad(fail_often, SEEDS);
}
END_TEST

static void be_slow(load_spec_t *spec)
{
	spec->bad_slow = 0.4;
}

START_TEST(test_slow)
{
	expect_bad(be_slow, SEEDS);
}
END_TEST

static void fail_late(load_spec_t *spec)
{
	fail_often(spec);
	spec->bad_from_ms = MIDDLE_MS;
}

START_TEST(test_fails_late)
{
	expect_bad(fail_late, MOST);
}
END_TEST

static void be_slow_late(load_spec_t *spec)
{
	be_slow(spec);
	spec->bad_from_ms = MIDDLE_MS;
}

START_TEST(test_slow_late)
{
	expect_bad(be_slow_late, MOST);
}
END_TEST

static void fail_on_rarest(load_spec_t *spec)
{
	fail_often(spec);
	make_bad_on_rarest(spec);
}

START_TEST(test_fails_on_the_rarest_route)
{
	expect_bad(fail_on_rarest, MOST);
}
END_TEST

static void be_slow_on_rarest(load_spec_t *spec)
{
	be_slow(spec);
	make_bad_on_rarest(spec);
}

START_TEST(test_slow_on_the_rarest_route)
{
	expect_bad(be_slow_on_rarest, MOST);
}
END_TEST

static void fail_with_new_judge(load_spec_t *spec)
{
	fail_often(spec);
	spec->new_judge_ms = MIDDLE_MS;
}

/* The first judge is replaced before it decides: counts are cumulative. */
START_TEST(test_new_judge_halfway)
{
	expect_bad(fail_with_new_judge, SEEDS);
}
END_TEST

static gc_rollout_fleet_t make_fleet(const gc_str_t *others, size_t n)
{
	return (gc_rollout_fleet_t){
		.n_daemons = 2,
		.n_able = 2,
		.service_known = true,
		.n_target_servers = 2,
		.other_versions = others,
		.n_other_versions = n,
		.now_ms = LOAD_STARTED_MS,
	};
}

static const gc_rollout_record_t *
decide_once(TALLOC_CTX *mem, const gc_rollout_limits_t *bounds,
	    const char *target, uint64_t id, int64_t elapsed_ms,
	    const gc_rollout_fleet_t *fleet, const gc_rollout_record_t *record)
{
	gc_rollout_order_t order = {
		.service = gc_str("app"),
		.target = gc_str(target),
		.duration_ms = 10000,
		.id = id,
	};
	gc_rollout_judge_t *judge = gc_rollout_judge_create(
		mem, bounds, &order, load_at(0), elapsed_ms);

	return gc_rollout_judge_decide(judge, load_at(0), fleet, record);
}

/* An order that can't be followed must not leave the servers in effect without
 * requests, and must say why. */
START_TEST(test_refused_orders)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_str_t v1 = gc_str("v1");
	gc_rollout_fleet_t fleet = make_fleet(&v1, 1);
	gc_rollout_limits_t off = {0, 50, 5000};
	const gc_rollout_record_t *record;

	record = decide_once(mem, &off, "v2", 5, 0, &fleet, NULL);
	ck_assert_int_eq(record->state, GC_ROLLOUT_ROLLED_BACK);
	ck_assert(
		gc_str_eq(record->reason,
			  gc_str("roll-outs are not enabled by the settings")));
	ck_assert(gc_rollout_is_barred(record, gc_str("v2")));
	fleet.n_able = 1;
	record = decide_once(mem, &limits, "v2", 5, 0, &fleet, NULL);
	ck_assert_int_eq(record->state, GC_ROLLOUT_ROLLED_BACK);
	fleet.n_able = 2;
	fleet.service_known = false;
	record = decide_once(mem, &limits, "v2", 5, 0, &fleet, NULL);
	ck_assert_int_eq(record->state, GC_ROLLOUT_ROLLED_BACK);
	ck_assert(record->reason.len > 0);
	/* The only version stays in use. */
	fleet = make_fleet(NULL, 0);
	record = decide_once(mem, &off, "v1", 5, 0, &fleet, NULL);
	ck_assert_int_eq(record->state, GC_ROLLOUT_ROLLED_BACK);
	ck_assert(!gc_rollout_is_barred(record, gc_str("v1")));
	record = decide_once(mem, &limits, "v1", 5, 0, &fleet, NULL);
	ck_assert_int_eq(record->state, GC_ROLLOUT_SUCCEEDED);
	talloc_free(mem);
}
END_TEST

START_TEST(test_no_servers_and_no_reports)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_str_t v1 = gc_str("v1");
	gc_rollout_fleet_t fleet = make_fleet(&v1, 1);
	const gc_rollout_record_t *record;

	fleet.n_target_servers = 0;
	record = decide_once(mem, &limits, "v2", 5, 5900, &fleet, NULL);
	ck_assert_int_eq(record->state, GC_ROLLOUT_RUNNING);
	record = decide_once(mem, &limits, "v2", 5, 6000, &fleet, NULL);
	ck_assert_int_eq(record->state, GC_ROLLOUT_ROLLED_BACK);
	/* No daemon has reported. */
	fleet.n_target_servers = 2;
	record = decide_once(mem, &limits, "v2", 5, 9400, &fleet, NULL);
	ck_assert_int_eq(record->state, GC_ROLLOUT_RUNNING);
	record = decide_once(mem, &limits, "v2", 5, 9500, &fleet, NULL);
	ck_assert_int_eq(record->state, GC_ROLLOUT_ROLLED_BACK);
	ck_assert(record->reason.len > 0);
	talloc_free(mem);
}
END_TEST

/* Without requests, present servers are enough. */
START_TEST(test_service_without_traffic)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	load_spec_t spec = service(false, 2);
	load_result_t result;

	spec.requests_per_s = 0;
	load_run(&spec, 1, &result);
	ck_assert_int_eq(result.state, GC_ROLLOUT_SUCCEEDED);
	ck_assert_int_ge(result.decided_ms, 10200);
	talloc_free(mem);
}
END_TEST

START_TEST(test_second_order)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_str_t others[] = {gc_str("v1"), gc_str("v2")};
	gc_str_t v0 = gc_str("v0");
	gc_rollout_fleet_t fleet = make_fleet(others, 2);
	gc_rollout_record_t former = {
		.service = gc_str("app"),
		.target = gc_str("v2"),
		.order = 4,
		.duration_ms = 10000,
		.started_ms = LOAD_STARTED_MS - 3000,
		.barred = &v0,
		.n_barred = 1,
		.revision = 11,
	};
	const gc_rollout_record_t *record;

	record = decide_once(mem, &limits, "v3", 5, 0, &fleet, &former);
	ck_assert_int_eq(record->state, GC_ROLLOUT_RUNNING);
	ck_assert(gc_rollout_is_barred(record, gc_str("v2")));
	ck_assert(gc_rollout_is_barred(record, gc_str("v0")));
	ck_assert(!gc_rollout_is_barred(record, gc_str("v1")));
	ck_assert_uint_eq(record->order, 5);
	ck_assert_uint_eq(record->revision, 11);
	ck_assert_int_eq(record->started_ms, LOAD_STARTED_MS);
	/* A version that succeeded is in effect. */
	former.state = GC_ROLLOUT_SUCCEEDED;
	record = decide_once(mem, &limits, "v3", 5, 0, &fleet, &former);
	ck_assert(!gc_rollout_is_barred(record, gc_str("v2")));
	/* An order for a barred version. */
	former.state = GC_ROLLOUT_ROLLED_BACK;
	former.target = gc_str("v9");
	record = decide_once(mem, &limits, "v0", 5, 0, &fleet, &former);
	ck_assert(!gc_rollout_is_barred(record, gc_str("v0")));
	/* Its roll-back left the version in effect without a bar. */
	ck_assert(!gc_rollout_is_barred(record, gc_str("v9")));
	/* A record with only state and target bars nothing. */
	former.order = 0;
	record = decide_once(mem, &limits, "v0", 5, 0, &fleet, &former);
	ck_assert(gc_rollout_is_barred(record, gc_str("v9")));
	talloc_free(mem);
}
END_TEST

START_TEST(test_decision_stays)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_str_t v1 = gc_str("v1");
	gc_rollout_fleet_t fleet = make_fleet(&v1, 1);
	gc_rollout_record_t record = {
		.service = gc_str("app"),
		.target = gc_str("v2"),
		.state = GC_ROLLOUT_SUCCEEDED,
		.order = 5,
		.duration_ms = 10000,
		.revision = 12,
	};

	fleet.n_able = 0;
	ck_assert_ptr_null(
		decide_once(mem, &limits, "v2", 5, 9900, &fleet, &record));
	record.state = GC_ROLLOUT_ROLLED_BACK;
	ck_assert_ptr_null(
		decide_once(mem, &limits, "v2", 5, 0, &fleet, &record));
	talloc_free(mem);
}
END_TEST

/* A judge that did not see the order arrive goes by the reports, else by the record. */
START_TEST(test_elapsed_time)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_str_t v1 = gc_str("v1");
	gc_rollout_fleet_t fleet = make_fleet(&v1, 1);
	gc_rollout_order_t order = {gc_str("app"), gc_str("v2"), 10000, 5};
	gc_rollout_report_t report = {
		.daemon = 1, .order = 5, .elapsed_ms = 9000};
	gc_rollout_record_t record = {
		.service = order.service,
		.target = order.target,
		.order = 5,
		.duration_ms = 10000,
		.started_ms = LOAD_STARTED_MS - 9600,
	};
	gc_rollout_judge_t *judge;

	ck_assert_int_eq(
		decide_once(mem, &limits, "v2", 5, -1, &fleet, &record)->state,
		GC_ROLLOUT_ROLLED_BACK);
	judge = gc_rollout_judge_create(mem, &limits, &order, load_at(0), -1);
	gc_rollout_judge_add_report(judge, load_at(0), &report);
	ck_assert_ptr_null(
		gc_rollout_judge_decide(judge, load_at(0), &fleet, &record));
	ck_assert_ptr_nonnull(
		gc_rollout_judge_decide(judge, load_at(600), &fleet, &record));
	talloc_free(mem);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_good,
		test_good_in_a_burst,
		test_good_where_others_fail_too,
		test_fails,
		test_slow,
		test_fails_late,
		test_slow_late,
		test_fails_on_the_rarest_route,
		test_slow_on_the_rarest_route,
		test_new_judge_halfway,
		test_refused_orders,
		test_no_servers_and_no_reports,
		test_service_without_traffic,
		test_second_order,
		test_decision_stays,
		test_elapsed_time,
		NULL,
	};

	return unit_run("rollout_judge", tests);
}
