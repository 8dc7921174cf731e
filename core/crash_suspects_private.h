/* Data shared by core/crash_suspects.c and core/crash_evidence.c. */
#ifndef GC_CORE_CRASH_SUSPECTS_PRIVATE_H
#define GC_CORE_CRASH_SUSPECTS_PRIVATE_H

#include <stdbool.h>

#include <glib.h>

#include "core/clock.h"
#include "core/crash_suspects.h"

#define MAX_REPORTS    1024
#define MAX_SERVED     4096
#define MAX_TRIALS     64
#define MAX_SET_TRAITS 64
/* Crashes of one trait that are looked at, from the oldest. */
#define MAX_CRASHES 32

typedef struct report {
	gc_crash_report_t report;
	struct timespec arrived;
	struct timespec expires;
	uint64_t revision;
	bool kept; /* it counts for a trait that is refused */
	bool pending; /* it isn't known yet whether the server crashed */
	bool refuted; /* it didn't */
	/* Bits by index of the trait, see gc_request_traits_at. */
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

/* Reports with a trait, served or not. */
typedef struct trait_count {
	uint64_t trait;
	size_t n;
	bool due; /* not looked at since a report was added */
	/* Crashes for which gc_crash_suspects_keep last returned the trait; 0: not
	 * yet, or the store may have lost them. */
	size_t n_told;
	struct timespec told_at;
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
	/* A trait was served since take_served last returned all. */
	bool newly_served;
	bool has_due; /* traits that are due */
};

/* The traits are numbered: the request is 0, parts follow. */
size_t gc_request_traits_count(const gc_request_traits_t *traits);
uint64_t gc_request_traits_at(const gc_request_traits_t *traits, size_t i);
/* Index of the trait, or -1. */
int gc_request_traits_find(const gc_request_traits_t *traits, uint64_t trait);
/* Reports with the trait, served or not. */
size_t gc_crash_suspects_count(const gc_crash_suspects_t *suspects,
			       uint64_t trait);
/* True if the report counts for the trait. */
bool gc_crash_report_is_unserved(const report_t *report, uint64_t trait);

/* The crashes that count for a trait. */
void gc_crash_evidence_collect(const gc_crash_suspects_t *suspects,
			       uint64_t trait, evidence_t *evidence);
/* NULL if the server isn't among them. */
crash_t *gc_crash_evidence_find(evidence_t *evidence, uint64_t server);
/* Independent crashes; settled_only: without those that are pending. */
size_t gc_crash_evidence_count(const gc_crash_suspects_t *suspects,
			       const evidence_t *evidence, bool settled_only);
/*
 * True if each of these crashes also broke off a request with a trait that this
 * one lacks. *outweighed: that trait was in further crashes, so that it is the
 * likelier cause and any daemon may try this one.
 */
bool gc_crash_evidence_has_rival(const gc_crash_suspects_t *suspects,
				 const evidence_t *evidence,
				 const gc_request_traits_t *own,
				 bool *outweighed);
/* True if the request has all traits of the set. */
bool gc_crash_evidence_contained(const gc_request_traits_t *traits,
				 const trait_set_t *set);

#endif
