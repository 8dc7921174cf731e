/* Choice of backend servers from what one daemon knows. */
#include <glib.h>

#include "core/backends_private.h"
#include "core/clock.h"
#include "core/strhash.h"

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
/* A server whose address was taken over is left alone until it is removed
 * from the store. */
#define MOVED_MS 5000
/* So many of them within that time make the rest of their domain suspect. */
#define DOMAIN_MOVES 2
/* Answers over which the failure rate is smoothed. */
#define RATE_ANSWERS 16.0
/* Part of the fleet's allowed repeats that daemons use. The rest covers that
 * requests are counted over one part more than the window. */
#define BUDGET_MARGIN 0.9

static service_t *find_service(gc_backends_t *backends, gc_str_t name);
static gc_retry_window_conf_t budget_conf(const gc_backends_t *backends);
static domain_t *find_domain(gc_backends_t *backends,
			     const gc_registry_entry_t *entry);
static GHashTable *newest_starts(const gc_registry_entry_t *servers, size_t n);
static bool superseded(GHashTable *newest, const gc_registry_entry_t *entry);
static gc_backend_t *find(gc_backends_t *backends,
			  const gc_registry_entry_t *entry);
static int backends_destructor(gc_backends_t *backends);
static void update(gc_backend_t *backend, const gc_registry_entry_t *entry);
static void remove_unlisted(gc_backends_t *backends);
static void assign_homes(gc_backends_t *backends, const gc_rank_t *rank);
static bool deal(size_t n_servers, size_t *at, size_t rank, size_t n_daemons);
static void eject(gc_backend_t *backend, struct timespec now);
static void suspect_domain(gc_backend_t *backend, struct timespec now);
static void count_move(gc_backend_t *backend, struct timespec now);
static void end_ejection(gc_backend_t *backend);
static void count_answer(gc_backend_t *backend, double failed);

gc_backends_t *gc_backends_create(TALLOC_CTX *mem,
				  const gc_backends_conf_t *conf)
{
	gc_backends_t *backends = talloc_zero(mem, gc_backends_t);

	backends->conf = *conf;
	backends->conf.failure_domain =
		gc_str_dup(backends, conf->failure_domain);
	backends->n_daemons = 1;
	backends->last = &backends->first;
	backends->by_id = g_hash_table_new(gc_str_hash, gc_str_equal);
	talloc_set_destructor(backends, backends_destructor);
	return backends;
}

static int backends_destructor(gc_backends_t *backends)
{
	g_hash_table_unref(backends->by_id);
	return 0;
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
static gc_retry_window_conf_t budget_conf(const gc_backends_t *backends)
{
	return (gc_retry_window_conf_t){
		.window_ms = backends->conf.repeat_window_ms,
		.ratio = backends->conf.repeat_ratio * BUDGET_MARGIN,
		.slack = backends->conf.repeat_slack * BUDGET_MARGIN /
			 (double)backends->n_daemons,
	};
}

static domain_t *find_domain(gc_backends_t *backends,
			     const gc_registry_entry_t *entry)
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

void gc_backends_sync(gc_backends_t *backends,
		      const gc_registry_entry_t *servers, size_t n,
		      const gc_rank_t *rank)
{
	GHashTable *newest = newest_starts(servers, n);
	gc_backend_t *backend;

	backends->n_daemons = MAX(rank->n_all, 1);
	for (backend = backends->first; backend; backend = backend->next)
		backend->listed = false;
	for (size_t i = 0; i < n; i++) {
		if (superseded(newest, &servers[i]))
			continue;
		backend = find(backends, &servers[i]);
		update(backend, &servers[i]);
	}
	g_hash_table_unref(newest);
	remove_unlisted(backends);
	assign_homes(backends, rank);
}

/* The entry that started last, by address. */
static GHashTable *newest_starts(const gc_registry_entry_t *servers, size_t n)
{
	GHashTable *newest = g_hash_table_new(gc_str_hash, gc_str_equal);

	for (size_t i = 0; i < n; i++) {
		const gc_registry_entry_t *known =
			g_hash_table_lookup(newest, &servers[i].address);

		if (!known || known->started_ms < servers[i].started_ms)
			g_hash_table_replace(newest,
					     (gpointer)&servers[i].address,
					     (gpointer)&servers[i]);
	}
	return newest;
}

/*
 * A server that crashed and started again has another entry at the same
 * address; the old one stays until it expires.
 */
static bool superseded(GHashTable *newest, const gc_registry_entry_t *entry)
{
	const gc_registry_entry_t *last =
		g_hash_table_lookup(newest, &entry->address);

	return entry->started_ms > 0 && last->started_ms > entry->started_ms;
}

/* A new address or start time means another incarnation: a new object. */
static gc_backend_t *find(gc_backends_t *backends,
			  const gc_registry_entry_t *entry)
{
	gc_backend_t *backend =
		g_hash_table_lookup(backends->by_id, &entry->id);

	if (backend && gc_str_eq(backend->entry.address, entry->address) &&
	    gc_str_eq(backend->entry.service, entry->service) &&
	    backend->entry.started_ms == entry->started_ms)
		return backend;
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
	backend->known_after = backends->n_moves;
	*backends->last = backend;
	backends->last = &backend->next;
	g_hash_table_replace(backends->by_id, &backend->entry.id, backend);
	return backend;
}

static void update(gc_backend_t *backend, const gc_registry_entry_t *entry)
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
		if (g_hash_table_lookup(backends->by_id, &backend->entry.id) ==
		    backend)
			g_hash_table_remove(backends->by_id,
					    &backend->entry.id);
		gc_backend_unref(backend);
	}
	backends->last = link;
}

/* Deals the servers out to the daemons, near ones and all of them. */
static void assign_homes(gc_backends_t *backends, const gc_rank_t *rank)
{
	for (const service_t *service = backends->services; service;
	     service = service->next) {
		size_t n_local = 0;
		size_t n = 0;
		size_t local_at = 0;
		size_t at = 0;

		for (gc_backend_t *b = backends->first; b; b = b->next) {
			if (b->service != service)
				continue;
			n++;
			n_local += gc_backends_local(backends, b);
		}
		for (gc_backend_t *b = backends->first; b; b = b->next) {
			if (b->service != service)
				continue;
			b->share = deal(n, &at, rank->all, rank->n_all);
			b->home = gc_backends_local(backends, b) &&
				  deal(n_local, &local_at, rank->local,
				       rank->n_local);
		}
	}
}

/* Where there are fewer servers than daemons, all of them are everybody's. */
static bool deal(size_t n_servers, size_t *at, size_t rank, size_t n_daemons)
{
	return n_servers < n_daemons || (*at)++ % MAX(n_daemons, 1) == rank;
}

bool gc_backends_local(const gc_backends_t *backends,
		       const gc_backend_t *backend)
{
	return gc_str_eq(backend->entry.failure_domain,
			 backends->conf.failure_domain);
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
	if (backend->owner)
		backend->known_after = backend->owner->n_moves;
	end_ejection(backend);
}

static void end_ejection(gc_backend_t *backend)
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
		count_move(backend, now);
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
	/* A report does not tell which incarnation gave it. */
	end_ejection(backend);
}

/*
 * A failure domain that crashed while the store was away has new servers at
 * all its addresses. Each one that is found out costs a repeat.
 */
static void count_move(gc_backend_t *backend, struct timespec now)
{
	domain_t *domain = backend->domain;

	backend->moved = true;
	backend->moved_until = gc_add_ms(now, MOVED_MS);
	if (!backend->owner)
		return;
	if (domain->n_moved > 0 &&
	    gc_ms_between(domain->moved_at, now) > MOVED_MS)
		domain->n_moved = 0;
	domain->n_moved++;
	domain->moved_at = now;
	domain->last_move = ++backend->owner->n_moves;
}

bool gc_backend_maybe_moved(const gc_backend_t *backend, struct timespec now)
{
	const domain_t *domain = backend->domain;

	return domain->n_moved >= DOMAIN_MOVES &&
	       gc_ms_between(domain->moved_at, now) <= MOVED_MS &&
	       backend->known_after < domain->last_move;
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
	gc_retry_window_conf_t conf = budget_conf(backends);

	gc_retry_window_count(&find_service(backends, service)->budget, &conf,
			      now);
}

bool gc_backends_take_repeat(gc_backends_t *backends, struct timespec now,
			     gc_str_t service)
{
	gc_retry_window_conf_t conf = budget_conf(backends);

	return gc_retry_window_take(&find_service(backends, service)->budget,
				    &conf, now);
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
