/*
 * Guards against a daemon that serves an old configuration, a version that
 * goes down, an accepted change that is lost, two accepted changes of one
 * version, a fleet that doesn't agree after faults, and work for an instance
 * that the operator marked as departing.
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
	kOutage,
	kSlowService,
	kLoseAnswers,
	kPartition,
	kLossyMessages,
	kDelayedMessages,
	kKinds,
};

struct Step {
	int kind;
	int64_t at; /* ms from the start */
	unsigned who; /* daemon, or the sides of a partition */
	int64_t length; /* ms */
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
	static const char *const names[kKinds] = {
		"change", "racing changes", "pause",	    "crash",
		"outage", "slow service",   "lost answers", "partition",
		"lossy",  "delayed"};

	return out << names[step.kind] << "(at " << step.at << " ms, who "
		   << step.who << ", for " << step.length << " ms)";
}

/* Changes are as frequent as all faults together. */
rc::Gen<Step> gen_step()
{
	auto kind = rc::gen::weightedOneOf<int>(
		{{6, rc::gen::just<int>(kChange)},
		 {3, rc::gen::just<int>(kRacingChanges)},
		 {9, rc::gen::inRange<int>(kPause, kKinds)}});

	return rc::gen::construct<Step>(
		kind, rc::gen::inRange<int64_t>(2000, kFaultsMs),
		rc::gen::inRange<unsigned>(0, 256),
		rc::gen::inRange<int64_t>(100, 12000));
}

void apply(model::World &world, const Step &step)
{
	int n = static_cast<int>(world.daemons.size());
	int who = static_cast<int>(step.who) % n;
	int64_t ms = step.length;

	switch (step.kind) {
	case kChange:
		world.change(who);
		break;
	case kRacingChanges:
		world.change(who);
		world.change((who + 1) % n);
		break;
	case kPause:
		world.pause(who, ms);
		break;
	case kCrash:
		world.crash(who);
		break;
	case kOutage:
		world.outage = true;
		world.after(ms, [&world] { world.outage = false; });
		break;
	case kSlowService:
		world.kv_slow_ms = ms / 3;
		world.after(ms, [&world] { world.kv_slow_ms = 0; });
		break;
	case kLoseAnswers:
		world.lose_answers++;
		break;
	case kPartition:
		world.partition = step.who;
		world.kv_side = static_cast<int>(ms % 3) - 1;
		world.after(ms, [&world] {
			world.partition = 0;
			world.kv_side = -1;
		});
		break;
	case kLossyMessages:
		world.loss_percent = 10 + step.who % 60;
		world.after(ms, [&world] { world.loss_percent = 0; });
		break;
	case kDelayedMessages:
		world.max_delay_ms = 5000;
		world.after(ms, [&world] { world.max_delay_ms = 5; });
		break;
	}
}

/* Accepted changes are in the record's history, refused ones are not. */
void check_accepted(model::World &world)
{
	for (const model::Accepted &accepted : world.accepted) {
		if (accepted.version > world.history.size() ||
		    world.history[accepted.version - 1] != accepted.nonce)
			world.fail("accepted version " +
				   std::to_string(accepted.version) +
				   " is not in the record");
	}
	for (const std::string &nonce : world.refused) {
		for (const std::string &written : world.history) {
			if (written == nonce)
				world.fail("a change was refused though it "
					   "was written");
		}
	}
}

bool check_configuration(int n, uint64_t seed, const std::vector<Step> &steps,
			 std::string *failure)
{
	model::World world(n, seed);

	world.after(1500, [&world] { world.change(0); });
	for (const Step &step : steps)
		world.after(step.at, [&world, step] { apply(world, step); });
	world.run_until(model::kStartMs + kFaultsMs);
	/* The last fault may last until now; a pause ends by itself. */
	world.run_until(world.now + 12000);
	world.run_until(world.now + kConvergeMs);
	check_accepted(world);
	if (world.failure.empty() && !world.converged())
		world.fail("not all daemons have the newest version in effect");
	RC_CLASSIFY(world.accepted.size() > 1, "several changes accepted");
	RC_CLASSIFY(world.accepted.empty(), "no change accepted");
	*failure = world.failure;
	return world.failure.empty();
}

/* Departures and lists in any order: the next view has what was said last. */
bool check_departures(const std::vector<std::pair<bool, bool>> &events)
{
	gc_health_t *health = gc_health_create(nullptr);
	struct timespec now = {1000, 0};
	json_t *labels = json_object();
	bool departing = false;
	bool ok = true;

	for (const auto &event : events) {
		gc_listed_t listed = {};

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
			gc_health_report(health, now, GC_STR_LIT("e1"),
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
		auto steps = *rc::gen::container<std::vector<Step>>(gen_step());
		std::string failure;

		if (!check_configuration(n, seed, steps, &failure))
			RC_FAIL(failure);
	});

	ok &= rc::check("a departing instance is leaving in the next view", [] {
		auto events = *rc::gen::arbitrary<
			std::vector<std::pair<bool, bool>>>();

		RC_ASSERT(check_departures(events));
	});
	return ok ? 0 : 1;
}
