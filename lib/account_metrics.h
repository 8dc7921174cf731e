/* Counters and histograms by client account and by request class. */
#ifndef GC_LIB_ACCOUNT_METRICS_H
#define GC_LIB_ACCOUNT_METRICS_H

#include <stdint.h>

#include <glib.h>

typedef enum gc_account_counter {
	GC_ACCOUNT_METRICS_REQUESTS,
	GC_ACCOUNT_METRICS_TOKENS,
	GC_ACCOUNT_METRICS_RESUMES, /* by cursor, or by a new attempt */
	GC_ACCOUNT_METRICS_REFUSALS,
	GC_ACCOUNT_METRICS_N_COUNTERS,
} gc_account_counter_t;

typedef enum gc_account_histogram {
	GC_ACCOUNT_METRICS_FIRST_TOKEN,
	GC_ACCOUNT_METRICS_TOKEN_INTERVAL,
	/*
	 * Between the last token of an attempt and the first of the next; after
	 * a resume by cursor, from the request to its first token.
	 */
	GC_ACCOUNT_METRICS_RESUME_GAP,
	GC_ACCOUNT_METRICS_N_HISTOGRAMS,
} gc_account_histogram_t;

/* Exists until the process ends. */
typedef struct gc_account_metrics gc_account_metrics_t;

/*
 * Returns the metrics of an account (NULL: unknown) and a class, "generate" or
 * "service", created at the first call. All functions here are safe from every
 * thread and update the series of the account and of the class.
 */
gc_account_metrics_t *gc_account_metrics_get(const char *account,
					     const char *class_name);
void gc_account_metrics_add(gc_account_metrics_t *metrics,
			    gc_account_counter_t counter, uint64_t n);
void gc_account_metrics_observe(gc_account_metrics_t *metrics,
				gc_account_histogram_t histogram, double ms);

#endif
