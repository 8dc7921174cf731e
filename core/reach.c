/* Whether this daemon reaches any backend server of a service. */
#include "core/reach.h"
#include "core/clock.h"

/* Servers whose links must have failed: this part of all, within the bounds. */
#define FAILED_PART 6
#define MIN_FAILED  2
#define MAX_NEEDED  6
/* Failures that are remembered for each service. */
#define MAX_FAILED 8
/* Older failures say nothing about the links of now. */
#define FAILURE_AGE_MS 5000
/* A sound server may send nothing for about a second. */
#define SILENT_MS 1000
/* Interval of questions about silent servers. */
#define ASK_INTERVAL_MS 400
/* How long a response on a kept connection speaks for the others. */
#define KEPT_AGE_MS 1000
/* Interval of tries while cut off. It doubles up to the maximum each time that
 * links are lost shortly after they came back. */
#define TRY_INTERVAL_MS	    250
#define TRY_MAX_INTERVAL_MS 1000
#define STABLE_MS	    5000

typedef struct failure {
	uint64_t server;
	struct timespec at;
	bool at_connect;
} failure_t;

typedef struct silent {
	uint64_t server;
	struct timespec since;
	struct timespec at; /* when it was seen last */
} silent_t;

typedef struct service {
	struct service *next;
	gc_str_t name;
	failure_t failures[MAX_FAILED]; /* since a server responded */
	size_t n_failures;
	silent_t silent[MAX_FAILED];
	size_t n_silent;
	struct timespec asked_at;
	bool asked;
	bool cut_off;
	bool responded; /* a server, since cut_off was set */
	struct timespec responded_at;
	bool was_cut_off; /* ended_at is valid */
	struct timespec ended_at;
	int64_t interval_ms;
	struct timespec next_try;
	unsigned int n_tries;
} service_t;

struct gc_reach {
	service_t *services;
};

static service_t *find(const gc_reach_t *reach, gc_str_t name);
static service_t *add(gc_reach_t *reach, gc_str_t name);
static void drop_disproved(service_t *service, bool new_connection);
static void drop_heard(service_t *service, struct timespec now,
		       struct timespec heard_at);
static void cut_off(service_t *service, struct timespec now);
static size_t n_needed(size_t n_servers);
static void drop_old_failures(service_t *service, struct timespec now);
static void set_interval(service_t *service, struct timespec now);

gc_reach_t *gc_reach_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, gc_reach_t);
}

static service_t *find(const gc_reach_t *reach, gc_str_t name)
{
	service_t *service = reach->services;

	while (service && !gc_str_eq(service->name, name))
		service = service->next;
	return service;
}

static service_t *add(gc_reach_t *reach, gc_str_t name)
{
	service_t *service = talloc_zero(reach, service_t);

	service->name = gc_str_dup(service, name);
	service->next = reach->services;
	reach->services = service;
	return service;
}

void gc_reach_record_response(gc_reach_t *reach, struct timespec now,
			      gc_str_t name, bool new_connection)
{
	service_t *service = find(reach, name);

	if (!service)
		return;
	if (!service->cut_off)
		drop_disproved(service, new_connection);
	service->responded = true;
	service->responded_at = now;
}

static void drop_disproved(service_t *service, bool new_connection)
{
	size_t n = 0;

	for (size_t i = 0; i < service->n_failures; i++)
		if (service->failures[i].at_connect && !new_connection)
			service->failures[n++] = service->failures[i];
	service->n_failures = n;
}

bool gc_reach_record_try(gc_reach_t *reach, struct timespec now, gc_str_t name)
{
	service_t *service = find(reach, name);

	if (!service || !service->cut_off)
		return false;
	service->n_failures = 0;
	service->cut_off = false;
	service->was_cut_off = true;
	service->ended_at = now;
	return true;
}

bool gc_reach_has_kept(const gc_reach_t *reach, struct timespec now,
		       gc_str_t name)
{
	const service_t *service = find(reach, name);

	return service && service->cut_off && service->responded &&
	       gc_ms_between(service->responded_at, now) <= KEPT_AGE_MS;
}

void gc_reach_record_failed(gc_reach_t *reach, struct timespec now,
			    gc_str_t name, uint64_t server, bool at_connect)
{
	service_t *service = find(reach, name);

	if (!service)
		service = add(reach, name);
	drop_old_failures(service, now);
	for (size_t i = 0; i < service->n_failures; i++) {
		if (service->failures[i].server != server)
			continue;
		service->failures[i].at = now;
		service->failures[i].at_connect |= at_connect;
		return;
	}
	if (service->n_failures < MAX_FAILED)
		service->failures[service->n_failures++] =
			(failure_t){server, now, at_connect};
}

static void drop_old_failures(service_t *service, struct timespec now)
{
	size_t n = 0;

	for (size_t i = 0; i < service->n_failures; i++)
		if (gc_ms_between(service->failures[i].at, now) <=
		    FAILURE_AGE_MS)
			service->failures[n++] = service->failures[i];
	service->n_failures = n;
}

bool gc_reach_judge(gc_reach_t *reach, struct timespec now, gc_str_t name,
		    size_t n_servers)
{
	service_t *service = find(reach, name);

	if (!service || service->cut_off || n_servers == 0)
		return false;
	drop_old_failures(service, now);
	if (service->n_failures < n_needed(n_servers))
		return false;
	cut_off(service, now);
	return true;
}

static void cut_off(service_t *service, struct timespec now)
{
	service->cut_off = true;
	service->responded = false;
	service->n_silent = 0;
	set_interval(service, now);
	/* At once, as servers may also have broken off for a request's sake. */
	service->next_try = now;
}

void gc_reach_record_silent(gc_reach_t *reach, struct timespec now,
			    gc_str_t name, uint64_t server,
			    struct timespec since)
{
	service_t *service = find(reach, name);

	if (!service)
		service = add(reach, name);
	for (size_t i = 0; i < service->n_silent; i++) {
		if (service->silent[i].server != server)
			continue;
		service->silent[i].at = now;
		return;
	}
	if (service->n_silent < MAX_FAILED)
		service->silent[service->n_silent++] =
			(silent_t){server, since, now};
}

bool gc_reach_may_ask(gc_reach_t *reach, struct timespec now, gc_str_t name,
		      struct timespec heard_at, size_t n_servers)
{
	service_t *service = find(reach, name);
	int64_t silent_ms = 0;

	if (!service || service->cut_off || n_servers == 0)
		return false;
	drop_heard(service, now, heard_at);
	for (size_t i = 0; i < service->n_silent; i++) {
		int64_t ms = gc_ms_between(service->silent[i].since, now);

		silent_ms = ms > silent_ms ? ms : silent_ms;
	}
	if (silent_ms < SILENT_MS || service->n_silent < n_needed(n_servers))
		return false;
	if (service->asked &&
	    gc_ms_between(service->asked_at, now) < ASK_INTERVAL_MS)
		return false;
	service->asked = true;
	service->asked_at = now;
	return true;
}

/* What one server sends speaks for the links to all. */
static void drop_heard(service_t *service, struct timespec now,
		       struct timespec heard_at)
{
	size_t n = 0;

	for (size_t i = 0; i < service->n_silent; i++) {
		const silent_t *silent = &service->silent[i];

		if (gc_us_between(heard_at, silent->since) >= 0 &&
		    gc_ms_between(silent->at, now) <= FAILURE_AGE_MS)
			service->silent[n++] = *silent;
	}
	service->n_silent = n;
}

bool gc_reach_record_muted(gc_reach_t *reach, struct timespec now,
			   gc_str_t name, struct timespec heard_at)
{
	service_t *service = find(reach, name);

	if (!service || service->cut_off)
		return false;
	drop_heard(service, now, heard_at);
	if (service->n_silent == 0)
		return false;
	cut_off(service, now);
	return true;
}

static size_t n_needed(size_t n_servers)
{
	size_t n = n_servers / FAILED_PART;

	if (n_servers < MIN_FAILED)
		return n_servers;
	if (n < MIN_FAILED)
		return MIN_FAILED;
	return n < MAX_NEEDED ? n : MAX_NEEDED;
}

static void set_interval(service_t *service, struct timespec now)
{
	if (!service->was_cut_off ||
	    gc_ms_between(service->ended_at, now) > STABLE_MS)
		service->interval_ms = TRY_INTERVAL_MS;
	else if (service->interval_ms < TRY_MAX_INTERVAL_MS)
		service->interval_ms *= 2;
}

bool gc_reach_is_cut_off(const gc_reach_t *reach, gc_str_t name)
{
	const service_t *service = find(reach, name);

	return service && service->cut_off;
}

size_t gc_reach_n_failed(const gc_reach_t *reach, gc_str_t name)
{
	const service_t *service = find(reach, name);

	return service ? service->n_failures : 0;
}

size_t gc_reach_n_silent(const gc_reach_t *reach, gc_str_t name)
{
	const service_t *service = find(reach, name);

	return service ? service->n_silent : 0;
}

int64_t gc_reach_next_try_ms(const gc_reach_t *reach, struct timespec now,
			     gc_str_t *name)
{
	int64_t first_ms = -1;

	for (const service_t *s = reach->services; s; s = s->next) {
		int64_t ms = gc_ms_between(now, s->next_try);

		if (!s->cut_off)
			continue;
		ms = ms > 0 ? ms : 0;
		if (first_ms >= 0 && ms >= first_ms)
			continue;
		first_ms = ms;
		*name = s->name;
	}
	return first_ms;
}

unsigned int gc_reach_begin_try(gc_reach_t *reach, struct timespec now,
				gc_str_t name)
{
	service_t *service = find(reach, name);

	if (!service)
		return 0;
	service->next_try = gc_add_ms(now, service->interval_ms);
	return service->n_tries++;
}
