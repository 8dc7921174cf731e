/* Peers first; the store once for each peer that can't tell. */
#include "core/change_source.h"
#include <glib.h>

#include "core/clock.h"

/* After a failure of the store; doubles. */
#define PAUSE_MS 100
/* For a daemon that nobody else tells of the store's return: a fifth of the
 * time in which a change must be in force. */
#define PAUSE_MAX_MS 400
/* The same for one that watchers tell of its return. */
#define PAUSE_WITH_PEER_MS     400
#define PAUSE_MAX_WITH_PEER_MS 3200
/* A peer that does not answer costs a timeout that delays changes, so that
 * the store is asked for this long before the next try. */
#define SILENT_PEER_MS 1500
/* One that knows nothing new answers at once. */
#define IGNORANT_PEER_MS 400

static int64_t left(struct timespec now, struct timespec from);

static int64_t left(struct timespec now, struct timespec from)
{
	int64_t ms = gc_ms_between(now, from);

	return ms > 0 ? ms : 0;
}

gc_source_kind_t gc_change_source_next(const gc_change_source_t *sources,
				       struct timespec now, bool has_peer,
				       int64_t *wait_ms)
{
	int64_t store_ms = left(now, sources->store_from);
	int64_t peers_ms = left(now, sources->peers_from);

	*wait_ms = 0;
	if (has_peer && peers_ms == 0 &&
	    (!sources->store_first || store_ms > 0))
		return GC_SOURCE_PEER;
	if (store_ms == 0)
		return GC_SOURCE_STORE;
	*wait_ms = has_peer && peers_ms < store_ms ? peers_ms : store_ms;
	return GC_SOURCE_NONE;
}

void gc_change_source_peer_failed(gc_change_source_t *sources,
				  struct timespec now, bool answered)
{
	sources->turn++;
	sources->store_first = true;
	sources->peer_silent = !answered;
	sources->peers_from =
		gc_add_ms(now, answered ? IGNORANT_PEER_MS : SILENT_PEER_MS);
}

void gc_change_source_peer_answered(gc_change_source_t *sources)
{
	sources->store_first = false;
	sources->store_pause_ms = 0;
}

void gc_change_source_store_answered(gc_change_source_t *sources,
				     struct timespec now)
{
	sources->store_pause_ms = 0;
	if (sources->store_first && !sources->peer_silent)
		sources->peers_from = now;
	sources->store_first = false;
}

int64_t gc_change_source_store_failed(gc_change_source_t *sources,
				      struct timespec now, bool has_peer)
{
	bool told = has_peer && !sources->peer_silent;
	int64_t pause = MAX(sources->store_pause_ms * 2,
			    told ? PAUSE_WITH_PEER_MS : PAUSE_MS);

	pause = MIN(pause, told ? PAUSE_MAX_WITH_PEER_MS : PAUSE_MAX_MS);
	sources->store_pause_ms = pause;
	sources->store_first = false;
	sources->store_from = gc_add_ms(now, pause);
	return pause;
}
