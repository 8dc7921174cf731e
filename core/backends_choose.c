/* Chooses backend servers; the one with the lowest score is the best. */
#include <xxhash.h>

#include "core/backends_private.h"
#include "core/clock.h"

/* Terms of a server's score, in units of one request in flight. */
#define REMOTE_DOMAIN_SCORE 0.6 /* in another failure domain */
#define NOT_PREFERRED_SCORE 0.4 /* this daemon does not prefer the server */
#define QUEUED_SCORE	    2.0 /* per queued request: prefill delays others */
#define KV_CACHE_FULL_SCORE 6.0 /* KV cache nearly used up */
#define COPY_SCORE	    0.3 /* per copy of a run's KV cache */
#define FAILURE_SCORE	    6.0 /* per failure rate of 1 above the service's */
#define REPLACED_SCORE	    8.0 /* the server has probably been replaced */
#define JITTER_SCORE	    0.1
#define NO_ROOM_SCORE	    100.0 /* memory too small for the stream */
/* A copy in the failure domain of its run is lost together with the run. */
#define SAME_DOMAIN_COPY_SCORE 100.0
/* Older load reports are ignored. */
#define REPORT_MAX_AGE_MS 500
/* With more of the KV cache in use, requests wait or are preempted. */
#define KV_USED_FRACTION_HIGH 0.8
/* Random part of the score of candidates for a load query, in requests in
 * flight. */
#define CANDIDATE_JITTER 1.0

/* Mean distance between two servers that are next to each other in the order
 * of a prompt's preference. */
#define AFFINITY_SCORE 0.5
/* The same if a server has probably read the prompt. */
#define RESUMED_AFFINITY_SCORE 2.0

typedef bool (*filter_t)(const gc_backend_t *backend, struct timespec now);

static gc_backend_t *find_best(gc_backends_t *backends, struct timespec now,
			       gc_str_t service, const gc_backend_set_t *avoid,
			       filter_t filter);
static gc_backend_t *find_to_ask(gc_backends_t *backends, struct timespec now,
				 gc_str_t service, const gc_prompt_t *prompt,
				 const gc_backend_set_t *avoid,
				 const gc_backend_t *chosen, unsigned int rank,
				 filter_t filter);
static double request_score(const gc_backends_t *backends,
			    const gc_backend_t *backend, struct timespec now);
static double stream_score(const gc_backends_t *backends,
			   const gc_backend_t *backend, struct timespec now,
			   const gc_prompt_t *prompt);
static double affinity_score(const gc_backend_t *backend,
			     const gc_prompt_t *prompt);
static double base_score(const gc_backends_t *backends,
			 const gc_backend_t *backend, struct timespec now);
static double load_score(const gc_backend_t *backend, struct timespec now);
static bool has_recent_report(const gc_backend_t *backend, struct timespec now);
static bool accepts_requests(const gc_backend_t *backend, struct timespec now);
static bool accepts_with_permit(const gc_backend_t *backend,
				struct timespec now);
static bool accepts_by_itself(const gc_backend_t *backend, struct timespec now);
static bool is_sound_by_itself(const gc_backend_t *backend,
			       struct timespec now);
static bool is_ejected(const gc_backend_t *backend, struct timespec now);
static bool is_ejected_itself(const gc_backend_t *backend, struct timespec now);
static int64_t return_ms(const gc_backend_t *backend, struct timespec now);
static bool is_judged_before(const gc_backend_t *left,
			     const gc_backend_t *right, uint64_t key);
static bool is_sound_at(const gc_backend_t *backend, struct timespec now,
			gc_str_t service, gc_str_t version);
static bool is_domain_ejected(const gc_backend_t *backend, struct timespec now);

gc_backend_t *gc_backends_choose(gc_backends_t *backends, struct timespec now,
				 gc_str_t service,
				 const gc_backend_set_t *avoid)
{
	static const filter_t filters[] = {gc_backend_usable, accepts_by_itself,
					   accepts_requests};
	gc_backend_t *backend = NULL;

	for (size_t i = 0; !backend && i < G_N_ELEMENTS(filters); i++)
		backend = find_best(backends, now, service, avoid, filters[i]);
	return backend;
}

gc_backend_t *gc_backends_choose_usable(gc_backends_t *backends,
					struct timespec now, gc_str_t service,
					const gc_backend_set_t *avoid)
{
	return find_best(backends, now, service, avoid, gc_backend_usable);
}

size_t gc_backends_count_ejected(const gc_backends_t *backends,
				 struct timespec now, gc_str_t service)
{
	size_t n = 0;

	for (const gc_backend_t *b = backends->first; b; b = b->next) {
		if (!gc_str_eq(b->entry.service, service) ||
		    !accepts_requests(b, now))
			continue;
		if (!is_ejected(b, now))
			return 0;
		n++;
	}
	return n;
}

size_t gc_backends_count(const gc_backends_t *backends, struct timespec now,
			 gc_str_t service)
{
	size_t n = 0;

	for (const gc_backend_t *b = backends->first; b; b = b->next)
		n += gc_str_eq(b->entry.service, service) &&
		     accepts_with_permit(b, now);
	return n;
}

gc_backend_t *gc_backends_nth(const gc_backends_t *backends,
			      struct timespec now, gc_str_t service,
			      unsigned int n)
{
	size_t count = gc_backends_count(backends, now, service);

	if (count == 0)
		return NULL;
	n = (unsigned int)(n % count);
	for (gc_backend_t *b = backends->first; b; b = b->next)
		if (gc_str_eq(b->entry.service, service) &&
		    accepts_with_permit(b, now) && n-- == 0)
			return b;
	return NULL;
}

gc_backend_t *
gc_backends_choose_if(gc_backends_t *backends, struct timespec now,
		      gc_str_t service, const gc_backend_set_t *avoid,
		      bool (*fn)(void *ctx, const gc_backend_t *backend),
		      void *ctx)
{
	gc_backend_t *chosen = NULL;

	for (gc_backend_t *b = backends->first; b; b = b->next) {
		if (!gc_str_eq(b->entry.service, service) ||
		    !accepts_requests(b, now) ||
		    gc_backend_is_avoided(b, avoid) ||
		    (chosen && b->in_flight >= chosen->in_flight) ||
		    !fn(ctx, b))
			continue;
		chosen = b;
	}
	return chosen;
}

static gc_backend_t *find_best(gc_backends_t *backends, struct timespec now,
			       gc_str_t service, const gc_backend_set_t *avoid,
			       filter_t filter)
{
	gc_backend_t *chosen = NULL;
	double lowest_score = 0;

	for (gc_backend_t *b = backends->first; b; b = b->next) {
		double score;

		if (!gc_str_eq(b->entry.service, service) || !filter(b, now) ||
		    gc_backend_is_avoided(b, avoid))
			continue;
		score = request_score(backends, b, now);
		if (chosen && score >= lowest_score)
			continue;
		chosen = b;
		lowest_score = score;
	}
	return chosen;
}

gc_backend_t *gc_backends_choose_elsewhere(gc_backends_t *backends,
					   struct timespec now,
					   gc_str_t service,
					   const gc_backend_set_t *avoid)
{
	gc_backend_t *chosen = NULL;

	for (gc_backend_t *b = backends->first; b; b = b->next) {
		if (gc_str_eq(b->entry.service, service) ||
		    !gc_backend_usable(b, now) ||
		    gc_backend_is_avoided(b, avoid))
			continue;
		if (!chosen || b->in_flight < chosen->in_flight)
			chosen = b;
	}
	return chosen;
}

bool gc_backends_has_version(const gc_backends_t *backends, gc_str_t service,
			     gc_str_t version)
{
	for (const gc_backend_t *b = backends->first; b; b = b->next)
		if (gc_str_eq(b->entry.service, service) &&
		    gc_str_eq(b->entry.version, version) &&
		    !gc_backend_is_leaving(b))
			return true;
	return false;
}

size_t gc_backends_candidates(gc_backends_t *backends, struct timespec now,
			      gc_str_t service, const gc_prompt_t *prompt,
			      const gc_backend_set_t *avoid,
			      gc_backend_t **candidates, size_t max)
{
	double scores[GC_CANDIDATES_MAX];
	size_t n = 0;

	max = max < GC_CANDIDATES_MAX ? max : GC_CANDIDATES_MAX;
	for (gc_backend_t *b = backends->first; b; b = b->next) {
		double score;
		size_t index;

		/* A load query needs a permit, too. */
		if (!gc_str_eq(b->entry.service, service) ||
		    !gc_backend_usable(b, now) ||
		    gc_backend_is_avoided(b, avoid) ||
		    gc_backend_usable_permits(b, now) < 2)
			continue;
		score = stream_score(backends, b, now, prompt);
		if (!prompt)
			score += CANDIDATE_JITTER *
				 gc_backends_random_unit(backends);
		for (index = n; index > 0 && scores[index - 1] > score;
		     index--) {
			if (index == max)
				continue;
			scores[index] = scores[index - 1];
			candidates[index] = candidates[index - 1];
		}
		if (index == max)
			continue;
		scores[index] = score;
		candidates[index] = b;
		n += n < max;
	}
	return n;
}

gc_backend_t *gc_backends_choose_to_ask(gc_backends_t *backends,
					struct timespec now, gc_str_t service,
					const gc_prompt_t *prompt,
					const gc_backend_set_t *avoid,
					const gc_backend_t *chosen,
					unsigned int rank)
{
	static const filter_t filters[] = {
		gc_backend_is_sound, is_sound_by_itself, accepts_with_permit};

	for (size_t i = 0; i < G_N_ELEMENTS(filters); i++)
		if (find_best(backends, now, service, avoid, filters[i]))
			return find_to_ask(backends, now, service, prompt,
					   avoid, chosen, rank, filters[i]);
	return NULL;
}

bool gc_backends_may_ask_usable(gc_backends_t *backends, struct timespec now,
				gc_str_t service, const gc_backend_set_t *avoid,
				unsigned int rank)
{
	return find_to_ask(backends, now, service, NULL, avoid, NULL, rank,
			   gc_backend_is_sound) != NULL;
}

/* The best one that passes the filter and is better than chosen, if that is set. */
static gc_backend_t *find_to_ask(gc_backends_t *backends, struct timespec now,
				 gc_str_t service, const gc_prompt_t *prompt,
				 const gc_backend_set_t *avoid,
				 const gc_backend_t *chosen, unsigned int rank,
				 filter_t filter)
{
	gc_backend_t *best = NULL;
	double lowest_score = 0;

	if (chosen)
		lowest_score =
			prompt ? stream_score(backends, chosen, now, prompt)
			       : request_score(backends, chosen, now);
	for (gc_backend_t *b = backends->first; b; b = b->next) {
		double score;

		if (!gc_str_eq(b->entry.service, service) ||
		    !gc_backend_may_ask_any(b, now, rank) ||
		    gc_backend_is_avoided(b, avoid) || !filter(b, now))
			continue;
		score = prompt ? stream_score(backends, b, now, prompt)
			       : request_score(backends, b, now);
		if ((chosen || best) && score >= lowest_score)
			continue;
		best = b;
		lowest_score = score;
	}
	return best;
}

gc_backend_t *gc_backends_best_of(gc_backends_t *backends, struct timespec now,
				  const gc_prompt_t *prompt,
				  const gc_backend_set_t *set)
{
	gc_backend_t *chosen = NULL;
	double lowest_score = 0;

	for (size_t i = 0; i < set->n; i++) {
		double score =
			stream_score(backends, set->list[i], now, prompt);

		if (!accepts_requests(set->list[i], now))
			continue;
		if (chosen && score >= lowest_score)
			continue;
		chosen = set->list[i];
		lowest_score = score;
	}
	return chosen;
}

gc_backend_t *gc_backends_choose_copy_holder(gc_backends_t *backends,
					     struct timespec now,
					     const gc_backend_t *run_backend,
					     const gc_backend_set_t *avoid)
{
	gc_backend_t *chosen = NULL;
	double lowest_score = 0;

	for (gc_backend_t *b = backends->first; b; b = b->next) {
		double score = stream_score(backends, b, now, NULL);

		/* Another version can't go on from the copy. */
		if (b == run_backend || b->service != run_backend->service ||
		    !gc_str_eq(b->entry.version, run_backend->entry.version) ||
		    !gc_backend_usable(b, now) ||
		    gc_backend_is_avoided(b, avoid))
			continue;
		if (b->domain == run_backend->domain)
			score += SAME_DOMAIN_COPY_SCORE;
		if (chosen && score >= lowest_score)
			continue;
		chosen = b;
		lowest_score = score;
	}
	return chosen;
}

bool gc_backend_is_avoided(const gc_backend_t *backend,
			   const gc_backend_set_t *avoid)
{
	if (!avoid)
		return false;
	if (gc_backend_is_version_avoided(backend, avoid))
		return true;
	for (size_t i = 0; i < avoid->n; i++)
		if (avoid->list[i] == backend)
			return true;
	return avoid->last_judged &&
	       is_judged_before(avoid->last_judged, backend, avoid->judged_key);
}

bool gc_backend_is_version_avoided(const gc_backend_t *backend,
				   const gc_backend_set_t *avoid)
{
	gc_str_t version = backend->entry.version;

	if (avoid->only_version.data &&
	    !gc_str_eq(avoid->only_version, version))
		return true;
	if (avoid->not_version.data && gc_str_eq(avoid->not_version, version))
		return true;
	for (size_t i = 0; i < avoid->n_barred; i++)
		if (gc_str_eq(avoid->barred[i], version))
			return true;
	return false;
}

static bool is_judged_before(const gc_backend_t *left,
			     const gc_backend_t *right, uint64_t key)
{
	uint64_t left_hash = XXH64(&left->id_hash, sizeof(left->id_hash), key);
	uint64_t right_hash =
		XXH64(&right->id_hash, sizeof(right->id_hash), key);

	return left_hash < right_hash ||
	       (left_hash == right_hash && left->id_hash < right->id_hash);
}

static bool is_sound_at(const gc_backend_t *backend, struct timespec now,
			gc_str_t service, gc_str_t version)
{
	return gc_str_eq(backend->entry.service, service) &&
	       gc_str_eq(backend->entry.version, version) &&
	       gc_backend_is_sound(backend, now);
}

size_t gc_backends_count_sound(const gc_backends_t *backends,
			       struct timespec now, gc_str_t service,
			       gc_str_t version)
{
	size_t n = 0;

	for (const gc_backend_t *b = backends->first; b; b = b->next)
		n += is_sound_at(b, now, service, version);
	return n;
}

/* Quadratic, for the few servers that are judged at once. */
gc_backend_t *gc_backends_nth_judged(const gc_backends_t *backends,
				     struct timespec now, gc_str_t service,
				     gc_str_t version, uint64_t key, size_t n)
{
	gc_backend_t *last = NULL;

	for (size_t i = 0; i <= n; i++) {
		gc_backend_t *next = NULL;

		for (gc_backend_t *b = backends->first; b; b = b->next)
			if (is_sound_at(b, now, service, version) &&
			    (!last || is_judged_before(last, b, key)) &&
			    (!next || is_judged_before(b, next, key)))
				next = b;
		if (!next)
			break;
		last = next;
	}
	return last;
}

/* Requests without a stream are short, so the distance to the server counts. */
static double request_score(const gc_backends_t *backends,
			    const gc_backend_t *backend, struct timespec now)
{
	double score = base_score(backends, backend, now);

	if (!gc_backend_is_local(backends, backend))
		score += REMOTE_DOMAIN_SCORE;
	else if (!backend->preferred_local)
		score += NOT_PREFERRED_SCORE;
	return score;
}

/* Streams last for seconds. They are spread over all failure domains, so that
 * they don't all break at once. */
static double stream_score(const gc_backends_t *backends,
			   const gc_backend_t *backend, struct timespec now,
			   const gc_prompt_t *prompt)
{
	double score = base_score(backends, backend, now);

	if (prompt && !gc_backend_has_room(backend, now, prompt))
		score += NO_ROOM_SCORE;
	if (prompt)
		return score + affinity_score(backend, prompt);
	return score + (backend->preferred ? 0 : NOT_PREFERRED_SCORE);
}

/* The same in all daemons; spreads the prompts evenly over the servers. */
static double affinity_score(const gc_backend_t *backend,
			     const gc_prompt_t *prompt)
{
	uint64_t hash =
		XXH64(&prompt->hash, sizeof(prompt->hash), backend->id_hash);

	return (prompt->resumed ? RESUMED_AFFINITY_SCORE : AFFINITY_SCORE) *
	       (double)backend->service->n_servers * (double)(hash >> 11) /
	       9007199254740992.0;
}

static double base_score(const gc_backends_t *backends,
			 const gc_backend_t *backend, struct timespec now)
{
	double excess = backend->failure_rate - backend->service->failure_rate;
	double score = load_score(backend, now) + COPY_SCORE * backend->copies;

	if (excess > 0)
		score += FAILURE_SCORE * excess;
	if (gc_backend_maybe_replaced(backend, now))
		score += REPLACED_SCORE;
	if (gc_ms_between(now, backend->refused_until) > 0)
		score += backend->entry.slots;
	return score + JITTER_SCORE * gc_backends_random_unit(backends);
}

/* The greater of this daemon's own requests and a recent report, which covers
 * the requests of all daemons. */
static double load_score(const gc_backend_t *backend, struct timespec now)
{
	double own = backend->in_flight;
	double reported;

	if (!has_recent_report(backend, now))
		return own;
	reported = backend->load.running + QUEUED_SCORE * backend->load.queued;
	if ((double)backend->load.kv_used >
	    KV_USED_FRACTION_HIGH * (double)backend->load.kv_total)
		reported += KV_CACHE_FULL_SCORE;
	return reported > own ? reported : own;
}

bool gc_backend_has_room(const gc_backend_t *backend, struct timespec now,
			 const gc_prompt_t *prompt)
{
	const gc_backend_load_t *load = &backend->load;
	int64_t needed = prompt->tokens + prompt->max_output_tokens;
	/* The requests that run get half of their output on average. */
	int64_t growth = load->running * prompt->max_output_tokens / 2;

	if (!has_recent_report(backend, now) || load->kv_total == 0)
		return true;
	return load->kv_used + growth + (load->queued + 1) * needed <=
	       load->kv_total;
}

static bool has_recent_report(const gc_backend_t *backend, struct timespec now)
{
	return backend->reported &&
	       gc_ms_between(backend->reported_at, now) <= REPORT_MAX_AGE_MS;
}

double gc_backends_random_unit(const gc_backends_t *backends)
{
	const gc_random_t *random = backends->conf.random;

	return (double)(random->next(random->ctx) >> 11) / 9007199254740992.0;
}

int64_t gc_backends_earliest_return(const gc_backends_t *backends,
				    struct timespec now, gc_str_t service)
{
	int64_t earliest_ms = 0;

	for (gc_backend_t *b = backends->first; b; b = b->next) {
		int64_t ms = return_ms(b, now);

		if (!gc_str_eq(b->entry.service, service) ||
		    gc_backend_is_leaving(b))
			continue;
		if (ms <= 0)
			return 0;
		if (earliest_ms == 0 || ms < earliest_ms)
			earliest_ms = ms;
	}
	return earliest_ms;
}

static int64_t return_ms(const gc_backend_t *backend, struct timespec now)
{
	int64_t ms = gc_ms_between(now, backend->paused_until);

	if (gc_backend_usable_permits(backend, now) == 0)
		ms = MAX(ms, gc_ms_between(now, backend->denied_until));
	if (gc_backend_usable_places(backend, now) == 0)
		ms = MAX(ms, gc_ms_between(now, backend->places.denied_until));
	return ms;
}

bool gc_backends_has_full(const gc_backends_t *backends, struct timespec now,
			  gc_str_t service, const gc_backend_set_t *avoid)
{
	for (const gc_backend_t *b = backends->first; b; b = b->next)
		if (gc_str_eq(b->entry.service, service) &&
		    !gc_backend_is_avoided(b, avoid) &&
		    accepts_with_permit(b, now) && !is_ejected_itself(b, now) &&
		    !accepts_requests(b, now))
			return true;
	return false;
}

bool gc_backend_usable(const gc_backend_t *backend, struct timespec now)
{
	return accepts_requests(backend, now) && !is_ejected(backend, now);
}

/* Of a domain that was ejected for the failures of others, some may have crashed
 * and some not. */
static bool accepts_by_itself(const gc_backend_t *backend, struct timespec now)
{
	return accepts_requests(backend, now) &&
	       !is_ejected_itself(backend, now);
}

bool gc_backend_is_sound(const gc_backend_t *backend, struct timespec now)
{
	return accepts_with_permit(backend, now) && !is_ejected(backend, now);
}

static bool is_sound_by_itself(const gc_backend_t *backend, struct timespec now)
{
	return accepts_with_permit(backend, now) &&
	       !is_ejected_itself(backend, now);
}

static bool is_ejected(const gc_backend_t *backend, struct timespec now)
{
	return is_domain_ejected(backend, now) ||
	       is_ejected_itself(backend, now);
}

static bool is_ejected_itself(const gc_backend_t *backend, struct timespec now)
{
	if (backend->replaced &&
	    gc_ms_between(now, backend->replaced_until) > 0)
		return true;
	return backend->ejected &&
	       gc_ms_between(now, backend->ejected_until) > 0;
}

static bool accepts_requests(const gc_backend_t *backend, struct timespec now)
{
	return accepts_with_permit(backend, now) &&
	       gc_backend_usable_permits(backend, now) > 0 &&
	       gc_backend_usable_places(backend, now) > 0;
}

static bool accepts_with_permit(const gc_backend_t *backend,
				struct timespec now)
{
	return !gc_backend_is_leaving(backend) &&
	       !gc_backend_is_pausing(backend, now);
}

static bool is_domain_ejected(const gc_backend_t *backend, struct timespec now)
{
	return backend->domain->ejected &&
	       gc_ms_between(now, backend->domain->ejected_until) > 0;
}
