/*
 * Guards against roll-outs in which the target gets more requests than its bound, and
 * against decisions that change: for random traffic, bursts, daemons, restarts and
 * lost reports, with daemons that follow the records up to a second late.
 */
#include <cmath>
#include <cstdio>

#include <rapidcheck.h>

extern "C" {
#include "rollout_load.h"
}

namespace
{

constexpr int64_t DURATION_MS = 12000;

double gen_tenths(int from, int to)
{
	return *rc::gen::inRange(from, to + 1) / 10.0;
}

load_spec_t gen_spec()
{
	load_spec_t spec = {};
	double sum = 0;

	spec.n_routes = *rc::gen::inRange(1, LOAD_MAX_ROUTES + 1);
	for (int i = 0; i < spec.n_routes; i++) {
		load_route_t *route = &spec.routes[i];
		route->part = *rc::gen::inRange(1, 20);
		route->stream = *rc::gen::arbitrary<bool>();
		route->ms = *rc::gen::inRange(20, 800);
		sum += route->part;
	}
	for (int i = 0; i < spec.n_routes; i++)
		spec.routes[i].part /= sum;
	spec.requests_per_s = *rc::gen::inRange(1, 250);
	spec.n_daemons = *rc::gen::inRange(1, 119);
	spec.duration_ms = DURATION_MS;
	spec.limits = {0.1, 50, 5000};
	spec.base_failures = *rc::gen::inRange(0, 15) / 100.0;
	spec.spread = gen_tenths(1, 6);
	spec.bad_failures = gen_tenths(0, 10);
	spec.bad_slow = gen_tenths(0, 10);
	spec.bad_factor = 5;
	spec.bad_from_ms = *rc::gen::inRange(0, 12) * 1000;
	spec.bad_route = *rc::gen::inRange(-1, spec.n_routes);
	spec.burst_from_ms = *rc::gen::inRange(0, 12) * 1000;
	spec.burst_to_ms = spec.burst_from_ms + *rc::gen::inRange(0, 5) * 1000;
	spec.burst_requests = gen_tenths(10, 30);
	spec.burst_slow = gen_tenths(10, 30);
	spec.burst_route = *rc::gen::inRange(-1, spec.n_routes);
	spec.new_judge_ms = *rc::gen::inRange(0, 12) * 1000;
	spec.lost_reports = gen_tenths(0, 3);
	spec.restarts_per_s = *rc::gen::inRange(0, 3) / 100.0;
	spec.max_lag_ms = *rc::gen::inRange(0, 1001);
	return spec;
}

void check_random_rollout()
{
	load_spec_t spec = gen_spec();
	load_result_t result;

	load_run(&spec, *rc::gen::arbitrary<uint64_t>(), &result);
	RC_ASSERT(result.max_excess <= 0.0);
	RC_ASSERT(result.n_changed_decisions == 0);
	RC_ASSERT(result.decided_ms >= 0);
	RC_ASSERT(result.decided_ms <= DURATION_MS);
}

} // namespace

int main()
{
	return rc::check("the target's requests stay within the bound",
			 check_random_rollout)
		       ? 0
		       : 1;
}
