/* Choice of backend servers from what one daemon knows. */
#include <glib.h>

#include "core/backends.h"
#include "core/budget.h"
#include "core/clock.h"

/* First ejection after a broken connection; doubles with each failure in a
 * row. Short, because a server that restarts is back in about a second. */
#define EJECT_MS     400
#define EJECT_MAX_MS 4000
/* A server that refused for lack of room is left alone this long. */
#define FULL_MS 60
/* Servers of one failure domain that break within this time share a cause. */
#define DOMAIN_WINDOW_MS 1500
/* So many of them make the whole domain suspect. */
#define DOMAIN_FAILURES 2
/* How long a suspect domain is avoided. */
#define DOMAIN_EJECT_MS 1300
/* Weights of a score, in requests in flight. */
#define REMOTE_SCORE  0.6 /* another failure domain */
#define FOREIGN_SCORE 0.4 /* another daemon prefers this server */
#define QUEUED_SCORE  2.0 /* a prompt that is read holds up all others */
#define MEMORY_SCORE  6.0 /* memory that is nearly used up */
#define COPY_SCORE    0.3 /* each copy of a run's memory */
#define FAILURE_SCORE 6.0 /* of the excess failure rate */
#define JITTER_SCORE  0.1
/* A copy in the domain of its run is lost with it when the domain fails. */
#define SHARED_FATE_SCORE 100.0
/* A report counts for this long. */
#define REPORT_MS 500
/* Memory in use beyond this part makes requests wait or be preempted. */
#define MEMORY_FULL 0.8
/* Random part of the choice whom to ask for load, in requests in flight. */
#define CANDIDATE_JITTER 1.0
/* A server whose address was taken over is left alone until it is removed
 * from the store. */
#define MOVED_MS 5000
/* Answers over which the failure rate is smoothed. */
#define RATE_ANSWERS 16.0
/* Part of the fleet's allowed repeats that daemons use. The rest covers that
 * requests are counted over one part more than the window. */
#define BUDGET_MARGIN 0.9

typedef struct service {
	struct service *next;
	gc_str_t name;
	gc_budget_t budget;
	double failure_rate; /* smoothed over all servers */
} service_t;

typedef struct domain {
	struct domain *next;
	gc_str_t name;
	gc_str_t service;
	struct timespec failed_at;
	unsigned int n_failed; /* servers, since failed_at */
	struct timespec ejected_until;
	bool ejected;
} domain_t;

struct gc_backend {
	gc_backends_t *owner; /* NULL once the server has left */
	gc_backend_t *next;
	unsigned int n_refs;
	gc_entry_t entry;
	service_t *service;
	domain_t *domain;
	bool listed;
	bool home; /* this daemon prefers it */
	uint32_t in_flight;
	uint32_t copies;
	unsigned int failures; /* in a row */
	double failure_rate; /* smoothed */
	bool ejected;
	struct timespec ejected_until;
	struct timespec full_until;
	gc_load_t load; /* as reported */
	bool reported;
	struct timespec reported_at;
};

struct gc_backends {
	gc_backends_conf_t conf;
	gc_backend_t *first;
	service_t *services;
	domain_t *domains;
	size_t n_daemons; /* in all failure domains, at least 1 */
};

typedef bool (*accept_t)(const gc_backend_t *backend, struct timespec now);

static service_t *find_service(gc_backends_t *backends, gc_str_t name);
static gc_budget_conf_t budget_conf(const gc_backends_t *backends);
static domain_t *find_domain(gc_backends_t *backends, const gc_entry_t *entry);
static bool superseded(const gc_entry_t *servers, size_t n, size_t i);
static gc_backend_t *find(gc_backends_t *backends, const gc_entry_t *entry);
static void update(gc_backend_t *backend, const gc_entry_t *entry);
static void remove_unlisted(gc_backends_t *backends);
static void assign_homes(gc_backends_t *backends, size_t rank,
			 size_t n_daemons);
static bool in_set(const gc_backend_set_t *set, const gc_backend_t *backend);
static double score(const gc_backends_t *backends, const gc_backend_t *backend,
		    struct timespec now);
static double load_score(const gc_backend_t *backend, struct timespec now);
static double jitter(const gc_backends_t *backends);
static bool domain_ejected(const gc_backend_t *backend, struct timespec now);
static bool local(const gc_backends_t *backends, const gc_backend_t *backend);
static gc_backend_t *best(gc_backends_t *backends, struct timespec now,
			  gc_str_t service, const gc_backend_set_t *avoid,
			  accept_t accept);
static bool any_live(const gc_backend_t *backend, struct timespec now);
static void eject(gc_backend_t *backend, struct timespec now);
static void suspect_domain(gc_backend_t *backend, struct timespec now);
static void count_answer(gc_backend_t *backend, double failed);

gc_backends_t *gc_backends_create(TALLOC_CTX *mem,
				  const gc_backends_conf_t *conf)
{
	gc_backends_t *backends = talloc_zero(mem, gc_backends_t);

	backends->conf = *conf;
	backends->conf.failure_domain =
		gc_str_dup(backends, conf->failure_domain);
	backends->n_daemons = 1;
	return backends;
}

static service_t *find_service(gc_backends_t *backends, gc_str_t name)
{
	service_t *service;

	for (service = backends->services; service; service = service->next)
		if (gc_str_eq(service->name, name))
			return service;
	service = talloc_zero(backends, service_t);
	service->name = gc_str_dup(service, name);
	service->next = backends->services;
	backends->services = service;
	return service;
}

/* This daemon's part of the fleet's budget. */
static gc_budget_conf_t budget_conf(const gc_backends_t *backends)
{
	return (gc_budget_conf_t){
		.window_ms = backends->conf.repeat_window_ms,
		.ratio = backends->conf.repeat_ratio * BUDGET_MARGIN,
		.slack = backends->conf.repeat_slack * BUDGET_MARGIN /
			 (double)backends->n_daemons,
	};
}

static domain_t *find_domain(gc_backends_t *backends, const gc_entry_t *entry)
{
	domain_t *domain;

	for (domain = backends->domains; domain; domain = domain->next)
		if (gc_str_eq(domain->name, entry->failure_domain) &&
		    gc_str_eq(domain->service, entry->service))
			return domain;
	domain = talloc_zero(backends, domain_t);
	domain->name = gc_str_dup(domain, entry->failure_domain);
	domain->service = gc_str_dup(domain, entry->service);
	domain->next = backends->domains;
	backends->domains = domain;
	return domain;
}

void gc_backends_sync(gc_backends_t *backends, const gc_entry_t *servers,
		      size_t n, size_t rank, size_t n_local, size_t n_daemons)
{
	gc_backend_t *backend;

	backends->n_daemons = n_daemons > 0 ? n_daemons : 1;
	for (backend = backends->first; backend; backend = backend->next)
		backend->listed = false;
	for (size_t i = 0; i < n; i++) {
		if (superseded(servers, n, i))
			continue;
		backend = find(backends, &servers[i]);
		update(backend, &servers[i]);
	}
	remove_unlisted(backends);
	assign_homes(backends, rank, n_local > 0 ? n_local : 1);
}

/*
 * A server that crashed and started again has another entry at the same
 * address; the old one stays until it expires.
 */
static bool superseded(const gc_entry_t *servers, size_t n, size_t i)
{
	for (size_t j = 0; j < n; j++)
		if (servers[j].started_ms > servers[i].started_ms &&
		    servers[i].started_ms > 0 &&
		    gc_str_eq(servers[j].address, servers[i].address))
			return true;
	return false;
}

/* A new address or start time means another incarnation: a new object. */
static gc_backend_t *find(gc_backends_t *backends, const gc_entry_t *entry)
{
	gc_backend_t **link = &backends->first;
	gc_backend_t *backend;

	for (; *link; link = &(*link)->next) {
		backend = *link;
		if (!backend->listed &&
		    gc_str_eq(backend->entry.id, entry->id) &&
		    gc_str_eq(backend->entry.address, entry->address) &&
		    gc_str_eq(backend->entry.service, entry->service) &&
		    backend->entry.started_ms == entry->started_ms)
			return backend;
	}
	backend = talloc_zero(NULL, gc_backend_t);
	backend->n_refs = 1;
	backend->owner = backends;
	backend->entry.id = gc_str_dup(backend, entry->id);
	backend->entry.service = gc_str_dup(backend, entry->service);
	backend->entry.address = gc_str_dup(backend, entry->address);
	backend->entry.failure_domain =
		gc_str_dup(backend, entry->failure_domain);
	backend->entry.started_ms = entry->started_ms;
	backend->service = find_service(backends, entry->service);
	backend->domain = find_domain(backends, entry);
	backend->failure_rate = backend->service->failure_rate;
	*link = backend;
	return backend;
}

static void update(gc_backend_t *backend, const gc_entry_t *entry)
{
	backend->listed = true;
	backend->entry.slots = entry->slots;
	backend->entry.draining = entry->draining;
}

static void remove_unlisted(gc_backends_t *backends)
{
	gc_backend_t **link = &backends->first;

	while (*link) {
		gc_backend_t *backend = *link;

		if (backend->listed) {
			link = &backend->next;
			continue;
		}
		*link = backend->next;
		backend->owner = NULL;
		gc_backend_unref(backend);
	}
}

/*
 * Deals the servers of the own failure domain out to its daemons. Where there
 * are fewer servers than daemons, all of them are everybody's.
 */
static void assign_homes(gc_backends_t *backends, size_t rank, size_t n_daemons)
{
	for (const service_t *service = backends->services; service;
	     service = service->next) {
		size_t n_local = 0;
		size_t at = 0;

		for (gc_backend_t *b = backends->first; b; b = b->next)
			if (b->service == service && local(backends, b))
				n_local++;
		for (gc_backend_t *b = backends->first; b; b = b->next) {
			if (b->service != service)
				continue;
			b->home = local(backends, b) &&
				  (n_local < n_daemons ||
				   at++ % n_daemons == rank);
		}
	}
}

static bool local(const gc_backends_t *backends, const gc_backend_t *backend)
{
	return gc_str_eq(backend->entry.failure_domain,
			 backends->conf.failure_domain);
}

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
		value = score(backends, b, now);
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
		value = score(backends, b, now) +
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
		double value = score(backends, set->list[i], now);

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
		double value = score(backends, b, now);

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

static double score(const gc_backends_t *backends, const gc_backend_t *backend,
		    struct timespec now)
{
	double excess = backend->failure_rate - backend->service->failure_rate;
	double value = load_score(backend, now) + COPY_SCORE * backend->copies;

	if (!local(backends, backend))
		value += REMOTE_SCORE;
	else if (!backend->home)
		value += FOREIGN_SCORE;
	if (excess > 0)
		value += FAILURE_SCORE * excess;
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

gc_backend_t *gc_backend_ref(gc_backend_t *backend)
{
	backend->n_refs++;
	return backend;
}

void gc_backend_unref(gc_backend_t *backend)
{
	if (backend && --backend->n_refs == 0)
		talloc_free(backend);
}

void gc_backend_begin(gc_backend_t *backend)
{
	backend->in_flight++;
}

void gc_backend_end(gc_backend_t *backend)
{
	backend->in_flight--;
}

void gc_backend_begin_copy(gc_backend_t *backend)
{
	backend->copies++;
}

void gc_backend_end_copy(gc_backend_t *backend)
{
	backend->copies--;
}

void gc_backend_succeeded(gc_backend_t *backend)
{
	gc_backend_alive(backend);
	count_answer(backend, 0);
}

void gc_backend_alive(gc_backend_t *backend)
{
	backend->failures = 0;
	backend->ejected = false;
}

void gc_backend_failed(gc_backend_t *backend, struct timespec now,
		       gc_attempt_end_t end)
{
	switch (end) {
	case GC_END_REFUSED:
		backend->full_until = gc_add_ms(now, FULL_MS);
		break;
	case GC_END_MOVED:
		backend->ejected = true;
		backend->ejected_until = gc_add_ms(now, MOVED_MS);
		break;
	case GC_END_FAILED:
		count_answer(backend, 1);
		break;
	case GC_END_UNREACHED:
	case GC_END_BROKEN:
	case GC_END_SILENT:
		eject(backend, now);
		suspect_domain(backend, now);
		break;
	}
}

void gc_backend_report(gc_backend_t *backend, struct timespec now,
		       const gc_load_t *load)
{
	backend->load = *load;
	backend->reported = true;
	backend->reported_at = now;
	gc_backend_alive(backend);
}

static void eject(gc_backend_t *backend, struct timespec now)
{
	int64_t ms = EJECT_MS;

	for (unsigned int i = 0; i < backend->failures && ms < EJECT_MAX_MS;
	     i++)
		ms *= 2;
	backend->failures++;
	backend->ejected = true;
	backend->ejected_until =
		gc_add_ms(now, ms < EJECT_MAX_MS ? ms : EJECT_MAX_MS);
}

static void suspect_domain(gc_backend_t *backend, struct timespec now)
{
	domain_t *domain = backend->domain;

	if (domain->n_failed == 0 ||
	    gc_ms_between(domain->failed_at, now) > DOMAIN_WINDOW_MS) {
		domain->failed_at = now;
		domain->n_failed = 0;
	}
	/* The failures of one server count once. */
	if (backend->failures <= 1)
		domain->n_failed++;
	if (domain->n_failed < DOMAIN_FAILURES)
		return;
	domain->ejected = true;
	domain->ejected_until = gc_add_ms(now, DOMAIN_EJECT_MS);
}

static void count_answer(gc_backend_t *backend, double failed)
{
	service_t *service = backend->service;

	backend->failure_rate +=
		(failed - backend->failure_rate) / RATE_ANSWERS;
	/* The service's rate moves more slowly, as it has more answers. */
	service->failure_rate +=
		(failed - service->failure_rate) / (4 * RATE_ANSWERS);
}

void gc_backends_count_request(gc_backends_t *backends, struct timespec now,
			       gc_str_t service)
{
	gc_budget_conf_t conf = budget_conf(backends);

	gc_budget_count(&find_service(backends, service)->budget, &conf, now);
}

bool gc_backends_take_repeat(gc_backends_t *backends, struct timespec now,
			     gc_str_t service)
{
	gc_budget_conf_t conf = budget_conf(backends);

	return gc_budget_take(&find_service(backends, service)->budget, &conf,
			      now);
}

gc_str_t gc_backend_id(const gc_backend_t *backend)
{
	return backend->entry.id;
}

gc_str_t gc_backend_address(const gc_backend_t *backend)
{
	return backend->entry.address;
}

gc_str_t gc_backend_domain(const gc_backend_t *backend)
{
	return backend->entry.failure_domain;
}

bool gc_backend_gone(const gc_backend_t *backend)
{
	return !backend->owner;
}

uint32_t gc_backend_in_flight(const gc_backend_t *backend)
{
	return backend->in_flight;
}
