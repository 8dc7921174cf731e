/* Traits of requests under which backend servers crash. */
#include <string.h>

#include "core/crash_suspects_private.h"

/* Crashes that broke off a trait before requests with it are refused. */
#define MIN_CRASHES 3
/* Crashes before other daemons are told of a service, so that they don't count
 * them. */
#define MIN_CRASHES_TO_TELL 2
#define REPORT_AGE_MS	    600000
/* The same for reports on a trait that is refused. */
#define KEPT_AGE_MS (INT64_C(24) * 60 * 60 * 1000)
/* Interval at which they are told again; shorter than the notices last. */
#define TELL_AGAIN_MS 240000
/* Daemons that tell them. One may be gone, or have started without the
 * reports. */
#define N_TELLING 3
/* Pause before the first trial of a refused trait; doubles with each further
 * one, as a trial may cost a server. */
#define TRIAL_INTERVAL_MS 30000
/* The same if all these crashes may be due to another trait. */
#define AMBIGUOUS_TRIAL_MS 3000
/* Trials that may crash a server before there are no more. */
#define MAX_FAILED_TRIALS 3

static int suspects_destructor(gc_crash_suspects_t *suspects);
static report_t *add_report(gc_crash_suspects_t *suspects, struct timespec now,
			    const gc_crash_report_t *report);
static report_t *find_report(gc_crash_suspects_t *suspects, uint64_t id);
static void remove_report(gc_crash_suspects_t *suspects, size_t index);
static size_t least_useful_report(const gc_crash_suspects_t *suspects);
static void count_traits(gc_crash_suspects_t *suspects,
			 const gc_request_traits_t *traits, bool added);
static void set_revision(const gc_crash_suspects_t *suspects, report_t *report,
			 uint64_t revision);
static void drop_expired(gc_crash_suspects_t *suspects, struct timespec now);
static void mark_due(gc_crash_suspects_t *suspects, const report_t *report);
static size_t keep(gc_crash_suspects_t *suspects, struct timespec now, bool all,
		   gc_crash_evidence_t *evidence, size_t max);
static bool keep_trait(gc_crash_suspects_t *suspects, struct timespec now,
		       gc_crash_evidence_t *kept);
static bool is_to_be_told(const gc_crash_suspects_t *suspects,
			  struct timespec now, const trait_count_t *count,
			  gc_crash_evidence_t *kept);
static bool take_trial(gc_crash_suspects_t *suspects, struct timespec now,
		       uint64_t trait);
static trial_t *find_trial(gc_crash_suspects_t *suspects, struct timespec now,
			   uint64_t trait);
static uint64_t served_revision(const gc_crash_suspects_t *suspects,
				uint64_t trait);
static bool take_told(gc_crash_suspects_t *suspects, uint64_t trait);

void gc_request_traits_add_part(gc_request_traits_t *traits, uint64_t part)
{
	if (gc_request_traits_find(traits, part) < 0 &&
	    traits->n_parts < GC_REQUEST_PARTS_MAX)
		traits->parts[traits->n_parts++] = part;
}

/* The traits are numbered: the request is 0, parts follow. */
size_t gc_request_traits_count(const gc_request_traits_t *traits)
{
	return traits->n_parts + 1;
}

uint64_t gc_request_traits_at(const gc_request_traits_t *traits, size_t i)
{
	return i == 0 ? traits->request : traits->parts[i - 1];
}

/* Index of the trait, or -1. */
int gc_request_traits_find(const gc_request_traits_t *traits, uint64_t trait)
{
	for (size_t i = 0; i < gc_request_traits_count(traits); i++)
		if (trait != 0 && gc_request_traits_at(traits, i) == trait)
			return (int)i;
	return -1;
}

size_t gc_crash_suspects_count(const gc_crash_suspects_t *suspects,
			       uint64_t trait)
{
	const trait_count_t *count =
		g_hash_table_lookup(suspects->counts, &trait);

	return count ? count->n : 0;
}

bool gc_crash_report_is_unserved(const report_t *report, uint64_t trait)
{
	int index = gc_request_traits_find(&report->report.traits, trait);

	return index >= 0 && !report->refuted &&
	       !((report->served_here | report->served_elsewhere) &
		 (1U << index));
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
	if (!entry) {
		entry = add_report(suspects, now, report);
		mark_due(suspects, entry);
	}
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
	if (!crashed) {
		remove_report(suspects, (size_t)(entry - suspects->reports));
		return;
	}
	entry->pending = false;
	entry->refuted = false;
	mark_due(suspects, entry);
}

void gc_crash_suspects_refute(gc_crash_suspects_t *suspects, uint64_t id)
{
	report_t *entry = find_report(suspects, id);

	if (!entry)
		return;
	entry->pending = false;
	entry->refuted = true;
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

/* The oldest one that is refuted or says nothing together with others, so that many crashes of
 * other causes don't displace those that count. */
static size_t least_useful_report(const gc_crash_suspects_t *suspects)
{
	for (size_t i = 0; i < suspects->n_reports; i++) {
		const gc_request_traits_t *traits =
			&suspects->reports[i].report.traits;
		bool recurs = false;

		if (suspects->reports[i].refuted)
			return i;
		for (size_t j = 0; j < gc_request_traits_count(traits); j++)
			recurs |= gc_crash_suspects_count(
					  suspects,
					  gc_request_traits_at(traits, j)) > 1;
		if (!recurs)
			return i;
	}
	return 0;
}

static void count_traits(gc_crash_suspects_t *suspects,
			 const gc_request_traits_t *traits, bool added)
{
	for (size_t i = 0; i < gc_request_traits_count(traits); i++) {
		uint64_t trait = gc_request_traits_at(traits, i);
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

/* Its traits may be refused now, or for one more crash. */
static void mark_due(gc_crash_suspects_t *suspects, const report_t *report)
{
	const gc_request_traits_t *traits = &report->report.traits;

	for (size_t i = 0; i < gc_request_traits_count(traits); i++) {
		uint64_t trait = gc_request_traits_at(traits, i);
		trait_count_t *count =
			g_hash_table_lookup(suspects->counts, &trait);

		if (!count || count->n < MIN_CRASHES)
			continue;
		count->due = true;
		suspects->has_due = true;
	}
}

/* Notices of services that are older than the report don't clear it. */
static void set_revision(const gc_crash_suspects_t *suspects, report_t *report,
			 uint64_t revision)
{
	if (revision == 0)
		return;
	report->revision = revision;
	for (size_t i = 0; i < gc_request_traits_count(&report->report.traits);
	     i++)
		if (served_revision(suspects,
				    gc_request_traits_at(&report->report.traits,
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
	return keep(suspects, now, true, evidence, max);
}

size_t gc_crash_suspects_keep_due(gc_crash_suspects_t *suspects,
				  struct timespec now,
				  gc_crash_evidence_t *evidence, size_t max)
{
	return keep(suspects, now, false, evidence, max);
}

bool gc_crash_suspects_has_due(const gc_crash_suspects_t *suspects)
{
	return suspects->has_due;
}

void gc_crash_suspects_store_restored(gc_crash_suspects_t *suspects)
{
	GHashTableIter iter;
	trait_count_t *count;

	g_hash_table_iter_init(&iter, suspects->counts);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&count)) {
		count->n_told = 0;
		count->due = count->n >= MIN_CRASHES;
		suspects->has_due |= count->due;
	}
}

/* all: also traits that aren't due. What isn't returned for want of space is
 * due. */
static size_t keep(gc_crash_suspects_t *suspects, struct timespec now, bool all,
		   gc_crash_evidence_t *evidence, size_t max)
{
	GHashTableIter iter;
	trait_count_t *count;
	size_t n = 0;

	drop_expired(suspects, now);
	suspects->has_due = false;
	/* Nothing is added to or removed from the table meanwhile. */
	g_hash_table_iter_init(&iter, suspects->counts);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&count)) {
		gc_crash_evidence_t kept = {.trait = count->trait};

		if (!all && !count->due)
			continue;
		count->due = false;
		if (count->n < MIN_CRASHES ||
		    !keep_trait(suspects, now, &kept)) {
			count->n_told = 0;
			continue;
		}
		if (!is_to_be_told(suspects, now, count, &kept))
			continue;
		if (n == max) {
			count->due = true;
			suspects->has_due = true;
			continue;
		}
		count->n_told = kept.n;
		count->told_at = now;
		evidence[n++] = kept;
	}
	return n;
}

/* False if the trait isn't refused. Fills the rest of *kept. */
static bool keep_trait(gc_crash_suspects_t *suspects, struct timespec now,
		       gc_crash_evidence_t *kept)
{
	evidence_t evidence;

	gc_crash_evidence_collect(suspects, kept->trait, &evidence);
	if (gc_crash_evidence_count(suspects, &evidence, true) < MIN_CRASHES)
		return false;
	for (size_t i = 0; i < suspects->n_reports; i++) {
		report_t *report = &suspects->reports[i];
		crash_t *crash = gc_crash_evidence_find(&evidence,
							report->report.server);

		if (!crash || report->pending ||
		    !gc_crash_report_is_unserved(report, kept->trait))
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

/* True for a few daemons of the fleet in turn, at most every TELL_AGAIN_MS for the
 * same crashes. Sets the turn. */
static bool is_to_be_told(const gc_crash_suspects_t *suspects,
			  struct timespec now, const trait_count_t *count,
			  gc_crash_evidence_t *kept)
{
	size_t first = count->trait % suspects->n_daemons;

	kept->turn = (suspects->rank + suspects->n_daemons - first) %
		     suspects->n_daemons;
	return kept->turn < N_TELLING &&
	       (count->n_told < kept->n ||
		gc_ms_between(count->told_at, now) >= TELL_AGAIN_MS);
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
		int index =
			gc_request_traits_find(&report->report.traits, trait);

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

	for (size_t i = 0; i < gc_request_traits_count(traits); i++)
		known |= gc_crash_suspects_count(
				 suspects, gc_request_traits_at(traits, i)) > 0;
	if (!known)
		return;
	drop_expired(suspects, now);
	for (size_t i = 0; i < suspects->n_reports; i++) {
		report_t *report = &suspects->reports[i];

		if (gc_us_between(report->arrived, now) <= 0)
			continue;
		for (size_t j = 0; j < gc_request_traits_count(traits); j++) {
			int index = gc_request_traits_find(
				&report->report.traits,
				gc_request_traits_at(traits, j));

			if (index < 0 || report->served_here & (1U << index))
				continue;
			report->served_here |= 1U << index;
			suspects->newly_served = true;
		}
	}
}

void gc_crash_suspects_record_alive(gc_crash_suspects_t *suspects,
				    struct timespec sent, uint64_t server)
{
	for (size_t i = suspects->n_reports; i-- > 0;)
		if (suspects->reports[i].report.server == server &&
		    !suspects->reports[i].refuted &&
		    gc_us_between(suspects->reports[i].arrived, sent) > 0)
			remove_report(suspects, i);
}

bool gc_crash_suspects_has_report(const gc_crash_suspects_t *suspects,
				  struct timespec sent, uint64_t server)
{
	for (size_t i = 0; i < suspects->n_reports; i++)
		if (suspects->reports[i].report.server == server &&
		    gc_us_between(suspects->reports[i].arrived, sent) > 0)
			return true;
	return false;
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
		     j < gc_request_traits_count(&report->report.traits) &&
		     n < max;
		     j++) {
			uint64_t trait =
				gc_request_traits_at(&report->report.traits, j);

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
		int index =
			gc_request_traits_find(&report->report.traits, trait);
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

	for (size_t i = 0; i < gc_request_traits_count(traits); i++) {
		uint64_t trait = gc_request_traits_at(traits, i);
		evidence_t evidence;
		bool ambiguous;
		size_t n;

		if (gc_crash_suspects_count(suspects, trait) < MIN_CRASHES)
			continue;
		drop_expired(suspects, now);
		gc_crash_evidence_collect(suspects, trait, &evidence);
		n = gc_crash_evidence_count(suspects, &evidence, false);
		if (n < MIN_CRASHES ||
		    !gc_crash_evidence_contained(traits, &evidence.suspects))
			continue;
		ambiguous = gc_crash_evidence_has_rival(
			suspects, &evidence, traits, &any_daemon_tries);
		settled |= gc_crash_evidence_count(suspects, &evidence, true) >=
			   MIN_CRASHES;
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
