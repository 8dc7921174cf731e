/*
 * Guards admission against accounts that flood the queue, exceeded limits,
 * slots that stay idle while requests are queued, and requests that are
 * answered twice or never.
 */
#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include <glib.h>
#include <talloc.h>

#include <rapidcheck.h>

extern "C" {
#include "core/admission.h"
}

namespace
{

constexpr int64_t QUEUE_MS = 1000;

struct Request {
	size_t account;
	gc_admission_ticket_t *ticket = nullptr;
	bool running = false;
	bool queued = false;
	int64_t queued_at_ms = 0;
};

struct World {
	int64_t now_ms = 1000;
	uint64_t seed = 1;
	TALLOC_CTX *mem = talloc_new(nullptr);
	gc_admission_t *admission = nullptr;
	gc_clock_t clock;
	gc_random_t random;
	uint32_t limit;
	uint32_t max_queued;
	std::vector<std::string> names;
	std::vector<gc_account_t> accounts;
	std::vector<std::unique_ptr<Request>> requests;
	std::vector<uint64_t> grants;

	World(uint32_t limit, uint32_t max_queued);
	~World()
	{
		talloc_free(mem);
	}
	void add_account(uint32_t weight, uint32_t max_in_flight);
	gc_admission_result_t request(size_t account);
	void release(Request *r);
	size_t count(size_t account, bool running) const;
	Request *pick(bool running, size_t choice) const;
	void check_limits() const;
};

struct timespec world_now(void *ctx)
{
	int64_t ms = static_cast<World *>(ctx)->now_ms;
	return {ms / 1000, (ms % 1000) * 1000000};
}

uint64_t world_random(void *ctx)
{
	uint64_t z = (static_cast<World *>(ctx)->seed +=
		      UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

World *current_world; /* for the callbacks */

void on_granted(void *ctx)
{
	Request *r = static_cast<Request *>(ctx);

	RC_ASSERT(r->queued);
	r->queued = false;
	r->running = true;
	current_world->grants[r->account]++;
}

void on_expired(void *ctx, int64_t retry_after_ms)
{
	Request *r = static_cast<Request *>(ctx);

	RC_ASSERT(r->queued);
	RC_ASSERT(retry_after_ms > 0);
	r->queued = false;
	r->ticket = nullptr;
}

const gc_admission_ops_t OPS = {on_granted, on_expired};

World::World(uint32_t in_flight, uint32_t queued)
    : limit(in_flight), max_queued(queued)
{
	gc_admission_conf_t conf = {};

	clock = {world_now, world_now, this};
	random = {world_random, this};
	conf.clock = &clock;
	conf.random = &random;
	conf.max_in_flight = limit;
	conf.max_queued = max_queued;
	conf.queue_ms = QUEUE_MS;
	admission = gc_admission_create(mem, &conf);
	current_world = this;
	names.reserve(16);
}

void World::add_account(uint32_t weight, uint32_t max_in_flight)
{
	gc_account_t account = {};

	names.push_back("account" + std::to_string(names.size()));
	account.name = {names.back().data(), names.back().size()};
	account.weight = weight;
	account.max_in_flight = max_in_flight;
	accounts.push_back(account);
	grants.push_back(0);
}

gc_admission_result_t World::request(size_t account)
{
	auto r = std::make_unique<Request>();
	int64_t retry_after_ms = 0;

	r->account = account;
	r->queued = true; /* it may be granted before the call returns */
	r->queued_at_ms = now_ms;
	gc_admission_result_t result =
		gc_admission_request(admission, &accounts[account], &OPS,
				     r.get(), &r->ticket, &retry_after_ms);
	if (result == GC_ADMISSION_GRANTED) {
		r->queued = false;
		r->running = true;
		grants[account]++;
	} else if (result == GC_ADMISSION_REFUSED) {
		RC_ASSERT(retry_after_ms > 0);
		RC_ASSERT(!r->ticket);
		r->queued = false;
	}
	requests.push_back(std::move(r));
	return result;
}

void World::release(Request *r)
{
	gc_admission_ticket_t *ticket = r->ticket;

	r->ticket = nullptr;
	r->running = false;
	r->queued = false;
	gc_admission_release(ticket);
}

size_t World::count(size_t account, bool running) const
{
	size_t n = 0;

	for (const auto &r : requests)
		if (r->account == account)
			n += running ? r->running : r->queued;
	return n;
}

Request *World::pick(bool running, size_t choice) const
{
	std::vector<Request *> found;

	for (const auto &r : requests)
		if (running ? r->running : r->queued)
			found.push_back(r.get());
	return found.empty() ? nullptr : found[choice % found.size()];
}

void World::check_limits() const
{
	size_t in_flight = 0;
	size_t queued = 0;
	bool has_runnable = false;

	for (size_t i = 0; i < accounts.size(); i++) {
		size_t running = count(i, true);
		uint32_t max = accounts[i].max_in_flight;
		in_flight += running;
		queued += count(i, false);
		if (max > 0)
			RC_ASSERT(running <= max);
		has_runnable |=
			count(i, false) > 0 && (max == 0 || running < max);
	}
	RC_ASSERT(in_flight <= limit);
	RC_ASSERT(queued <= max_queued);
	/* No slot stays idle while a request that may run is queued. */
	RC_ASSERT(!has_runnable || in_flight == limit);
	for (const auto &r : requests)
		if (r->queued)
			RC_ASSERT(now_ms - r->queued_at_ms <= QUEUE_MS);
}

/* Random sequences of requests, releases, cancellations and time steps. */
void check_random_sequence()
{
	World w(*rc::gen::inRange(0, 5), *rc::gen::inRange(0, 8));
	auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
		rc::gen::pair(rc::gen::inRange(0, 9),
			      rc::gen::inRange(0, 1000)));

	w.add_account(1, 0);
	w.add_account(4, 2);
	w.add_account(2, 1);
	for (const auto &step : steps) {
		Request *r = nullptr;
		if (step.first < 5) {
			w.request(step.second % 3);
		} else if (step.first == 8) {
			w.now_ms += step.second;
		} else {
			r = w.pick(step.first != 7, step.second);
			if (r)
				w.release(r);
		}
		int64_t due_ms = gc_admission_expire(w.admission);
		bool due_ok =
			due_ms == -1 ? !w.pick(false, 0) : due_ms <= QUEUE_MS;
		RC_ASSERT(due_ok);
		w.check_limits();
	}
	while (Request *r = w.pick(true, 0))
		w.release(r);
	if (w.limit > 0)
		RC_ASSERT(!w.pick(false, 0));
}

/* An account that always has a request queued competes with floods. */
void check_flood()
{
	World w(*rc::gen::inRange(1, 6), *rc::gen::inRange(2, 30));
	size_t n_flooding_accounts = *rc::gen::inRange(1, 4);
	size_t n_rounds = *rc::gen::inRange(1, 200);
	uint32_t own_weight = *rc::gen::inRange(1, 6);
	uint32_t sum_weights = own_weight;

	w.add_account(own_weight, 0);
	for (size_t i = 1; i <= n_flooding_accounts; i++) {
		uint32_t weight = *rc::gen::inRange(1, 6);
		w.add_account(weight, 0);
		sum_weights += weight;
		for (int k = 0; k < 40; k++)
			w.request(i);
	}
	/* The queue must have room for one request of each account. */
	RC_PRE(w.max_queued > n_flooding_accounts);
	w.request(0);
	std::fill(w.grants.begin(), w.grants.end(), 0);
	for (size_t round = 0; round < n_rounds; round++) {
		w.release(w.pick(true, round * 7));
		while (w.count(0, false) < 2)
			if (w.request(0) == GC_ADMISSION_REFUSED)
				break;
		RC_ASSERT(w.count(0, false) > 0U);
		for (size_t i = 1; i <= n_flooding_accounts; i++)
			for (int k = 0; k < 3; k++)
				w.request(i);
		w.requests.erase(
			std::remove_if(w.requests.begin(), w.requests.end(),
				       [](const auto &r) {
					       return !r->running && !r->queued;
				       }),
			w.requests.end());
	}
	double fair_share =
		std::floor((double)n_rounds * own_weight / sum_weights);
	/* Tolerance: one request per competing account, for rounding. */
	RC_ASSERT(w.grants[0] + 1.0 + n_flooding_accounts >= fair_share);
}

/* The budget never grants more retries than it earned from requests. */
void check_retry_budget()
{
	auto takes = *rc::gen::arbitrary<std::vector<bool>>();
	gc_retry_budget_t budget = {0, 0.125, 4};
	double earned = 0;
	double taken = 0;

	for (bool take : takes) {
		if (take) {
			taken += gc_retry_budget_withdraw(&budget);
		} else {
			gc_retry_budget_deposit(&budget);
			earned += budget.tokens_per_request;
		}
		RC_ASSERT(taken <= earned);
		RC_ASSERT(budget.tokens >= 0.0 && budget.tokens <= budget.max);
	}
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("limits hold and no slot stays idle",
			check_random_sequence);
	ok &= rc::check("flooding accounts leave others their weighted share",
			check_flood);
	ok &= rc::check("retries stay within the budget", check_retry_budget);
	return ok ? 0 : 1;
}
