/* Which crashes count for a trait, and what else may explain them. */
#include "core/crash_suspects_private.h"

/* Servers of one failure domain that crash within this time may have one cause
 * that lies outside their requests. */
#define SAME_EVENT_MS 300
/* Number of such servers that points to an outside cause. */
#define MASS_SERVERS 3
/* The same in all failure domains together. */
#define MANY_SERVERS 8
/* Other traits that are compared with a suspected one. */
#define MAX_RIVALS 16

static bool is_mass_crash(const gc_crash_suspects_t *suspects,
			  const evidence_t *evidence, const crash_t *crash);
static bool is_widespread(const gc_crash_suspects_t *suspects,
			  const crash_t *crash);
static bool is_same_event(const crash_t *crash, uint64_t domain, int64_t at_ms);
static bool is_same_time(const crash_t *crash, int64_t at_ms);
static trait_set_t parts_of_crash(const gc_crash_suspects_t *suspects,
				  uint64_t server, uint64_t part);
static bool covers(evidence_t *rival, const evidence_t *evidence);
static void add_to_set(trait_set_t *set, uint64_t trait);
static bool set_has(const trait_set_t *set, uint64_t trait);
static void keep_common(trait_set_t *set, const trait_set_t *others);

void gc_crash_evidence_collect(const gc_crash_suspects_t *suspects,
			       uint64_t trait, evidence_t *evidence)
{
	*evidence = (evidence_t){0};
	for (size_t i = 0; i < suspects->n_reports; i++) {
		const report_t *report = &suspects->reports[i];
		crash_t *crash;
		trait_set_t traits;

		if (!gc_crash_report_is_unserved(report, trait))
			continue;
		crash = gc_crash_evidence_find(evidence, report->report.server);
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

crash_t *gc_crash_evidence_find(evidence_t *evidence, uint64_t server)
{
	for (size_t i = 0; i < evidence->n; i++)
		if (evidence->crashes[i].server == server)
			return &evidence->crashes[i];
	return NULL;
}

/*
 * Crashes of one moment in a failure domain that seem to come from outside count
 * once, and those in all domains if many servers were lost. A request that was
 * sent on after a crash got to the next server later, so that its crash is
 * another one in any case.
 */
size_t gc_crash_evidence_count(const gc_crash_suspects_t *suspects,
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
		    !gc_crash_report_is_unserved(report, part))
			continue;
		for (size_t j = 0; j < traits->n_parts; j++)
			if (gc_crash_report_is_unserved(report,
							traits->parts[j]))
				add_to_set(&set, traits->parts[j]);
	}
	return set;
}

bool gc_crash_evidence_has_rival(const gc_crash_suspects_t *suspects,
				 const evidence_t *evidence,
				 const gc_request_traits_t *own,
				 bool *outweighed)
{
	trait_set_t rivals = {.n = 0};
	bool found = false;

	for (size_t i = 0; i < suspects->n_reports; i++) {
		const report_t *report = &suspects->reports[i];
		const gc_request_traits_t *traits = &report->report.traits;

		if (report->report.server != evidence->crashes[0].server)
			continue;
		for (size_t j = 0; j < gc_request_traits_count(traits); j++) {
			uint64_t trait = gc_request_traits_at(traits, j);

			if (gc_request_traits_find(own, trait) < 0 &&
			    gc_crash_report_is_unserved(report, trait) &&
			    gc_crash_suspects_count(suspects, trait) >=
				    evidence->n &&
			    rivals.n < MAX_RIVALS)
				add_to_set(&rivals, trait);
		}
	}
	for (size_t i = 0; i < rivals.n; i++) {
		evidence_t rival;

		gc_crash_evidence_collect(suspects, rivals.ids[i], &rival);
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
		if (!gc_crash_evidence_find(rival, evidence->crashes[i].server))
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

static void keep_common(trait_set_t *set, const trait_set_t *others)
{
	size_t n = 0;

	for (size_t i = 0; i < set->n; i++)
		if (set_has(others, set->ids[i]))
			set->ids[n++] = set->ids[i];
	set->n = n;
}

bool gc_crash_evidence_contained(const gc_request_traits_t *traits,
				 const trait_set_t *set)
{
	for (size_t i = 0; i < set->n; i++)
		if (gc_request_traits_find(traits, set->ids[i]) < 0)
			return false;
	return true;
}
