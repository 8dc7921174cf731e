/* Traits of requests under which backend servers crash. */
#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "core/clock.h"
#include "core/crash_suspects.h"

/* Crashes that broke off a trait before requests with it are refused. */
#define MIN_CRASHES 3
/* Crashes before other daemons are told of a service, so that they don't count
 * them. */
#define MIN_CRASHES_TO_TELL 2
/* Servers of one failure domain that crash within this time may have one cause
 * that lies outside their requests. */
#define SAME_EVENT_MS 300
/* Number of such servers that points to an outside cause. */
#define MASS_SERVERS 3
/* The same in all failure domains together. */
#define MANY_SERVERS  8
#define REPORT_AGE_MS 600000
/* The same for reports on a trait that is refused. */
#define KEPT_AGE_MS (INT64_C(24) * 60 * 60 * 1000)
/* Interval at which they are told again; shorter than the notices last. */
#define TELL_AGAIN_MS 240000
/* Pause before the first trial of a refused trait; doubles with each further
 * one, as a trial may cost a server. */
#define TRIAL_INTERVAL_MS 30000
/* The same if all these crashes may be due to another trait. */
#define AMBIGUOUS_TRIAL_MS 3000
/* Trials that may crash a server before there are no more. */
#define MAX_FAILED_TRIALS 3

#define MAX_REPORTS    1024
#define MAX_SERVED     4096
#define MAX_TRIALS     64
#define MAX_KEPT       64
#define MAX_SET_TRAITS 64
/* Crashes of one trait that are looked at, from the oldest. */
#define MAX_CRASHES 32
/* Other traits that are compared with a suspected one. */
#define MAX_RIVALS 16

typedef struct report {
	gc_crash_report_t report;
	struct timespec arrived;
	struct timespec expires;
	uint64_t revision;
	bool kept; /* it counts for a trait that is refused */
	bool pending; /* it isn't known yet whether the server crashed */
	/* Bits by index of the trait, see trait_at. */
	uint32_t served_here; /* served by this daemon afterwards */
	uint32_t served_elsewhere; /* as other daemons say */
	uint32_t told; /* take_served has returned the trait */
} report_t;

typedef struct served {
	uint64_t trait;
	uint64_t revision;
} served_t;

typedef struct trial {
	uint64_t trait;
	struct timespec at; /* of the last one */
	int64_t pause_ms; /* until the next one */
	bool used;
} trial_t;

/* A refused trait that this daemon told the others of again. */
typedef struct kept {
	uint64_t trait; /* 0: unused */
	struct timespec told_at;
} kept_t;

/* Traits of several requests. */
typedef struct trait_set {
	uint64_t ids[MAX_SET_TRAITS];
	size_t n;
} trait_set_t;

/* A server that crashed while it had requests with a trait. */
typedef struct crash {
	uint64_t server;
	uint64_t domain;
	int64_t at_ms;
	bool resent; /* one of these requests had lost another server before */
	bool pending;
} crash_t;

/* The crashes that count for a trait. */
typedef struct evidence {
	crash_t crashes[MAX_CRASHES];
	size_t n;
	struct timespec newest; /* arrival of a report */
	bool unshared; /* that report hasn't come from the store */
	/* The trait; if it is a part, also other parts that occur in each of these
	 * crashes and were not served. */
	trait_set_t suspects;
} evidence_t;

/* Number of reports with a trait, served or not. */
typedef struct trait_count {
	uint64_t trait;
	size_t n;
} trait_count_t;

struct gc_crash_suspects {
	size_t rank;
	size_t n_daemons;
	report_t reports[MAX_REPORTS]; /* in the order of arrival */
	size_t n_reports;
	struct timespec expired_at; /* when expired reports were dropped */
	GHashTable *counts; /* trait_count_t by trait */
	served_t served[MAX_SERVED]; /* ring, by other daemons */
	size_t next_served;
	size_t n_served;
	trial_t trials[MAX_TRIALS];
	kept_t kept[MAX_KEPT];
	/* A trait was served since take_served last returned all. */
	bool newly_served;
};

static size_t n_traits(const gc_request_traits_t *traits);
static uint64_t trait_at(const gc_request_traits_t *traits, size_t i);
static int suspects_destructor(gc_crash_suspects_t *suspects);
static report_t *add_report(gc_crash_suspects_t *suspects, struct timespec now,
			    const gc_crash_report_t *report);
static report_t *find_report(gc_crash_suspects_t *suspects, uint64_t id);
static void remove_report(gc_crash_suspects_t *suspects, size_t index);
static size_t least_useful_report(const gc_crash_suspects_t *suspects);
static void count_traits(gc_crash_suspects_t *suspects,
			 const gc_request_traits_t *traits, bool added);
static size_t count_of(const gc_crash_suspects_t *suspects, uint64_t trait);
static void set_revision(const gc_crash_suspects_t *suspects, report_t *report,
			 uint64_t revision);
static void drop_expired(gc_crash_suspects_t *suspects, struct timespec now);
static bool keep_trait(gc_crash_suspects_t *suspects, struct timespec now,
		       gc_crash_evidence_t *kept);
static bool is_to_be_told(gc_crash_suspects_t *suspects, struct timespec now,
			  uint64_t trait);
static int find_trait(const gc_request_traits_t *traits, uint64_t trait);
static bool contains_all(const gc_request_traits_t *traits,
			 const trait_set_t *set);
static void collect_evidence(const gc_crash_suspects_t *suspects,
			     uint64_t trait, evidence_t *evidence);
static crash_t *find_crash(evidence_t *evidence, uint64_t server);
static size_t count_crashes(const gc_crash_suspects_t *suspects,
			    const evidence_t *evidence, bool settled_only);
static bool is_mass_crash(const gc_crash_suspects_t *suspects,
			  const evidence_t *evidence, const crash_t *crash);
static bool is_widespread(const gc_crash_suspects_t *suspects,
			  const crash_t *crash);
static bool is_same_event(const crash_t *crash, uint64_t domain, int64_t at_ms);
static bool is_same_time(const crash_t *crash, int64_t at_ms);
static bool is_unserved(const report_t *report, uint64_t trait);
static trait_set_t parts_of_crash(const gc_crash_suspects_t *suspects,
				  uint64_t server, uint64_t part);
static void add_to_set(trait_set_t *set, uint64_t trait);
static bool set_has(const trait_set_t *set, uint64_t trait);
static void keep_common(trait_set_t *set, const trait_set_t *others);
static bool has_rival(const gc_crash_suspects_t *suspects,
		      const evidence_t *evidence,
		      const gc_request_traits_t *own, bool *outweighed);
static bool covers(evidence_t *rival, const evidence_t *evidence);
static bool take_trial(gc_crash_suspects_t *suspects, struct timespec now,
		       uint64_t trait);
static trial_t *find_trial(gc_crash_suspects_t *suspects, struct timespec now,
			   uint64_t trait);
static uint64_t served_revision(const gc_crash_suspects_t *suspects,
				uint64_t trait);
static bool take_told(gc_crash_suspects_t *suspects, uint64_t trait);

void gc_request_traits_add_part(gc_request_traits_t *traits, uint64_t part)
{
	if (find_trait(traits, part) < 0 &&
	    traits->n_parts < GC_REQUEST_PARTS_MAX)
		traits->parts[traits->n_parts++] = part;
}

/* The traits are numbered: the request is 0, parts follow. */
static size_t n_traits(const gc_request_traits_t *traits)
{
	return traits->n_parts + 1;
}

static uint64_t trait_at(const gc_request_traits_t *traits, size_t i)
{
	return i == 0 ? traits->request : traits->parts[i - 1];
}

gc_crash_suspects_t *gc_crash_suspects_create(TALLOC_CTX *mem)
{
	gc_crash_suspects_t *suspects = talloc_zero(mem, gc_crash_suspects_t);

	suspects->n_daemons = 1;
	suspects->counts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	talloc_set_destructor(suspects, suspects_destructor);
	return suspects;
}

static int suspects_destructor(gc_crash_suspects_t *suspects)
{
	g_hash_table_unref(suspects->counts);
	return 0;
}

void gc_crash_suspects_set_rank(gc_crash_suspects_t *suspects, size_t rank,
				size_t n_daemons)
{
	suspects->rank = rank;
	suspects->n_daemons = n_daemons > 0 ? n_daemons : 1;
}

void gc_crash_suspects_add_report(gc_crash_suspects_t *suspects,
				  struct timespec now,
				  const gc_crash_report_t *report,
				  uint64_t revision)
{
	report_t *entry;

	drop_expired(suspects, now);
	entry = find_report(suspects, report->id);
	if (!entry)
		entry = add_report(suspects, now, report);
	set_revision(suspects, entry, revision);
}

void gc_crash_suspects_add_loss(gc_crash_suspects_t *suspects,
				struct timespec now,
				const gc_crash_report_t *report)
{
	drop_expired(suspects, now);
	if (!find_report(suspects, report->id))
		add_report(suspects, now, report)->pending = true;
}

void gc_crash_suspects_settle(gc_crash_suspects_t *suspects, uint64_t id,
			      bool crashed)
{
	report_t *entry = find_report(suspects, id);

	if (!entry)
		return;
	if (crashed)
		entry->pending = false;
	else
		remove_report(suspects, (size_t)(entry - suspects->reports));
}

static report_t *find_report(gc_crash_suspects_t *suspects, uint64_t id)
{
	for (size_t i = 0; i < suspects->n_reports; i++)
		if (suspects->reports[i].report.id == id)
			return &suspects->reports[i];
	return NULL;
}

static report_t *add_report(gc_crash_suspects_t *suspects, struct timespec now,
			    const gc_crash_report_t *report)
{
	report_t *added;

	if (suspects->n_reports == MAX_REPORTS)
		remove_report(suspects, least_useful_report(suspects));
	added = &suspects->reports[suspects->n_reports++];
	*added = (report_t){
		.report = *report,
		.arrived = now,
		.expires = gc_add_ms(now, REPORT_AGE_MS),
	};
	added->report.traits.n_parts = 0;
	for (size_t i = 0;
	     i < MIN(report->traits.n_parts, GC_REQUEST_PARTS_MAX); i++)
		gc_request_traits_add_part(&added->report.traits,
					   report->traits.parts[i]);
	count_traits(suspects, &added->report.traits, true);
	return added;
}

static void remove_report(gc_crash_suspects_t *suspects, size_t index)
{
	report_t *report = &suspects->reports[index];

	count_traits(suspects, &report->report.traits, false);
	suspects->n_reports--;
	memmove(report, report + 1,
		(suspects->n_reports - index) * sizeof(*report));
}

/* The oldest one that says nothing together with others, so that many crashes of
 * other causes don't displace those that count. */
static size_t least_useful_report(const gc_crash_suspects_t *suspects)
{
	for (size_t i = 0; i < suspects->n_reports; i++) {
		const gc_request_traits_t *traits =
			&suspects->reports[i].report.traits;
		bool recurs = false;

		for (size_t j = 0; j < n_traits(traits); j++)
			recurs |= count_of(suspects, trait_at(traits, j)) > 1;
		if (!recurs)
			return i;
	}
	return 0;
}

static void count_traits(gc_crash_suspects_t *suspects,
			 const gc_request_traits_t *traits, bool added)
{
	for (size_t i = 0; i < n_traits(traits); i++) {
		uint64_t trait = trait_at(traits, i);
		trait_count_t *count =
			g_hash_table_lookup(suspects->counts, &trait);

		if (trait == 0)
			continue;
		if (!count) {
			count = g_new0(trait_count_t, 1);
			count->trait = trait;
			g_hash_table_insert(suspects->counts, &count->trait,
					    count);
		}
		count->n += added ? 1 : -1;
		if (count->n == 0)
			g_hash_table_remove(suspects->counts, &trait);
	}
}

static size_t count_of(const gc_crash_suspects_t *suspects, uint64_t trait)
{
	const trait_count_t *count =
		g_hash_table_lookup(suspects->counts, &trait);

	return count ? count->n : 0;
}

/* Notices of services that are older than the report don't clear it. */
static void set_revision(const gc_crash_suspects_t *suspects, report_t *report,
			 uint64_t revision)
{
	if (revision == 0)
		return;
	report->revision = revision;
	for (size_t i = 0; i < n_traits(&report->report.traits); i++)
		if (served_revision(suspects, trait_at(&report->report.traits,
						       i)) > revision)
			report->served_elsewhere |= 1U << i;
}

static void drop_expired(gc_crash_suspects_t *suspects, struct timespec now)
{
	if (gc_ms_between(suspects->expired_at, now) <= 0)
		return;
	suspects->expired_at = now;
	for (size_t i = suspects->n_reports; i-- > 0;)
		if (gc_ms_between(now, suspects->reports[i].expires) <= 0)
			remove_report(suspects, i);
}

void gc_crash_suspects_extend(gc_crash_suspects_t *suspects,
			      struct timespec now, uint64_t id, int64_t ms)
{
	report_t *report = find_report(suspects, id);
	struct timespec expires = gc_add_ms(now, MIN(MAX(ms, 0), KEPT_AGE_MS));

	if (report && gc_ms_between(report->expires, expires) > 0)
		report->expires = expires;
}

size_t gc_crash_suspects_keep(gc_crash_suspects_t *suspects,
			      struct timespec now,
			      gc_crash_evidence_t *evidence, size_t max)
{
	g_autofree uint64_t *traits = NULL;
	GHashTableIter iter;
	trait_count_t *count;
	size_t n_recurring = 0;
	size_t n = 0;

	drop_expired(suspects, now);
	traits = g_new(uint64_t, g_hash_table_size(suspects->counts) + 1);
	g_hash_table_iter_init(&iter, suspects->counts);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&count))
		if (count->n >= MIN_CRASHES)
			traits[n_recurring++] = count->trait;
	for (size_t i = 0; i < n_recurring; i++) {
		gc_crash_evidence_t kept = {.trait = traits[i]};

		if (!keep_trait(suspects, now, &kept))
			continue;
		if (n < max && is_to_be_told(suspects, now, traits[i]))
			evidence[n++] = kept;
	}
	return n;
}

/* False if the trait isn't refused. Fills the rest of *kept. */
static bool keep_trait(gc_crash_suspects_t *suspects, struct timespec now,
		       gc_crash_evidence_t *kept)
{
	evidence_t evidence;

	collect_evidence(suspects, kept->trait, &evidence);
	if (count_crashes(suspects, &evidence, true) < MIN_CRASHES)
		return false;
	for (size_t i = 0; i < suspects->n_reports; i++) {
		report_t *report = &suspects->reports[i];
		crash_t *crash = find_crash(&evidence, report->report.server);

		if (!crash || report->pending ||
		    !is_unserved(report, kept->trait))
			continue;
		/* One report tells of each crash. */
		crash->server = 0;
		if (!report->kept)
			gc_crash_suspects_extend(suspects, report->arrived,
						 report->report.id,
						 KEPT_AGE_MS);
		report->kept = true;
		if (kept->n == GC_CRASH_EVIDENCE_MAX)
			continue;
		kept->reports[kept->n++] = report->report;
		kept->left_ms =
			MAX(kept->left_ms, gc_ms_between(now, report->expires));
	}
	return true;
}

/* True for one daemon of the fleet, at most every TELL_AGAIN_MS. */
static bool is_to_be_told(gc_crash_suspects_t *suspects, struct timespec now,
			  uint64_t trait)
{
	kept_t *entry = NULL;

	if (trait % suspects->n_daemons != suspects->rank)
		return false;
	for (size_t i = 0; i < MAX_KEPT; i++) {
		kept_t *kept = &suspects->kept[i];

		if (kept->trait == trait) {
			if (gc_ms_between(kept->told_at, now) < TELL_AGAIN_MS)
				return false;
			entry = kept;
			break;
		}
		if (!entry ||
		    (entry->trait != 0 &&
		     (kept->trait == 0 ||
		      gc_ms_between(kept->told_at, entry->told_at) > 0)))
			entry = kept;
	}
	*entry = (kept_t){trait, now};
	return true;
}

/* Index of the trait, or -1. */
static int find_trait(const gc_request_traits_t *traits, uint64_t trait)
{
	for (size_t i = 0; i < n_traits(traits); i++)
		if (trait != 0 && trait_at(traits, i) == trait)
			return (int)i;
	return -1;
}

static uint64_t served_revision(const gc_crash_suspects_t *suspects,
				uint64_t trait)
{
	for (size_t i = 0; i < suspects->n_served; i++)
		if (suspects->served[i].trait == trait)
			return suspects->served[i].revision;
	return 0;
}

void gc_crash_suspects_add_served(gc_crash_suspects_t *suspects,
				  struct timespec now, uint64_t trait,
				  uint64_t revision)
{
	served_t *entry = NULL;

	drop_expired(suspects, now);
	for (size_t i = 0; i < suspects->n_reports; i++) {
		report_t *report = &suspects->reports[i];
		int index = find_trait(&report->report.traits, trait);

		if (index >= 0 &&
		    (report->revision == 0 || revision > report->revision))
			report->served_elsewhere |= 1U << index;
	}
	for (size_t i = 0; !entry && i < suspects->n_served; i++)
		if (suspects->served[i].trait == trait)
			entry = &suspects->served[i];
	if (!entry) {
		entry = &suspects->served[suspects->next_served];
		suspects->next_served =
			(suspects->next_served + 1) % MAX_SERVED;
		if (suspects->n_served < MAX_SERVED)
			suspects->n_served++;
		*entry = (served_t){.trait = trait};
	}
	if (revision > entry->revision)
		entry->revision = revision;
}

void gc_crash_suspects_record_served(gc_crash_suspects_t *suspects,
				     struct timespec now,
				     const gc_request_traits_t *traits)
{
	bool known = false;

	for (size_t i = 0; i < n_traits(traits); i++)
		known |= count_of(suspects, trait_at(traits, i)) > 0;
	if (!known)
		return;
	drop_expired(suspects, now);
	for (size_t i = 0; i < suspects->n_reports; i++) {
		report_t *report = &suspects->reports[i];

		if (gc_us_between(report->arrived, now) <= 0)
			continue;
		for (size_t j = 0; j < n_traits(traits); j++) {
			int index = find_trait(&report->report.traits,
					       trait_at(traits, j));

			if (index < 0 || report->served_here & (1U << index))
				continue;
			report->served_here |= 1U << index;
			suspects->newly_served = true;
		}
	}
}

size_t gc_crash_suspects_take_served(gc_crash_suspects_t *suspects,
				     struct timespec now, uint64_t *traits,
				     size_t max)
{
	size_t n = 0;

	if (!suspects->newly_served)
		return 0;
	drop_expired(suspects, now);
	for (size_t i = 0; i < suspects->n_reports; i++) {
		const report_t *report = &suspects->reports[i];

		for (size_t j = 0;
		     j < n_traits(&report->report.traits) && n < max; j++) {
			uint64_t trait = trait_at(&report->report.traits, j);

			if ((report->served_here & ~report->told) & (1U << j) &&
			    take_told(suspects, trait))
				traits[n++] = trait;
		}
	}
	suspects->newly_served = n == max;
	return n;
}

/*
 * True if the others must be told of the trait's service, and marks it as told.
 * They may count reports that this daemon doesn't, as the service was here.
 */
static bool take_told(gc_crash_suspects_t *suspects, uint64_t trait)
{
	uint64_t servers[MIN_CRASHES_TO_TELL];
	report_t *newest = NULL;
	int newest_index = 0;
	size_t n = 0;

	for (size_t i = 0; i < suspects->n_reports; i++) {
		report_t *report = &suspects->reports[i];
		int index = find_trait(&report->report.traits, trait);
		bool known = false;

		if (index < 0 || report->served_elsewhere & (1U << index))
			continue;
		newest = report;
		newest_index = index;
		for (size_t j = 0; j < n; j++)
			known |= servers[j] == report->report.server;
		if (!known && n < MIN_CRASHES_TO_TELL)
			servers[n++] = report->report.server;
	}
	if (n < MIN_CRASHES_TO_TELL ||
	    !((newest->served_here & ~newest->told) & (1U << newest_index)))
		return false;
	newest->told |= 1U << newest_index;
	return true;
}

gc_suspect_verdict_t gc_crash_suspects_judge(gc_crash_suspects_t *suspects,
					     struct timespec now,
					     const gc_request_traits_t *traits)
{
	/* Stands for all suspects of the request, so that the daemons agree on
	 * who tries it. */
	uint64_t key = UINT64_MAX;
	struct timespec newest = {0};
	int64_t pause_ms = TRIAL_INTERVAL_MS;
	size_t n_crashes = 0;
	bool any_daemon_tries = false;
	bool settled = false;
	bool unshared = false;

	for (size_t i = 0; i < n_traits(traits); i++) {
		uint64_t trait = trait_at(traits, i);
		evidence_t evidence;
		bool ambiguous;
		size_t n;

		if (count_of(suspects, trait) < MIN_CRASHES)
			continue;
		drop_expired(suspects, now);
		collect_evidence(suspects, trait, &evidence);
		n = count_crashes(suspects, &evidence, false);
		if (n < MIN_CRASHES ||
		    !contains_all(traits, &evidence.suspects))
			continue;
		ambiguous = has_rival(suspects, &evidence, traits,
				      &any_daemon_tries);
		settled |=
			count_crashes(suspects, &evidence, true) >= MIN_CRASHES;
		pause_ms = ambiguous ? AMBIGUOUS_TRIAL_MS : TRIAL_INTERVAL_MS;
		if (n_crashes == 0 ||
		    gc_us_between(newest, evidence.newest) > 0) {
			newest = evidence.newest;
			unshared = evidence.unshared;
		}
		n_crashes = MAX(n_crashes, n);
		for (size_t j = 0; j < evidence.suspects.n; j++)
			if (evidence.suspects.ids[j] < key)
				key = evidence.suspects.ids[j];
	}
	if (n_crashes == 0)
		return GC_SUSPECT_SEND;
	if (!settled)
		return GC_SUSPECT_WAIT;
	if (n_crashes < MIN_CRASHES + MAX_FAILED_TRIALS &&
	    gc_ms_between(newest, now) >= pause_ms &&
	    (unshared || any_daemon_tries ||
	     key % suspects->n_daemons == suspects->rank) &&
	    take_trial(suspects, now, key))
		return GC_SUSPECT_TRY;
	return GC_SUSPECT_REFUSE;
}

static void collect_evidence(const gc_crash_suspects_t *suspects,
			     uint64_t trait, evidence_t *evidence)
{
	*evidence = (evidence_t){0};
	for (size_t i = 0; i < suspects->n_reports; i++) {
		const report_t *report = &suspects->reports[i];
		crash_t *crash;
		trait_set_t traits;

		if (!is_unserved(report, trait))
			continue;
		crash = find_crash(evidence, report->report.server);
		if (crash) {
			crash->resent |= report->report.resent;
			crash->pending &= report->pending;
			continue;
		}
		if (evidence->n == MAX_CRASHES)
			continue;
		if (trait == report->report.traits.request)
			traits = (trait_set_t){{trait}, 1};
		else
			traits = parts_of_crash(suspects, report->report.server,
						trait);
		if (evidence->n == 0)
			evidence->suspects = traits;
		else
			keep_common(&evidence->suspects, &traits);
		evidence->crashes[evidence->n++] = (crash_t){
			.server = report->report.server,
			.domain = report->report.domain,
			.at_ms = report->report.at_ms,
			.resent = report->report.resent,
			.pending = report->pending,
		};
		evidence->newest = report->arrived;
		evidence->unshared = report->revision == 0;
	}
}

static crash_t *find_crash(evidence_t *evidence, uint64_t server)
{
	for (size_t i = 0; i < evidence->n; i++)
		if (evidence->crashes[i].server == server)
			return &evidence->crashes[i];
	return NULL;
}

/*
 * Crashes of one moment in a failure domain that seem to come from outside count
 * once, and those in all domains if many servers were lost. A request that was sent on after a crash got to the next
 * server later, so that its crash is another one in any case.
 */
static size_t count_crashes(const gc_crash_suspects_t *suspects,
			    const evidence_t *evidence, bool settled_only)
{
	const crash_t *events[MAX_CRASHES];
	size_t n_events = 0;
	size_t n = 0;

	for (size_t i = 0; i < evidence->n; i++) {
		const crash_t *crash = &evidence->crashes[i];
		bool counted = false;

		if (settled_only && crash->pending)
			continue;
		if (crash->resent ||
		    !is_mass_crash(suspects, evidence, crash)) {
			n++;
			continue;
		}
		for (size_t j = 0; j < n_events; j++)
			counted |= is_same_event(events[j], crash->domain,
						 crash->at_ms) ||
				   (is_same_time(events[j], crash->at_ms) &&
				    is_widespread(suspects, crash));
		if (counted)
			continue;
		events[n_events++] = crash;
		n++;
	}
	return n;
}

/*
 * True if several servers of the failure domain crashed at about that time, or
 * one that had no request with the trait.
 */
static bool is_mass_crash(const gc_crash_suspects_t *suspects,
			  const evidence_t *evidence, const crash_t *crash)
{
	size_t n = 0;

	for (size_t i = 0; i < evidence->n; i++)
		n += is_same_event(crash, evidence->crashes[i].domain,
				   evidence->crashes[i].at_ms);
	if (n >= MASS_SERVERS)
		return true;
	for (size_t i = 0; i < suspects->n_reports; i++) {
		const gc_crash_report_t *other = &suspects->reports[i].report;
		bool has_trait = false;

		if (!is_same_event(crash, other->domain, other->at_ms))
			continue;
		for (size_t j = 0; j < evidence->n; j++)
			has_trait |=
				evidence->crashes[j].server == other->server;
		if (!has_trait)
			return true;
	}
	return false;
}

/* True if so many servers were lost at about that time that few requests can't
 * be the cause. */
static bool is_widespread(const gc_crash_suspects_t *suspects,
			  const crash_t *crash)
{
	uint64_t servers[MANY_SERVERS];
	size_t n = 0;

	for (size_t i = 0; i < suspects->n_reports && n < MANY_SERVERS; i++) {
		const gc_crash_report_t *other = &suspects->reports[i].report;
		bool known = false;

		if (!is_same_time(crash, other->at_ms))
			continue;
		for (size_t j = 0; j < n; j++)
			known |= servers[j] == other->server;
		if (!known)
			servers[n++] = other->server;
	}
	return n == MANY_SERVERS;
}

static bool is_same_event(const crash_t *crash, uint64_t domain, int64_t at_ms)
{
	return crash->domain == domain && is_same_time(crash, at_ms);
}

static bool is_same_time(const crash_t *crash, int64_t at_ms)
{
	return at_ms >= crash->at_ms - SAME_EVENT_MS &&
	       at_ms <= crash->at_ms + SAME_EVENT_MS;
}

/*
 * The unserved parts of all requests with `part` that the crash of a server
 * broke off: the one that caused it, and sound ones beside it.
 */
static trait_set_t parts_of_crash(const gc_crash_suspects_t *suspects,
				  uint64_t server, uint64_t part)
{
	trait_set_t set = {.n = 0};

	for (size_t i = 0; i < suspects->n_reports; i++) {
		const report_t *report = &suspects->reports[i];
		const gc_request_traits_t *traits = &report->report.traits;

		if (report->report.server != server ||
		    !is_unserved(report, part))
			continue;
		for (size_t j = 0; j < traits->n_parts; j++)
			if (is_unserved(report, traits->parts[j]))
				add_to_set(&set, traits->parts[j]);
	}
	return set;
}

/*
 * True if each of these crashes also broke off a request with a trait that this
 * one lacks. *outweighed: that trait was in further crashes, so that it is the
 * likelier cause and any daemon may try this one.
 */
static bool has_rival(const gc_crash_suspects_t *suspects,
		      const evidence_t *evidence,
		      const gc_request_traits_t *own, bool *outweighed)
{
	trait_set_t rivals = {.n = 0};
	bool found = false;

	for (size_t i = 0; i < suspects->n_reports; i++) {
		const report_t *report = &suspects->reports[i];
		const gc_request_traits_t *traits = &report->report.traits;

		if (report->report.server != evidence->crashes[0].server)
			continue;
		for (size_t j = 0; j < n_traits(traits); j++) {
			uint64_t trait = trait_at(traits, j);

			if (find_trait(own, trait) < 0 &&
			    is_unserved(report, trait) &&
			    count_of(suspects, trait) >= evidence->n &&
			    rivals.n < MAX_RIVALS)
				add_to_set(&rivals, trait);
		}
	}
	for (size_t i = 0; i < rivals.n; i++) {
		evidence_t rival;

		collect_evidence(suspects, rivals.ids[i], &rival);
		if (!covers(&rival, evidence))
			continue;
		found = true;
		*outweighed |= rival.n > evidence->n;
	}
	return found;
}

static bool covers(evidence_t *rival, const evidence_t *evidence)
{
	for (size_t i = 0; i < evidence->n; i++)
		if (!find_crash(rival, evidence->crashes[i].server))
			return false;
	return true;
}

static void add_to_set(trait_set_t *set, uint64_t trait)
{
	if (!set_has(set, trait) && set->n < MAX_SET_TRAITS)
		set->ids[set->n++] = trait;
}

static bool set_has(const trait_set_t *set, uint64_t trait)
{
	for (size_t i = 0; i < set->n; i++)
		if (set->ids[i] == trait)
			return true;
	return false;
}

static bool is_unserved(const report_t *report, uint64_t trait)
{
	int index = find_trait(&report->report.traits, trait);

	return index >= 0 &&
	       !((report->served_here | report->served_elsewhere) &
		 (1U << index));
}

static void keep_common(trait_set_t *set, const trait_set_t *others)
{
	size_t n = 0;

	for (size_t i = 0; i < set->n; i++)
		if (set_has(others, set->ids[i]))
			set->ids[n++] = set->ids[i];
	set->n = n;
}

static bool contains_all(const gc_request_traits_t *traits,
			 const trait_set_t *set)
{
	for (size_t i = 0; i < set->n; i++)
		if (find_trait(traits, set->ids[i]) < 0)
			return false;
	return true;
}

/* False if the trait was tried recently or too many traits were. */
static bool take_trial(gc_crash_suspects_t *suspects, struct timespec now,
		       uint64_t trait)
{
	trial_t *trial = find_trial(suspects, now, trait);

	if (!trial)
		return false;
	if (!trial->used)
		*trial = (trial_t){
			.trait = trait,
			.pause_ms = TRIAL_INTERVAL_MS,
			.used = true,
		};
	else if (gc_ms_between(trial->at, now) < trial->pause_ms)
		return false;
	trial->at = now;
	trial->pause_ms *= 2;
	return true;
}

/* The trait's trials, or a free entry, or NULL. */
static trial_t *find_trial(gc_crash_suspects_t *suspects, struct timespec now,
			   uint64_t trait)
{
	trial_t *free_trial = NULL;

	for (size_t i = 0; i < MAX_TRIALS; i++) {
		trial_t *trial = &suspects->trials[i];

		if (trial->used &&
		    gc_ms_between(trial->at, now) >= REPORT_AGE_MS)
			trial->used = false;
		if (!trial->used)
			free_trial = trial;
		else if (trial->trait == trait)
			return trial;
	}
	return free_trial;
}
