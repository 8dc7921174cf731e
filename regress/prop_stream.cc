/*
 * Guards the decisions of one generation against missing, repeated and mixed
 * tokens, actions after the end, superfluous attempts and runs that nobody
 * ends. Random sequences of events meet a model of engines whose runs are
 * known token by token, and daemons that take the generation over by cursor.
 */
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <glib.h>
#include <talloc.h>

#include <rapidcheck.h>

extern "C" {
#include "core/error.h"
#include "core/stream.h"
}

namespace
{

constexpr uint64_t MAX_TOKENS = 10;
constexpr uint32_t MAX_ATTEMPTS = 4;
constexpr int64_t DEADLINE_MS = 20000;
constexpr int64_t STALL_MS = 300;
constexpr int64_t PAUSE_MS = 250; /* as in core/stream_timer.c */
constexpr int64_t RETRY_MAX_MS = 400; /* between two tries */
/* With frozen engines: the windows of all attempts and the waits between. */
constexpr int64_t GIVE_UP_MS = 8000;
constexpr size_t N_ENGINES = 3;
constexpr uint8_t KEY[GC_FLEET_KEY_LEN] = {7};

struct Run {
	uint64_t uid;
	std::vector<std::string> tokens; /* prefix and own, all of them */
	bool cancelled = false;
	bool ended = false;
	uint32_t attaches = 0;
};

struct Engine {
	std::string name;
	bool alive = true;
	bool frozen = false;
	uint32_t next_id = 1; /* starts anew with the engine: ids repeat */
	std::map<std::string, std::shared_ptr<Run>> runs;
};

struct Attempt {
	size_t engine;
	std::string id; /* run id */
	std::shared_ptr<Run> run;
	bool attach;
	uint64_t next;
	bool open = true; /* neither broken nor cancelled */
	bool accepted = false; /* the run event was sent */
	bool known = false; /* the stream knows the run id */
	bool ended_run = false; /* cancelled with end_run */
	bool cut = false; /* broken as a cut */
	bool silent = false; /* cut or silent, not refused */
	uint32_t attach_number = 0;
};

struct World;

/* A daemon with its stream, and what its caller received from it. */
struct Daemon {
	World *world = nullptr;
	gc_stream_t *stream = nullptr;
	bool connected = true;
	bool in_timer = false;
	bool ended = false; /* finish, fail or caller gone */
	bool finished = false;
	bool failed = false;
	bool has_prefix = false;
	bool resumed = false;
	int code = -1;
	std::vector<std::string> held;
	std::vector<gc_cursor_t> cursors; /* behind each of held */
	std::map<uint32_t, Attempt> attempts;
	uint32_t last_number = 0;
	uint32_t starts = 0;
	bool armed = false;
	int64_t timer_ms = 0;
	uint32_t caller_checks = 0;
	uint64_t delivered_in_event = 0;

	size_t open_attempts() const
	{
		size_t n = 0;
		for (const auto &a : attempts)
			n += a.second.open;
		return n;
	}
};

struct World {
	int64_t now_ms = 1000;
	std::vector<Engine> engines{N_ENGINES};
	std::vector<std::unique_ptr<Daemon>> daemons;
	uint64_t next_uid = 1;
	uint64_t next_pick = 0;
	bool can_pick = true;
	/* Refusals and hang-ups are reported from inside the action. */
	bool nested = false;
	gc_policy_t policy = GC_POLICY_LATENCY;
	TALLOC_CTX *mem = talloc_new(nullptr);
	gc_clock_t clock;

	World();
	~World()
	{
		talloc_free(mem);
	}
	Daemon &caller_daemon()
	{
		return *daemons.back();
	}
};

struct timespec world_now(void *ctx)
{
	int64_t ms = static_cast<World *>(ctx)->now_ms;
	return {ms / 1000, (ms % 1000) * 1000000};
}

World::World()
{
	clock = {world_now, world_now, this};
	for (size_t i = 0; i < N_ENGINES; i++)
		engines[i].name = "e" + std::to_string(i);
}

Daemon *daemon_of(void *ctx)
{
	return static_cast<Daemon *>(ctx);
}

gc_str_t view(const std::string &s)
{
	return {s.data(), s.size()};
}

std::string text(gc_str_t s)
{
	return std::string(s.data, s.len);
}

/* Actions of the stream. */

bool op_pick(void *ctx, const gc_str_t *avoid, size_t n_avoid,
	     char engine[GC_NAME_MAX])
{
	Daemon *d = daemon_of(ctx);
	World *w = d->world;

	RC_ASSERT(!d->ended);
	if (!w->can_pick)
		return false;
	for (size_t k = 0; k < N_ENGINES; k++) {
		const Engine &e = w->engines[(w->next_pick + k) % N_ENGINES];
		bool avoided = false;
		for (size_t i = 0; i < n_avoid; i++)
			avoided |= text(avoid[i]) == e.name;
		if (avoided)
			continue;
		w->next_pick++;
		g_strlcpy(engine, e.name.c_str(), GC_NAME_MAX);
		return true;
	}
	return false;
}

size_t engine_index(World *w, const char *name)
{
	for (size_t i = 0; i < N_ENGINES; i++)
		if (w->engines[i].name == name)
			return i;
	RC_FAIL("unknown engine");
	return 0;
}

void refuse_at_once(Daemon *d, uint32_t number)
{
	GError *err = nullptr;

	d->attempts[number].open = false;
	d->attempts[number].cut = d->open_attempts() == 0;
	gc_error_set(&err, GC_ERR_IO, "connect", nullptr, "refused");
	gc_stream_on_broken(d->stream, number, err);
	g_error_free(err);
}

void open_attempt(Daemon *d, uint32_t number, const Attempt &a)
{
	size_t max = d->world->policy == GC_POLICY_LATENCY ? 2 : 1;

	RC_ASSERT(!d->ended);
	RC_ASSERT(number > d->last_number);
	/* No attempt for a caller that hung up. */
	RC_ASSERT(d->connected);
	RC_ASSERT(d->open_attempts() < max);
	d->last_number = number;
	d->attempts[number] = a;
	if (d->world->nested && !d->world->engines[a.engine].alive)
		refuse_at_once(d, number);
}

void op_start(void *ctx, uint32_t number, const char *engine, uint64_t from)
{
	Daemon *d = daemon_of(ctx);
	Attempt a;

	RC_ASSERT(from == d->held.size());
	RC_ASSERT(from == gc_stream_tokens(d->stream));
	for (uint64_t i = 0; i < from; i++)
		RC_ASSERT(text(gc_stream_token(d->stream, i)) == d->held[i]);
	RC_ASSERT(++d->starts <= MAX_ATTEMPTS);
	/*
	 * The same run is tried again before a start elsewhere: after a cut
	 * always, after silence by the economy policy.
	 */
	if (!d->attempts.empty()) {
		const Attempt &last = d->attempts.rbegin()->second;
		bool economy = d->world->policy == GC_POLICY_ECONOMY;
		if (last.known && !last.attach && d->open_attempts() == 0 &&
		    (last.cut || (economy && last.silent)))
			RC_FAIL("the run was not tried again");
	}
	a.engine = engine_index(d->world, engine);
	a.attach = false;
	a.next = from;
	open_attempt(d, number, a);
}

void op_attach(void *ctx, uint32_t number, const char *engine, const char *run,
	       uint64_t from)
{
	Daemon *d = daemon_of(ctx);
	Attempt a;

	a.engine = engine_index(d->world, engine);
	a.id = run;
	a.attach = true;
	a.known = true;
	a.next = from;
	open_attempt(d, number, a);
}

void op_cancel(void *ctx, uint32_t number, bool end_run)
{
	Daemon *d = daemon_of(ctx);
	RC_ASSERT(d->attempts.count(number) == 1);
	Attempt &a = d->attempts[number];

	RC_ASSERT(a.open || end_run);
	a.open = false;
	a.silent = d->in_timer;
	if (!end_run)
		return;
	RC_ASSERT(!a.ended_run);
	a.ended_run = true;
	/* The engine ignores it when a later attach exists. */
	if (a.run && a.run->attaches == a.attach_number)
		a.run->cancelled = true;
}

void op_deliver(void *ctx, gc_str_t token, const gc_cursor_t *cursor)
{
	Daemon *d = daemon_of(ctx);
	uint64_t hash = 0;

	RC_ASSERT(!d->ended);
	d->held.push_back(text(token));
	d->cursors.push_back(*cursor);
	d->delivered_in_event++;
	RC_ASSERT(d->held.size() <= MAX_TOKENS);
	RC_ASSERT(cursor->offset == d->held.size());
	for (const auto &t : d->held)
		hash = gc_chain_hash(hash, view(t));
	RC_ASSERT(cursor->hash == hash);
	RC_ASSERT(d->attempts.count(cursor->attempt) == 1);
	const Attempt &a = d->attempts[cursor->attempt];
	RC_ASSERT(a.open);
	RC_ASSERT(a.id == cursor->run);
	/* One lineage: the run holds everything delivered so far. */
	RC_ASSERT(a.run->tokens.size() >= d->held.size());
	for (size_t i = 0; i < d->held.size(); i++)
		RC_ASSERT(a.run->tokens[i] == d->held[i]);
	RC_ASSERT(d->open_attempts() == 1U);
	/* The write to the caller may find that it has hung up. */
	if (d->world->nested && !d->connected) {
		d->ended = true;
		gc_stream_on_caller_gone(d->stream);
	}
}

void op_finish(void *ctx, const char *reason)
{
	Daemon *d = daemon_of(ctx);

	RC_ASSERT(!d->ended);
	d->ended = true;
	d->finished = true;
	RC_ASSERT(d->open_attempts() == 0U);
	if (std::string(reason) == "length")
		RC_ASSERT(d->held.size() == MAX_TOKENS);
}

void op_fail(void *ctx, const GError *err)
{
	Daemon *d = daemon_of(ctx);

	RC_ASSERT(!d->ended);
	d->ended = true;
	d->failed = true;
	d->code = err->code;
	RC_ASSERT(d->open_attempts() == 0U);
	switch (err->code) {
	case GC_ERR_LOST:
		RC_ASSERT(d->resumed && !d->has_prefix);
		break;
	case GC_ERR_UNAVAILABLE:
		RC_ASSERT(d->starts == MAX_ATTEMPTS ||
			  d->world->now_ms >= DEADLINE_MS);
		break;
	case GC_ERR_TIMEOUT:
		RC_ASSERT(d->starts == MAX_ATTEMPTS ||
			  d->world->now_ms >= DEADLINE_MS);
		break;
	default:
		RC_FAIL("unexpected error code");
	}
}

bool op_caller_connected(void *ctx)
{
	Daemon *d = daemon_of(ctx);

	RC_ASSERT(!d->ended);
	d->caller_checks++;
	return d->connected;
}

void op_set_timer(void *ctx, const struct timespec *at)
{
	Daemon *d = daemon_of(ctx);

	RC_ASSERT(!d->ended);
	d->armed = at != nullptr;
	if (at)
		d->timer_ms = at->tv_sec * 1000 + at->tv_nsec / 1000000;
}

int64_t op_stall_timeout_ms(void *, const char *, bool first_token)
{
	return first_token ? 2 * STALL_MS : STALL_MS;
}

void op_report(void *ctx, const char *, gc_engine_verdict_t)
{
	RC_ASSERT(!daemon_of(ctx)->ended);
}

const gc_stream_ops_t OPS = {
	op_pick,      op_start,
	op_attach,    op_cancel,
	op_deliver,   op_finish,
	op_fail,      op_caller_connected,
	op_set_timer, op_stall_timeout_ms,
	op_report,
};

/* Events. */

/* What must hold after every event. */
void after_event(Daemon &d)
{
	if (!d.connected && gc_stream_over(d.stream))
		d.ended = true;
	RC_ASSERT(gc_stream_over(d.stream) == d.ended);
	if (d.ended) {
		RC_ASSERT(d.open_attempts() == 0U);
		return;
	}
	RC_ASSERT(d.armed);
	RC_ASSERT(d.timer_ms <= DEADLINE_MS);
	/* Without an attempt, the next try is near. */
	if (d.open_attempts() == 0)
		RC_ASSERT(d.timer_ms <= d.world->now_ms + RETRY_MAX_MS);
	/* No run of an earlier attempt goes on beside the open ones. */
	for (const auto &entry : d.attempts) {
		const Attempt &a = entry.second;
		bool current = false;
		for (const auto &o : d.attempts)
			current |= (o.second.open || o.second.ended_run) &&
				   o.second.engine == a.engine &&
				   o.second.id == a.id;
		if (a.run && a.known && !a.open && !a.attach && !current &&
		    !a.run->ended && a.run->attaches == a.attach_number &&
		    d.world->engines[a.engine].runs.count(a.id) &&
		    d.world->engines[a.engine].runs[a.id] == a.run)
			RC_FAIL("a run is neither used nor cancelled");
	}
}

template <typename Fn> void event(Daemon &d, Fn fn)
{
	d.delivered_in_event = 0;
	fn();
	/* An event yields one token at most. */
	RC_ASSERT(d.delivered_in_event <= 1U);
	after_event(d);
}

void send_broken(Daemon &d, uint32_t number, gc_errcode_t code)
{
	GError *err = nullptr;
	Attempt &a = d.attempts[number];

	a.open = false;
	a.cut = (code == GC_ERR_IO || code == GC_ERR_TIMEOUT) &&
		d.open_attempts() == 0;
	gc_error_set(&err, code, "test", nullptr, "broken");
	event(d, [&] { gc_stream_on_broken(d.stream, number, err); });
	g_error_free(err);
}

void send_token(Daemon &d, uint32_t number, uint64_t offset,
		const std::string &token)
{
	event(d, [&] {
		gc_stream_on_token(d.stream, number, offset, view(token));
	});
}

/* The chain of a new run: the prefix and own tokens that name the run. */
std::shared_ptr<Run> make_run(Daemon &d)
{
	auto run = std::make_shared<Run>();
	uint64_t n = MAX_TOKENS;

	run->uid = d.world->next_uid++;
	run->tokens = d.held;
	/* Some runs stop early. */
	if (run->uid % 4 == 0 && run->tokens.size() < MAX_TOKENS - 2)
		n = MAX_TOKENS - 2;
	for (uint64_t i = run->tokens.size(); i < n; i++)
		run->tokens.push_back("w" + std::to_string(i) + ":" +
				      std::to_string(run->uid) + " ");
	return run;
}

void accept_attempt(Daemon &d, uint32_t number)
{
	Attempt &a = d.attempts[number];
	Engine &e = d.world->engines[a.engine];
	uint64_t from = a.next;
	std::string id;

	if (!a.attach) {
		a.run = make_run(d);
		a.id = e.name + "-" + std::to_string(e.next_id++);
		e.runs[a.id] = a.run;
	} else {
		auto it = e.runs.find(a.id);
		if (it == e.runs.end() || it->second->cancelled) {
			send_broken(d, number, GC_ERR_NOT_FOUND);
			return;
		}
		a.run = it->second;
		a.run->attaches++;
	}
	a.attach_number = a.run->attaches;
	a.accepted = true;
	a.known = true;
	id = a.id;
	event(d, [&] { gc_stream_on_run(d.stream, number, id.c_str(), from); });
}

/* The engine sends the next event of the attempt. */
void step(Daemon &d, uint32_t number)
{
	Attempt &a = d.attempts[number];
	Engine &e = d.world->engines[a.engine];

	if (!a.open || d.ended || e.frozen)
		return;
	if (!e.alive) {
		send_broken(d, number, GC_ERR_IO);
	} else if (!a.accepted) {
		accept_attempt(d, number);
	} else if (a.run->attaches != a.attach_number || a.run->cancelled) {
		/* A later attach ended this stream. */
		send_broken(d, number, GC_ERR_IO);
	} else if (a.next < a.run->tokens.size()) {
		uint64_t offset = a.next++;
		send_token(d, number, offset, a.run->tokens[offset]);
	} else {
		a.run->ended = true;
		uint64_t n = a.run->tokens.size();
		const char *reason = n == MAX_TOKENS ? "length" : "stop";
		event(d,
		      [&] { gc_stream_on_end(d.stream, number, reason, n); });
	}
}

void step_all(Daemon &d)
{
	std::vector<uint32_t> open;

	for (const auto &a : d.attempts)
		if (a.second.open)
			open.push_back(a.first);
	for (uint32_t number : open)
		step(d, number);
}

/* Picks one of the daemon's open attempts; 0 if there is none. */
uint32_t open_attempt_at(const Daemon &d, uint32_t choice)
{
	std::vector<uint32_t> open;

	for (const auto &a : d.attempts)
		if (a.second.open)
			open.push_back(a.first);
	return open.empty() ? 0 : open[choice % open.size()];
}

void fire_timer(Daemon &d)
{
	World &w = *d.world;

	if (d.ended || !d.armed || w.now_ms < d.timer_ms)
		return;
	bool late = w.now_ms - d.timer_ms > PAUSE_MS;
	uint32_t checks = d.caller_checks;
	uint32_t number = d.last_number;
	uint32_t only = d.open_attempts() == 1 ? open_attempt_at(d, 0) : 0;
	/* An attached run that is still compared is no attempt to keep. */
	bool keep = only && d.attempts[only].next >= d.held.size();
	d.armed = false;
	d.in_timer = true;
	event(d, [&] { gc_stream_on_timer(d.stream); });
	d.in_timer = false;
	if (late)
		RC_ASSERT(d.caller_checks > checks);
	if (w.now_ms >= DEADLINE_MS)
		RC_ASSERT(d.ended);
	/* Latency: the suspected attempt stays beside the new one. */
	if (w.policy == GC_POLICY_LATENCY && keep && !d.ended &&
	    d.last_number > number && !d.attempts.rbegin()->second.attach)
		RC_ASSERT(d.attempts[only].open &&
			  (w.nested || d.open_attempts() == 2));
}

void kill_engine(World &w, Engine &e)
{
	e.alive = false;
	e.frozen = false;
	e.runs.clear();
	e.next_id = 1;
	for (auto &d : w.daemons) {
		std::vector<uint32_t> lost;
		for (const auto &a : d->attempts)
			if (a.second.open && &w.engines[a.second.engine] == &e)
				lost.push_back(a.first);
		for (uint32_t number : lost)
			if (!d->ended && d->attempts[number].open)
				send_broken(*d, number, GC_ERR_IO);
	}
}

/* The engine is back, and other requests have got the same run ids. */
void restart_engine(World &w, Engine &e)
{
	std::vector<std::string> ids;

	for (const auto &entry : e.runs)
		ids.push_back(entry.first);
	kill_engine(w, e);
	e.alive = true;
	for (const auto &id : ids) {
		auto run = std::make_shared<Run>();
		run->uid = w.next_uid++;
		for (uint64_t i = 0; i < MAX_TOKENS; i++)
			run->tokens.push_back("other" + std::to_string(i) +
					      ":" + std::to_string(run->uid));
		e.runs[id] = run;
		e.next_id++;
	}
}

Daemon &new_daemon(World &w)
{
	gc_stream_conf_t conf = {};
	auto d = std::make_unique<Daemon>();

	conf.clock = &w.clock;
	conf.policy = w.policy;
	conf.max_tokens = MAX_TOKENS;
	conf.max_attempts = MAX_ATTEMPTS;
	conf.deadline = {DEADLINE_MS / 1000, 0};
	d->world = &w;
	d->stream = gc_stream_create(w.mem, &conf, &OPS, d.get());
	w.daemons.push_back(std::move(d));
	return *w.daemons.back();
}

/* The caller goes to another daemon with the first n tokens. */
void take_over(World &w, uint32_t choice)
{
	Daemon &old = w.caller_daemon();
	size_t n = old.held.size();

	if (n == 0 || old.finished || old.failed)
		return;
	/* The last token may be lost with the old connection. */
	if (choice % 3 == 0 && n > 1 && old.cursors.size() == old.held.size())
		n--;
	gc_cursor_t cursor = old.cursors[n - 1];
	std::vector<std::string> held(old.held.begin(), old.held.begin() + n);
	std::vector<gc_cursor_t> cursors(old.cursors.begin(),
					 old.cursors.begin() + n);
	old.connected = false;
	char *encoded = gc_cursor_encode(w.mem, KEY, &cursor);
	gc_cursor_t decoded;
	RC_ASSERT(gc_cursor_decode(KEY, gc_str(encoded), &decoded, nullptr));
	Daemon &d = new_daemon(w);
	d.held = held;
	d.cursors = cursors;
	d.resumed = true;
	d.last_number = cursor.attempt;
	std::vector<gc_str_t> prefix;
	if (choice % 2 == 0) {
		for (const auto &t : d.held)
			prefix.push_back(view(t));
		d.has_prefix = true;
	}
	/* A prefix that the cursor does not cover must not be used. */
	std::string forged = "forged ";
	if (choice % 10 == 4) {
		prefix.back() = view(forged);
		d.has_prefix = false;
	}
	event(d, [&] {
		gc_stream_resume(d.stream, &decoded, prefix.data(),
				 prefix.size());
	});
}

enum Kind {
	ADVANCE,
	STEP,
	STEPS,
	CUT,
	KILL,
	RESTART,
	REVIVE,
	FREEZE,
	THAW,
	LATE_CHUNK,
	DUPLICATE,
	GAP,
	GARBAGE,
	REFUSE,
	BAD_RUN,
	BAD_END,
	FORGET_RUN,
	PICK_OFF,
	PICK_ON,
	HANG_UP,
	SILENT_HANG_UP,
	TAKE_OVER,
	PAUSE,
	N_KINDS,
};

/* More weight for what drives a generation on. */
const Kind KINDS[] = {
	RESTART,    RESTART,	ADVANCE,
	ADVANCE,    ADVANCE,	ADVANCE,
	STEP,	    STEP,	STEP,
	STEP,	    STEPS,	STEPS,
	STEPS,	    STEPS,	CUT,
	CUT,	    KILL,	KILL,
	REVIVE,	    REVIVE,	FREEZE,
	FREEZE,	    THAW,	THAW,
	LATE_CHUNK, LATE_CHUNK, DUPLICATE,
	DUPLICATE,  GAP,	GARBAGE,
	REFUSE,	    BAD_RUN,	BAD_END,
	FORGET_RUN, PICK_OFF,	PICK_ON,
	PICK_ON,    HANG_UP,	SILENT_HANG_UP,
	TAKE_OVER,  TAKE_OVER,	PAUSE,
};

struct Command {
	Kind kind;
	uint32_t choice;
};

void showValue(const Command &c, std::ostream &os)
{
	static const char *const names[] = {
		"advance",	  "step",      "steps",	    "cut",
		"kill",		  "restart",   "revive",    "freeze",
		"thaw",		  "late",      "duplicate", "gap",
		"garbage",	  "refuse",    "bad run",   "bad end",
		"forget run",	  "pick off",  "pick on",   "hang up",
		"silent hang up", "take over", "pause",
	};
	os << names[c.kind] << " " << c.choice;
}

std::ostream &operator<<(std::ostream &os, const Command &c)
{
	showValue(c, os);
	return os;
}

void send_late_chunk(Daemon &d, uint32_t choice)
{
	d.delivered_in_event = 0;
	/* Chunks of all closed attempts, at the offset that would fit. */
	std::vector<uint32_t> closed;
	for (const auto &a : d.attempts)
		if (!a.second.open && a.second.run)
			closed.push_back(a.first);
	if (closed.empty())
		return;
	uint32_t number = closed[choice % closed.size()];
	const Attempt &a = d.attempts[number];
	uint64_t offset = d.held.size();
	if (choice % 5 == 0) {
		uint64_t n = a.run->tokens.size();
		event(d,
		      [&] { gc_stream_on_end(d.stream, number, "stop", n); });
	} else if (offset < a.run->tokens.size()) {
		send_token(d, number, offset, a.run->tokens[offset]);
	}
	RC_ASSERT(d.delivered_in_event == 0U);
}

void send_wrong_run(Daemon &d, uint32_t number, uint32_t choice)
{
	Attempt &a = d.attempts[number];
	std::string id = a.attach && choice % 2 ? "other" : "e0-77";
	uint64_t from = a.attach && choice % 2 ? a.next : a.next + 1;

	if (a.accepted)
		from = a.next;
	event(d, [&] { gc_stream_on_run(d.stream, number, id.c_str(), from); });
	RC_ASSERT(!a.open);
}

void apply(World &w, const Command &c)
{
	Daemon &d = w.caller_daemon();
	Engine &e = w.engines[c.choice % N_ENGINES];
	uint32_t number = open_attempt_at(d, c.choice);
	bool streaming = number && d.attempts[number].accepted;

	switch (c.kind) {
	case ADVANCE:
		w.now_ms += c.choice % 400;
		for (auto &each : w.daemons)
			fire_timer(*each);
		break;
	case PAUSE:
		w.now_ms += c.choice % 8 ? 300 + c.choice % 2000 : DEADLINE_MS;
		fire_timer(d);
		break;
	case STEP:
		if (number)
			step(d, number);
		break;
	case STEPS:
		for (uint32_t i = 0; i < c.choice % 6; i++)
			step_all(d);
		break;
	case CUT:
		if (number)
			send_broken(d, number,
				    c.choice % 2 ? GC_ERR_IO : GC_ERR_TIMEOUT);
		break;
	case KILL:
		kill_engine(w, e);
		break;
	case RESTART:
		restart_engine(w, e);
		break;
	case REVIVE:
		e.alive = true;
		break;
	case FREEZE:
		e.frozen = true;
		break;
	case THAW:
		e.frozen = false;
		break;
	case LATE_CHUNK:
		if (!d.ended)
			send_late_chunk(d, c.choice);
		else if (!d.attempts.empty())
			send_token(d, d.attempts.rbegin()->first, d.held.size(),
				   "late ");
		break;
	case DUPLICATE:
		if (streaming && d.attempts[number].next > 0) {
			uint64_t offset = c.choice % d.attempts[number].next;
			send_token(d, number, offset,
				   d.attempts[number].run->tokens[offset]);
			RC_ASSERT(d.delivered_in_event == 0U);
		}
		break;
	case GAP:
		if (streaming) {
			send_token(d, number,
				   d.attempts[number].next + 1 + c.choice % 2,
				   "gap ");
			RC_ASSERT(d.delivered_in_event == 0U);
			RC_ASSERT(!d.attempts[number].open);
		}
		break;
	case GARBAGE:
		if (number && c.choice % 2)
			send_broken(d, number, GC_ERR_PROTOCOL);
		else if (number && !streaming) {
			send_token(d, number, d.held.size(), "early ");
			RC_ASSERT(d.delivered_in_event == 0U);
		}
		break;
	case REFUSE:
		if (number && !streaming)
			send_broken(d, number, GC_ERR_OVERLOADED);
		break;
	case BAD_RUN:
		if (number)
			send_wrong_run(d, number, c.choice);
		break;
	case BAD_END:
		if (streaming && d.attempts[number].next < MAX_TOKENS - 2) {
			event(d, [&] {
				gc_stream_on_end(d.stream, number, "length",
						 MAX_TOKENS);
			});
			/* Whole already, if all tokens were held before. */
			RC_ASSERT(!d.finished || d.held.size() == MAX_TOKENS);
		}
		break;
	case FORGET_RUN:
		e.runs.clear();
		break;
	case PICK_OFF:
		w.can_pick = false;
		break;
	case PICK_ON:
		w.can_pick = true;
		break;
	case HANG_UP:
		if (c.choice % 3)
			break;
		d.connected = false;
		d.ended = true;
		event(d, [&] { gc_stream_on_caller_gone(d.stream); });
		break;
	case SILENT_HANG_UP:
		if (c.choice % 3 == 0)
			d.connected = false;
		break;
	case TAKE_OVER:
		take_over(w, c.choice);
		break;
	case N_KINDS:
		break;
	}
}

/*
 * Whatever happened before, every generation ends: before its deadline with
 * healthy engines, and soon when all of them stay frozen.
 */
void drain(World &w, bool frozen)
{
	Daemon &d = w.caller_daemon();
	int64_t until_ms = frozen ? w.now_ms + GIVE_UP_MS : DEADLINE_MS;

	w.can_pick = true;
	for (auto &e : w.engines) {
		e.alive = true;
		e.frozen = frozen;
	}
	while (!d.ended && w.now_ms < until_ms + 100) {
		w.now_ms += 10;
		for (auto &each : w.daemons)
			fire_timer(*each);
		step_all(d);
	}
	RC_ASSERT(d.ended);
	if (!d.finished)
		return;
	RC_ASSERT(d.held.size() == MAX_TOKENS ||
		  d.held.size() == MAX_TOKENS - 2);
}

rc::Gen<Command> command()
{
	return rc::gen::map(
		rc::gen::pair(rc::gen::elementOf(std::vector<Kind>(
				      std::begin(KINDS), std::end(KINDS))),
			      rc::gen::inRange<uint32_t>(0, 10000)),
		[](const std::pair<Kind, uint32_t> &p) {
			return Command{p.first, p.second};
		});
}

void play(gc_policy_t policy, const std::vector<Command> &commands, bool frozen,
	  bool nested)
{
	World w;

	w.policy = policy;
	w.nested = nested;
	Daemon &first = new_daemon(w);
	event(first, [&] { gc_stream_begin(first.stream); });
	for (const auto &c : commands)
		apply(w, c);
	drain(w, frozen);
}

/* A run that is still there is gone on with, and nothing is run again. */
void check_take_over(gc_policy_t policy, uint32_t steps, uint32_t choice)
{
	World w;

	w.policy = policy;
	Daemon &first = new_daemon(w);
	event(first, [&] { gc_stream_begin(first.stream); });
	for (uint32_t i = 0; i < steps; i++)
		step_all(first);
	take_over(w, choice);
	drain(w, false);
	RC_ASSERT(w.caller_daemon().finished);
	RC_ASSERT(w.caller_daemon().starts == (w.daemons.size() > 1 ? 0U : 1U));
}

/* Sequences per test case; 300 cases alone find too few rare orders. */
constexpr int SEQUENCES = 16;

} // namespace

int main()
{
	auto commands = rc::gen::scale(
		2.0, rc::gen::container<std::vector<Command>>(command()));
	bool ok = true;

	for (gc_policy_t policy : {GC_POLICY_LATENCY, GC_POLICY_ECONOMY}) {
		std::string name =
			policy == GC_POLICY_LATENCY ? "latency" : "economy";
		ok &= rc::check("every generation is whole or fails typed (" +
					name + ")",
				[&] {
					for (int i = 0; i < SEQUENCES; i++)
						play(policy, *commands,
						     i % 4 == 0, i % 2 == 1);
				});
		ok &= rc::check(
			"a takeover continues a live run (" + name + ")", [&] {
				check_take_over(policy,
						*rc::gen::inRange(0, 12),
						*rc::gen::inRange(0, 100));
			});
	}
	return ok ? 0 : 1;
}
