/*
 * Properties of the configuration of several daemons with simulated faults: no
 * daemon has an outdated version in effect or goes back to an older one, an
 * accepted change is never lost, no two changes are accepted as one version,
 * and after the faults all daemons have the newest version. Also, an instance
 * that the operator marked as departing is seen as leaving.
 */
#include <rapidcheck.h>

#include "membership_model.h"
#include "membership_model.inc"

extern "C" {
#include "core/health.h"
}

namespace
{

constexpr int64_t kFaultsMs = 30000;
constexpr int64_t kConvergeMs = 15000;

enum Kind {
	kChange,
	kRacingChanges,
	kPause,
	kCrash,
	kServiceOutage,
	kSlowService,
	kLoseAnswers,
	kPartition,
	kLossyMessages,
	kDelayedMessages,
	kKindCount,
};

struct Step {
	int kind;
	int64_t at; /* ms from the start */
	unsigned who; /* daemon, or a bit per daemon: its side of a partition */
	int64_t duration; /* ms */
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
	static const char *const names[kKindCount] = {
		"change", "racing changes", "pause",	    "crash",
		"outage", "slow service",   "lost answers", "partition",
		"lossy",  "delayed"};

	return out << names[step.kind] << "(at " << step.at << " ms, who "
		   << step.who << ", for " << step.duration << " ms)";
}

/* Changes are as frequent as all faults together. */
rc::Gen<Step> generate_step()
{
	auto kind = rc::gen::weightedOneOf<int>(
		{{6, rc::gen::just<int>(kChange)},
		 {3, rc::gen::just<int>(kRacingChanges)},
		 {9, rc::gen::inRange<int>(kPause, kKindCount)}});

	return rc::gen::construct<Step>(
		kind, rc::gen::inRange<int64_t>(2000, kFaultsMs),
		rc::gen::inRange<unsigned>(0, 256),
		rc::gen::inRange<int64_t>(100, 12000));
}

void apply(model::Simulation &simulation, const Step &step)
{
	int n = static_cast<int>(simulation.daemons.size());
	int who = static_cast<int>(step.who) % n;
	int64_t ms = step.duration;

	switch (step.kind) {
	case kChange:
		simulation.change(who);
		break;
	case kRacingChanges:
		simulation.change(who);
		simulation.change((who + 1) % n);
		break;
	case kPause:
		simulation.pause(who, ms);
		break;
	case kCrash:
		simulation.crash(who);
		break;
	case kServiceOutage:
		simulation.outage = true;
		simulation.schedule(ms, [&simulation] {
			simulation.outage = false;
		});
		break;
	case kSlowService:
		simulation.kv_slow_ms = ms / 3;
		simulation.schedule(ms, [&simulation] {
			simulation.kv_slow_ms = 0;
		});
		break;
	case kLoseAnswers:
		simulation.lose_kv_answers++;
		break;
	case kPartition:
		simulation.partition = step.who;
		simulation.kv_side = static_cast<int>(ms % 3) - 1;
		simulation.schedule(ms, [&simulation] {
			simulation.partition = 0;
			simulation.kv_side = -1;
		});
		break;
	case kLossyMessages:
		simulation.loss_percent = 10 + step.who % 60;
		simulation.schedule(ms, [&simulation] {
			simulation.loss_percent = 0;
		});
		break;
	case kDelayedMessages:
		simulation.max_delay_ms = 5000;
		simulation.schedule(ms, [&simulation] {
			simulation.max_delay_ms = 5;
		});
		break;
	}
}

/* Accepted changes are in the history of the record, refused ones are not. */
void check_history(model::Simulation &simulation)
{
	for (const model::Accepted &accepted : simulation.accepted) {
		if (accepted.version > simulation.history.size() ||
		    simulation.history[accepted.version - 1] != accepted.nonce)
			simulation.fail("accepted version " +
					std::to_string(accepted.version) +
					" is not in the record");
	}
	for (const std::string &nonce : simulation.refused) {
		for (const std::string &written : simulation.history) {
			if (written == nonce)
				simulation.fail("a refused change was written");
		}
	}
}

bool run_steps(int n, uint64_t seed, const std::vector<Step> &steps,
	       std::string *failure)
{
	model::Simulation simulation(n, seed);

	simulation.schedule(1500, [&simulation] { simulation.change(0); });
	for (const Step &step : steps)
		simulation.schedule(step.at, [&simulation, step] {
			apply(simulation, step);
		});
	simulation.run_until(model::kStartMs + kFaultsMs);
	/* The longest fault lasts 12 s. */
	simulation.run_until(simulation.now + 12000);
	simulation.run_until(simulation.now + kConvergeMs);
	check_history(simulation);
	if (simulation.failure.empty() && !simulation.converged())
		simulation.fail(
			"not all daemons have the newest version in effect");
	RC_CLASSIFY(simulation.accepted.size() > 1, "several changes accepted");
	RC_CLASSIFY(simulation.accepted.empty(), "no change accepted");
	*failure = simulation.failure;
	return simulation.failure.empty();
}

/* Departures and lists in any order: the latest departure applies at once. */
bool check_departures(const std::vector<std::pair<bool, bool>> &events)
{
	gc_health_t *health = gc_health_create(nullptr);
	struct timespec now = {1000, 0};
	json_t *labels = json_object();
	bool departing = false;
	bool ok = true;

	for (const auto &event : events) {
		gc_instance_list_entry_t listed = {};

		now = gc_add_ms(now, 400);
		listed.name = GC_STR_LIT("e1");
		listed.url = GC_STR_LIT("http://1");
		listed.failure_domain = GC_STR_LIT("a");
		listed.labels = labels;
		if (event.first) {
			json_t *document = json_pack("{si s{s{sb}}}", "version",
						     1, "instances", "e1",
						     "departing", event.second);
			gc_config_t *config =
				gc_config_parse(document, nullptr);

			departing = event.second;
			gc_health_set_config(health, config);
			gc_config_unref(config);
			json_decref(document);
		} else if (event.second) {
			gc_health_on_list(health, now, &listed, 1);
		} else {
			gc_health_on_stream_report(health, now,
						   GC_STR_LIT("e1"),
						   GC_ENGINE_FAILED);
		}
		for (size_t i = 0; i < gc_health_count(health); i++) {
			gc_health_instance_t instance;

			gc_health_get(health, now, i, &instance);
			ok = ok && instance.leaving == departing;
		}
	}
	json_decref(labels);
	talloc_free(health);
	return ok;
}

} // namespace

int main()
{
	bool ok = rc::check("configuration of several daemons", [] {
		int n = *rc::gen::inRange(1, 7);
		uint64_t seed = *rc::gen::arbitrary<uint64_t>();
		auto steps =
			*rc::gen::container<std::vector<Step>>(generate_step());
		std::string failure;

		if (!run_steps(n, seed, steps, &failure))
			RC_FAIL(failure);
	});

	ok &= rc::check("a departing instance is leaving in the next view", [] {
		auto events = *rc::gen::arbitrary<
			std::vector<std::pair<bool, bool>>>();

		RC_ASSERT(check_departures(events));
	});
	return ok ? 0 : 1;
}
