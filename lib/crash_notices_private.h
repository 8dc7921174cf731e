/* Data shared by lib/crash_notices.c and lib/crash_notices_receive.c. */
#ifndef GC_LIB_CRASH_NOTICES_PRIVATE_H
#define GC_LIB_CRASH_NOTICES_PRIVATE_H

#include "lib/crash_notices.h"
#include "lib/kept_turns.h"
#include "lib/metrics.h"

/* Keys of this daemon's reports, which are written in turn. */
#define GC_CRASH_NOTICES_REPORT_KEYS 16

/* A notice to be written. */
typedef struct notice {
	char *key;
	char *value; /* of a notice of a service */
	GArray *reports; /* of gc_crash_report_t; NULL: of a service */
	uint64_t trait; /* that was served, or is refused */
	bool kept; /* repeats the reports on the trait */
	bool sent; /* a call was made for it, whose answer may be lost */
	struct timespec made;
	struct timespec due; /* not written before */
	uint64_t newest_order; /* of all notices known when it was made */
	bool needless; /* removed after the call in flight */
} notice_t;

/* The last reports that were made for a key. */
typedef struct own_reports {
	GArray *reports; /* of gc_crash_report_t; NULL: none */
	struct timespec made;
	bool pending; /* not yet read from the store nor given up */
} own_reports_t;

struct gc_crash_notices {
	gc_crash_notices_conf_t conf;
	GQueue queue; /* of notice_t, oldest first */
	gc_timer_t *timer;
	gc_kept_turns_t *turns;
	bool call_in_flight; /* for the head of the queue */
	bool stopped;
	struct timespec retry_at;
	int64_t retry_delay_ms; /* after the next failure */
	char *last_error; /* of the calls since the last success; NULL: none */
	uint64_t lease; /* id; 0: none */
	struct timespec lease_requested;
	bool lease_unused; /* nothing was written under it yet */
	uint64_t era; /* of the store: the newest one seen */
	uint64_t call_era; /* the same when the call in flight was made */
	uint64_t sequence; /* of the next notice with reports */
	own_reports_t own_reports[GC_CRASH_NOTICES_REPORT_KEYS];
	/*
	 * Revisions start anew in each era. Notices are ordered by their
	 * revision and era_offset, which puts those of a new era last.
	 */
	uint64_t newest_order; /* of the notices read */
	uint64_t era_offset;
	uint64_t newest_revision; /* of the notices read, in any era */
	uint64_t old_revision; /* the same at the start of this era */
	gc_metric_t *store_calls;
};

/* Starts the next call to the store, or waits for its time. */
void gc_crash_notices_write_next(gc_crash_notices_t *notices);

/* Those not yet read from the store whose first report has the id, or NULL. */
own_reports_t *gc_crash_notices_find_own(gc_crash_notices_t *notices,
					 uint64_t id);

uint64_t gc_crash_notices_first_id(const GArray *reports);

#endif
