/*
 * Placement of runs on engines, by cached prefix, load and failure domain.
 */
#include <xxhash.h>

#include "core/placement.h"

/*
 * An engine is chosen for its cached prefix only up to this multiple of the
 * mean load or up to this load per slot, whichever is higher. Otherwise one
 * popular prefix would overload its engine.
 */
#define AFFINITY_LOAD_BOUND	1.25
#define AFFINITY_MIN_LOAD_BOUND 0.75 /* load per slot */
/* Fraction of the prompt that must be cached to outweigh a lower load. */
#define AFFINITY_MIN_CACHED_LATENCY 0.5
#define AFFINITY_MIN_CACHED_ECONOMY 0.25

/* Candidates of a placement, with the load per slot of the eligible ones. */
typedef struct candidate_set {
	const gc_placement_candidate_t *candidates;
	size_t n;
	const gc_placement_request_t *req;
	bool ejected; /* choose among the ejected engines, not the others */
	size_t n_eligible;
	double mean_load;
	double least_load;
} candidate_set_t;

static bool is_excluded(const gc_placement_request_t *req, gc_str_t name);
static bool is_eligible(const candidate_set_t *set, size_t i);
static double load_per_slot_with_new_run(const gc_placement_candidate_t *c);
static void measure_load(candidate_set_t *set);
static bool is_preferred(const candidate_set_t *set, size_t a, size_t b);
static ssize_t choose_by_cached_prefix(const candidate_set_t *set);
static size_t nth_eligible(const candidate_set_t *set, size_t nth);
static size_t choose_least_loaded(const candidate_set_t *set, size_t start);
static size_t choose_better_of_two(const candidate_set_t *set,
				   const gc_random_t *random);
static uint64_t rendezvous_score(gc_str_t daemon, gc_str_t engine);

static bool is_excluded(const gc_placement_request_t *req, gc_str_t name)
{
	for (size_t i = 0; i < req->n_avoid; i++)
		if (gc_str_eq(req->avoid[i], name))
			return true;
	return false;
}

static bool is_eligible(const candidate_set_t *set, size_t i)
{
	const gc_placement_candidate_t *c = &set->candidates[i];

	return !c->leaving && c->ejected == set->ejected &&
	       !is_excluded(set->req, c->name);
}

/*
 * Load per slot including the new run. The reports lag, so the daemon's own
 * runs since then are added and all its own runs are a lower bound.
 */
static double load_per_slot_with_new_run(const gc_placement_candidate_t *c)
{
	double load = (double)c->running + c->queued + c->own_since_report;

	if (load < c->own_in_flight)
		load = c->own_in_flight;
	return (load + 1) / (c->slots > 0 ? c->slots : 1);
}

static void measure_load(candidate_set_t *set)
{
	double sum = 0;
	double load;

	set->n_eligible = 0;
	for (size_t i = 0; i < set->n; i++) {
		if (!is_eligible(set, i))
			continue;
		load = load_per_slot_with_new_run(&set->candidates[i]);
		if (set->n_eligible == 0 || load < set->least_load)
			set->least_load = load;
		set->n_eligible++;
		sum += load;
	}
	set->mean_load = set->n_eligible > 0 ? sum / set->n_eligible : 0;
}

static bool is_preferred(const candidate_set_t *set, size_t a, size_t b)
{
	double load_a = load_per_slot_with_new_run(&set->candidates[a]);
	double load_b = load_per_slot_with_new_run(&set->candidates[b]);
	gc_str_t domain = set->req->prefer_domain;

	if (load_a != load_b)
		return load_a < load_b;
	return gc_str_eq(set->candidates[a].failure_domain, domain) &&
	       !gc_str_eq(set->candidates[b].failure_domain, domain);
}

static ssize_t choose_by_cached_prefix(const candidate_set_t *set)
{
	double min_cached_fraction = set->req->policy == GC_POLICY_ECONOMY
					     ? AFFINITY_MIN_CACHED_ECONOMY
					     : AFFINITY_MIN_CACHED_LATENCY;
	double bound = AFFINITY_LOAD_BOUND * set->mean_load;
	uint64_t most_cached = 0;
	ssize_t best = -1;

	if (bound < AFFINITY_MIN_LOAD_BOUND)
		bound = AFFINITY_MIN_LOAD_BOUND;
	/* Don't queue for a cached prefix while another engine has a slot. */
	if (bound > 1 && set->least_load <= 1)
		bound = 1;
	for (size_t i = 0; i < set->n; i++) {
		uint64_t cached = set->candidates[i].cached_tokens;

		if (!is_eligible(set, i) || cached == 0 ||
		    cached < most_cached ||
		    cached < min_cached_fraction * set->req->prompt_tokens ||
		    load_per_slot_with_new_run(&set->candidates[i]) > bound)
			continue;
		if (best < 0 || cached > most_cached ||
		    is_preferred(set, i, best)) {
			best = i;
			most_cached = cached;
		}
	}
	return best;
}

static size_t nth_eligible(const candidate_set_t *set, size_t nth)
{
	size_t i = 0;

	for (;; i++)
		if (is_eligible(set, i) && nth-- == 0)
			return i;
}

/*
 * Scans from start, which is random: daemons with the same reports then choose
 * different ones of several equally loaded engines.
 */
static size_t choose_least_loaded(const candidate_set_t *set, size_t start)
{
	size_t best = start;

	for (size_t k = 1; k < set->n; k++) {
		size_t i = (start + k) % set->n;

		if (is_eligible(set, i) && is_preferred(set, i, best))
			best = i;
	}
	return best;
}

/*
 * Power of two choices: takes the better of two random engines. As reports
 * lag, daemons that all took the least loaded engine would overload it. If
 * both have no free slot, all engines are scanned for one.
 */
static size_t choose_better_of_two(const candidate_set_t *set,
				   const gc_random_t *random)
{
	size_t first = random->next(random->ctx) % set->n_eligible;
	size_t a = nth_eligible(set, first);
	size_t second;
	size_t b;

	if (set->n_eligible == 1)
		return a;
	second = random->next(random->ctx) % (set->n_eligible - 1);
	if (second >= first)
		second++;
	b = nth_eligible(set, second);
	if (is_preferred(set, b, a))
		a = b;
	if (load_per_slot_with_new_run(&set->candidates[a]) > 1)
		return choose_least_loaded(set, a);
	return a;
}

ssize_t gc_placement_choose(const gc_placement_candidate_t *candidates,
			    size_t n, const gc_placement_request_t *req,
			    const gc_random_t *random)
{
	candidate_set_t set = {.candidates = candidates, .n = n, .req = req};
	ssize_t cached;

	measure_load(&set);
	if (set.n_eligible == 0) {
		set.ejected = true;
		measure_load(&set);
	}
	if (set.n_eligible == 0)
		return -1;
	cached = choose_by_cached_prefix(&set);
	if (cached >= 0)
		return cached;
	return choose_better_of_two(&set, random);
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
	bool is_known = false;

	for (size_t i = 0; i < n_engines && higher < size; i++) {
		if (gc_str_eq(engines[i], engine))
			is_known = true;
		else if (rendezvous_score(daemon, engines[i]) > own)
			higher++;
	}
	return is_known && higher < size;
}
