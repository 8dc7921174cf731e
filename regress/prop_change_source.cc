/*
 * Guards against daemons that learn of changes late after an outage of the store, as a pause
 * or a call outlives the belief that it rests on. Plays random outages in which the store
 * swallows or refuses calls, and in which the daemons that watch it are stale, silent,
 * gone, or lack the changes since this daemon's revision.
 */
#include <algorithm>
#include <cstdint>

#include <rapidcheck.h>

extern "C" {
#include "core/change_source.h"
#include "core/clock.h"
}

namespace
{

/* Bounds of the platform's shortest configuration, in ms. */
constexpr int64_t IN_FORCE_MS = 2000, ADMIT_MS = 4500, CONTACT_MS = 3000;
constexpr int64_t BATCH_DELAY_MS = 250;
constexpr int64_t ROUND_TRIP_MS = 5;
/* Between two looks at daemons that were stale, and between two calls to a store that no
 * daemon vouches for. */
constexpr int64_t POLL_MS = 400;

enum class Peer { FRESH, STALE, SILENT, GONE, LACKING };

struct Outage {
	int64_t end_ms; /* the store answers calls made from then on */
	int64_t watchers_back_ms; /* no daemon is stale, silent or gone after that */
	bool lost_history;
};

struct Run {
	int64_t done_ms =
		-1; /* changes up to the end of the outage are known */
	/* End of the call that was under way when the watchers were back. */
	int64_t call_end_ms = 0;
	unsigned int calls = 0; /* to the store during the outage */
};

struct timespec at(int64_t ms)
{
	return gc_add_ms({.tv_sec = 1000, .tv_nsec = 0}, ms);
}

Peer next_peer(const Outage &outage, int64_t now)
{
	if (now >= outage.watchers_back_ms)
		return outage.lost_history ? Peer::LACKING : Peer::FRESH;
	return *rc::gen::weightedElement<Peer>({{6, Peer::STALE},
						{1, Peer::SILENT},
						{1, Peer::GONE},
						{1, Peer::LACKING}});
}

/* Returns the end of the call. */
int64_t ask_peer(gc_change_source_t &source, const gc_change_times_t &times,
		 const Outage &outage, Peer peer, int64_t now, Run &run)
{
	int64_t wait =
		gc_change_source_peer_wait(&source, &times, times.watch_wait);
	int64_t end = now + ROUND_TRIP_MS;

	/* One that waits is answered when the daemon has read a new list. */
	if (peer == Peer::STALE)
		end += std::min(wait, std::max(outage.watchers_back_ms - now,
					       int64_t{0}));
	if (peer == Peer::SILENT)
		end += wait + times.peer_timeout;
	if (peer == Peer::FRESH) {
		gc_change_source_peer_answered(&source, 0);
		run.done_ms = end;
		return end;
	}
	gc_change_source_peer_failed(&source, at(end), peer != Peer::SILENT);
	if (peer == Peer::LACKING)
		gc_change_source_peer_lacks_history(&source);
	return end;
}

int64_t ask_store(gc_change_source_t &source, const gc_change_times_t &times,
		  const Outage &outage, int64_t now, Run &run)
{
	int64_t wait = gc_change_source_store_wait(&source, times.watch_wait);
	bool swallowed = *rc::gen::arbitrary<bool>();

	if (now >= outage.end_ms) {
		run.done_ms = now + ROUND_TRIP_MS;
		return run.done_ms;
	}
	run.calls++;
	now += swallowed ? wait + times.store_timeout : ROUND_TRIP_MS;
	gc_change_source_store_failed(&source, at(now));
	return now;
}

Run play(const Outage &outage)
{
	const gc_change_times_t times = gc_change_times(
		IN_FORCE_MS, ADMIT_MS, CONTACT_MS, BATCH_DELAY_MS);
	gc_change_source_t source = {};
	int64_t now = 0;
	Run run;

	while (run.done_ms < 0) {
		int64_t began = now, wait;
		Peer peer = next_peer(outage, now);

		switch (gc_change_source_next(&source, at(now),
					      peer != Peer::GONE, &wait)) {
		case GC_SOURCE_PEER:
			now = ask_peer(source, times, outage, peer, now, run);
			break;
		case GC_SOURCE_STORE:
			now = ask_store(source, times, outage, now, run);
			break;
		case GC_SOURCE_NONE:
			RC_ASSERT(wait > 0);
			now += wait;
			began = now;
			break;
		}
		if (began <= outage.watchers_back_ms)
			run.call_end_ms = now;
	}
	return run;
}

Outage any_outage()
{
	Outage outage = {};

	outage.end_ms = *rc::gen::inRange<int64_t>(0, 12000);
	outage.watchers_back_ms =
		outage.end_ms + *rc::gen::inRange<int64_t>(0, 1200);
	outage.lost_history = *rc::gen::arbitrary<bool>();
	return outage;
}

void check_time()
{
	Outage outage = any_outage();
	Run run = play(outage);
	int64_t free_ms = std::max(outage.watchers_back_ms, run.call_end_ms);

	RC_ASSERT(run.done_ms <= free_ms + 2 * POLL_MS + 2 * ROUND_TRIP_MS);
}

/* One call for each pause, and those with which the pauses grow. */
void check_calls()
{
	Outage outage = any_outage();

	RC_ASSERT(play(outage).calls <= 3 + outage.end_ms / POLL_MS);
}

} // namespace

int main()
{
	bool ok =
		rc::check("changes are known soon after an outage", check_time);

	ok = rc::check("an outage doesn't multiply the calls", check_calls) &&
	     ok;
	return ok ? 0 : 1;
}
