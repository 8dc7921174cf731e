/* State of the backend servers as known to one daemon. */
#include <glib.h>
#include <xxhash.h>

#include "core/backends_private.h"
#include "core/clock.h"
#include "core/strhash.h"

/* Ejection of a server that was unreachable, broke the connection or timed out;
 * doubles with each consecutive failure. A restarted server is back in about
 * a second. */
#define EJECTION_INITIAL_MS 400
#define EJECTION_MAX_MS	    4000
/* How long a server that refused a request for lack of capacity scores as if
 * all its slots were in use. */
#define REFUSAL_COOLDOWN_MS 60
/* Failures of several servers of one failure domain within this time are taken
 * for a failure of the domain. */
#define DOMAIN_FAILURE_WINDOW_MS 1500
/* Number of servers that must fail within that time to eject the domain. */
#define DOMAIN_MIN_FAILURES 2
#define DOMAIN_EJECTION_MS  1300
/* How long a server is avoided after another one answered at its address. By
 * then the store has removed its entry. */
#define REPLACED_MS 5000
/* Replaced servers within that time after which the other servers of the
 * domain are assumed to be replaced as well. */
#define DOMAIN_MIN_REPLACEMENTS 2
/* Length of the moving average of the failure rate, in answers. */
#define FAILURE_RATE_ANSWERS 16.0
/* Maximum of the random time that is added to a server's pause. */
#define PAUSE_SPREAD_MS 250
/* Part of the fleet's retry budget that daemons use. The rest compensates for
 * counting requests over one bucket more than the window. */
#define BUDGET_FACTOR 0.9

static service_t *find_or_add_service(gc_backends_t *backends, gc_str_t name);
static gc_retry_window_conf_t retry_conf(const gc_backends_t *backends);
static domain_t *find_or_add_domain(gc_backends_t *backends,
				    const gc_registry_entry_t *entry);
static GHashTable *newest_by_address(const gc_backends_t *backends,
				     const gc_registry_entry_t *servers,
				     size_t n);
static bool is_named(const gc_backends_t *backends, gc_str_t service);
static bool is_superseded(GHashTable *newest, const gc_registry_entry_t *entry);
static gc_backend_t *find_or_add_backend(gc_backends_t *backends,
					 const gc_registry_entry_t *entry);
static int backends_destructor(gc_backends_t *backends);
static void update_backend(gc_backend_t *backend,
			   const gc_registry_entry_t *entry);
static void remove_unlisted(gc_backends_t *backends);
static void assign_preferred(gc_backends_t *backends,
			     const gc_daemon_rank_t *rank);
static bool is_assigned(size_t n_servers, size_t *index, size_t rank,
			size_t n_daemons);
static void count_domain_failure(gc_backend_t *backend, struct timespec now);
static void record_replacement(gc_backend_t *backend, struct timespec now);
static void end_ejection(gc_backend_t *backend);
static void update_failure_rates(gc_backend_t *backend, double failed);

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
	gc_routes_unref(backends->routes);
	return 0;
}

static service_t *find_or_add_service(gc_backends_t *backends, gc_str_t name)
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

/* This daemon's part of the fleet's retry budget. */
static gc_retry_window_conf_t retry_conf(const gc_backends_t *backends)
{
	return (gc_retry_window_conf_t){
		.window_ms = backends->conf.repeat_window_ms,
		.ratio = backends->conf.repeat_ratio * BUDGET_FACTOR,
		.slack = backends->conf.repeat_slack * BUDGET_FACTOR /
			 (double)backends->n_daemons,
	};
}

static domain_t *find_or_add_domain(gc_backends_t *backends,
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

void gc_backends_set_routes(gc_backends_t *backends, gc_routes_t *routes)
{
	if (routes)
		gc_routes_ref(routes);
	gc_routes_unref(backends->routes);
	backends->routes = routes;
}

static bool is_named(const gc_backends_t *backends, gc_str_t service)
{
	return !backends->routes ||
	       gc_routes_names_service(backends->routes, service);
}

void gc_backends_sync(gc_backends_t *backends,
		      const gc_registry_entry_t *servers, size_t n,
		      const gc_daemon_rank_t *rank)
{
	GHashTable *newest = newest_by_address(backends, servers, n);
	gc_backend_t *backend;

	backends->n_daemons = MAX(rank->n_all, 1);
	for (backend = backends->first; backend; backend = backend->next)
		backend->listed = false;
	for (size_t i = 0; i < n; i++) {
		if (is_superseded(newest, &servers[i]))
			continue;
		backend = find_or_add_backend(backends, &servers[i]);
		update_backend(backend, &servers[i]);
	}
	g_hash_table_unref(newest);
	remove_unlisted(backends);
	assign_preferred(backends, rank);
}

/* Maps each address to its entry with the latest start time, of a named service
 * if there is one: an entry of another writer must not take an address away. */
static GHashTable *newest_by_address(const gc_backends_t *backends,
				     const gc_registry_entry_t *servers,
				     size_t n)
{
	GHashTable *newest = g_hash_table_new(gc_str_hash, gc_str_equal);

	for (size_t i = 0; i < n; i++) {
		const gc_registry_entry_t *known =
			g_hash_table_lookup(newest, &servers[i].address);
		bool named = is_named(backends, servers[i].service);
		bool known_named = known && is_named(backends, known->service);

		if (!known || (named && !known_named) ||
		    (named == known_named &&
		     known->started_ms < servers[i].started_ms))
			g_hash_table_replace(newest,
					     (gpointer)&servers[i].address,
					     (gpointer)&servers[i]);
	}
	return newest;
}

/*
 * A server that crashed and restarted has a new entry with the same address;
 * the old entry stays in the store until it expires.
 */
static bool is_superseded(GHashTable *newest, const gc_registry_entry_t *entry)
{
	const gc_registry_entry_t *newest_entry =
		g_hash_table_lookup(newest, &entry->address);

	return entry->started_ms > 0 &&
	       newest_entry->started_ms > entry->started_ms;
}

/* An entry with another address, service, version or start time is a new server, also
 * under a known id. */
static gc_backend_t *find_or_add_backend(gc_backends_t *backends,
					 const gc_registry_entry_t *entry)
{
	gc_backend_t *backend =
		g_hash_table_lookup(backends->by_id, &entry->id);

	if (backend && gc_str_eq(backend->entry.address, entry->address) &&
	    gc_str_eq(backend->entry.service, entry->service) &&
	    gc_str_eq(backend->entry.version, entry->version) &&
	    backend->entry.started_ms == entry->started_ms)
		return backend;
	backend = talloc_zero(NULL, gc_backend_t);
	backend->n_refs = 1;
	backend->owner = backends;
	backend->entry.id = gc_str_dup(backend, entry->id);
	backend->id_hash = XXH64(entry->id.data, entry->id.len, 0);
	backend->entry.service = gc_str_dup(backend, entry->service);
	backend->entry.address = gc_str_dup(backend, entry->address);
	backend->entry.failure_domain =
		gc_str_dup(backend, entry->failure_domain);
	backend->entry.version = gc_str_dup(backend, entry->version);
	backend->entry.started_ms = entry->started_ms;
	backend->incarnation = gc_server_incarnation(entry);
	backend->service = find_or_add_service(backends, entry->service);
	backend->domain = find_or_add_domain(backends, entry);
	backend->failure_rate = backend->service->failure_rate;
	backend->limit = GC_NO_LIMIT;
	gc_backend_init_places(backend);
	backend->confirmed_replacement = backends->n_replacements;
	*backends->last = backend;
	backends->last = &backend->next;
	g_hash_table_replace(backends->by_id, &backend->entry.id, backend);
	return backend;
}

uint64_t gc_server_incarnation(const gc_registry_entry_t *entry)
{
	uint64_t seed = XXH64(&entry->started_ms, sizeof(entry->started_ms), 0);

	seed = XXH64(entry->address.data, entry->address.len, seed);
	return XXH64(entry->id.data, entry->id.len, seed);
}

bool gc_backends_has_successor(const gc_backends_t *backends,
			       const gc_backend_t *backend)
{
	bool named = is_named(backends, backend->entry.service);

	for (const gc_backend_t *b = backends->first; b; b = b->next)
		if (b->entry.started_ms > backend->entry.started_ms &&
		    (gc_str_eq(b->entry.id, backend->entry.id) ||
		     gc_str_eq(b->entry.address, backend->entry.address)) &&
		    (!named || is_named(backends, b->entry.service)))
			return true;
	return false;
}

static void update_backend(gc_backend_t *backend,
			   const gc_registry_entry_t *entry)
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

/* Divides the servers of each service among the daemons: those of this failure
 * domain among its daemons, and all servers among all daemons. */
static void assign_preferred(gc_backends_t *backends,
			     const gc_daemon_rank_t *rank)
{
	for (service_t *service = backends->services; service;
	     service = service->next) {
		size_t n_local = 0;
		size_t n = 0;
		size_t local_index = 0;
		size_t index = 0;

		for (gc_backend_t *b = backends->first; b; b = b->next) {
			if (b->service != service)
				continue;
			n++;
			n_local += gc_backend_is_local(backends, b);
		}
		service->n_servers = n;
		for (gc_backend_t *b = backends->first; b; b = b->next) {
			if (b->service != service)
				continue;
			b->preferred =
				is_assigned(n, &index, rank->all, rank->n_all);
			b->preferred_local =
				gc_backend_is_local(backends, b) &&
				is_assigned(n_local, &local_index, rank->local,
					    rank->n_local);
		}
	}
}

/* Round robin over the daemons. With fewer servers than daemons, each daemon
 * prefers all of them and *index is not advanced. */
static bool is_assigned(size_t n_servers, size_t *index, size_t rank,
			size_t n_daemons)
{
	return n_servers < n_daemons || (*index)++ % MAX(n_daemons, 1) == rank;
}

bool gc_backend_is_local(const gc_backends_t *backends,
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

void gc_backend_add_request(gc_backend_t *backend)
{
	backend->in_flight++;
	gc_backend_use_place(backend);
}

void gc_backend_remove_request(gc_backend_t *backend)
{
	backend->in_flight--;
	gc_backend_release_place(backend);
}

void gc_backend_add_copy(gc_backend_t *backend)
{
	backend->copies++;
}

void gc_backend_remove_copy(gc_backend_t *backend)
{
	backend->copies--;
}

void gc_backend_record_success(gc_backend_t *backend)
{
	gc_backend_record_activity(backend);
	update_failure_rates(backend, 0);
}

void gc_backend_record_activity(gc_backend_t *backend)
{
	if (backend->owner)
		backend->confirmed_replacement = backend->owner->n_replacements;
	end_ejection(backend);
}

static void end_ejection(gc_backend_t *backend)
{
	backend->failures = 0;
	backend->ejected = false;
}

void gc_backend_record_failure(gc_backend_t *backend, struct timespec now,
			       gc_attempt_end_t end)
{
	switch (end) {
	case GC_END_REFUSED:
		backend->refused_until = gc_add_ms(now, REFUSAL_COOLDOWN_MS);
		gc_backend_record_turned_away(backend);
		break;
	case GC_END_REPLACED:
		record_replacement(backend, now);
		break;
	case GC_END_FAILED:
		update_failure_rates(backend, 1);
		break;
	case GC_END_UNREACHABLE:
	case GC_END_BROKEN:
	case GC_END_CUT:
	case GC_END_TIMED_OUT:
		gc_backend_eject(backend, now);
		count_domain_failure(backend, now);
		break;
	}
}

bool gc_backend_set_unreported(gc_backend_t *backend)
{
	bool first = !backend->unreported;

	backend->unreported = true;
	return first;
}

void gc_backend_record_load(gc_backend_t *backend, struct timespec now,
			    const gc_backend_load_t *load)
{
	backend->load = *load;
	backend->reported = true;
	backend->unreported = false;
	backend->reported_at = now;
	/* The report may come from a replacement at the address, so it does
	 * not confirm the server. */
	end_ejection(backend);
}

void gc_backend_record_heard(gc_backend_t *backend, struct timespec now)
{
	backend->heard_at = now;
}

struct timespec gc_backend_heard_at(const gc_backend_t *backend)
{
	return backend->heard_at;
}

struct timespec gc_backends_heard_at(const gc_backends_t *backends,
				     gc_str_t service)
{
	struct timespec latest = {0};

	for (const gc_backend_t *b = backends->first; b; b = b->next)
		if (gc_str_eq(b->entry.service, service) &&
		    gc_us_between(latest, b->heard_at) > 0)
			latest = b->heard_at;
	return latest;
}

void gc_backend_record_leaving(gc_backend_t *backend)
{
	backend->leaving = true;
}

void gc_backend_record_pause(gc_backend_t *backend, struct timespec now,
			     int64_t ms)
{
	struct timespec until;

	if (ms <= 0)
		return;
	if (backend->owner)
		ms += (int64_t)(PAUSE_SPREAD_MS *
				gc_backends_random_unit(backend->owner));
	until = gc_add_ms(now, ms);
	if (gc_ms_between(backend->paused_until, until) > 0)
		backend->paused_until = until;
}

bool gc_backend_is_pausing(const gc_backend_t *backend, struct timespec now)
{
	return gc_ms_between(now, backend->paused_until) > 0;
}

/*
 * A failure domain that crashed while the store was unreachable has new servers
 * at all its addresses. Each request that reveals one of them costs a retry.
 */
static void record_replacement(gc_backend_t *backend, struct timespec now)
{
	domain_t *domain = backend->domain;

	backend->replaced = true;
	backend->replaced_until = gc_add_ms(now, REPLACED_MS);
	if (!backend->owner)
		return;
	if (domain->n_replaced > 0 &&
	    gc_ms_between(domain->replaced_at, now) > REPLACED_MS)
		domain->n_replaced = 0;
	domain->n_replaced++;
	domain->replaced_at = now;
	domain->last_replacement = ++backend->owner->n_replacements;
}

bool gc_backend_maybe_replaced(const gc_backend_t *backend, struct timespec now)
{
	const domain_t *domain = backend->domain;

	return domain->n_replaced >= DOMAIN_MIN_REPLACEMENTS &&
	       gc_ms_between(domain->replaced_at, now) <= REPLACED_MS &&
	       backend->confirmed_replacement < domain->last_replacement;
}

void gc_backend_eject(gc_backend_t *backend, struct timespec now)
{
	int64_t ms = EJECTION_INITIAL_MS;

	for (unsigned int i = 0; i < backend->failures && ms < EJECTION_MAX_MS;
	     i++)
		ms *= 2;
	backend->failures++;
	backend->ejected = true;
	backend->ejected_until =
		gc_add_ms(now, ms < EJECTION_MAX_MS ? ms : EJECTION_MAX_MS);
}

static void count_domain_failure(gc_backend_t *backend, struct timespec now)
{
	domain_t *domain = backend->domain;

	if (domain->n_failed == 0 ||
	    gc_ms_between(domain->failed_at, now) > DOMAIN_FAILURE_WINDOW_MS) {
		domain->failed_at = now;
		domain->n_failed = 0;
	}
	/* Consecutive failures of one server count once. */
	if (backend->failures <= 1)
		domain->n_failed++;
	if (domain->n_failed < DOMAIN_MIN_FAILURES)
		return;
	domain->ejected = true;
	domain->ejected_until = gc_add_ms(now, DOMAIN_EJECTION_MS);
}

static void update_failure_rates(gc_backend_t *backend, double failed)
{
	service_t *service = backend->service;

	backend->failure_rate +=
		(failed - backend->failure_rate) / FAILURE_RATE_ANSWERS;
	/* The service gets more answers than one server, so that its average
	 * is longer. */
	service->failure_rate +=
		(failed - service->failure_rate) / (4 * FAILURE_RATE_ANSWERS);
}

void gc_backends_count_request(gc_backends_t *backends, struct timespec now,
			       gc_str_t service)
{
	gc_retry_window_conf_t conf = retry_conf(backends);

	gc_retry_window_count_request(
		&find_or_add_service(backends, service)->retries, &conf, now);
}

bool gc_backends_has_retry(gc_backends_t *backends, struct timespec now,
			   gc_str_t service)
{
	gc_retry_window_conf_t conf = retry_conf(backends);

	return gc_retry_window_has(
		&find_or_add_service(backends, service)->retries, &conf, now);
}

bool gc_backends_take_retry(gc_backends_t *backends, struct timespec now,
			    gc_str_t service)
{
	gc_retry_window_conf_t conf = retry_conf(backends);

	return gc_retry_window_take(
		&find_or_add_service(backends, service)->retries, &conf, now);
}

void gc_backends_return_retry(gc_backends_t *backends, gc_str_t service,
			      struct timespec taken)
{
	gc_retry_window_conf_t conf = retry_conf(backends);

	gc_retry_window_return(&find_or_add_service(backends, service)->retries,
			       &conf, taken);
}

int64_t gc_backends_retry_turn_ms(gc_backends_t *backends, struct timespec now,
				  gc_str_t service, unsigned int n,
				  int64_t max_ms)
{
	gc_retry_window_conf_t conf = retry_conf(backends);

	return gc_retry_window_turn_ms(
		&find_or_add_service(backends, service)->retries, &conf, now, n,
		max_ms);
}

bool gc_backend_is_leaving(const gc_backend_t *backend)
{
	return !backend->owner || backend->entry.draining || backend->leaving;
}

gc_backend_t *gc_backends_find_incarnation(const gc_backends_t *backends,
					   uint64_t incarnation)
{
	gc_backend_t *backend = backends->first;

	while (backend && backend->incarnation != incarnation)
		backend = backend->next;
	return backend;
}

uint64_t gc_backend_incarnation(const gc_backend_t *backend)
{
	return backend->incarnation;
}

bool gc_backend_is_report_of(const gc_backend_t *backend,
			     const gc_backend_load_t *load)
{
	return load->started_ms == 0 ||
	       load->started_ms == backend->entry.started_ms;
}

gc_str_t gc_backend_id(const gc_backend_t *backend)
{
	return backend->entry.id;
}

gc_str_t gc_backend_service(const gc_backend_t *backend)
{
	return backend->entry.service;
}

gc_str_t gc_backend_address(const gc_backend_t *backend)
{
	return backend->entry.address;
}

gc_str_t gc_backend_version(const gc_backend_t *backend)
{
	return backend->entry.version;
}

gc_str_t gc_backend_domain(const gc_backend_t *backend)
{
	return backend->entry.failure_domain;
}

bool gc_backend_is_removed(const gc_backend_t *backend)
{
	return !backend->owner;
}

uint32_t gc_backend_in_flight(const gc_backend_t *backend)
{
	return backend->in_flight;
}
