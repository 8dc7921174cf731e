/*
 * What happens to the daemons and engines of stream_model.h: events of engines,
 * timers, engines that die and return, takeovers. Used by prop_stream.cc.
 */
#ifndef GC_REGRESS_STREAM_EVENTS_H
#define GC_REGRESS_STREAM_EVENTS_H

#include "stream_model.h"

namespace model
{

/* What must hold after every event. */
inline void after_event(Daemon &d)
{
	if (!d.connected && gc_stream_has_ended(d.stream))
		d.ended = true;
	RC_ASSERT(gc_stream_has_ended(d.stream) == d.ended);
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

template <typename Fn> inline void event(Daemon &d, Fn fn)
{
	d.delivered_in_event = 0;
	fn();
	/* An event yields one token at most. */
	RC_ASSERT(d.delivered_in_event <= 1U);
	after_event(d);
}

inline void send_broken(Daemon &d, uint32_t number, gc_errcode_t code)
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

inline void send_token(Daemon &d, uint32_t number, uint64_t offset,
		       const std::string &token)
{
	event(d, [&] {
		gc_stream_on_token(d.stream, number, offset, view(token));
	});
}

/* The chain of a new run: the prefix and own tokens that name the run. */
inline std::shared_ptr<Run> make_run(Daemon &d)
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

inline void accept_attempt(Daemon &d, uint32_t number)
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
inline void step(Daemon &d, uint32_t number)
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

inline void step_all(Daemon &d)
{
	std::vector<uint32_t> open;

	for (const auto &a : d.attempts)
		if (a.second.open)
			open.push_back(a.first);
	for (uint32_t number : open)
		step(d, number);
}

/* Picks one of the daemon's open attempts; 0 if there is none. */
inline uint32_t open_attempt_at(const Daemon &d, uint32_t choice)
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
				send_broken(*d, number, GC_ERR_IO);
	}
}

/* The engine is back, and other requests have got the same run ids. */
inline void restart_engine(World &w, Engine &e)
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

inline Daemon &new_daemon(World &w)
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
inline void take_over(World &w, uint32_t choice)
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

} // namespace model

#endif
