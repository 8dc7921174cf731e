/*
 * Finds what requests under which backend servers crash have in common, and
 * decides which requests are still sent. Such a request crashes each server that
 * begins to run it, together with all other work there. Not thread-safe.
 *
 * Daemons exchange two kinds of notices through the store: reports of requests
 * that crashes broke off, and notices that a suspected trait has been served. A
 * trait that crashes servers does so each time, so one that was served after a
 * crash didn't cause it.
 */
#ifndef GC_CORE_CRASH_SUSPECTS_H
#define GC_CORE_CRASH_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

/* Reports of different crashes that gc_crash_suspects_keep returns for a trait:
 * three, and those of trials. */
#define GC_CRASH_EVIDENCE_MAX 8
/* Further parts of a prompt are ignored. */
#define GC_REQUEST_PARTS_MAX 8

typedef struct gc_crash_suspects gc_crash_suspects_t;

/* What a request has in common with its repeats and with other requests. */
typedef struct gc_request_traits {
	uint64_t request; /* hash of the whole request; 0: unknown */
	/* Hashes of the service and the id of each part of the prompt that other
	 * prompts may share. */
	uint64_t parts[GC_REQUEST_PARTS_MAX];
	size_t n_parts;
} gc_request_traits_t;

/* Adds a part unless it is there or the list is full. */
void gc_request_traits_add_part(gc_request_traits_t *traits, uint64_t part);

/* A crash broke off a request to which the server had sent nothing yet. */
typedef struct gc_crash_report {
	uint64_t id; /* unique in the fleet */
	/* Hash of the server's incarnation: one that ended is one crash, however
	 * many requests of any daemons it broke off. */
	uint64_t server;
	/* Hash of the server's service and failure domain. */
	uint64_t domain;
	int64_t at_ms; /* time of day of the daemon that reports it */
	/* The request was sent to this server after a crash of another. */
	bool resent;
	gc_request_traits_t traits;
} gc_crash_report_t;

typedef enum gc_suspect_verdict {
	GC_SUSPECT_SEND,
	/* Depends on losses of which it isn't known yet whether they are crashes:
	 * to be asked again. */
	GC_SUSPECT_WAIT,
	/* Crashed servers, and is tried again by this daemon alone: a service
	 * ends a wrong verdict. */
	GC_SUSPECT_TRY,
	GC_SUSPECT_REFUSE,
} gc_suspect_verdict_t;

gc_crash_suspects_t *gc_crash_suspects_create(TALLOC_CTX *mem);
/* This daemon's index among the daemons of the fleet; see
 * GC_SUSPECT_TRY. */
void gc_crash_suspects_set_rank(gc_crash_suspects_t *suspects, size_t rank,
				size_t n_daemons);
/*
 * Adds a report; one that is known is ignored. revision: of the report in the
 * store; 0: of this daemon, not yet read from the store.
 */
void gc_crash_suspects_add_report(gc_crash_suspects_t *suspects,
				  struct timespec now,
				  const gc_crash_report_t *report,
				  uint64_t revision);
/* A known report stays for at least this time. */
void gc_crash_suspects_extend(gc_crash_suspects_t *suspects,
			      struct timespec now, uint64_t id, int64_t ms);
/*
 * The same for a request that was just lost, until it is known whether the
 * server crashed; gc_crash_suspects_settle then keeps or removes the report.
 */
void gc_crash_suspects_add_loss(gc_crash_suspects_t *suspects,
				struct timespec now,
				const gc_crash_report_t *report);
void gc_crash_suspects_settle(gc_crash_suspects_t *suspects, uint64_t id,
			      bool crashed);
/*
 * Another daemon reported a crash that was none. The report counts no longer, but
 * others of older builds may count it: they are to be told of services.
 */
void gc_crash_suspects_refute(gc_crash_suspects_t *suspects, uint64_t id);
/* Another daemon says that the trait has been served. */
void gc_crash_suspects_add_served(gc_crash_suspects_t *suspects,
				  struct timespec now, uint64_t trait,
				  uint64_t revision);
/* A server ran a request with these traits: it responded, or sent the first
 * event of a stream. */
void gc_crash_suspects_record_served(gc_crash_suspects_t *suspects,
				     struct timespec now,
				     const gc_request_traits_t *traits);
/*
 * A server answered a request that was sent at `sent`: reports that arrived
 * before then and say that it crashed are wrong, and are removed.
 */
void gc_crash_suspects_record_alive(gc_crash_suspects_t *suspects,
				    struct timespec sent, uint64_t server);
/* True if there are such reports. */
bool gc_crash_suspects_has_report(const gc_crash_suspects_t *suspects,
				  struct timespec sent, uint64_t server);
/*
 * Stores the traits whose service the other daemons have to be told of, at most
 * max, and returns their number. Each is returned once for a report.
 */
size_t gc_crash_suspects_take_served(gc_crash_suspects_t *suspects,
				     struct timespec now, uint64_t *traits,
				     size_t max);
/* The crashes for which a trait is refused, to be told again to daemons that
 * start. */
typedef struct gc_crash_evidence {
	uint64_t trait;
	gc_crash_report_t reports[GC_CRASH_EVIDENCE_MAX];
	size_t n;
	int64_t left_ms; /* until they are forgotten */
	/* Number of daemons that are to tell it before this one. */
	size_t turn;
} gc_crash_evidence_t;

/*
 * To be called every minute or so: keeps the evidence on refused traits for a
 * day, and stores what this daemon has to tell again, at most max. Returns the
 * number.
 */
size_t gc_crash_suspects_keep(gc_crash_suspects_t *suspects,
			      struct timespec now,
			      gc_crash_evidence_t *evidence, size_t max);
/* The same for traits whose crashes have become more, or are to be told again
 * after a restore. */
size_t gc_crash_suspects_keep_due(gc_crash_suspects_t *suspects,
				  struct timespec now,
				  gc_crash_evidence_t *evidence, size_t max);
/* True if there may be such traits. */
bool gc_crash_suspects_has_due(const gc_crash_suspects_t *suspects);
/* The store may have lost what the daemons told each other. */
void gc_crash_suspects_store_restored(gc_crash_suspects_t *suspects);
/*
 * Decides whether a request with these traits is sent. GC_SUSPECT_TRY is returned
 * once per trial.
 */
gc_suspect_verdict_t gc_crash_suspects_judge(gc_crash_suspects_t *suspects,
					     struct timespec now,
					     const gc_request_traits_t *traits);

#endif
