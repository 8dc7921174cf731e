/*
 * Simulation of daemons, their messages and the key-value service, with
 * simulated time. Used by prop_membership.cc (C++ only).
 */
#ifndef GC_REGRESS_MEMBERSHIP_MODEL_H
#define GC_REGRESS_MEMBERSHIP_MODEL_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <glib.h>
#include <jansson.h>
#include <msgpack.h>
#include <talloc.h>
#include <tevent.h>

extern "C" {
#include "core/clock.h"
#include "core/config_edit.h"
#include "core/membership.h"
#include "lib/peers_codec.h"
}

namespace model
{

constexpr int64_t kHeartbeatMs = 500;
constexpr int64_t kConfirmMs = 3000;
constexpr int64_t kKvTimeoutMs = 1500;
constexpr int64_t kStartMs = 1000000;

struct Simulation;

struct KvAnswer {
	bool known = false; /* false: no answer, timeout */
	bool written = false;
	uint64_t index = 0;
	std::string value;
	int64_t served_at = 0;
};

using Action = std::function<void()>;
using KvDone = std::function<void(const KvAnswer &)>;

struct Daemon {
	Simulation *simulation;
	int id;
	unsigned run = 0; /* counts restarts */
	gc_membership_t *membership = nullptr;
	std::string name, domain, url;
	std::string text; /* the configuration document */
	uint64_t last_checked_version = 0; /* in this run */
	int64_t input_sent_at = 0; /* when the latest input was sent */
	int64_t read_started = -kHeartbeatMs;
	bool reading = false;
	bool paused = false;
	std::vector<Action> deferred; /* actions that came due while paused */

	void start(int64_t now);
	void tick();
	void heartbeats();
	void send_heartbeat(const std::string &to_name,
			    const std::string &to_url, bool is_reply);
	void on_message(const std::string &bytes);
	void adopt(const std::string &document);
	void read();
};

/* An operator's change, by the same steps as in lib/control_change.c. */
struct Change : std::enable_shared_from_this<Change> {
	Daemon *daemon;
	unsigned run;
	std::string nonce;
	uint64_t if_match = 0;
	uint64_t index = 0;
	std::string text;
	bool written = false;
	bool uncertain = false;
	int64_t deadline = 0;

	void begin();
	void read();
	void decide(const KvAnswer &answer);
	void apply(const KvAnswer &answer);
	void write();
	void retry(bool rewrite);
	void adopt(const std::string &document);
	void acknowledge();
	void schedule(int64_t ms, void (Change::*step)());
	/* Calls step with the answer; keeps this change until then. */
	KvDone bind_step(void (Change::*step)(const KvAnswer &));
	void on_read(const KvAnswer &answer);
	void on_written(const KvAnswer &answer);
};

struct Accepted {
	uint64_t version;
	std::string nonce;
	int64_t at;
};

struct Simulation {
	int64_t now = kStartMs;
	uint64_t random_state;
	gc_random_t random;
	std::multimap<int64_t, Action> events;
	std::vector<std::unique_ptr<Daemon>> daemons;
	/* The record in the key-value service and its history. */
	uint64_t index = 0;
	std::string value;
	std::vector<std::string> history; /* nonce of version i + 1 */
	/* Faults. */
	bool outage = false;
	int64_t kv_slow_ms = 0;
	int lose_kv_answers = 0;
	unsigned loss_percent = 0;
	int64_t max_delay_ms = 5;
	unsigned partition = 0; /* bit i: side of daemon i */
	int kv_side = -1; /* the side that reaches the service; -1: both */
	std::vector<Accepted> accepted;
	std::vector<std::string> refused; /* nonces refused as conflicts */
	unsigned next_nonce = 1;
	unsigned n_in_effect = 0; /* checks with a version in effect */
	std::string failure; /* first violated invariant */

	Simulation(int n, uint64_t seed);
	~Simulation();
	uint64_t next_random();
	uint64_t random_below(uint64_t n)
	{
		return next_random() % n;
	}
	struct timespec time() const;
	struct timespec at_ms(int64_t ms) const;
	void schedule(int64_t ms, Action action);
	/* As schedule, but waits while daemon is paused; not after a crash. */
	void schedule_on_daemon(Daemon *daemon, int64_t ms, Action action);
	void deliver(Daemon *daemon, unsigned run, Action action);
	void send(Daemon *from, const std::string &url, std::string bytes);
	bool connected(int a, int b) const;
	bool reaches_kv(int daemon) const;
	void call_kv(Daemon *daemon, bool write, uint64_t cas,
		     const std::string &value, KvDone done);
	KvAnswer handle_kv_request(bool write, uint64_t cas,
				   const std::string &value);
	void change(int daemon);
	void pause(int daemon, int64_t ms);
	void crash(int daemon);
	void run_until(int64_t end);
	void check();
	void check(Daemon &daemon);
	void fail(const std::string &what);
	bool converged() const;
};

} // namespace model

#endif
