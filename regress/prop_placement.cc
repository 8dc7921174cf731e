/*
 * Guards placement against runs on engines that are not eligible, queueing at
 * full engines while others have free slots, and daemons that overload one
 * engine because their load reports lag.
 */
#include <algorithm>
#include <string>
#include <vector>

#include <glib.h>
#include <talloc.h>

#include <rapidcheck.h>

extern "C" {
#include "core/placement.h"
}

namespace
{

uint64_t next_random(void *ctx)
{
	uint64_t *state = static_cast<uint64_t *>(ctx);
	uint64_t z = (*state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

gc_str_t to_str(const std::string &s)
{
	return {s.data(), s.size()};
}

std::vector<std::string> make_names(const char *prefix, size_t n)
{
	std::vector<std::string> names;

	for (size_t i = 0; i < n; i++)
		names.push_back(prefix + std::to_string(i));
	return names;
}

std::vector<gc_placement_candidate_t>
arbitrary_candidates(const std::vector<std::string> &names)
{
	std::vector<gc_placement_candidate_t> candidates;

	for (const auto &name : names) {
		gc_placement_candidate_t c = {};
		c.name = to_str(name);
		c.failure_domain = *rc::gen::arbitrary<bool>()
					   ? GC_STR_LIT("near")
					   : GC_STR_LIT("far");
		c.slots = *rc::gen::inRange(1, 9);
		c.running = *rc::gen::inRange(0, 10);
		c.queued = *rc::gen::inRange(0, 3);
		c.own_since_report = *rc::gen::inRange(0, 3);
		c.own_in_flight = *rc::gen::inRange(0, 6);
		c.cached_tokens = *rc::gen::inRange(0, 120);
		c.leaving = *rc::gen::inRange(0, 4) == 0;
		c.ejected = *rc::gen::inRange(0, 4) == 0;
		candidates.push_back(c);
	}
	return candidates;
}

double load_per_slot(const gc_placement_candidate_t &c)
{
	double load = c.running + c.queued + c.own_since_report;

	if (load < c.own_in_flight)
		load = c.own_in_flight;
	return (load + 1) / c.slots;
}

void check_chosen_engine()
{
	auto names = make_names("e", *rc::gen::inRange(0, 8));
	auto candidates = arbitrary_candidates(names);
	uint64_t seed = *rc::gen::arbitrary<uint64_t>();
	gc_random_t random = {next_random, &seed};
	gc_placement_request_t req = {};
	std::vector<gc_str_t> avoid;

	for (const auto &name : names)
		if (*rc::gen::inRange(0, 4) == 0)
			avoid.push_back(to_str(name));
	req.prompt_tokens = 100;
	req.policy = *rc::gen::element(GC_POLICY_LATENCY, GC_POLICY_ECONOMY);
	req.avoid = avoid.data();
	req.n_avoid = avoid.size();
	req.prefer_domain = GC_STR_LIT("near");

	auto is_eligible = [&](const gc_placement_candidate_t &c,
			       bool ejected) {
		for (const auto &a : avoid)
			if (gc_str_eq(a, c.name))
				return false;
		return !c.leaving && c.ejected == ejected;
	};
	bool has_healthy = false;
	bool has_ejected = false;
	for (const auto &c : candidates) {
		has_healthy |= is_eligible(c, false);
		has_ejected |= is_eligible(c, true);
	}
	ssize_t i = gc_placement_choose(candidates.data(), candidates.size(),
					&req, &random);
	if (!has_healthy && !has_ejected) {
		RC_ASSERT(i == -1);
		return;
	}
	RC_ASSERT(i >= 0 && (size_t)i < candidates.size());
	const gc_placement_candidate_t &chosen = candidates[i];
	RC_ASSERT(is_eligible(chosen, !has_healthy));
	/* An engine without a free slot is chosen only if none has one. */
	double sum = 0;
	size_t n = 0;
	bool has_free_slot = false;
	for (const auto &c : candidates) {
		if (!is_eligible(c, !has_healthy))
			continue;
		sum += load_per_slot(c);
		n++;
		has_free_slot |= load_per_slot(c) <= 1;
	}
	if (has_free_slot)
		RC_ASSERT(load_per_slot(chosen) <= 1);
	/* Of two engines, the busier is chosen only for its cached prefix. */
	for (const auto &c : candidates)
		if (n == 2 && is_eligible(c, !has_healthy) &&
		    load_per_slot(c) < load_per_slot(chosen)) {
			RC_ASSERT(chosen.cached_tokens >= 25U);
			RC_ASSERT(load_per_slot(chosen) <=
				  std::max(0.75, 1.25 * sum / n));
		}
}

/* Many daemons choose by the same outdated load report. */
void check_lagging_reports()
{
	constexpr size_t N_ENGINES = 20;
	constexpr size_t N_DAEMONS = 100;
	constexpr size_t RUNS_PER_DAEMON = 1;
	auto names = make_names("e", N_ENGINES);
	uint64_t seed = *rc::gen::arbitrary<uint64_t>();
	gc_random_t random = {next_random, &seed};
	gc_placement_request_t req = {};
	std::vector<size_t> total(N_ENGINES);

	req.prompt_tokens = 100;
	for (size_t d = 0; d < N_DAEMONS; d++) {
		std::vector<gc_placement_candidate_t> c(N_ENGINES);
		for (size_t i = 0; i < N_ENGINES; i++) {
			c[i].name = to_str(names[i]);
			c[i].slots = 16;
		}
		for (size_t k = 0; k < RUNS_PER_DAEMON; k++) {
			ssize_t i = gc_placement_choose(c.data(), c.size(),
							&req, &random);
			RC_ASSERT(i >= 0);
			c[i].own_since_report++;
			c[i].own_in_flight++;
			total[i]++;
		}
	}
	for (size_t t : total)
		RC_ASSERT(t <= 4 * N_DAEMONS * RUNS_PER_DAEMON / N_ENGINES);
}

void check_subset()
{
	size_t n = *rc::gen::inRange<size_t>(1, 40);
	size_t size = *rc::gen::inRange<size_t>(0, 12);
	std::string daemon = "d" + std::to_string(*rc::gen::inRange(0, 1000));
	auto names = make_names("e", n);
	size_t removed = *rc::gen::inRange<size_t>(0, n);
	std::vector<gc_str_t> all;
	std::vector<gc_str_t> rest;
	size_t members = 0;
	size_t moved = 0;

	for (const auto &name : names)
		all.push_back(to_str(name));
	rest = all;
	rest.erase(rest.begin() + removed);
	for (size_t i = 0; i < n; i++) {
		bool in = gc_placement_in_subset(to_str(daemon), all[i],
						 all.data(), n, size);
		members += in;
		if (i == removed)
			continue;
		bool still_in = gc_placement_in_subset(
			to_str(daemon), all[i], rest.data(), n - 1, size);
		/* The removal of an engine only adds others to the subset. */
		RC_ASSERT(still_in || !in);
		moved += in != still_in;
	}
	RC_ASSERT(members == std::min(n, size));
	RC_ASSERT(moved <= 1U);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("the chosen engine is eligible", check_chosen_engine);
	ok &= rc::check("lagging reports do not overload one engine",
			check_lagging_reports);
	ok &= rc::check(
		"a subset has its size and changes by one member at most",
		check_subset);
	return ok ? 0 : 1;
}
