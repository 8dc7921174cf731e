/*
 * Guards gc_stream_t against missing and repeated tokens, tokens of different
 * runs, actions after the end, needless attempts and runs that are never
 * cancelled. Applies random sequences of events to a model of engines and of
 * daemons that take over the generation by its cursor.
 */
#include <iterator>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "stream_events.h"

namespace model
{

/*
 * Bounds the time to failure if all engines stay frozen: the stall timeouts of
 * all attempts and the delays between them.
 */
constexpr int64_t FROZEN_FAILURE_MS = 8000;

enum Kind {
	ADVANCE,
	NEXT_EVENT,
	NEXT_EVENTS,
	LOSE_CONNECTION,
	KILL,
	RESTART,
	REVIVE,
	FREEZE,
	UNFREEZE,
	LATE_EVENT,
	DUPLICATE,
	GAP,
	PROTOCOL_ERROR,
	REFUSE,
	WRONG_RUN,
	WRONG_END,
	FORGET_RUN,
	NO_ENGINE,
	ENGINES_AVAILABLE,
	DISCONNECT,
	UNREPORTED_DISCONNECT,
	TAKE_OVER,
	PAUSE,
	N_KINDS,
};

/* Repeated entries weight the choice towards events that make progress. */
const Kind KINDS[] = {
	RESTART,
	RESTART,
	ADVANCE,
	ADVANCE,
	ADVANCE,
	ADVANCE,
	NEXT_EVENT,
	NEXT_EVENT,
	NEXT_EVENT,
	NEXT_EVENT,
	NEXT_EVENTS,
	NEXT_EVENTS,
	NEXT_EVENTS,
	NEXT_EVENTS,
	LOSE_CONNECTION,
	LOSE_CONNECTION,
	KILL,
	KILL,
	REVIVE,
	REVIVE,
	FREEZE,
	FREEZE,
	UNFREEZE,
	UNFREEZE,
	LATE_EVENT,
	LATE_EVENT,
	DUPLICATE,
	DUPLICATE,
	GAP,
	PROTOCOL_ERROR,
	REFUSE,
	WRONG_RUN,
	WRONG_END,
	FORGET_RUN,
	NO_ENGINE,
	ENGINES_AVAILABLE,
	ENGINES_AVAILABLE,
	DISCONNECT,
	UNREPORTED_DISCONNECT,
	TAKE_OVER,
	TAKE_OVER,
	PAUSE,
};

struct Command {
	Kind kind;
	uint32_t choice;
};

void showValue(const Command &c, std::ostream &os)
{
	static const char *const names[] = {
		"advance",
		"next event",
		"next events",
		"lose connection",
		"kill",
		"restart",
		"revive",
		"freeze",
		"unfreeze",
		"late event",
		"duplicate",
		"gap",
		"protocol error",
		"refuse",
		"wrong run",
		"wrong end",
		"forget run",
		"no engine",
		"engines available",
		"disconnect",
		"unreported disconnect",
		"take over",
		"pause",
	};
	os << names[c.kind] << " " << c.choice;
}

std::ostream &operator<<(std::ostream &os, const Command &c)
{
	showValue(c, os);
	return os;
}

void send_late_event(Daemon &d, uint32_t choice)
{
	d.n_delivered_in_event = 0;
	/* An event of a closed attempt, with the offset expected next. */
	std::vector<uint32_t> closed;
	for (const auto &a : d.attempts)
		if (!a.second.open && a.second.run)
			closed.push_back(a.first);
	if (closed.empty())
		return;
	uint32_t number = closed[choice % closed.size()];
	const Attempt &a = d.attempts[number];
	uint64_t offset = d.received.size();
	if (choice % 5 == 0) {
		uint64_t n = a.run->tokens.size();
		run_event(d, [&] {
			gc_stream_on_end(d.stream, number, "stop", n);
		});
	} else if (offset < a.run->tokens.size()) {
		send_token(d, number, offset, a.run->tokens[offset]);
	}
	RC_ASSERT(d.n_delivered_in_event == 0U);
}

void send_wrong_run(Daemon &d, uint32_t number, uint32_t choice)
{
	Attempt &a = d.attempts[number];
	std::string id = a.attach && choice % 2 ? "other" : "e0-77";
	uint64_t from =
		a.attach && choice % 2 ? a.next_offset : a.next_offset + 1;

	if (a.accepted)
		from = a.next_offset;
	run_event(d, [&] {
		gc_stream_on_run(d.stream, number, id.c_str(), from);
	});
	RC_ASSERT(!a.open);
}

void send_gap(Daemon &d, uint32_t number, uint32_t choice)
{
	uint64_t offset = d.attempts[number].next_offset + 1 + choice % 2;

	send_token(d, number, offset, "gap ");
	RC_ASSERT(d.n_delivered_in_event == 0U);
	RC_ASSERT(!d.attempts[number].open);
}

bool apply_to_engine(World &w, const Command &c)
{
	Engine &e = w.engines[c.choice % N_ENGINES];

	switch (c.kind) {
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
	case UNFREEZE:
		e.frozen = false;
		break;
	case FORGET_RUN:
		e.runs.clear();
		break;
	default:
		return false;
	}
	return true;
}

/* Errors and wrong, duplicate or late events of an attempt. */
bool apply_to_attempt(Daemon &d, const Command &c)
{
	uint32_t number = choose_open_attempt(d, c.choice);
	bool streaming = number && d.attempts[number].accepted;

	switch (c.kind) {
	case LOSE_CONNECTION:
		if (number)
			send_error(d, number,
				   c.choice % 2 ? GC_ERR_IO : GC_ERR_TIMEOUT);
		break;
	case LATE_EVENT:
		if (!d.ended)
			send_late_event(d, c.choice);
		else if (!d.attempts.empty())
			send_token(d, d.attempts.rbegin()->first,
				   d.received.size(), "late ");
		break;
	case DUPLICATE:
		if (streaming && d.attempts[number].next_offset > 0) {
			uint64_t offset =
				c.choice % d.attempts[number].next_offset;
			send_token(d, number, offset,
				   d.attempts[number].run->tokens[offset]);
			RC_ASSERT(d.n_delivered_in_event == 0U);
		}
		break;
	case GAP:
		if (streaming)
			send_gap(d, number, c.choice);
		break;
	case PROTOCOL_ERROR:
		if (number && c.choice % 2)
			send_error(d, number, GC_ERR_PROTOCOL);
		else if (number && !streaming) {
			send_token(d, number, d.received.size(), "early ");
			RC_ASSERT(d.n_delivered_in_event == 0U);
		}
		break;
	case REFUSE:
		if (number && !streaming)
			send_error(d, number, GC_ERR_OVERLOADED);
		break;
	case WRONG_RUN:
		if (number)
			send_wrong_run(d, number, c.choice);
		break;
	case WRONG_END:
		if (streaming &&
		    d.attempts[number].next_offset < MAX_TOKENS - 2) {
			run_event(d, [&] {
				gc_stream_on_end(d.stream, number, "length",
						 MAX_TOKENS);
			});
			/* It may only finish if it has all tokens already. */
			RC_ASSERT(!d.finished ||
				  d.received.size() == MAX_TOKENS);
		}
		break;
	default:
		return false;
	}
	return true;
}

/* Time steps, regular engine events, and actions of the caller. */
bool apply_to_world(World &w, const Command &c)
{
	Daemon &d = w.caller_daemon();
	uint32_t number = choose_open_attempt(d, c.choice);

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
	case NEXT_EVENT:
		if (number)
			send_next_event(d, number);
		break;
	case NEXT_EVENTS:
		for (uint32_t i = 0; i < c.choice % 6; i++)
			send_next_events(d);
		break;
	case NO_ENGINE:
		w.engine_available = false;
		break;
	case ENGINES_AVAILABLE:
		w.engine_available = true;
		break;
	case DISCONNECT:
		if (c.choice % 3)
			break;
		d.connected = false;
		d.ended = true;
		run_event(d,
			  [&] { gc_stream_on_caller_disconnected(d.stream); });
		break;
	case UNREPORTED_DISCONNECT:
		if (c.choice % 3 == 0)
			d.connected = false;
		break;
	case TAKE_OVER:
		take_over(w, c.choice);
		break;
	default:
		return false;
	}
	return true;
}

void apply(World &w, const Command &c)
{
	bool known = apply_to_engine(w, c) ||
		     apply_to_attempt(w.caller_daemon(), c) ||
		     apply_to_world(w, c);

	RC_ASSERT(known);
}

/*
 * Every generation ends: before its deadline if the engines are healthy from
 * now on, and within FROZEN_FAILURE_MS if all of them stay frozen.
 */
void run_to_end(World &w, bool frozen)
{
	Daemon &d = w.caller_daemon();
	int64_t until_ms = frozen ? w.now_ms + FROZEN_FAILURE_MS : DEADLINE_MS;

	w.engine_available = true;
	for (auto &e : w.engines) {
		e.alive = true;
		e.frozen = frozen;
	}
	while (!d.ended && w.now_ms < until_ms + 100) {
		w.now_ms += 10;
		for (auto &each : w.daemons)
			fire_timer(*each);
		send_next_events(d);
	}
	RC_ASSERT(d.ended);
	if (!d.finished)
		return;
	RC_ASSERT(d.received.size() == MAX_TOKENS ||
		  d.received.size() == MAX_TOKENS - 2);
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

void run_sequence(gc_policy_t policy, const std::vector<Command> &commands,
		  bool frozen, bool reentrant)
{
	World w;

	w.policy = policy;
	w.reentrant = reentrant;
	Daemon &first = add_daemon(w);
	run_event(first, [&] { gc_stream_begin(first.stream); });
	for (const auto &c : commands)
		apply(w, c);
	run_to_end(w, frozen);
}

/* After a takeover, a live run is continued and no new one is started. */
void check_take_over(gc_policy_t policy, uint32_t steps, uint32_t choice)
{
	World w;

	w.policy = policy;
	Daemon &first = add_daemon(w);
	run_event(first, [&] { gc_stream_begin(first.stream); });
	for (uint32_t i = 0; i < steps; i++)
		send_next_events(first);
	take_over(w, choice);
	run_to_end(w, false);
	RC_ASSERT(w.caller_daemon().finished);
	RC_ASSERT(w.caller_daemon().n_runs_started ==
		  (w.daemons.size() > 1 ? 0U : 1U));
}

/* Per test case; with one each, 300 cases reach too few rare event orders. */
constexpr int SEQUENCES_PER_CASE = 16;

} // namespace model

int main()
{
	using namespace model;
	auto commands = rc::gen::scale(
		2.0, rc::gen::container<std::vector<Command>>(command()));
	bool ok = true;

	for (gc_policy_t policy : {GC_POLICY_LATENCY, GC_POLICY_ECONOMY}) {
		std::string name =
			policy == GC_POLICY_LATENCY ? "latency" : "economy";
		ok &= rc::check(
			"generations complete or fail with an error code (" +
				name + ")",
			[&] {
				for (int i = 0; i < SEQUENCES_PER_CASE; i++)
					run_sequence(policy, *commands,
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
