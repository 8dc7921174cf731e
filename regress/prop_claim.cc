/*
 * Guards against a key that is dispatched twice, a "not run" that ran, a grant
 * that is not in the record, and a caller that waits forever. Several daemons
 * work on one record of a model key-value service that loses answers, applies
 * writes late, has outages and conflicts; daemons pause and die.
 */
#include <cstdio>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "core/claim.h"
#include "core/error.h"
#include <jansson.h>
}

namespace
{

constexpr int kDaemons = 3;
constexpr int kKeys = 4;
constexpr int kBatchMs = 2;
constexpr int kDeadlineMs = 300;
constexpr int kSettleRounds = 4000;

enum Kind {
	kCall,
	kEffect, /* the service applies a daemon's open write */
	kDeliver, /* a daemon gets the answer */
	kDeliverLost, /* a daemon's open call ends without an answer */
	kDeliverLate, /* the same, and the write takes effect later */
	kApplyLate,
	kAdvance,
	kJump,
	kPause,
	kResume,
	kKill,
	kFinish, /* a dispatched action ends */
	kOutage,
	kEnd
};

struct Step {
	int kind;
	int a;
	int b;
};

void showValue(const Step &s, std::ostream &os)
{
	os << "{" << s.kind << "," << s.a << "," << s.b << "}";
}

struct Write {
	uint64_t index;
	std::string value;
};

/* One register with compare-and-swap. */
struct Service {
	uint64_t index = 0;
	uint64_t last = 100;
	std::string value;
	bool outage = false;
	int calls = 0;
	std::vector<Write> late;

	bool apply(const Write &w)
	{
		if (w.index != index)
			return false;
		last += 1 + last % 3;
		index = last;
		value = w.value;
		return true;
	}
};

struct World;

struct Daemon {
	World *world = nullptr;
	int number = 0;
	gc_claim_record_t *record = nullptr;
	bool paused = false;
	enum { kNone, kRead, kWrite } open = kNone;
	Write write;
	bool effected = false;
	bool written = false;
	uint64_t seed = 0;
};

struct Call {
	Daemon *daemon;
	int key;
	gc_claim_t claim;
	struct timespec deadline;
	bool answered = false;
	gc_claim_verdict_t verdict = GC_CLAIM_REFUSED;
	bool running = false;
	bool dead = false; /* its daemon died */
};

[[noreturn]] void fail(const std::string &what)
{
	throw std::runtime_error(what);
}

void expect(bool ok, const char *what)
{
	if (!ok)
		fail(what);
}

uint64_t nextRandom(void *ctx)
{
	auto *d = static_cast<Daemon *>(ctx);

	d->seed = d->seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return d->seed >> 33;
}

struct World {
	Service service;
	Daemon daemons[kDaemons];
	gc_random_t random[kDaemons];
	std::vector<Call *> calls;
	std::map<int, int> dispatched;
	std::map<int, uint64_t> fence;
	std::map<int, int> outcome; /* status by key, once the action ended */
	struct timespec now = {1000, 0};
	int grants = 0;
	int refused = 0;
	bool releases = true; /* some connections are refused */

	World();
	~World();
	World(const World &) = delete;
	World &operator=(const World &) = delete;
	void start(Daemon &d);
	void run(const Step &s);
	void call(Daemon &d, int key);
	void effect(Daemon &d);
	void deliver(Daemon &d, Kind how);
	void answer(Call *c, const gc_claim_answer_t *answer);
	void finish(size_t i);
	void kill(Daemon &d);
	void tick();
	void settle();
	void checkEnd();
	std::string stateOf(const Call &c) const;
};

void onRead(void *ctx, gc_claim_record_t *)
{
	auto *d = static_cast<Daemon *>(ctx);

	expect(d->open == Daemon::kNone, "two calls open for one record");
	d->open = Daemon::kRead;
	d->world->service.calls++;
}

void onWrite(void *ctx, gc_claim_record_t *, uint64_t index, gc_str_t value)
{
	auto *d = static_cast<Daemon *>(ctx);

	expect(d->open == Daemon::kNone, "two calls open for one record");
	d->open = Daemon::kWrite;
	d->write = {index, std::string(value.data, value.len)};
	d->effected = false;
	d->world->service.calls++;
}

void onAnswer(void *ctx, void *claim_ctx, const gc_claim_answer_t *answer)
{
	auto *d = static_cast<Daemon *>(ctx);

	d->world->answer(static_cast<Call *>(claim_ctx), answer);
}

World::World()
{
	for (int i = 0; i < kDaemons; i++) {
		daemons[i].world = this;
		daemons[i].number = i;
		daemons[i].seed = i + 1;
		random[i] = {nextRandom, &daemons[i]};
		start(daemons[i]);
	}
}

World::~World()
{
	for (auto &d : daemons)
		talloc_free(d.record);
	for (auto *c : calls)
		delete c;
}

void World::start(Daemon &d)
{
	const gc_claim_ops_t ops = {onRead, onWrite, onAnswer};

	d.record = gc_claim_record_create(nullptr, "claims/1/1", kBatchMs,
					  &random[d.number], &ops, &d);
	d.open = Daemon::kNone;
	d.paused = false;
}

void World::run(const Step &s)
{
	Daemon &d = daemons[s.a % kDaemons];

	switch (s.kind) {
	case kCall:
		if (!d.paused)
			call(d, s.b % kKeys);
		break;
	case kEffect:
		effect(d);
		break;
	case kDeliver:
	case kDeliverLost:
	case kDeliverLate:
		deliver(d, static_cast<Kind>(s.kind));
		break;
	case kApplyLate:
		if (service.late.empty())
			break;
		{
			size_t i = s.b % service.late.size();

			service.apply(service.late[i]);
			service.late.erase(service.late.begin() + i);
		}
		break;
	case kAdvance:
		now = gc_add_ms(now, s.b % 30);
		break;
	case kJump:
		now = gc_add_ms(now, kDeadlineMs + s.b);
		break;
	case kPause:
		d.paused = true;
		break;
	case kResume:
		d.paused = false;
		break;
	case kKill:
		kill(d);
		break;
	case kFinish:
		finish(s.b);
		break;
	case kOutage:
		service.outage = s.b % 2 == 0;
		break;
	default:
		break;
	}
	tick();
}

void World::call(Daemon &d, int key)
{
	auto *c = new Call{&d, key, {}, gc_add_ms(now, kDeadlineMs)};
	std::string uuid = "key" + std::to_string(key);

	gc_claim_set(&c->claim, GC_STR_LIT("account"), gc_str(uuid.c_str()), 0,
		     GC_STR_LIT("POST /x"));
	gc_claim_set_nonce(&c->claim, calls.size() + 1);
	calls.push_back(c);
	gc_claim_record_claim(d.record, &c->claim, c->deadline, c, now);
}

void World::effect(Daemon &d)
{
	if (d.open != Daemon::kWrite || d.effected || service.outage)
		return;
	d.effected = true;
	d.written = service.apply(d.write);
}

void World::deliver(Daemon &d, Kind how)
{
	auto open = d.open;

	if (d.paused || open == Daemon::kNone)
		return;
	d.open = Daemon::kNone;
	if (open == Daemon::kRead) {
		bool ok = how == kDeliver && !service.outage;
		std::string value = service.value;

		gc_claim_record_read_done(d.record, ok,
					  {value.data(), value.size()},
					  ok ? service.index : 0, now);
		return;
	}
	if (!d.effected && service.outage) {
		gc_claim_record_write_done(d.record, GC_CLAIM_NOT_SENT, now);
		return;
	}
	if (how == kDeliverLate && !d.effected) {
		service.late.push_back(d.write);
		gc_claim_record_write_done(d.record, GC_CLAIM_UNKNOWN, now);
		return;
	}
	if (!d.effected)
		d.written = service.apply(d.write);
	if (how != kDeliver)
		gc_claim_record_write_done(d.record, GC_CLAIM_UNKNOWN, now);
	else
		gc_claim_record_write_done(
			d.record,
			d.written ? GC_CLAIM_WRITTEN : GC_CLAIM_CONFLICT, now);
}

std::string World::stateOf(const Call &c) const
{
	json_t *root = json_loadb(service.value.data(), service.value.size(), 0,
				  nullptr);
	json_t *entry =
		json_object_get(json_object_get(root, "c"), c.claim.key);
	const char *nonce = json_string_value(json_array_get(entry, 0));
	const char *state = json_string_value(json_array_get(entry, 1));
	std::string result =
		nonce && std::string(nonce) == c.claim.nonce ? state : "";

	json_decref(root);
	return result;
}

void World::answer(Call *c, const gc_claim_answer_t *a)
{
	expect(!c->answered, "answered twice");
	c->answered = true;
	c->verdict = a->verdict;
	switch (a->verdict) {
	case GC_CLAIM_GRANTED:
		grants++;
		expect(gc_us_between(now, c->deadline) > 0,
		       "granted after the deadline");
		expect(stateOf(*c) == "c", "granted, but not in the record");
		expect(!fence.count(c->key) || fence[c->key] < a->fence,
		       "fencing number did not grow");
		fence[c->key] = a->fence;
		if (releases &&
		    calls.size() % 4 == 0) { /* connection refused */
			gc_claim_record_release(c->daemon->record, &c->claim,
						now);
			break;
		}
		dispatched[c->key]++;
		expect(dispatched[c->key] == 1, "dispatched twice");
		c->running = true;
		break;
	case GC_CLAIM_KNOWN:
		expect(outcome.count(c->key) && outcome[c->key] == a->status,
		       "wrong outcome");
		break;
	case GC_CLAIM_IN_DOUBT:
		expect(stateOf(*c) != "c", "in doubt about its own claim");
		break;
	case GC_CLAIM_REFUSED:
		refused++;
		expect(!c->running, "refused, but dispatched");
		expect(a->err != nullptr, "refused without a reason");
		break;
	}
}

void World::finish(size_t i)
{
	std::vector<Call *> running;

	for (auto *c : calls)
		if (c->running && !c->dead && !c->daemon->paused)
			running.push_back(c);
	if (running.empty())
		return;
	Call *c = running[i % running.size()];
	std::string body = "\"" + std::to_string(c->key) + "\"";

	c->running = false;
	outcome[c->key] = 200 + c->key;
	gc_claim_record_finish(c->daemon->record, &c->claim, 200 + c->key,
			       gc_str(body.c_str()), now);
}

void World::kill(Daemon &d)
{
	if (d.open == Daemon::kWrite && !d.effected)
		service.late.push_back(d.write);
	for (auto *c : calls)
		c->dead = c->dead || c->daemon == &d;
	talloc_free(d.record);
	start(d);
}

void World::tick()
{
	struct timespec at;

	for (auto &d : daemons)
		if (!d.paused && gc_claim_record_wakeup(d.record, &at) &&
		    gc_us_between(at, now) >= 0)
			gc_claim_record_tick(d.record, now);
}

/* The service answers again and no daemon is paused. */
void World::settle()
{
	service.outage = false;
	for (auto &d : daemons)
		d.paused = false;
	for (int i = 0; i < kSettleRounds; i++) {
		bool idle = true;

		for (auto &d : daemons) {
			deliver(d, kDeliver);
			idle = idle && gc_claim_record_idle(d.record);
		}
		if (idle)
			break;
		now = gc_add_ms(now, 3);
		tick();
	}
}

void World::checkEnd()
{
	/* What arrives now must find that the record has moved on. */
	for (const auto &w : service.late)
		service.apply(w);
	for (auto &d : daemons)
		expect(gc_claim_record_idle(d.record), "never idle");
	for (auto *c : calls) {
		if (c->dead)
			continue;
		expect(c->answered, "waits forever");
		if (c->verdict == GC_CLAIM_REFUSED)
			expect(stateOf(*c) != "c",
			       "refused, but still holds the key");
		if (c->verdict == GC_CLAIM_GRANTED && c->running)
			expect(stateOf(*c) == "c", "a running claim was lost");
	}
	for (const auto &o : outcome) {
		bool stored = false;
		bool dead = false;

		for (auto *c : calls) {
			stored = stored ||
				 (c->key == o.first && stateOf(*c) == "d");
			dead = dead || (c->key == o.first && c->dead);
		}
		expect(stored || dead, "an outcome was lost");
	}
}

rc::Gen<Step> genStep()
{
	return rc::gen::build<Step>(
		rc::gen::set(&Step::kind,
			     rc::gen::weightedElement<int>({{8, kCall},
							    {4, kEffect},
							    {10, kDeliver},
							    {4, kDeliverLost},
							    {5, kDeliverLate},
							    {3, kApplyLate},
							    {8, kAdvance},
							    {2, kJump},
							    {1, kPause},
							    {2, kResume},
							    {1, kKill},
							    {3, kFinish},
							    {1, kOutage}})),
		rc::gen::set(&Step::a, rc::gen::inRange(0, kDaemons)),
		rc::gen::set(&Step::b, rc::gen::inRange(0, 60)));
}

bool actionsTakeEffectAtMostOnce()
{
	return rc::check("a key is dispatched at most once", [] {
		const auto steps = *rc::gen::scale(
			4.0, rc::gen::container<std::vector<Step>>(genStep()));
		World world;

		for (const auto &s : steps)
			world.run(s);
		world.settle();
		world.checkEnd();
		RC_TAG(world.grants > 1 ? "grants" : "at most one grant",
		       world.refused > 0 ? "refusals" : "no refusal");
	});
}

/* Guards against a write per claim: the service's rate is the limit. */
bool batchesShareCalls()
{
	return rc::check("claims of one batch share one read and one write",
			 [] {
				 const int n = *rc::gen::inRange(1, 60);
				 World together;
				 World apart;

				 together.releases = apart.releases = false;
				 for (int i = 0; i < n; i++)
					 together.call(together.daemons[0], i);
				 together.settle();
				 for (int i = 0; i < n; i++) {
					 apart.call(apart.daemons[0], i);
					 apart.settle();
				 }
				 RC_ASSERT(together.grants == n);
				 RC_ASSERT(apart.grants == n);
				 RC_ASSERT(together.service.calls == 2);
				 RC_ASSERT(apart.service.calls == 2 * n);
			 });
}

} // namespace

int main()
{
	bool ok = actionsTakeEffectAtMostOnce();

	ok = batchesShareCalls() && ok;
	return ok ? 0 : 1;
}
