/* Counters and histograms of one client account and one class. */
#ifndef GC_LIB_METER_H
#define GC_LIB_METER_H

#include <stdint.h>

#include <glib.h>

typedef enum gc_meter_count {
	GC_METER_REQUESTS,
	GC_METER_TOKENS,
	GC_METER_RESUMES, /* by cursor, and after a change of the attempt */
	GC_METER_REFUSALS,
	GC_METER_N_COUNTS,
} gc_meter_count_t;

typedef enum gc_meter_time {
	GC_METER_FIRST_TOKEN,
	GC_METER_TOKEN_INTERVAL,
	GC_METER_RESUME_GAP, /* between two tokens of different attempts */
	GC_METER_N_TIMES,
} gc_meter_time_t;

/* Lives as long as the process. */
typedef struct gc_meter gc_meter_t;

/*
 * The meter of an account (NULL: unknown) and a class, "generate" or
 * "service". Safe from every thread.
 */
gc_meter_t *gc_meter_get(const char *account, const char *class_name);
void gc_meter_add(gc_meter_t *meter, gc_meter_count_t count, uint64_t n);
void gc_meter_observe(gc_meter_t *meter, gc_meter_time_t time, double ms);

#endif
