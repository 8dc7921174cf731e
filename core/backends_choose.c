/* The choice of a backend server. */
#include "core/backends_private.h"
#include "core/clock.h"

/* Weights of a score, in requests in flight. */
#define REMOTE_SCORE  0.6 /* another failure domain */
#define FOREIGN_SCORE 0.4 /* another daemon prefers this server */
#define QUEUED_SCORE  2.0 /* a prompt that is read holds up all others */
#define MEMORY_SCORE  6.0 /* memory that is nearly used up */
#define COPY_SCORE    0.3 /* each copy of a run's memory */
#define FAILURE_SCORE 6.0 /* of the excess failure rate */
#define MOVED_SCORE   8.0 /* it has probably been replaced */
#define JITTER_SCORE  0.1
/* A copy in the domain of its run is lost with it when the domain fails. */
#define SHARED_FATE_SCORE 100.0
/* A report counts for this long. */
#define REPORT_MS 500
/* Memory in use beyond this part makes requests wait or be preempted. */
#define MEMORY_FULL 0.8
/* Random part of the choice whom to ask for load, in requests in flight. */
#define CANDIDATE_JITTER 1.0

typedef bool (*accept_t)(const gc_backend_t *backend, struct timespec now);

static gc_backend_t *best(gc_backends_t *backends, struct timespec now,
			  gc_str_t service, const gc_backend_set_t *avoid,
			  accept_t accept);
static bool in_set(const gc_backend_set_t *set, const gc_backend_t *backend);
static double near_score(const gc_backends_t *backends,
			 const gc_backend_t *backend, struct timespec now);
static double spread_score(const gc_backends_t *backends,
			   const gc_backend_t *backend, struct timespec now);
static double score(const gc_backends_t *backends, const gc_backend_t *backend,
		    struct timespec now);
static double load_score(const gc_backend_t *backend, struct timespec now);
static double jitter(const gc_backends_t *backends);
static bool any_live(const gc_backend_t *backend, struct timespec now);
static bool domain_ejected(const gc_backend_t *backend, struct timespec now);

gc_backend_t *gc_backends_choose(gc_backends_t *backends, struct timespec now,
				 gc_str_t service,
				 const gc_backend_set_t *avoid)
{
	gc_backend_t *backend =
		best(backends, now, service, avoid, gc_backend_usable);

	return backend ? backend
		       : best(backends, now, service, avoid, any_live);
}

static gc_backend_t *best(gc_backends_t *backends, struct timespec now,
			  gc_str_t service, const gc_backend_set_t *avoid,
			  accept_t accept)
{
	gc_backend_t *chosen = NULL;
	double least = 0;

	for (gc_backend_t *b = backends->first; b; b = b->next) {
		double value;

		if (!gc_str_eq(b->entry.service, service) || !accept(b, now) ||
		    in_set(avoid, b))
			continue;
		value = near_score(backends, b, now);
		if (chosen && value >= least)
			continue;
		chosen = b;
		least = value;
	}
	return chosen;
}

size_t gc_backends_candidates(gc_backends_t *backends, struct timespec now,
			      gc_str_t service, const gc_backend_set_t *avoid,
			      gc_backend_t **candidates, size_t max)
{
	double scores[GC_CANDIDATES_MAX];
	size_t n = 0;

	max = max < GC_CANDIDATES_MAX ? max : GC_CANDIDATES_MAX;
	for (gc_backend_t *b = backends->first; b; b = b->next) {
		double value;
		size_t at;

		if (!gc_str_eq(b->entry.service, service) ||
		    !gc_backend_usable(b, now) || in_set(avoid, b))
			continue;
		value = spread_score(backends, b, now) +
			CANDIDATE_JITTER * jitter(backends);
		for (at = n; at > 0 && scores[at - 1] > value; at--) {
			if (at == max)
				continue;
			scores[at] = scores[at - 1];
			candidates[at] = candidates[at - 1];
		}
		if (at == max)
			continue;
		scores[at] = value;
		candidates[at] = b;
		n += n < max;
	}
	return n;
}

gc_backend_t *gc_backends_best_of(gc_backends_t *backends, struct timespec now,
				  const gc_backend_set_t *set)
{
	gc_backend_t *chosen = NULL;
	double least = 0;

	for (size_t i = 0; i < set->n; i++) {
		double value = spread_score(backends, set->list[i], now);

		if (chosen && value >= least)
			continue;
		chosen = set->list[i];
		least = value;
	}
	return chosen;
}

gc_backend_t *gc_backends_choose_copy(gc_backends_t *backends,
				      struct timespec now,
				      const gc_backend_t *run,
				      const gc_backend_set_t *avoid)
{
	gc_backend_t *chosen = NULL;
	double least = 0;

	for (gc_backend_t *b = backends->first; b; b = b->next) {
		double value = spread_score(backends, b, now);

		if (b == run || b->service != run->service ||
		    !gc_backend_usable(b, now) || in_set(avoid, b))
			continue;
		if (b->domain == run->domain)
			value += SHARED_FATE_SCORE;
		if (chosen && value >= least)
			continue;
		chosen = b;
		least = value;
	}
	return chosen;
}

static bool in_set(const gc_backend_set_t *set, const gc_backend_t *backend)
{
	for (size_t i = 0; set && i < set->n; i++)
		if (set->list[i] == backend)
			return true;
	return false;
}

/* Plain requests are short: the way to a server counts. */
static double near_score(const gc_backends_t *backends,
			 const gc_backend_t *backend, struct timespec now)
{
	double value = score(backends, backend, now);

	if (!gc_backends_local(backends, backend))
		value += REMOTE_SCORE;
	else if (!backend->home)
		value += FOREIGN_SCORE;
	return value;
}

/* Streams last for seconds: it counts that they don't break together. */
static double spread_score(const gc_backends_t *backends,
			   const gc_backend_t *backend, struct timespec now)
{
	return score(backends, backend, now) +
	       (backend->share ? 0 : FOREIGN_SCORE);
}

static double score(const gc_backends_t *backends, const gc_backend_t *backend,
		    struct timespec now)
{
	double excess = backend->failure_rate - backend->service->failure_rate;
	double value = load_score(backend, now) + COPY_SCORE * backend->copies;

	if (excess > 0)
		value += FAILURE_SCORE * excess;
	if (gc_backend_maybe_moved(backend, now))
		value += MOVED_SCORE;
	if (gc_ms_between(now, backend->full_until) > 0)
		value += backend->entry.slots;
	return value + JITTER_SCORE * jitter(backends);
}

/* Work of all daemons if a fresh report tells it, else the own work. */
static double load_score(const gc_backend_t *backend, struct timespec now)
{
	double own = backend->in_flight;
	double reported;

	if (!backend->reported ||
	    gc_ms_between(backend->reported_at, now) > REPORT_MS)
		return own;
	reported = backend->load.running + QUEUED_SCORE * backend->load.queued;
	if (backend->load.memory > MEMORY_FULL)
		reported += MEMORY_SCORE;
	return reported > own ? reported : own;
}

/* Uniform in [0, 1). */
static double jitter(const gc_backends_t *backends)
{
	const gc_random_t *random = backends->conf.random;

	return (double)(random->next(random->ctx) >> 11) / 9007199254740992.0;
}

bool gc_backend_usable(const gc_backend_t *backend, struct timespec now)
{
	if (!any_live(backend, now) || domain_ejected(backend, now))
		return false;
	if (backend->moved && gc_ms_between(now, backend->moved_until) > 0)
		return false;
	return !backend->ejected ||
	       gc_ms_between(now, backend->ejected_until) <= 0;
}

static bool any_live(const gc_backend_t *backend, struct timespec now)
{
	return backend->owner && !backend->entry.draining;
}

static bool domain_ejected(const gc_backend_t *backend, struct timespec now)
{
	return backend->domain->ejected &&
	       gc_ms_between(now, backend->domain->ejected_until) > 0;
}
