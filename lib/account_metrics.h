/* Counters and histograms of one client account and one class. */
#ifndef GC_LIB_ACCOUNT_METRICS_H
#define GC_LIB_ACCOUNT_METRICS_H

#include <stdint.h>

#include <glib.h>

typedef enum gc_account_metrics_count {
	GC_ACCOUNT_METRICS_REQUESTS,
	GC_ACCOUNT_METRICS_TOKENS,
	GC_ACCOUNT_METRICS_RESUMES, /* by cursor, and after a change of the attempt */
	GC_ACCOUNT_METRICS_REFUSALS,
	GC_ACCOUNT_METRICS_N_COUNTS,
} gc_account_metrics_count_t;

typedef enum gc_account_metrics_time {
	GC_ACCOUNT_METRICS_FIRST_TOKEN,
	GC_ACCOUNT_METRICS_TOKEN_INTERVAL,
	GC_ACCOUNT_METRICS_RESUME_GAP, /* between two tokens of different attempts */
	GC_ACCOUNT_METRICS_N_TIMES,
} gc_account_metrics_time_t;

/* Lives as long as the process. */
typedef struct gc_account_metrics gc_account_metrics_t;

/*
 * The meter of an account (NULL: unknown) and a class, "generate" or
 * "service". Safe from every thread.
 */
gc_account_metrics_t *gc_account_metrics_get(const char *account,
					     const char *class_name);
void gc_account_metrics_add(gc_account_metrics_t *meter,
			    gc_account_metrics_count_t count, uint64_t n);
void gc_account_metrics_observe(gc_account_metrics_t *meter,
				gc_account_metrics_time_t time, double ms);

#endif
