/*
 * Model of engines and daemons for prop_stream.cc (C++ only): the tokens of
 * each run and those that the caller of each daemon received are known.
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
constexpr int64_t STALL_TIMEOUT_MS = 300;
constexpr int64_t PAUSE_THRESHOLD_MS = 250; /* as in core/stream_timer.c */
constexpr int64_t RETRY_DELAY_MAX_MS = 400; /* as in core/stream_attempt.c */
constexpr size_t N_ENGINES = 3;
constexpr uint8_t KEY[GC_FLEET_KEY_LEN] = {7};

struct Run {
	uint64_t unique_id;
	std::vector<std::string> tokens; /* prefix and produced ones */
	bool cancelled = false;
	bool ended = false;
	uint32_t attaches = 0;
};

struct Engine {
	std::string name;
	bool alive = true;
	bool frozen = false;
	uint32_t next_id = 1; /* reset by a restart, so run ids repeat */
	std::map<std::string, std::shared_ptr<Run>> runs;
};

struct Attempt {
	size_t engine;
	std::string id; /* run id */
	std::shared_ptr<Run> run;
	bool attach;
	uint64_t next_offset;
	bool open = true; /* neither failed nor cancelled */
	bool accepted = false; /* the run event was sent */
	bool run_known = false; /* the stream knows the run id */
	bool run_cancelled = false; /* cancelled with end_run */
	bool connection_lost = false; /* while no other attempt was open */
	bool cancelled_by_timer = false; /* cancelled in gc_stream_on_timer */
	uint32_t attach_number = 0;
};

struct World;

/* A daemon with one stream, and what its caller received from it. */
struct Daemon {
	World *world = nullptr;
	gc_stream_t *stream = nullptr;
	bool connected = true;
	bool in_timer = false;
	bool ended = false; /* finished, failed or caller disconnected */
	bool finished = false;
	bool failed = false;
	bool has_prefix = false;
	bool resumed = false;
	int code = -1;
	std::vector<std::string> received;
	std::vector<gc_cursor_t> cursors; /* of each received token */
	std::map<uint32_t, Attempt> attempts;
	uint32_t last_attempt_number = 0;
	uint32_t n_runs_started = 0;
	bool timer_set = false;
	int64_t timer_ms = 0;
	uint32_t n_caller_checks = 0;
	uint64_t n_delivered_in_event = 0;

	size_t n_open_attempts() const
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
	uint64_t next_unique_id = 1;
	uint64_t next_pick = 0;
	bool engine_available = true;
	/* Connection errors and disconnects are reported inside an action. */
	bool reentrant = false;
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

inline gc_str_t to_str(const std::string &s)
{
	return {s.data(), s.size()};
}

inline std::string to_string(gc_str_t s)
{
	return std::string(s.data, s.len);
}

/* Actions of the stream. Each asserts what must hold when it is called. */

inline bool op_pick(void *ctx, const gc_str_t *avoid, size_t n_avoid,
		    char engine[GC_NAME_MAX])
{
	Daemon *d = daemon_of(ctx);
	World *w = d->world;

	RC_ASSERT(!d->ended);
	if (!w->engine_available)
		return false;
	for (size_t k = 0; k < N_ENGINES; k++) {
		const Engine &e = w->engines[(w->next_pick + k) % N_ENGINES];
		bool avoided = false;
		for (size_t i = 0; i < n_avoid; i++)
			avoided |= to_string(avoid[i]) == e.name;
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

inline void fail_synchronously(Daemon *d, uint32_t number)
{
	GError *err = nullptr;

	d->attempts[number].open = false;
	d->attempts[number].connection_lost = d->n_open_attempts() == 0;
	gc_error_set(&err, GC_ERR_IO, "connect", nullptr, "refused");
	gc_stream_on_error(d->stream, number, err);
	g_error_free(err);
}

inline void add_attempt(Daemon *d, uint32_t number, const Attempt &a)
{
	size_t max = d->world->policy == GC_POLICY_LATENCY ? 2 : 1;

	RC_ASSERT(!d->ended);
	RC_ASSERT(number > d->last_attempt_number);
	/* No attempt is made for a caller that has disconnected. */
	RC_ASSERT(d->connected);
	RC_ASSERT(d->n_open_attempts() < max);
	d->last_attempt_number = number;
	d->attempts[number] = a;
	if (d->world->reentrant && !d->world->engines[a.engine].alive)
		fail_synchronously(d, number);
}

inline void op_start(void *ctx, uint32_t number, const char *engine,
		     uint64_t from)
{
	Daemon *d = daemon_of(ctx);
	Attempt a;

	RC_ASSERT(from == d->received.size());
	RC_ASSERT(from == gc_stream_token_count(d->stream));
	for (uint64_t i = 0; i < from; i++)
		RC_ASSERT(to_string(gc_stream_token(d->stream, i)) ==
			  d->received[i]);
	RC_ASSERT(++d->n_runs_started <= MAX_ATTEMPTS);
	/*
	 * Before a run is started on another engine, the last run must have
	 * been reattached to: after a lost connection always, after a stall
	 * under the economy policy.
	 */
	if (!d->attempts.empty()) {
		const Attempt &last = d->attempts.rbegin()->second;
		bool economy = d->world->policy == GC_POLICY_ECONOMY;
		if (last.run_known && !last.attach &&
		    d->n_open_attempts() == 0 &&
		    (last.connection_lost ||
		     (economy && last.cancelled_by_timer)))
			RC_FAIL("the run was not reattached to");
	}
	a.engine = engine_index(d->world, engine);
	a.attach = false;
	a.next_offset = from;
	add_attempt(d, number, a);
}

inline void op_attach(void *ctx, uint32_t number, const char *engine,
		      const char *run, uint64_t from)
{
	Daemon *d = daemon_of(ctx);
	Attempt a;

	a.engine = engine_index(d->world, engine);
	a.id = run;
	a.attach = true;
	a.run_known = true;
	a.next_offset = from;
	add_attempt(d, number, a);
}

inline void op_cancel(void *ctx, uint32_t number, bool end_run)
{
	Daemon *d = daemon_of(ctx);
	RC_ASSERT(d->attempts.count(number) == 1);
	Attempt &a = d->attempts[number];

	RC_ASSERT(a.open || end_run);
	a.open = false;
	a.cancelled_by_timer = d->in_timer;
	if (!end_run)
		return;
	RC_ASSERT(!a.run_cancelled);
	a.run_cancelled = true;
	/* The engine ignores the cancellation after a later attachment. */
	if (a.run && a.run->attaches == a.attach_number)
		a.run->cancelled = true;
}

inline void op_deliver(void *ctx, gc_str_t token, const gc_cursor_t *cursor)
{
	Daemon *d = daemon_of(ctx);
	uint64_t hash = 0;

	RC_ASSERT(!d->ended);
	d->received.push_back(to_string(token));
	d->cursors.push_back(*cursor);
	d->n_delivered_in_event++;
	RC_ASSERT(d->received.size() <= MAX_TOKENS);
	RC_ASSERT(cursor->offset == d->received.size());
	for (const auto &t : d->received)
		hash = gc_token_hash_update(hash, to_str(t));
	RC_ASSERT(cursor->hash == hash);
	RC_ASSERT(d->attempts.count(cursor->attempt) == 1);
	const Attempt &a = d->attempts[cursor->attempt];
	RC_ASSERT(a.open);
	RC_ASSERT(a.id == cursor->run);
	/* All tokens come from one run: it contains everything delivered. */
	RC_ASSERT(a.run->tokens.size() >= d->received.size());
	for (size_t i = 0; i < d->received.size(); i++)
		RC_ASSERT(a.run->tokens[i] == d->received[i]);
	RC_ASSERT(d->n_open_attempts() == 1U);
	/* The write to the caller may detect that it has disconnected. */
	if (d->world->reentrant && !d->connected) {
		d->ended = true;
		gc_stream_on_caller_disconnected(d->stream);
	}
}

inline void op_finish(void *ctx, const char *reason)
{
	Daemon *d = daemon_of(ctx);

	RC_ASSERT(!d->ended);
	d->ended = true;
	d->finished = true;
	RC_ASSERT(d->n_open_attempts() == 0U);
	if (std::string(reason) == "length")
		RC_ASSERT(d->received.size() == MAX_TOKENS);
}

inline void op_fail(void *ctx, const GError *err)
{
	Daemon *d = daemon_of(ctx);

	RC_ASSERT(!d->ended);
	d->ended = true;
	d->failed = true;
	d->code = err->code;
	RC_ASSERT(d->n_open_attempts() == 0U);
	switch (err->code) {
	case GC_ERR_LOST:
		RC_ASSERT(d->resumed && !d->has_prefix);
		break;
	case GC_ERR_UNAVAILABLE:
		RC_ASSERT(d->n_runs_started == MAX_ATTEMPTS ||
			  d->world->now_ms >= DEADLINE_MS);
		break;
	case GC_ERR_TIMEOUT:
		RC_ASSERT(d->n_runs_started == MAX_ATTEMPTS ||
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
	d->n_caller_checks++;
	return d->connected;
}

inline void op_set_timer(void *ctx, const struct timespec *at)
{
	Daemon *d = daemon_of(ctx);

	RC_ASSERT(!d->ended);
	d->timer_set = at != nullptr;
	if (at)
		d->timer_ms = at->tv_sec * 1000 + at->tv_nsec / 1000000;
}

inline int64_t op_stall_timeout_ms(void *, const char *, bool first_token)
{
	return first_token ? 2 * STALL_TIMEOUT_MS : STALL_TIMEOUT_MS;
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
