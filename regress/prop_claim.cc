/*
 * Properties of claims: a key is dispatched at most once, a refused claim was
 * not dispatched, a granted claim is in the record, and every claim is
 * answered. Several daemons share one record in a simulated key-value service
 * that loses results, applies writes late, has outages and conflicts; daemons
 * pause and crash.
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
	kApplyWrite, /* the service applies a daemon's write */
	kDeliverResult, /* a daemon gets the result of its call */
	kLoseResult, /* a daemon's call ends without a result */
	kLoseResultApplyLater, /* the same, and the write is applied later */
	kApplyLateWrite,
	kAdvance,
	kAdvancePastDeadline,
	kPause,
	kResume,
	kKill,
	kFinish, /* a dispatched action completes */
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

struct Simulation;

struct Daemon {
	Simulation *simulation = nullptr;
	int number = 0;
	gc_claim_record_t *record = nullptr;
	bool paused = false;
	enum { kNone, kRead, kWrite } inFlight = kNone;
	Write write;
	bool applied = false;
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
	bool killed = false; /* its daemon was killed */
};

[[noreturn]] void fail(const std::string &what)
{
	throw std::runtime_error(what);
}

void require(bool ok, const char *what)
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

struct Simulation {
	Service service;
	Daemon daemons[kDaemons];
	gc_random_t random[kDaemons];
	std::vector<Call *> calls;
	std::map<int, int> dispatched;
	std::map<int, uint64_t> fence;
	std::map<int, int> outcome; /* status by key, of completed actions */
	struct timespec now = {1000, 0};
	int grants = 0;
	int refused = 0;
	bool releases = true; /* some granted claims are released */

	Simulation();
	~Simulation();
	Simulation(const Simulation &) = delete;
	Simulation &operator=(const Simulation &) = delete;
	void start(Daemon &d);
	void run(const Step &s);
	void call(Daemon &d, int key);
	void applyWrite(Daemon &d);
	void deliver(Daemon &d, Kind how);
	void answer(Call *c, const gc_claim_answer_t *answer);
	void finish(size_t i);
	void kill(Daemon &d);
	void tick();
	void settle();
	void checkEnd();
	std::string storedState(const Call &c) const;
};

void onRead(void *ctx, gc_claim_record_t *)
{
	auto *d = static_cast<Daemon *>(ctx);

	require(d->inFlight == Daemon::kNone,
		"two calls in flight for one record");
	d->inFlight = Daemon::kRead;
	d->simulation->service.calls++;
}

void onWrite(void *ctx, gc_claim_record_t *, uint64_t index, gc_str_t value)
{
	auto *d = static_cast<Daemon *>(ctx);

	require(d->inFlight == Daemon::kNone,
		"two calls in flight for one record");
	d->inFlight = Daemon::kWrite;
	d->write = {index, std::string(value.data, value.len)};
	d->applied = false;
	d->simulation->service.calls++;
}

void onAnswer(void *ctx, void *claim_ctx, const gc_claim_answer_t *answer)
{
	auto *d = static_cast<Daemon *>(ctx);

	d->simulation->answer(static_cast<Call *>(claim_ctx), answer);
}

Simulation::Simulation()
{
	for (int i = 0; i < kDaemons; i++) {
		daemons[i].simulation = this;
		daemons[i].number = i;
		daemons[i].seed = i + 1;
		random[i] = {nextRandom, &daemons[i]};
		start(daemons[i]);
	}
}

Simulation::~Simulation()
{
	for (auto &d : daemons)
		talloc_free(d.record);
	for (auto *c : calls)
		delete c;
}

void Simulation::start(Daemon &d)
{
	const gc_claim_ops_t ops = {onRead, onWrite, onAnswer};

	d.record = gc_claim_record_create(nullptr, "claims/1/1", kBatchMs,
					  &random[d.number], &ops, &d);
	d.inFlight = Daemon::kNone;
	d.paused = false;
}

void Simulation::run(const Step &s)
{
	Daemon &d = daemons[s.a % kDaemons];

	switch (s.kind) {
	case kCall:
		if (!d.paused)
			call(d, s.b % kKeys);
		break;
	case kApplyWrite:
		applyWrite(d);
		break;
	case kDeliverResult:
	case kLoseResult:
	case kLoseResultApplyLater:
		deliver(d, static_cast<Kind>(s.kind));
		break;
	case kApplyLateWrite:
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
	case kAdvancePastDeadline:
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

void Simulation::call(Daemon &d, int key)
{
	auto *c = new Call{&d, key, {}, gc_add_ms(now, kDeadlineMs)};
	std::string uuid = "key" + std::to_string(key);

	gc_claim_init(&c->claim, GC_STR_LIT("account"), gc_str(uuid.c_str()), 0,
		      GC_STR_LIT("POST /x"));
	gc_claim_set_nonce(&c->claim, calls.size() + 1);
	calls.push_back(c);
	gc_claim_record_claim(d.record, &c->claim, c->deadline, c, now);
}

void Simulation::applyWrite(Daemon &d)
{
	if (d.inFlight != Daemon::kWrite || d.applied || service.outage)
		return;
	d.applied = true;
	d.written = service.apply(d.write);
}

void Simulation::deliver(Daemon &d, Kind how)
{
	auto inFlight = d.inFlight;

	if (d.paused || inFlight == Daemon::kNone)
		return;
	d.inFlight = Daemon::kNone;
	if (inFlight == Daemon::kRead) {
		bool ok = how == kDeliverResult && !service.outage;
		std::string value = service.value;

		gc_claim_record_read_done(d.record, ok,
					  {value.data(), value.size()},
					  ok ? service.index : 0, now);
		return;
	}
	if (!d.applied && service.outage) {
		gc_claim_record_write_done(d.record, GC_CLAIM_WRITE_NOT_SENT,
					   now);
		return;
	}
	if (how == kLoseResultApplyLater && !d.applied) {
		service.late.push_back(d.write);
		gc_claim_record_write_done(d.record, GC_CLAIM_WRITE_UNKNOWN,
					   now);
		return;
	}
	if (!d.applied)
		d.written = service.apply(d.write);
	if (how != kDeliverResult)
		gc_claim_record_write_done(d.record, GC_CLAIM_WRITE_UNKNOWN,
					   now);
	else
		gc_claim_record_write_done(d.record,
					   d.written ? GC_CLAIM_WRITE_OK
						     : GC_CLAIM_WRITE_CONFLICT,
					   now);
}

std::string Simulation::storedState(const Call &c) const
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

void Simulation::answer(Call *c, const gc_claim_answer_t *a)
{
	require(!c->answered, "answered twice");
	c->answered = true;
	c->verdict = a->verdict;
	switch (a->verdict) {
	case GC_CLAIM_GRANTED:
		grants++;
		require(gc_us_between(now, c->deadline) > 0,
			"granted after the deadline");
		require(storedState(*c) == "c",
			"granted, but not in the record");
		require(!fence.count(c->key) || fence[c->key] < a->fence,
			"fencing token did not grow");
		fence[c->key] = a->fence;
		/* As if the backend server refused the connection. */
		if (releases && calls.size() % 4 == 0) {
			gc_claim_record_release(c->daemon->record, &c->claim,
						now);
			break;
		}
		dispatched[c->key]++;
		require(dispatched[c->key] == 1, "dispatched twice");
		c->running = true;
		break;
	case GC_CLAIM_COMPLETED:
		require(outcome.count(c->key) && outcome[c->key] == a->status,
			"wrong outcome");
		break;
	case GC_CLAIM_IN_DOUBT:
		require(storedState(*c) != "c",
			"in doubt, but the entry is its own claim");
		break;
	case GC_CLAIM_REFUSED:
		refused++;
		require(!c->running, "refused, but dispatched");
		require(a->err != nullptr, "refused without an error");
		break;
	}
}

void Simulation::finish(size_t i)
{
	std::vector<Call *> running;

	for (auto *c : calls)
		if (c->running && !c->killed && !c->daemon->paused)
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

void Simulation::kill(Daemon &d)
{
	if (d.inFlight == Daemon::kWrite && !d.applied)
		service.late.push_back(d.write);
	for (auto *c : calls)
		c->killed = c->killed || c->daemon == &d;
	talloc_free(d.record);
	start(d);
}

void Simulation::tick()
{
	struct timespec at;

	for (auto &d : daemons)
		if (!d.paused && gc_claim_record_wakeup(d.record, &at) &&
		    gc_us_between(at, now) >= 0)
			gc_claim_record_tick(d.record, now);
}

/* Ends outages and pauses and runs until all records are idle. */
void Simulation::settle()
{
	service.outage = false;
	for (auto &d : daemons)
		d.paused = false;
	for (int i = 0; i < kSettleRounds; i++) {
		bool idle = true;

		for (auto &d : daemons) {
			deliver(d, kDeliverResult);
			idle = idle && gc_claim_record_idle(d.record);
		}
		if (idle)
			break;
		now = gc_add_ms(now, 3);
		tick();
	}
}

void Simulation::checkEnd()
{
	/* Late writes must conflict with the record's index by now. */
	for (const auto &w : service.late)
		service.apply(w);
	for (auto &d : daemons)
		require(gc_claim_record_idle(d.record),
			"record never becomes idle");
	for (auto *c : calls) {
		if (c->killed)
			continue;
		require(c->answered, "claim was never answered");
		if (c->verdict == GC_CLAIM_REFUSED)
			require(storedState(*c) != "c",
				"refused, but its claim is in the record");
		if (c->verdict == GC_CLAIM_GRANTED && c->running)
			require(storedState(*c) == "c",
				"the claim of a running action was lost");
	}
	for (const auto &o : outcome) {
		bool stored = false;
		bool killed = false;

		for (auto *c : calls) {
			stored = stored ||
				 (c->key == o.first && storedState(*c) == "d");
			killed = killed || (c->key == o.first && c->killed);
		}
		require(stored || killed, "an outcome was lost");
	}
}

rc::Gen<Step> genStep()
{
	return rc::gen::build<Step>(
		rc::gen::set(&Step::kind, rc::gen::weightedElement<int>(
						  {{8, kCall},
						   {4, kApplyWrite},
						   {10, kDeliverResult},
						   {4, kLoseResult},
						   {5, kLoseResultApplyLater},
						   {3, kApplyLateWrite},
						   {8, kAdvance},
						   {2, kAdvancePastDeadline},
						   {1, kPause},
						   {2, kResume},
						   {1, kKill},
						   {3, kFinish},
						   {1, kOutage}})),
		rc::gen::set(&Step::a, rc::gen::inRange(0, kDaemons)),
		rc::gen::set(&Step::b, rc::gen::inRange(0, 60)));
}

bool keysAreDispatchedAtMostOnce()
{
	return rc::check("a key is dispatched at most once", [] {
		const auto steps = *rc::gen::scale(
			4.0, rc::gen::container<std::vector<Step>>(genStep()));
		Simulation simulation;

		for (const auto &s : steps)
			simulation.run(s);
		simulation.settle();
		simulation.checkEnd();
		RC_TAG(simulation.grants > 1 ? "grants" : "at most one grant",
		       simulation.refused > 0 ? "refusals" : "no refusal");
	});
}

/* The service's request rate is limited: a batch must not write per claim. */
bool batchesShareCalls()
{
	return rc::check("claims of one batch share one read and one write",
			 [] {
				 const int n = *rc::gen::inRange(1, 60);
				 Simulation together;
				 Simulation apart;

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
	bool ok = keysAreDispatchedAtMostOnce();

	ok = batchesShareCalls() && ok;
	return ok ? 0 : 1;
}
