/*
 * Finds the traits of prompts under which backend servers crash, and decides
 * which requests are still sent. A request with such a trait crashes each server
 * that gets it, together with all other work there. Not thread-safe.
 *
 * Daemons exchange two kinds of notices through the store: crash reports, and
 * notices that a suspected trait has been served. A trait that crashes servers
 * does so each time, so a trait that was served after a crash didn't cause it.
 */
#ifndef GC_CORE_CRASH_SUSPECTS_H
#define GC_CORE_CRASH_SUSPECTS_H

#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

/* Further traits of a prompt are ignored. */
#define GC_REQUEST_TRAITS_MAX 8

typedef struct gc_crash_suspects gc_crash_suspects_t;

/* The traits of a prompt that other requests may share: hashes of the service
 * and of the trait's id. */
typedef struct gc_request_traits {
	uint64_t ids[GC_REQUEST_TRAITS_MAX];
	size_t n;
} gc_request_traits_t;

/* Adds a trait unless it is there or the list is full. */
void gc_request_traits_add(gc_request_traits_t *traits, uint64_t trait);

/* A server crashed before the first event of a request. */
typedef struct gc_crash_report {
	uint64_t id; /* unique in the fleet */
	int64_t at_ms; /* time of day of the daemon that reports it */
	gc_request_traits_t traits;
} gc_crash_report_t;

typedef enum gc_suspect_verdict {
	GC_SUSPECT_SEND,
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
 * Adds a report; one that is known is ignored. The time of the report, not its
 * arrival, tells it from others of the same event. revision: of the report in the
 * store; 0: of this daemon, not yet read from the store.
 */
void gc_crash_suspects_add_report(gc_crash_suspects_t *suspects,
				  struct timespec now,
				  const gc_crash_report_t *report,
				  uint64_t revision);
/* Another daemon says that the trait has been served. */
void gc_crash_suspects_add_served(gc_crash_suspects_t *suspects,
				  struct timespec now, uint64_t trait,
				  uint64_t revision);
/* A server sent the first event of a request with these traits. */
void gc_crash_suspects_record_served(gc_crash_suspects_t *suspects,
				     struct timespec now,
				     const gc_request_traits_t *traits);
/*
 * Stores the traits whose service the other daemons have to be told of, at most
 * max, and returns their number. Each is returned once for a report.
 */
size_t gc_crash_suspects_take_served(gc_crash_suspects_t *suspects,
				     struct timespec now, uint64_t *traits,
				     size_t max);
/*
 * Decides whether a request with these traits is sent. GC_SUSPECT_TRY is returned
 * once per trial.
 */
gc_suspect_verdict_t gc_crash_suspects_judge(gc_crash_suspects_t *suspects,
					     struct timespec now,
					     const gc_request_traits_t *traits);

#endif
