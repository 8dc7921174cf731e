/*
 * Events of the model in stream_model.h: engine events, timers, failures and
 * restarts of engines, takeovers by another daemon. Used by prop_stream.cc.
 */
#ifndef GC_REGRESS_STREAM_EVENTS_H
#define GC_REGRESS_STREAM_EVENTS_H

#include "stream_model.h"

namespace model
{

/* Invariants that hold after every event. */
inline void check_invariants(Daemon &d)
{
	if (!d.connected && gc_stream_has_ended(d.stream))
		d.ended = true;
	RC_ASSERT(gc_stream_has_ended(d.stream) == d.ended);
	if (d.ended) {
		RC_ASSERT(d.n_open_attempts() == 0U);
		return;
	}
	RC_ASSERT(d.timer_set);
	RC_ASSERT(d.timer_ms <= DEADLINE_MS);
	/* Without an open attempt, a retry is due soon. */
	if (d.n_open_attempts() == 0)
		RC_ASSERT(d.timer_ms <= d.world->now_ms + RETRY_DELAY_MAX_MS);
	/* No run of an earlier attempt stays active beside the open ones. */
	for (const auto &entry : d.attempts) {
		const Attempt &a = entry.second;
		bool current = false;
		for (const auto &o : d.attempts)
			current |= (o.second.open || o.second.run_cancelled) &&
				   o.second.engine == a.engine &&
				   o.second.id == a.id;
		if (a.run && a.run_known && !a.open && !a.attach && !current &&
		    !a.run->ended && a.run->attaches == a.attach_number &&
		    d.world->engines[a.engine].runs.count(a.id) &&
		    d.world->engines[a.engine].runs[a.id] == a.run)
			RC_FAIL("a run is neither used nor cancelled");
	}
}

template <typename Fn> inline void run_event(Daemon &d, Fn fn)
{
	d.n_delivered_in_event = 0;
	fn();
	/* An event delivers one token at most. */
	RC_ASSERT(d.n_delivered_in_event <= 1U);
	check_invariants(d);
}

inline void send_error(Daemon &d, uint32_t number, gc_errcode_t code)
{
	GError *err = nullptr;
	Attempt &a = d.attempts[number];

	a.open = false;
	a.connection_lost = (code == GC_ERR_IO || code == GC_ERR_TIMEOUT) &&
			    d.n_open_attempts() == 0;
	gc_error_set(&err, code, "test", nullptr, "broken");
	run_event(d, [&] { gc_stream_on_error(d.stream, number, err); });
	g_error_free(err);
}

inline void send_token(Daemon &d, uint32_t number, uint64_t offset,
		       const std::string &token)
{
	run_event(d, [&] {
		gc_stream_on_token(d.stream, number, offset, to_str(token));
	});
}

/*
 * Creates a new run: its tokens are the prefix and produced ones, each of which
 * contains the unique id of the run.
 */
inline std::shared_ptr<Run> make_run(Daemon &d)
{
	auto run = std::make_shared<Run>();
	uint64_t n = MAX_TOKENS;

	run->unique_id = d.world->next_unique_id++;
	run->tokens = d.received;
	/* Some runs end before max_tokens. */
	if (run->unique_id % 4 == 0 && run->tokens.size() < MAX_TOKENS - 2)
		n = MAX_TOKENS - 2;
	for (uint64_t i = run->tokens.size(); i < n; i++)
		run->tokens.push_back("w" + std::to_string(i) + ":" +
				      std::to_string(run->unique_id) + " ");
	return run;
}

inline void accept_attempt(Daemon &d, uint32_t number)
{
	Attempt &a = d.attempts[number];
	Engine &e = d.world->engines[a.engine];
	uint64_t from = a.next_offset;
	std::string id;

	if (!a.attach) {
		a.run = make_run(d);
		a.id = e.name + "-" + std::to_string(e.next_id++);
		e.runs[a.id] = a.run;
	} else {
		auto it = e.runs.find(a.id);
		if (it == e.runs.end() || it->second->cancelled) {
			send_error(d, number, GC_ERR_NOT_FOUND);
			return;
		}
		a.run = it->second;
		a.run->attaches++;
	}
	a.attach_number = a.run->attaches;
	a.accepted = true;
	a.run_known = true;
	id = a.id;
	run_event(d, [&] {
		gc_stream_on_run(d.stream, number, id.c_str(), from);
	});
}

/* The engine sends the next event of the attempt. */
inline void send_next_event(Daemon &d, uint32_t number)
{
	Attempt &a = d.attempts[number];
	Engine &e = d.world->engines[a.engine];

	if (!a.open || d.ended || e.frozen)
		return;
	if (!e.alive) {
		send_error(d, number, GC_ERR_IO);
	} else if (!a.accepted) {
		accept_attempt(d, number);
	} else if (a.run->attaches != a.attach_number || a.run->cancelled) {
		/* A later attachment or a cancellation closed this one. */
		send_error(d, number, GC_ERR_IO);
	} else if (a.next_offset < a.run->tokens.size()) {
		uint64_t offset = a.next_offset++;
		send_token(d, number, offset, a.run->tokens[offset]);
	} else {
		a.run->ended = true;
		uint64_t n = a.run->tokens.size();
		const char *reason = n == MAX_TOKENS ? "length" : "stop";
		run_event(d, [&] {
			gc_stream_on_end(d.stream, number, reason, n);
		});
	}
}

inline void send_next_events(Daemon &d)
{
	std::vector<uint32_t> open;

	for (const auto &a : d.attempts)
		if (a.second.open)
			open.push_back(a.first);
	for (uint32_t number : open)
		send_next_event(d, number);
}

/* Returns the number of one of the open attempts, or 0 if there is none. */
inline uint32_t choose_open_attempt(const Daemon &d, uint32_t choice)
{
	std::vector<uint32_t> open;

	for (const auto &a : d.attempts)
		if (a.second.open)
			open.push_back(a.first);
	return open.empty() ? 0 : open[choice % open.size()];
}

inline void fire_timer(Daemon &d)
{
	World &w = *d.world;

	if (d.ended || !d.timer_set || w.now_ms < d.timer_ms)
		return;
	bool timer_late = w.now_ms - d.timer_ms > PAUSE_THRESHOLD_MS;
	uint32_t checks = d.n_caller_checks;
	uint32_t number = d.last_attempt_number;
	uint32_t sole_attempt =
		d.n_open_attempts() == 1 ? choose_open_attempt(d, 0) : 0;
	/* An attempt that is still being compared may be dropped. */
	bool must_stay_open =
		sole_attempt &&
		d.attempts[sole_attempt].next_offset >= d.received.size();
	d.timer_set = false;
	d.in_timer = true;
	run_event(d, [&] { gc_stream_on_timer(d.stream); });
	d.in_timer = false;
	if (timer_late)
		RC_ASSERT(d.n_caller_checks > checks);
	if (w.now_ms >= DEADLINE_MS)
		RC_ASSERT(d.ended);
	/* Under the latency policy, the stalled attempt stays open. */
	if (w.policy == GC_POLICY_LATENCY && must_stay_open && !d.ended &&
	    d.last_attempt_number > number &&
	    !d.attempts.rbegin()->second.attach)
		RC_ASSERT(d.attempts[sole_attempt].open &&
			  (w.reentrant || d.n_open_attempts() == 2));
}

inline void kill_engine(World &w, Engine &e)
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
				send_error(*d, number, GC_ERR_IO);
	}
}

/* Restarts the engine; other requests then use the same run ids. */
inline void restart_engine(World &w, Engine &e)
{
	std::vector<std::string> ids;

	for (const auto &entry : e.runs)
		ids.push_back(entry.first);
	kill_engine(w, e);
	e.alive = true;
	for (const auto &id : ids) {
		auto run = std::make_shared<Run>();
		run->unique_id = w.next_unique_id++;
		for (uint64_t i = 0; i < MAX_TOKENS; i++)
			run->tokens.push_back("other" + std::to_string(i) +
					      ":" +
					      std::to_string(run->unique_id));
		e.runs[id] = run;
		e.next_id++;
	}
}

inline Daemon &add_daemon(World &w)
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

/* The caller resumes at another daemon, with the cursor of its last token. */
inline void take_over(World &w, uint32_t choice)
{
	Daemon &old = w.caller_daemon();
	size_t n = old.received.size();

	if (n == 0 || old.finished || old.failed)
		return;
	/* The last token may have been lost with the connection. */
	if (choice % 3 == 0 && n > 1 &&
	    old.cursors.size() == old.received.size())
		n--;
	gc_cursor_t cursor = old.cursors[n - 1];
	std::vector<std::string> received(old.received.begin(),
					  old.received.begin() + n);
	std::vector<gc_cursor_t> cursors(old.cursors.begin(),
					 old.cursors.begin() + n);
	old.connected = false;
	char *encoded = gc_cursor_encode(w.mem, KEY, &cursor);
	gc_cursor_t decoded;
	RC_ASSERT(gc_cursor_decode(KEY, gc_str(encoded), &decoded, nullptr));
	Daemon &d = add_daemon(w);
	d.received = received;
	d.cursors = cursors;
	d.resumed = true;
	d.last_attempt_number = cursor.attempt;
	std::vector<gc_str_t> prefix;
	if (choice % 2 == 0) {
		for (const auto &t : d.received)
			prefix.push_back(to_str(t));
		d.has_prefix = true;
	}
	/* A prefix that does not match the cursor must not be used. */
	std::string forged = "forged ";
	if (choice % 10 == 4) {
		prefix.back() = to_str(forged);
		d.has_prefix = false;
	}
	run_event(d, [&] {
		gc_stream_resume(d.stream, &decoded, prefix.data(),
				 prefix.size());
	});
}

} // namespace model

#endif
