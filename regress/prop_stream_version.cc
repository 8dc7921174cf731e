/*
 * Plays streams of two software versions in a small fleet with a store that is
 * restored, against streams that are joined: daemons are killed and started, cut off
 * from the store, pass streams on, also to and from a build that records streams for
 * others; writes take effect late. Streams of daemons that stay must go on.
 */
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <talloc.h>

#include <rapidcheck.h>

extern "C" {
#include "core/base_version.h"
#include "core/clock.h"
#include "core/restore_mark.h"
#include "core/stream_record.h"
}

namespace
{

const gc_str_t SERVICE = GC_STR_LIT("llm");
const char *const NAMES[] = {"v1", "v2"};
constexpr int N_DAEMONS = 4;
constexpr int OLD = 3; /* the daemon of the older build */
/* Later, a caller takes no stream up; what is shorter than a gap isn't seen. */
constexpr int64_t MAX_RESUME_MS = GC_STREAM_LIFE_MS - GC_LIST_GAP_MS;
/* With an older view, a daemon takes no requests. */
constexpr int64_t MAX_VIEW_AGE_MS = 4500;

struct Store {
	std::map<int, int> records; /* version by stream */
	int base = 0;
	uint64_t base_number = 1;
	uint64_t era = 1, kept = 1;
	std::set<int> listed = {0}; /* versions with servers */
};

struct Write {
	int stream, version;
};

struct Daemon {
	TALLOC_CTX *mem = nullptr; /* NULL while it is down */
	bool cut = false; /* from the store */
	gc_base_versions_t *versions;
	gc_restore_mark_t mark;
	int base;
	uint64_t base_number;
	std::set<int> listed;
	int64_t synced_ms;
	std::map<int, int64_t> written; /* its records, with the time */
	std::map<int, int> versions_of;
	std::vector<Write> unwritten;
};

struct Stream {
	int owner;
	int64_t begun_ms;
	std::set<int> versions; /* of the events that the caller has */
};

struct Fleet {
	Store store, copy;
	bool copied = false;
	Daemon daemons[N_DAEMONS];
	std::vector<Stream> streams;
	std::vector<Write> late; /* of daemons that are gone */
	int64_t now_ms = 0;
	int64_t unlisted_ms[2] = {-GC_STREAM_LIFE_MS, -GC_STREAM_LIFE_MS};

	struct timespec now() const
	{
		return gc_add_ms({100000, 0}, now_ms);
	}
	~Fleet()
	{
		for (Daemon &d : daemons)
			talloc_free(d.mem);
	}
	void start(Daemon &d);
	void kill(Daemon &d);
	void sync(Daemon &d);
	void put(Daemon &d, int stream, int version);
	bool serves(Daemon &d);
	int choose(const Daemon &d, bool base_only) const;
	void record(Daemon &d, int stream, int version, bool other);
	void begin(int owner, int first, int second);
	void resume(int daemon, int stream);
	void wait(int64_t ms);
	void step();
};

void Fleet::start(Daemon &d)
{
	if (d.mem)
		return;
	d = Daemon();
	d.mem = talloc_new(nullptr);
	d.versions = gc_base_versions_create(d.mem);
	sync(d);
}

void Fleet::kill(Daemon &d)
{
	late.insert(late.end(), d.unwritten.begin(), d.unwritten.end());
	talloc_free(d.mem);
	d = Daemon();
}

/* Hears of the store's state, and writes what it has to. */
void Fleet::sync(Daemon &d)
{
	gc_registry_entry_t servers[2] = {};
	gc_base_version_t base = {};
	gc_str_t proposed;
	size_t n = 0;

	if (!d.mem || d.cut)
		return;
	if (gc_restore_mark_see(&d.mark, now(), store.era)) {
		for (auto &[stream, at] : d.written)
			if (now_ms - at <= GC_STREAM_LIFE_MS)
				put(d, stream, d.versions_of[stream]);
		if (store.base_number < d.base_number) {
			store.base = d.base;
			store.base_number = d.base_number;
		}
	}
	gc_restore_mark_read(&d.mark, now(), store.kept);
	if (gc_restore_mark_due_ms(&d.mark, now()) == 0)
		store.kept = store.era;
	if (now_ms - d.synced_ms > GC_LIST_GAP_MS)
		gc_base_versions_note_gap(d.versions, now());
	d.synced_ms = now_ms;
	d.listed = store.listed;
	d.base = store.base;
	d.base_number = store.base_number;
	for (int v : d.listed)
		servers[n++] = {.service = SERVICE,
				.version = gc_str(NAMES[v])};
	base.version = gc_str(NAMES[d.base]);
	base.number = d.base_number;
	if (gc_base_versions_propose(d.versions, now(), SERVICE, servers, n,
				     &base, &proposed)) {
		store.base = proposed.data[1] - '1';
		store.base_number++;
		d.base = store.base;
		d.base_number = store.base_number;
	}
	for (const Write &w : d.unwritten)
		put(d, w.stream, w.version);
	d.unwritten.clear();
	/* Streams that began before there was another version, or a restore. */
	for (size_t i = 0; i < streams.size(); i++)
		if (&daemons[streams[i].owner] == &d &&
		    !streams[i].versions.empty() && !d.written.count((int)i) &&
		    d.versions_of.count((int)i))
			record(d, (int)i, *streams[i].versions.begin(), false);
}

bool Fleet::serves(Daemon &d)
{
	return d.mem && !d.listed.empty() &&
	       now_ms - d.synced_ms <= MAX_VIEW_AGE_MS;
}

void Fleet::put(Daemon &d, int stream, int version)
{
	store.records[stream] = version;
	d.written[stream] =
		d.written.count(stream) ? d.written[stream] : now_ms;
}

/* A version with servers, as far as the daemon knows; -1: none. */
int Fleet::choose(const Daemon &d, bool base_only) const
{
	if (d.listed.empty() || (base_only && !d.listed.count(d.base)))
		return -1;
	if (base_only || d.listed.size() == 1)
		return base_only ? d.base : *d.listed.begin();
	return *rc::gen::inRange(0, 2);
}

/* The first event has come; the caller gets it if the record needn't wait. */
void Fleet::record(Daemon &d, int stream, int version, bool other)
{
	gc_stream_facts_t facts = {
		.base = version == d.base,
		.mixed = gc_base_versions_is_mixed(d.versions, now(), SERVICE),
		.may_lack = d.mark.restored &&
			    gc_restore_mark_may_lack(&d.mark, now()),
		.other_record = other,
	};
	gc_record_need_t need = gc_stream_record_need(&facts);

	d.versions_of[stream] = version;
	if (need != GC_RECORD_NONE) {
		if (!d.cut)
			put(d, stream, version);
		else
			d.unwritten.push_back({stream, version});
	}
	if (need != GC_RECORD_FIRST || !d.cut)
		streams[(size_t)stream].versions.insert(version);
}

/* The owner runs the stream itself (first < 0), or passes it on to one daemon, which
 * is lost, and then to a second one. */
void Fleet::begin(int owner, int first, int second)
{
	Daemon &d = daemons[owner];
	bool both_old = owner == OLD && first == OLD;
	bool hopped = first >= 0 && first != owner && second != owner;
	int id = (int)streams.size();
	int version;

	if (!serves(d) || both_old || (hopped && !serves(daemons[second])))
		return;
	streams.push_back({owner, now_ms, {}});
	if (!hopped) {
		version = choose(d, d.cut);
		if (version >= 0)
			record(d, id, version, false);
		return;
	}
	version = choose(daemons[first], d.cut || daemons[first].cut);
	if (first == OLD && serves(daemons[first]) && version >= 0 &&
	    version != daemons[first].base)
		store.records[id] = version;
	version = choose(daemons[second], d.cut || daemons[second].cut);
	if (version < 0 || (owner == OLD && second == OLD))
		return;
	/* The older build leaves records to the daemon that runs the stream. */
	record(daemons[owner == OLD ? second : owner], id, version, true);
}

void Fleet::resume(int daemon, int stream)
{
	Daemon &d = daemons[daemon];
	Stream &s = streams[(size_t)stream];
	gc_version_result_t result = GC_VERSION_NOT_RECORDED;
	bool only;

	if (!d.mem || d.cut || s.versions.empty() ||
	    now_ms - s.begun_ms > MAX_RESUME_MS || daemon == OLD)
		return;
	sync(d);
	only = gc_base_versions_is_only(d.versions, now(), SERVICE);
	if (store.records.count(stream))
		result = GC_VERSION_RECORDED;
	else if (gc_restore_mark_may_lack(&d.mark, now()))
		result = GC_VERSION_MAYBE_LOST;
	if (result == GC_VERSION_RECORDED) {
		s.versions.insert(store.records[stream]);
	} else if (gc_stream_began_at_base(result, only)) {
		s.versions.insert(d.base);
	} else {
		/* Not for a stream whose daemon could tell. */
		Daemon &owner = daemons[s.owner];

		RC_ASSERT(!owner.mem || owner.cut || s.owner == OLD ||
			  !owner.unwritten.empty() ||
			  !owner.versions_of.count(stream) ||
			  owner.mark.era != store.era);
	}
	RC_ASSERT(s.versions.size() == 1U);
}

void Fleet::wait(int64_t ms)
{
	for (; ms > 0; ms -= GC_RECENT_LIST_MS) {
		now_ms += std::min<int64_t>(ms, GC_RECENT_LIST_MS);
		for (Daemon &d : daemons)
			sync(d);
	}
}

void Fleet::step()
{
	int kind = *rc::gen::inRange(0, 20);
	int i = *rc::gen::inRange(0, N_DAEMONS);
	Daemon &d = daemons[i];

	if (kind < 5) {
		begin(i, *rc::gen::inRange(-3, N_DAEMONS),
		      *rc::gen::inRange(0, N_DAEMONS));
	} else if (kind < 9 && !streams.empty()) {
		resume(i, *rc::gen::inRange(0, (int)streams.size()));
	} else if (kind < 11) {
		sync(d);
	} else if (kind == 11) {
		kill(d);
	} else if (kind == 12) {
		start(d);
	} else if (kind == 13) {
		d.cut = !d.cut;
	} else if (kind == 14) {
		copy = store;
		copied = true;
	} else if (kind == 15 && copied) {
		uint64_t era = store.era;
		std::set<int> listed = store.listed;

		store = copy;
		store.era = era + 1;
		store.listed = listed; /* servers write theirs again */
	} else if (kind == 16 && !late.empty()) {
		store.records[late.back().stream] = late.back().version;
		late.pop_back();
	} else if (kind == 17) {
		int v = *rc::gen::inRange(0, 2);

		/* Not covered: a restore before all daemons that reach the
		 * store know of it. */
		if (!store.listed.erase(v))
			store.listed.insert(v);
		wait(GC_RECENT_LIST_MS);
	} else {
		wait(*rc::gen::elementOf(
			std::vector<int64_t>{10, 900, 5000, 61000}));
	}
}

void check_streams()
{
	Fleet fleet;
	int n_steps = *rc::gen::inRange(10, 150);

	for (Daemon &d : fleet.daemons)
		fleet.start(d);
	for (int i = 0; i < n_steps; i++)
		fleet.step();
}

} // namespace

int main()
{
	return rc::check("no stream is joined", check_streams) ? 0 : 1;
}
