/* Peers are asked first; the store once after each failure of a peer. */
#include "core/change_source.h"
#include <glib.h>

#include "core/clock.h"

/* Timeouts of a call to the store and to a peer, without its wait. */
#define STORE_TIMEOUT_MS 700
#define PEER_TIMEOUT_MS	 400
/* Shortest wait at a peer whose state is nearly too old. */
#define PEER_WAIT_MIN_MS 50
/* For the transfer of the responses and the daemon's own work. */
#define TRANSFER_MS 100
/* Longer waits save little; shorter ones make each watcher call the store more
 * than three times a second. */
#define WATCH_WAIT_MAX_MS 1500
#define WATCH_WAIT_MIN_MS 300
/* Part of the usual wait at the store after a peer failed, as a divisor. */
#define FALLBACK_WAIT_DIVISOR 4
/* Back-off after a failure of the store; doubles with each failure. */
#define BACKOFF_MIN_MS 100
/* Maximum if no peer reports that the store is back: a fifth of the time within
 * which a change must be in effect. */
#define BACKOFF_MAX_MS 400
/* The same if a peer reports that the store is back. */
#define BACKOFF_WITH_PEER_MIN_MS 800
#define BACKOFF_WITH_PEER_MAX_MS 3200
/* Time without calls to peers after one did not answer. Its timeout delays
 * changes, so the store is asked meanwhile. */
#define UNRESPONSIVE_PEER_MS 1500
/* The same after a peer answered without recent changes, which costs no
 * timeout. */
#define STALE_PEER_MS 400

static int64_t ms_until(struct timespec now, struct timespec at);
static int64_t store_backoff(const gc_change_source_t *source, bool has_peer);

static int64_t ms_until(struct timespec now, struct timespec at)
{
	int64_t ms = gc_ms_between(now, at);

	return ms > 0 ? ms : 0;
}

gc_change_times_t gc_change_times(int64_t in_force_ms, int64_t admit_ms,
				  int64_t ready_ms, int64_t batch_delay_ms)
{
	gc_change_times_t times = {
		.store_timeout = STORE_TIMEOUT_MS,
		.peer_timeout = PEER_TIMEOUT_MS,
	};
	int64_t without_failure =
		MIN(in_force_ms, ready_ms) - batch_delay_ms - TRANSFER_MS;
	int64_t with_failure = admit_ms - batch_delay_ms - TRANSFER_MS -
			       STORE_TIMEOUT_MS - PEER_TIMEOUT_MS;

	times.watch_wait = MIN(without_failure, with_failure) / 2;
	times.watch_wait =
		CLAMP(times.watch_wait, WATCH_WAIT_MIN_MS, WATCH_WAIT_MAX_MS);
	times.peer_max_age = times.watch_wait + STORE_TIMEOUT_MS;
	return times;
}

gc_source_kind_t gc_change_source_next(const gc_change_source_t *source,
				       struct timespec now, bool has_peer,
				       int64_t *wait_ms)
{
	int64_t store_ms = gc_change_source_store_pause(source, now, has_peer);
	int64_t peers_ms = ms_until(now, source->peers_not_before);

	*wait_ms = 0;
	if (has_peer && peers_ms == 0 &&
	    (!source->ask_store_next || store_ms > 0))
		return GC_SOURCE_PEER;
	if (store_ms == 0)
		return GC_SOURCE_STORE;
	*wait_ms = has_peer && peers_ms < store_ms ? peers_ms : store_ms;
	return GC_SOURCE_NONE;
}

void gc_change_source_peer_failed(gc_change_source_t *source,
				  struct timespec now, bool answered)
{
	source->n_peer_failures++;
	source->peer_age_ms = 0;
	source->ask_store_next = true;
	source->peer_unresponsive = !answered;
	source->peers_not_before =
		gc_add_ms(now, answered ? STALE_PEER_MS : UNRESPONSIVE_PEER_MS);
}

int64_t gc_change_source_peer_wait(const gc_change_source_t *source,
				   const gc_change_times_t *times,
				   int64_t wait_ms)
{
	int64_t left_ms = times->peer_max_age - source->peer_age_ms;

	return MIN(wait_ms, MAX(left_ms, PEER_WAIT_MIN_MS));
}

int64_t gc_change_source_store_wait(const gc_change_source_t *source,
				    int64_t wait_ms)
{
	if (source->n_store_failures > 0)
		return 0;
	return source->ask_store_next ? wait_ms / FALLBACK_WAIT_DIVISOR
				      : wait_ms;
}

void gc_change_source_peer_answered(gc_change_source_t *source, int64_t age_ms)
{
	source->peer_age_ms = age_ms;
	source->peer_lacks_history = false;
	source->ask_store_next = false;
	source->n_store_failures = 0;
}

void gc_change_source_peer_lacks_history(gc_change_source_t *source)
{
	source->peer_lacks_history = true;
}

void gc_change_source_store_answered(gc_change_source_t *source,
				     struct timespec now)
{
	source->peer_lacks_history = false;
	source->n_store_failures = 0;
	if (source->ask_store_next && !source->peer_unresponsive)
		source->peers_not_before = now;
	source->ask_store_next = false;
}

void gc_change_source_store_failed(gc_change_source_t *source,
				   struct timespec now)
{
	source->n_store_failures++;
	source->store_failed_at = now;
	source->ask_store_next = false;
}

void gc_change_source_store_lacks_history(gc_change_source_t *source,
					  struct timespec now)
{
	gc_change_source_store_answered(source, now);
	gc_change_source_store_failed(source, now);
}

int64_t gc_change_source_store_pause(const gc_change_source_t *source,
				     struct timespec now, bool has_peer)
{
	if (source->n_store_failures == 0)
		return 0;
	return ms_until(now, gc_add_ms(source->store_failed_at,
				       store_backoff(source, has_peer)));
}

/* Long only while a peer is there that would report that the store is back. */
static int64_t store_backoff(const gc_change_source_t *source, bool has_peer)
{
	bool peer_reports = has_peer && !source->peer_unresponsive &&
			    !source->peer_lacks_history;
	int64_t ms = peer_reports ? BACKOFF_WITH_PEER_MIN_MS : BACKOFF_MIN_MS;
	int64_t max_ms =
		peer_reports ? BACKOFF_WITH_PEER_MAX_MS : BACKOFF_MAX_MS;

	for (unsigned int i = 1; i < source->n_store_failures && ms < max_ms;
	     i++)
		ms *= 2;
	return MIN(ms, max_ms);
}
