/* Servers that limit their requests a second: this daemon's permits for them. */
#include <glib.h>

#include "core/backends_private.h"
#include "core/clock.h"

/* An ask without an answer is taken for lost after this time. */
#define ASK_LOST_MS 500

void gc_backend_record_limit(gc_backend_t *backend, struct timespec now,
			     double limit)
{
	backend->limit_ended |=
		backend->limit != GC_NO_LIMIT && limit == GC_NO_LIMIT;
	backend->limit = limit;
	backend->limit_at = now;
	if (limit != GC_NO_LIMIT)
		return;
	backend->permits = 0;
	backend->denied_until = (struct timespec){0};
}

double gc_backend_limit(const gc_backend_t *backend)
{
	return backend->limit;
}

uint32_t gc_backend_usable_permits(const gc_backend_t *backend,
				   struct timespec now)
{
	if (backend->limit == GC_NO_LIMIT)
		return UINT32_MAX;
	return gc_ms_between(now, backend->permits_until) > 0 ? backend->permits
							      : 0;
}

bool gc_backend_may_ask(const gc_backend_t *backend, struct timespec now,
			unsigned int rank)
{
	if (gc_backend_usable_permits(backend, now) > 0)
		return false;
	if (backend->permits_asked &&
	    gc_ms_between(backend->asked_at, now) < ASK_LOST_MS)
		return false;
	return rank < backend->denied_rank ||
	       gc_ms_between(now, backend->denied_until) <= 0;
}

void gc_backend_begin_ask(gc_backend_t *backend, struct timespec now,
			  gc_permit_ask_t *ask)
{
	ask->server = backend->incarnation;
	ask->limit = backend->limit;
	ask->limit_at = backend->limit_at;
	ask->sent_without = backend->sent_without_permit;
	backend->sent_without_permit = 0;
	backend->limit_ended = false;
	backend->permits_asked = ask->wanted > 0;
	backend->asked_at = now;
}

bool gc_backend_limit_ended(const gc_backend_t *backend)
{
	return backend->limit_ended;
}

gc_backend_t *gc_backends_record_permits(gc_backends_t *backends,
					 struct timespec now,
					 const gc_permit_answer_t *answer)
{
	gc_backend_t *backend = backends->first;

	while (backend && backend->incarnation != answer->server)
		backend = backend->next;
	if (!backend)
		return NULL;
	backend->permits_asked = false;
	if (gc_ms_between(backend->limit_at, answer->limit_at) > 0) {
		gc_backend_record_limit(backend, answer->limit_at,
					answer->limit);
		backend->limit_ended = false;
	}
	if (backend->limit == GC_NO_LIMIT)
		return backend;
	backend->permits =
		gc_backend_usable_permits(backend, now) + answer->granted;
	if (answer->granted > 0)
		backend->permits_until = gc_add_ms(now, GC_PERMIT_VALID_MS);
	if (answer->wait_ms > 0) {
		backend->denied_until = gc_add_ms(now, answer->wait_ms);
		backend->denied_rank = answer->rank;
	}
	return backend;
}

void gc_backend_use_permit(gc_backend_t *backend, struct timespec now)
{
	if (backend->limit == GC_NO_LIMIT)
		return;
	if (gc_backend_usable_permits(backend, now) > 0)
		backend->permits--;
	else
		backend->sent_without_permit++;
}

bool gc_backends_is_limited(const gc_backends_t *backends, gc_str_t service)
{
	for (const gc_backend_t *b = backends->first; b; b = b->next)
		if (b->limit != GC_NO_LIMIT &&
		    gc_str_eq(b->entry.service, service))
			return true;
	return false;
}
