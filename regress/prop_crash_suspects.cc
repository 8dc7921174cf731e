/*
 * Guards a fleet of daemons that tell each other of crashes against sound
 * requests that are refused for the company of a deadly trait, and against deadly
 * requests that are sent on and on.
 */
#include <vector>

#include <talloc.h>

#include <rapidcheck.h>

extern "C" {
#include "core/clock.h"
#include "core/crash_suspects.h"
}

namespace
{

constexpr uint64_t DEADLY = 7;
/* Longer than the time within which crashes are one event. */
constexpr int64_t MIN_STEP_MS = 301;
constexpr int64_t TRIAL_INTERVAL_MS = 30000;
/* Crashes until the trait is blocked, and one that tells it from its company. */
constexpr int MAX_SENT = 4;

struct Fleet {
	TALLOC_CTX *mem = talloc_new(nullptr);
	std::vector<gc_crash_suspects_t *> daemons;
	int64_t now_ms = 0;
	uint64_t revision = 0;

	explicit Fleet(size_t n);
	~Fleet()
	{
		talloc_free(mem);
	}
	struct timespec now() const
	{
		return gc_add_ms({1000, 0}, now_ms);
	}
	void crash(size_t daemon, const gc_request_traits_t &traits);
	void serve(size_t daemon, const gc_request_traits_t &traits);
};

Fleet::Fleet(size_t n)
{
	for (size_t i = 0; i < n; i++) {
		daemons.push_back(gc_crash_suspects_create(mem));
		gc_crash_suspects_set_rank(daemons[i], i, n);
	}
}

void Fleet::crash(size_t daemon, const gc_request_traits_t &traits)
{
	gc_crash_report_t report = {++revision, now_ms, traits};

	gc_crash_suspects_add_report(daemons[daemon], now(), &report, 0);
	/* From the store, to the daemon that wrote it too. */
	for (gc_crash_suspects_t *other : daemons)
		gc_crash_suspects_add_report(other, now(), &report, revision);
}

void Fleet::serve(size_t daemon, const gc_request_traits_t &traits)
{
	uint64_t told[GC_REQUEST_TRAITS_MAX];
	size_t n;

	gc_crash_suspects_record_served(daemons[daemon], now(), &traits);
	n = gc_crash_suspects_take_served(daemons[daemon], now(), told,
					  GC_REQUEST_TRAITS_MAX);
	for (size_t i = 0; i < n; i++) {
		RC_ASSERT(told[i] != DEADLY);
		revision++;
		for (gc_crash_suspects_t *other : daemons)
			gc_crash_suspects_add_served(other, now(), told[i],
						     revision);
	}
}

gc_request_traits_t make_traits(uint64_t common, bool deadly)
{
	gc_request_traits_t traits = {};

	traits.ids[traits.n++] = common;
	if (deadly)
		traits.ids[traits.n++] = DEADLY;
	return traits;
}

void check_fleet()
{
	Fleet fleet(*rc::gen::inRange<size_t>(1, 6));
	int n_steps = *rc::gen::inRange(1, 100);
	int64_t last_trial_ms = -TRIAL_INTERVAL_MS;
	int n_sent = 0;

	/* Short of the time after which reports are forgotten. */
	for (int i = 0; i < n_steps && fleet.now_ms < 580000; i++) {
		size_t daemon =
			*rc::gen::inRange<size_t>(0, fleet.daemons.size());
		bool deadly = *rc::gen::arbitrary<bool>();
		/* On both sides of the deadly trait's id. */
		gc_request_traits_t traits = make_traits(
			*rc::gen::elementOf(std::vector<uint64_t>{3, 5, 11}),
			deadly);
		gc_suspect_verdict_t verdict;

		fleet.now_ms += *rc::gen::inRange<int64_t>(MIN_STEP_MS, 16000);
		verdict = gc_crash_suspects_judge(fleet.daemons[daemon],
						  fleet.now(), &traits);
		if (!deadly) {
			RC_ASSERT(verdict == GC_SUSPECT_SEND);
			fleet.serve(daemon, traits);
			continue;
		}
		if (verdict == GC_SUSPECT_REFUSE)
			continue;
		if (verdict == GC_SUSPECT_TRY) {
			RC_ASSERT(fleet.now_ms - last_trial_ms >=
				  TRIAL_INTERVAL_MS);
			last_trial_ms = fleet.now_ms;
		} else {
			RC_ASSERT(++n_sent <= MAX_SENT);
		}
		fleet.crash(daemon, traits);
	}
}

/* A trait that is sound, but was in three crashes, is served again. */
void check_wrong_verdict_ends()
{
	Fleet fleet(*rc::gen::inRange<size_t>(1, 6));
	gc_request_traits_t traits =
		make_traits(*rc::gen::inRange<uint64_t>(100, 200), false);
	size_t trying = 0;
	int n_tried = 0;

	for (int i = 0; i < 3; i++) {
		fleet.now_ms += MIN_STEP_MS;
		fleet.crash(0, traits);
	}
	for (gc_crash_suspects_t *daemon : fleet.daemons)
		RC_ASSERT(
			gc_crash_suspects_judge(daemon, fleet.now(), &traits) ==
			GC_SUSPECT_REFUSE);
	fleet.now_ms += TRIAL_INTERVAL_MS;
	for (size_t i = 0; i < fleet.daemons.size(); i++)
		if (gc_crash_suspects_judge(fleet.daemons[i], fleet.now(),
					    &traits) == GC_SUSPECT_TRY) {
			n_tried++;
			trying = i;
		}
	RC_ASSERT(n_tried == 1);
	fleet.serve(trying, traits);
	for (gc_crash_suspects_t *daemon : fleet.daemons)
		RC_ASSERT(gc_crash_suspects_judge(daemon, fleet.now(),
						  &traits) == GC_SUSPECT_SEND);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("sound requests are sent, deadly ones stop",
			check_fleet);
	ok &= rc::check("a wrong verdict ends", check_wrong_verdict_ends);
	return ok ? 0 : 1;
}
