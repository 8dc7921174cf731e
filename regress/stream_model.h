/*
 * A model of engines whose runs are known token by token, and of daemons whose
 * callers know what they received. Used by prop_stream.cc (C++ only).
 */
#ifndef GC_REGRESS_STREAM_MODEL_H
#define GC_REGRESS_STREAM_MODEL_H

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

namespace model
{

constexpr uint64_t MAX_TOKENS = 10;
constexpr uint32_t MAX_ATTEMPTS = 4;
constexpr int64_t DEADLINE_MS = 20000;
constexpr int64_t STALL_MS = 300;
constexpr int64_t PAUSE_MS = 250; /* as in core/stream_timer.c */
constexpr int64_t RETRY_MAX_MS = 400; /* between two tries */
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

inline struct timespec world_now(void *ctx)
{
	int64_t ms = static_cast<World *>(ctx)->now_ms;
	return {ms / 1000, (ms % 1000) * 1000000};
}

inline World::World()
{
	clock = {world_now, world_now, this};
	for (size_t i = 0; i < N_ENGINES; i++)
		engines[i].name = "e" + std::to_string(i);
}

inline Daemon *daemon_of(void *ctx)
{
	return static_cast<Daemon *>(ctx);
}

inline gc_str_t view(const std::string &s)
{
	return {s.data(), s.size()};
}

inline std::string text(gc_str_t s)
{
	return std::string(s.data, s.len);
}

/*
 * Actions of the stream. Each asserts what must hold whenever it is called.
 */

inline bool op_pick(void *ctx, const gc_str_t *avoid, size_t n_avoid,
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

inline size_t engine_index(World *w, const char *name)
{
	for (size_t i = 0; i < N_ENGINES; i++)
		if (w->engines[i].name == name)
			return i;
	RC_FAIL("unknown engine");
	return 0;
}

inline void refuse_at_once(Daemon *d, uint32_t number)
{
	GError *err = nullptr;

	d->attempts[number].open = false;
	d->attempts[number].cut = d->open_attempts() == 0;
	gc_error_set(&err, GC_ERR_IO, "connect", nullptr, "refused");
	gc_stream_on_broken(d->stream, number, err);
	g_error_free(err);
}

inline void open_attempt(Daemon *d, uint32_t number, const Attempt &a)
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

inline void op_start(void *ctx, uint32_t number, const char *engine,
		     uint64_t from)
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

inline void op_attach(void *ctx, uint32_t number, const char *engine,
		      const char *run, uint64_t from)
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

inline void op_cancel(void *ctx, uint32_t number, bool end_run)
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

inline void op_deliver(void *ctx, gc_str_t token, const gc_cursor_t *cursor)
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
		hash = gc_token_hash_update(hash, view(t));
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

inline void op_finish(void *ctx, const char *reason)
{
	Daemon *d = daemon_of(ctx);

	RC_ASSERT(!d->ended);
	d->ended = true;
	d->finished = true;
	RC_ASSERT(d->open_attempts() == 0U);
	if (std::string(reason) == "length")
		RC_ASSERT(d->held.size() == MAX_TOKENS);
}

inline void op_fail(void *ctx, const GError *err)
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

inline bool op_caller_connected(void *ctx)
{
	Daemon *d = daemon_of(ctx);

	RC_ASSERT(!d->ended);
	d->caller_checks++;
	return d->connected;
}

inline void op_set_timer(void *ctx, const struct timespec *at)
{
	Daemon *d = daemon_of(ctx);

	RC_ASSERT(!d->ended);
	d->armed = at != nullptr;
	if (at)
		d->timer_ms = at->tv_sec * 1000 + at->tv_nsec / 1000000;
}

inline int64_t op_stall_timeout_ms(void *, const char *, bool first_token)
{
	return first_token ? 2 * STALL_MS : STALL_MS;
}

inline void op_report(void *ctx, const char *, gc_engine_verdict_t)
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

} // namespace model

#endif
