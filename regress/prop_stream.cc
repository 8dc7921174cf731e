/*
 * Guards the decisions of one generation against missing, repeated and mixed
 * tokens, actions after the end, superfluous attempts and runs that nobody
 * ends. Random sequences of events meet a model of engines whose runs are
 * known token by token, and daemons that take the generation over by cursor.
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

/* With frozen engines: the windows of all attempts and the waits between. */
constexpr int64_t GIVE_UP_MS = 8000;

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

void send_gap(Daemon &d, uint32_t number, uint32_t choice)
{
	uint64_t offset = d.attempts[number].next + 1 + choice % 2;

	send_token(d, number, offset, "gap ");
	RC_ASSERT(d.delivered_in_event == 0U);
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
	case THAW:
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

/* Wrong or late events of one of the attempts. */
bool apply_to_attempt(Daemon &d, const Command &c)
{
	uint32_t number = open_attempt_at(d, c.choice);
	bool streaming = number && d.attempts[number].accepted;

	switch (c.kind) {
	case CUT:
		if (number)
			send_broken(d, number,
				    c.choice % 2 ? GC_ERR_IO : GC_ERR_TIMEOUT);
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
		if (streaming)
			send_gap(d, number, c.choice);
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
	default:
		return false;
	}
	return true;
}

/* Time, the engines' next events, and the caller. */
bool drive(World &w, const Command &c)
{
	Daemon &d = w.caller_daemon();
	uint32_t number = open_attempt_at(d, c.choice);

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
	default:
		return false;
	}
	return true;
}

void apply(World &w, const Command &c)
{
	bool known = apply_to_engine(w, c) ||
		     apply_to_attempt(w.caller_daemon(), c) || drive(w, c);

	RC_ASSERT(known);
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
