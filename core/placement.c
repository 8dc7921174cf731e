/* Chooses the engine for an attempt. */
#include <xxhash.h>

#include "core/placement.h"

/*
 * An engine is chosen for its cached prefix only below this multiple of the
 * mean load, or while it has slots to spare; otherwise one popular prefix
 * would overload its engine.
 */
#define AFFINITY_LOAD_BOUND 1.25
#define AFFINITY_FREE_LOAD  0.75 /* load per slot */
/* Least cached share of the prompt that outweighs a lower load. */
#define AFFINITY_SHARE_LATENCY 0.5
#define AFFINITY_SHARE_ECONOMY 0.25

/* Which candidates a pass may use. */
typedef struct usable {
	const gc_placement_candidate_t *candidates;
	size_t n;
	const gc_placement_request_t *req;
	bool ejected; /* use ejected engines instead of the others */
	size_t count;
	double mean_load;
	double least_load;
} usable_t;

static bool is_avoided(const gc_placement_request_t *req, gc_str_t name);
static bool is_usable(const usable_t *u, size_t i);
static double load_with_one_more(const gc_placement_candidate_t *c);
static void survey(usable_t *u);
static bool is_better(const usable_t *u, size_t a, size_t b);
static ssize_t choose_cached(const usable_t *u);
static size_t nth_usable(const usable_t *u, size_t nth);
static size_t choose_least_loaded(const usable_t *u, size_t start);
static size_t choose_of_two(const usable_t *u, const gc_random_t *random);
static uint64_t rendezvous_score(gc_str_t daemon, gc_str_t engine);

static bool is_avoided(const gc_placement_request_t *req, gc_str_t name)
{
	for (size_t i = 0; i < req->n_avoid; i++)
		if (gc_str_eq(req->avoid[i], name))
			return true;
	return false;
}

static bool is_usable(const usable_t *u, size_t i)
{
	const gc_placement_candidate_t *c = &u->candidates[i];

	return !c->leaving && c->ejected == u->ejected &&
	       !is_avoided(u->req, c->name);
}

/* Load per slot with the new run. Own runs are a lower bound of the load. */
static double load_with_one_more(const gc_placement_candidate_t *c)
{
	double load = (double)c->running + c->queued + c->own_since_report;

	if (load < c->own_in_flight)
		load = c->own_in_flight;
	return (load + 1) / (c->slots > 0 ? c->slots : 1);
}

static void survey(usable_t *u)
{
	double sum = 0;
	double load;

	u->count = 0;
	for (size_t i = 0; i < u->n; i++) {
		if (!is_usable(u, i))
			continue;
		load = load_with_one_more(&u->candidates[i]);
		if (u->count == 0 || load < u->least_load)
			u->least_load = load;
		u->count++;
		sum += load;
	}
	u->mean_load = u->count > 0 ? sum / u->count : 0;
}

static bool is_better(const usable_t *u, size_t a, size_t b)
{
	double load_a = load_with_one_more(&u->candidates[a]);
	double load_b = load_with_one_more(&u->candidates[b]);
	gc_str_t domain = u->req->prefer_domain;

	if (load_a != load_b)
		return load_a < load_b;
	return gc_str_eq(u->candidates[a].failure_domain, domain) &&
	       !gc_str_eq(u->candidates[b].failure_domain, domain);
}

static ssize_t choose_cached(const usable_t *u)
{
	double share = u->req->policy == GC_POLICY_ECONOMY
			       ? AFFINITY_SHARE_ECONOMY
			       : AFFINITY_SHARE_LATENCY;
	double bound = AFFINITY_LOAD_BOUND * u->mean_load;
	uint64_t most = 0;
	ssize_t best = -1;

	if (bound < AFFINITY_FREE_LOAD)
		bound = AFFINITY_FREE_LOAD;
	/* No queueing for a cache while another engine has a free slot. */
	if (bound > 1 && u->least_load <= 1)
		bound = 1;
	for (size_t i = 0; i < u->n; i++) {
		uint64_t cached = u->candidates[i].cached_tokens;

		if (!is_usable(u, i) || cached == 0 || cached < most ||
		    cached < share * u->req->prompt_tokens ||
		    load_with_one_more(&u->candidates[i]) > bound)
			continue;
		if (best < 0 || cached > most || is_better(u, i, best)) {
			best = i;
			most = cached;
		}
	}
	return best;
}

static size_t nth_usable(const usable_t *u, size_t nth)
{
	size_t i = 0;

	for (;; i++)
		if (is_usable(u, i) && nth-- == 0)
			return i;
}

/* A random start spreads daemons with the same reports over equal engines. */
static size_t choose_least_loaded(const usable_t *u, size_t start)
{
	size_t best = start;

	for (size_t k = 1; k < u->n; k++) {
		size_t i = (start + k) % u->n;

		if (is_usable(u, i) && is_better(u, i, best))
			best = i;
	}
	return best;
}

/*
 * The better of two random engines: with lagging reports, daemons that all
 * took the least loaded engine would overload it. When both are full, a full
 * scan looks for a free slot.
 */
static size_t choose_of_two(const usable_t *u, const gc_random_t *random)
{
	size_t first = random->next(random->ctx) % u->count;
	size_t a = nth_usable(u, first);
	size_t second;
	size_t b;

	if (u->count == 1)
		return a;
	second = random->next(random->ctx) % (u->count - 1);
	if (second >= first)
		second++;
	b = nth_usable(u, second);
	if (is_better(u, b, a))
		a = b;
	if (load_with_one_more(&u->candidates[a]) > 1)
		return choose_least_loaded(u, a);
	return a;
}

ssize_t gc_placement_choose(const gc_placement_candidate_t *candidates,
			    size_t n, const gc_placement_request_t *req,
			    const gc_random_t *random)
{
	usable_t u = {.candidates = candidates, .n = n, .req = req};
	ssize_t cached;

	survey(&u);
	if (u.count == 0) {
		u.ejected = true;
		survey(&u);
	}
	if (u.count == 0)
		return -1;
	cached = choose_cached(&u);
	if (cached >= 0)
		return cached;
	return choose_of_two(&u, random);
}

static uint64_t rendezvous_score(gc_str_t daemon, gc_str_t engine)
{
	uint64_t seed = XXH3_64bits(daemon.data, daemon.len);

	return XXH3_64bits_withSeed(engine.data, engine.len, seed);
}

bool gc_placement_in_subset(gc_str_t daemon, gc_str_t engine,
			    const gc_str_t *engines, size_t n_engines,
			    size_t size)
{
	uint64_t own = rendezvous_score(daemon, engine);
	size_t higher = 0;
	bool known = false;

	for (size_t i = 0; i < n_engines && higher < size; i++) {
		if (gc_str_eq(engines[i], engine))
			known = true;
		else if (rendezvous_score(daemon, engines[i]) > own)
			higher++;
	}
	return known && higher < size;
}
