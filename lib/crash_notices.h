/*
 * Exchanges notices on requests that crash backend servers with the other
 * daemons, through the store. Belongs to the control thread.
 */
#ifndef GC_LIB_CRASH_NOTICES_H
#define GC_LIB_CRASH_NOTICES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "core/clock.h"
#include "core/crash_suspects.h"
#include "core/placement.h"
#include "core/str.h"
#include "lib/store.h"
#include "lib/timer.h"

/* Key of a notice with crash reports: this prefix, the daemon's name, "/" and a
 * number. */
#define GC_CRASH_NOTICES_REPORTS_PREFIX "goldcrest/crashed/"
/* Key of a notice that a trait was served: this prefix and the trait. */
#define GC_CRASH_NOTICES_SERVED_PREFIX "goldcrest/served/"

/* Key of a notice that repeats the reports on a refused trait: this prefix and
 * the trait. */
#define GC_CRASH_NOTICES_KEPT_PREFIX "goldcrest/kept/"

/* Reports of one notice. */
#define GC_CRASH_NOTICES_MAX_REPORTS 64

typedef struct gc_crash_notices gc_crash_notices_t;

typedef struct gc_crash_notices_conf {
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_random_t *random;
	gc_store_t store;
	gc_str_t instance; /* name of this daemon */
	/*
	 * Called for each valid notice in the store, including this daemon's.
	 * order rises with the revision, also when the store was restored. A
	 * report is to be kept for kept_ms; 0: the usual time. instance: the daemon
	 * that made the report; empty if the notice repeats those of several.
	 */
	void (*on_report)(void *ctx, gc_str_t instance,
			  const gc_crash_report_t *report, uint64_t order,
			  int64_t kept_ms);
	void (*on_served)(void *ctx, uint64_t trait, uint64_t order);
	/* Called with the era of each response that names one; may be NULL. */
	void (*era_seen)(void *ctx, uint64_t era);
	void *ctx;
} gc_crash_notices_conf_t;

gc_crash_notices_t *
gc_crash_notices_create(TALLOC_CTX *mem, const gc_crash_notices_conf_t *conf);
/* The store must not answer a call of the notices afterwards. */
void gc_crash_notices_destroy(gc_crash_notices_t *notices);
/*
 * Write a notice to the store, in the order of the calls. Failed writes are
 * repeated while the notice is of use to others. Reports that come while the
 * store answers share one notice, so that a crash of many servers costs a daemon
 * a few writes. Those without traits are left out.
 */
void gc_crash_notices_share_reports(gc_crash_notices_t *notices,
				    const gc_crash_report_t *reports, size_t n);
void gc_crash_notices_share_kept(gc_crash_notices_t *notices,
				 const gc_crash_evidence_t *evidence);
/* Not written if another notice on the trait comes from the store first. */
void gc_crash_notices_share_served(gc_crash_notices_t *notices, uint64_t trait);
/*
 * Reads an item under one of the prefixes, which must not be a deletion. An
 * invalid one is logged and otherwise ignored.
 */
void gc_crash_notices_receive(gc_crash_notices_t *notices,
			      const gc_store_item_t *item);
/*
 * The store is in this era. After a change of it, the lease counts as gone, as
 * its id may be another daemon's, and the last reports are written again.
 */
void gc_crash_notices_set_era(gc_crash_notices_t *notices, uint64_t era);
/* Nothing is written any more. */
void gc_crash_notices_stop(gc_crash_notices_t *notices);

/* The value of a notice with reports; kept_ms as in on_report. Free with
 * g_free. */
char *gc_crash_notices_encode_reports(const gc_crash_report_t *reports,
				      size_t n, int64_t kept_ms);
/* Appends the reports of such a value to an array of gc_crash_report_t. Errors:
 * GC_ERR_INVALID; nothing is appended then. */
bool gc_crash_notices_decode_reports(gc_str_t value, GArray *reports,
				     int64_t *kept_ms, GError **err);
/* 16 lower-case hex digits, so that each trait has one key. */
bool gc_crash_notices_parse_hex(gc_str_t digits, uint64_t *number);

#endif
