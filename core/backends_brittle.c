/* Brittle servers: this daemon's places there. */
#include <glib.h>

#include "core/backends_private.h"
#include "core/clock.h"

/* An ask without an answer is taken for lost after this time. */
#define ASK_LOST_MS 500
/* A server notices within this time that the connection of a request was closed,
 * and drops the request if it ever does. */
#define ABANDONED_MS 250

static bool has_in_flight(const gc_backend_t *backend, struct timespec now);
static uint32_t abandoned(const gc_backend_t *backend, struct timespec now);

void gc_backend_init_places(gc_backend_t *backend)
{
	place_state_t *state = &backend->places;

	state->brittle = GC_NOT_BRITTLE;
	if (!backend->service->may_be_brittle)
		return;
	for (const gc_backend_t *b = backend->owner->first; b; b = b->next) {
		if (b->service != backend->service ||
		    b->places.brittle == GC_NOT_BRITTLE)
			continue;
		state->brittle = b->places.brittle;
		state->brittle_at = b->places.brittle_at;
	}
	backend->service->may_be_brittle = state->brittle != GC_NOT_BRITTLE;
}

void gc_backend_record_brittle(gc_backend_t *backend, struct timespec now,
			       double brittle)
{
	place_state_t *state = &backend->places;
	bool was = state->brittle != GC_NOT_BRITTLE;
	bool is = brittle != GC_NOT_BRITTLE;

	state->brittle = brittle;
	state->brittle_at = now;
	backend->service->may_be_brittle |= is;
	if (was == is)
		return;
	state->changed = true;
	state->unused = 0;
	state->turned_away = 0;
	state->denied_until = (struct timespec){0};
}

double gc_backend_brittle(const gc_backend_t *backend)
{
	return backend->places.brittle;
}

uint32_t gc_backend_usable_places(const gc_backend_t *backend,
				  struct timespec now)
{
	const place_state_t *state = &backend->places;

	if (state->brittle == GC_NOT_BRITTLE)
		return UINT32_MAX;
	return gc_ms_between(now, state->unused_until) > 0 ? state->unused : 0;
}

void gc_backend_use_place(gc_backend_t *backend)
{
	place_state_t *state = &backend->places;

	if (state->unused > 0)
		state->unused--;
	else
		state->changed |= state->brittle != GC_NOT_BRITTLE;
}

void gc_backend_release_place(gc_backend_t *backend)
{
	backend->places.changed |= backend->places.brittle != GC_NOT_BRITTLE;
}

void gc_backend_record_turned_away(gc_backend_t *backend)
{
	if (backend->places.brittle == GC_NOT_BRITTLE)
		return;
	backend->places.turned_away++;
	gc_backend_drop_unused_places(backend);
}

bool gc_backend_drop_unused_places(gc_backend_t *backend)
{
	bool dropped = backend->places.unused > 0;

	backend->places.changed |= dropped;
	backend->places.unused = 0;
	return dropped;
}

void gc_backend_abandon_request(gc_backend_t *backend, struct timespec now)
{
	place_state_t *state = &backend->places;

	if (state->brittle == GC_NOT_BRITTLE)
		return;
	state->abandoned = abandoned(backend, now) + 1;
	state->abandoned_until = gc_add_ms(now, ABANDONED_MS);
}

static uint32_t abandoned(const gc_backend_t *backend, struct timespec now)
{
	const place_state_t *state = &backend->places;

	return gc_ms_between(now, state->abandoned_until) > 0 ? state->abandoned
							      : 0;
}

bool gc_backend_may_ask_place(const gc_backend_t *backend, struct timespec now,
			      unsigned int rank)
{
	const place_state_t *state = &backend->places;

	if (gc_backend_usable_places(backend, now) > 0)
		return false;
	if (state->asked && gc_ms_between(state->asked_at, now) < ASK_LOST_MS)
		return false;
	return rank < state->denied_rank ||
	       gc_ms_between(now, state->denied_until) <= 0;
}

bool gc_backend_may_ask_any(const gc_backend_t *backend, struct timespec now,
			    unsigned int rank)
{
	bool has_permit = gc_backend_usable_permits(backend, now) > 0;
	bool has_place = gc_backend_usable_places(backend, now) > 0;

	if (has_permit && has_place)
		return false;
	return (has_permit || gc_backend_may_ask(backend, now, rank)) &&
	       (has_place || gc_backend_may_ask_place(backend, now, rank));
}

void gc_backend_begin_place_ask(gc_backend_t *backend, struct timespec now,
				gc_place_ask_t *ask)
{
	place_state_t *state = &backend->places;

	ask->server = backend->incarnation;
	state->number = MAX(state->number + 1, (uint64_t)now.tv_sec * 1000);
	ask->number = state->number;
	ask->brittle = state->brittle;
	ask->brittle_at = state->brittle_at;
	ask->slots = backend->entry.slots;
	ask->held = backend->in_flight + abandoned(backend, now);
	if (gc_ms_between(now, state->unused_until) <= 0)
		state->unused = 0;
	ask->held += state->unused;
	ask->got = state->got;
	ask->turned_away = state->turned_away;
	state->turned_away = 0;
	state->changed = false;
	state->told_at = now;
	if (ask->wanted == 0)
		return;
	state->asked = true;
	state->asked_at = now;
}

bool gc_backend_is_place_report_due(const gc_backend_t *backend,
				    struct timespec now)
{
	const place_state_t *state = &backend->places;

	if (state->changed)
		return true;
	return state->brittle != GC_NOT_BRITTLE &&
	       gc_ms_between(state->told_at, now) >= GC_PLACES_REPORT_MS &&
	       has_in_flight(backend, now);
}

/* What ran out since the last report counts, too: the issuer doesn't know. */
static bool has_in_flight(const gc_backend_t *backend, struct timespec now)
{
	const place_state_t *state = &backend->places;

	return backend->in_flight > 0 || state->unused > 0 ||
	       gc_ms_between(state->told_at, state->abandoned_until) > 0;
}

gc_backend_t *gc_backends_next_place_report(gc_backends_t *backends,
					    const gc_backend_t *after,
					    struct timespec now)
{
	gc_backend_t *backend = after ? after->next : backends->first;

	while (backend && !gc_backend_is_place_report_due(backend, now))
		backend = backend->next;
	return backend;
}

gc_backend_t *gc_backends_record_places(gc_backends_t *backends,
					struct timespec now,
					const gc_place_answer_t *answer)
{
	gc_backend_t *backend = backends->first;
	place_state_t *state;
	bool ended;

	while (backend && backend->incarnation != answer->server)
		backend = backend->next;
	if (!backend)
		return NULL;
	state = &backend->places;
	if (answer->to_ask)
		state->asked = false;
	if (gc_ms_between(state->brittle_at, answer->brittle_at) > 0) {
		ended = answer->brittle == GC_NOT_BRITTLE;
		gc_backend_record_brittle(backend, answer->brittle_at,
					  answer->brittle);
		/* The issuer is the one that said so. */
		state->changed &= !ended;
	}
	state->got += answer->granted;
	if (state->brittle == GC_NOT_BRITTLE)
		return backend;
	if (answer->granted > 0) {
		state->unused = gc_backend_usable_places(backend, now) +
				answer->granted;
		state->unused_until = gc_add_ms(now, GC_PLACE_VALID_MS);
	}
	if (answer->wait_ms > 0) {
		state->denied_until = gc_add_ms(now, answer->wait_ms);
		state->denied_rank = answer->rank;
	}
	return backend;
}

bool gc_backends_is_restricted(const gc_backends_t *backends, gc_str_t service)
{
	for (const gc_backend_t *b = backends->first; b; b = b->next)
		if (b->places.brittle != GC_NOT_BRITTLE &&
		    gc_str_eq(b->entry.service, service))
			return true;
	return gc_backends_is_limited(backends, service);
}
