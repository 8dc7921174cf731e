/* Traits of prompts under which backend servers crash. */
#include <stdbool.h>

#include <glib.h>

#include "core/clock.h"
#include "core/crash_suspects.h"

/* Reports that contain a trait before requests with it are refused. */
#define MIN_REPORTS 3
/* Reports before other daemons are told of a service, so that they don't count
 * those reports. */
#define MIN_REPORTS_TO_TELL 2
/* Servers that crash within this time may have one cause that lies outside
 * their prompts. */
#define SAME_EVENT_MS 300
#define REPORT_AGE_MS 600000
/* Pause before the first trial of a refused trait; doubles with each further
 * one, as a trial may cost a server. */
#define TRIAL_INTERVAL_MS 30000

#define MAX_REPORTS    256
#define MAX_SERVED     4096
#define MAX_TRIALS     64
#define MAX_SET_TRAITS 64

typedef struct report {
	gc_crash_report_t report;
	struct timespec arrived;
	uint64_t revision;
	/* Bits by index in report.traits. */
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

/* Traits of several requests. */
typedef struct trait_set {
	uint64_t ids[MAX_SET_TRAITS];
	size_t n;
} trait_set_t;

/* The crashes that count for a trait. */
typedef struct evidence {
	size_t n;
	struct timespec newest; /* arrival of a report */
	bool unshared; /* that report hasn't come from the store */
	/* Traits that occur in each of these crashes and were not served. */
	trait_set_t suspects;
} evidence_t;

struct gc_crash_suspects {
	size_t rank;
	size_t n_daemons;
	report_t reports[MAX_REPORTS]; /* ring, oldest first */
	size_t first_report;
	size_t n_reports;
	served_t served[MAX_SERVED]; /* ring, by other daemons */
	size_t next_served;
	size_t n_served;
	trial_t trials[MAX_TRIALS];
	/* A trait was served since take_served last returned all. */
	bool newly_served;
};

static void set_revision(const gc_crash_suspects_t *suspects, report_t *report,
			 uint64_t revision);
static void drop_expired(gc_crash_suspects_t *suspects, struct timespec now);
static report_t *report_at(gc_crash_suspects_t *suspects, size_t i);
static int find_trait(const gc_request_traits_t *traits, uint64_t trait);
static bool contains_all(const gc_request_traits_t *traits,
			 const trait_set_t *set);
static bool is_same_event(const int64_t *at_ms, size_t n, int64_t other_ms);
static evidence_t collect_evidence(gc_crash_suspects_t *suspects,
				   uint64_t trait);
static gc_request_traits_t unserved_traits(const report_t *report);
static trait_set_t traits_of_event(gc_crash_suspects_t *suspects, int64_t at_ms,
				   uint64_t trait);
static void add_to_set(trait_set_t *set, uint64_t trait);
static bool set_has(const trait_set_t *set, uint64_t trait);
static void keep_common(trait_set_t *set, const trait_set_t *others);
static bool take_trial(gc_crash_suspects_t *suspects, struct timespec now,
		       uint64_t trait);
static trial_t *find_trial(gc_crash_suspects_t *suspects, struct timespec now,
			   uint64_t trait);
static uint64_t served_revision(const gc_crash_suspects_t *suspects,
				uint64_t trait);
static bool take_told(gc_crash_suspects_t *suspects, uint64_t trait);

void gc_request_traits_add(gc_request_traits_t *traits, uint64_t trait)
{
	if (find_trait(traits, trait) < 0 && traits->n < GC_REQUEST_TRAITS_MAX)
		traits->ids[traits->n++] = trait;
}

gc_crash_suspects_t *gc_crash_suspects_create(TALLOC_CTX *mem)
{
	gc_crash_suspects_t *suspects = talloc_zero(mem, gc_crash_suspects_t);

	suspects->n_daemons = 1;
	return suspects;
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
	report_t *added;

	drop_expired(suspects, now);
	for (size_t i = 0; i < suspects->n_reports; i++) {
		report_t *known = report_at(suspects, i);

		if (known->report.id == report->id) {
			set_revision(suspects, known, revision);
			return;
		}
	}
	if (suspects->n_reports == MAX_REPORTS) {
		suspects->first_report =
			(suspects->first_report + 1) % MAX_REPORTS;
		suspects->n_reports--;
	}
	added = report_at(suspects, suspects->n_reports++);
	*added = (report_t){
		.report = *report,
		.arrived = now,
	};
	added->report.traits.n = 0;
	for (size_t i = 0; i < MIN(report->traits.n, GC_REQUEST_TRAITS_MAX);
	     i++)
		gc_request_traits_add(&added->report.traits,
				      report->traits.ids[i]);
	set_revision(suspects, added, revision);
}

/* Notices of services that are older than the report don't clear it. */
static void set_revision(const gc_crash_suspects_t *suspects, report_t *report,
			 uint64_t revision)
{
	if (revision == 0)
		return;
	report->revision = revision;
	for (size_t i = 0; i < report->report.traits.n; i++)
		if (served_revision(suspects, report->report.traits.ids[i]) >
		    revision)
			report->served_elsewhere |= 1U << i;
}

static void drop_expired(gc_crash_suspects_t *suspects, struct timespec now)
{
	while (suspects->n_reports > 0 &&
	       gc_ms_between(report_at(suspects, 0)->arrived, now) >=
		       REPORT_AGE_MS) {
		suspects->first_report =
			(suspects->first_report + 1) % MAX_REPORTS;
		suspects->n_reports--;
	}
}

static report_t *report_at(gc_crash_suspects_t *suspects, size_t i)
{
	return &suspects->reports[(suspects->first_report + i) % MAX_REPORTS];
}

/* Index of the trait, or -1. */
static int find_trait(const gc_request_traits_t *traits, uint64_t trait)
{
	for (size_t i = 0; i < traits->n; i++)
		if (traits->ids[i] == trait)
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
		report_t *report = report_at(suspects, i);
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
	drop_expired(suspects, now);
	for (size_t i = 0; i < suspects->n_reports; i++) {
		report_t *report = report_at(suspects, i);

		if (gc_us_between(report->arrived, now) <= 0)
			continue;
		for (size_t j = 0; j < traits->n; j++) {
			int index = find_trait(&report->report.traits,
					       traits->ids[j]);

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
		const report_t *report = report_at(suspects, i);

		for (size_t j = 0; j < report->report.traits.n && n < max; j++)
			if ((report->served_here & ~report->told) & (1U << j) &&
			    take_told(suspects, report->report.traits.ids[j]))
				traits[n++] = report->report.traits.ids[j];
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
	int64_t at_ms[MAX_REPORTS];
	report_t *newest = NULL;
	int newest_index = 0;
	size_t n = 0;

	for (size_t i = 0; i < suspects->n_reports; i++) {
		report_t *report = report_at(suspects, i);
		int index = find_trait(&report->report.traits, trait);

		if (index < 0 || report->served_elsewhere & (1U << index))
			continue;
		newest = report;
		newest_index = index;
		if (!is_same_event(at_ms, n, report->report.at_ms))
			at_ms[n++] = report->report.at_ms;
	}
	if (n < MIN_REPORTS_TO_TELL ||
	    !((newest->served_here & ~newest->told) & (1U << newest_index)))
		return false;
	newest->told |= 1U << newest_index;
	return true;
}

static bool is_same_event(const int64_t *at_ms, size_t n, int64_t other_ms)
{
	for (size_t i = 0; i < n; i++)
		if (other_ms >= at_ms[i] - SAME_EVENT_MS &&
		    other_ms <= at_ms[i] + SAME_EVENT_MS)
			return true;
	return false;
}

gc_suspect_verdict_t gc_crash_suspects_judge(gc_crash_suspects_t *suspects,
					     struct timespec now,
					     const gc_request_traits_t *traits)
{
	/* Stands for all suspects of the request, so that the daemons agree on
	 * who tries it. */
	uint64_t key = UINT64_MAX;
	struct timespec newest = {0};
	bool blocked = false;
	bool unshared = false;

	drop_expired(suspects, now);
	if (suspects->n_reports < MIN_REPORTS)
		return GC_SUSPECT_SEND;
	for (size_t i = 0; i < traits->n; i++) {
		evidence_t evidence =
			collect_evidence(suspects, traits->ids[i]);

		if (evidence.n < MIN_REPORTS ||
		    !contains_all(traits, &evidence.suspects))
			continue;
		if (!blocked || gc_us_between(newest, evidence.newest) > 0) {
			newest = evidence.newest;
			unshared = evidence.unshared;
		}
		blocked = true;
		for (size_t j = 0; j < evidence.suspects.n; j++)
			if (evidence.suspects.ids[j] < key)
				key = evidence.suspects.ids[j];
	}
	if (!blocked)
		return GC_SUSPECT_SEND;
	if (gc_ms_between(newest, now) >= TRIAL_INTERVAL_MS &&
	    (unshared || key % suspects->n_daemons == suspects->rank) &&
	    take_trial(suspects, now, key))
		return GC_SUSPECT_TRY;
	return GC_SUSPECT_REFUSE;
}

static evidence_t collect_evidence(gc_crash_suspects_t *suspects,
				   uint64_t trait)
{
	int64_t at_ms[MAX_REPORTS];
	evidence_t evidence = {0};

	for (size_t i = 0; i < suspects->n_reports; i++) {
		const report_t *report = report_at(suspects, i);
		gc_request_traits_t unserved = unserved_traits(report);
		trait_set_t traits;

		if (find_trait(&unserved, trait) < 0 ||
		    is_same_event(at_ms, evidence.n, report->report.at_ms))
			continue;
		traits = traits_of_event(suspects, report->report.at_ms, trait);
		if (evidence.n == 0)
			evidence.suspects = traits;
		else
			keep_common(&evidence.suspects, &traits);
		at_ms[evidence.n++] = report->report.at_ms;
		evidence.newest = report->arrived;
		evidence.unshared = report->revision == 0;
	}
	return evidence;
}

/*
 * The unserved traits of all requests with `trait` that a crash broke off: the
 * one that caused it, and sound ones at the same server.
 */
static trait_set_t traits_of_event(gc_crash_suspects_t *suspects, int64_t at_ms,
				   uint64_t trait)
{
	trait_set_t set = {.n = 0};

	for (size_t i = 0; i < suspects->n_reports; i++) {
		const report_t *report = report_at(suspects, i);
		gc_request_traits_t unserved;

		if (!is_same_event(&at_ms, 1, report->report.at_ms))
			continue;
		unserved = unserved_traits(report);
		if (find_trait(&unserved, trait) < 0)
			continue;
		for (size_t j = 0; j < unserved.n; j++)
			add_to_set(&set, unserved.ids[j]);
	}
	return set;
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

/* The traits that this report counts for. */
static gc_request_traits_t unserved_traits(const report_t *report)
{
	const gc_request_traits_t *traits = &report->report.traits;
	gc_request_traits_t unserved = {.n = 0};

	for (size_t i = 0; i < traits->n; i++)
		if (!((report->served_here | report->served_elsewhere) &
		      (1U << i)))
			unserved.ids[unserved.n++] = traits->ids[i];
	return unserved;
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
