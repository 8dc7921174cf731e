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
	gc_crash_report_t report = {};

	report.id = ++revision;
	report.server = revision;
	report.at_ms = now_ms;
	report.traits = traits;

	gc_crash_suspects_add_report(daemons[daemon], now(), &report, 0);
	/* From the store, to the daemon that wrote it too. */
	for (gc_crash_suspects_t *other : daemons)
		gc_crash_suspects_add_report(other, now(), &report, revision);
}

void Fleet::serve(size_t daemon, const gc_request_traits_t &traits)
{
	uint64_t told[GC_REQUEST_PARTS_MAX];
	size_t n;

	gc_crash_suspects_record_served(daemons[daemon], now(), &traits);
	n = gc_crash_suspects_take_served(daemons[daemon], now(), told,
					  GC_REQUEST_PARTS_MAX);
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

	traits.parts[traits.n_parts++] = common;
	if (deadly)
		traits.parts[traits.n_parts++] = DEADLY;
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

/* A report on its way to a daemon. */
struct Message {
	int64_t at_ms;
	size_t daemon;
	gc_crash_report_t report;
	uint64_t revision;
};

constexpr uint64_t SOUND_REQUESTS = 4;
constexpr int MAX_TRIALS = 3;
constexpr int64_t MAX_DELAY_MS = 600;

gc_request_traits_t request_traits(uint64_t request)
{
	gc_request_traits_t traits = {};

	traits.request = request;
	return traits;
}

/*
 * One or two deadly requests come at daemons whose clocks differ, whose reports
 * take up to MAX_DELAY_MS, and which restart. Sound ones run beside them.
 */
void check_whole_requests()
{
	Fleet fleet(*rc::gen::inRange<size_t>(1, 6));
	uint64_t n_deadly = *rc::gen::inRange<uint64_t>(1, 3);
	std::vector<int64_t> clock_errors;
	std::vector<Message> messages;
	std::vector<gc_crash_report_t> reports;
	std::vector<int> n_crashes(n_deadly);
	std::vector<int> n_trials(n_deadly);
	std::vector<int64_t> blocked_ms(n_deadly, INT64_MAX / 2);
	int n_steps = *rc::gen::inRange(1, 150);

	for (size_t i = 0; i < fleet.daemons.size(); i++)
		clock_errors.push_back(*rc::gen::inRange(-5000, 5000));
	for (int i = 0; i < n_steps && fleet.now_ms < 580000; i++) {
		size_t daemon =
			*rc::gen::inRange<size_t>(0, fleet.daemons.size());
		uint64_t deadly = *rc::gen::inRange<uint64_t>(0, n_deadly);
		gc_request_traits_t traits = request_traits(1000 + deadly);
		bool resent = false;

		fleet.now_ms += *rc::gen::inRange<int64_t>(0, 9000);
		for (auto &message : messages)
			if (message.at_ms <= fleet.now_ms)
				gc_crash_suspects_add_report(
					fleet.daemons[message.daemon],
					fleet.now(), &message.report,
					message.revision);
		messages.erase(std::remove_if(messages.begin(), messages.end(),
					      [&](const Message &message) {
						      return message.at_ms <=
							     fleet.now_ms;
					      }),
			       messages.end());
		if (*rc::gen::inRange(0, 10) == 0) {
			/* A daemon that starts reads all reports. */
			gc_crash_suspects_t *fresh =
				gc_crash_suspects_create(fleet.mem);

			gc_crash_suspects_set_rank(fresh, daemon,
						   fleet.daemons.size());
			for (size_t j = 0; j < reports.size(); j++)
				gc_crash_suspects_add_report(
					fresh, fleet.now(), &reports[j], j + 1);
			fleet.daemons[daemon] = fresh;
		}
		/* Two attempts, the second one at once. */
		for (int attempt = 0; attempt < 2; attempt++) {
			gc_suspect_verdict_t verdict = gc_crash_suspects_judge(
				fleet.daemons[daemon], fleet.now(), &traits);
			uint64_t server = ++fleet.revision;
			int64_t delay_ms =
				*rc::gen::inRange<int64_t>(0, MAX_DELAY_MS);

			RC_ASSERT(verdict != GC_SUSPECT_WAIT);
			if (verdict == GC_SUSPECT_REFUSE)
				break;
			if (verdict == GC_SUSPECT_TRY)
				n_trials[deadly]++;
			else
				RC_ASSERT(fleet.now_ms <=
					  blocked_ms[deadly] + MAX_DELAY_MS);
			n_crashes[deadly]++;
			if (n_crashes[deadly] == 3)
				blocked_ms[deadly] = fleet.now_ms;
			for (uint64_t request = 0; request <= SOUND_REQUESTS;
			     request++) {
				gc_crash_report_t report = {};

				if (request > 0 && *rc::gen::arbitrary<bool>())
					continue;
				report.id = server * 16 + request;
				report.server = server;
				report.domain = server % 3;
				report.at_ms = 1000000 + fleet.now_ms +
					       clock_errors[daemon];
				report.resent = resent && request == 0;
				report.traits =
					request == 0 ? traits
						     : request_traits(2000 +
								      request);
				gc_crash_suspects_add_report(
					fleet.daemons[daemon], fleet.now(),
					&report, 0);
				reports.push_back(report);
				for (size_t j = 0; j < fleet.daemons.size();
				     j++)
					messages.push_back(
						{fleet.now_ms + delay_ms, j,
						 report, reports.size()});
			}
			resent = true;
			if (verdict == GC_SUSPECT_TRY)
				break;
		}
	}
	for (uint64_t i = 0; i < n_deadly; i++)
		RC_ASSERT(n_trials[i] <= MAX_TRIALS);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("sound requests are sent, deadly ones stop",
			check_fleet);
	ok &= rc::check("a wrong verdict ends", check_wrong_verdict_ends);
	ok &= rc::check("requests that crash servers stop",
			check_whole_requests);
	return ok ? 0 : 1;
}
