/*
 * What one daemon knows of the answers of a service during a roll-out: counts for
 * each route and measure, of the target and of the other versions. Counts only grow
 * until the next order. Not thread-safe.
 */
#ifndef GC_CORE_ROLLOUT_EVIDENCE_H
#define GC_CORE_ROLLOUT_EVIDENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* Times are counted in buckets: bucket i holds times from 2^(i/2) ms to less than
 * 2^((i+1)/2) ms; the first and the last one hold all below and above. */
#define GC_ROLLOUT_TIME_BUCKETS 36
/* Routes of one service that are counted; those that come later are not. */
#define GC_ROLLOUT_MAX_ROUTES 32

/* Of which the time is measured. */
typedef enum gc_rollout_measure {
	GC_ROLLOUT_ANSWER, /* the whole answer to a plain request */
	GC_ROLLOUT_FIRST_EVENT, /* of a stream */
	GC_ROLLOUT_EVENT_GAP, /* mean pause between the events of a stream */
	GC_ROLLOUT_N_MEASURES,
} gc_rollout_measure_t;

typedef struct gc_rollout_counts {
	uint64_t route; /* see gc_rollout_route_hash */
	gc_rollout_measure_t measure;
	bool target; /* of the target, or of all other versions */
	uint32_t n; /* answers, failed or not */
	uint32_t n_failed; /* of n; these have no time */
	uint32_t times[GC_ROLLOUT_TIME_BUCKETS];
} gc_rollout_counts_t;

/* What a daemon reports; all counts are since the order. */
typedef struct gc_rollout_report {
	uint64_t daemon; /* hash of its name */
	uint64_t order; /* id */
	int64_t elapsed_ms; /* since it learned of the order; -1: not known */
	uint32_t n_requests; /* first attempts of new requests of the service */
	uint32_t n_sent; /* requests sent to the target, repeats and all */
	const gc_rollout_counts_t *counts;
	size_t n_counts;
} gc_rollout_report_t;

typedef struct gc_rollout_evidence gc_rollout_evidence_t;

gc_rollout_evidence_t *gc_rollout_evidence_create(TALLOC_CTX *mem,
						  uint64_t order);
/* A new request of the service was admitted, or one was sent to the target. */
void gc_rollout_evidence_count_request(gc_rollout_evidence_t *evidence);
void gc_rollout_evidence_count_sent(gc_rollout_evidence_t *evidence);
/* An answer with its time. */
void gc_rollout_evidence_add_time(gc_rollout_evidence_t *evidence,
				  uint64_t route, gc_rollout_measure_t measure,
				  bool target, int64_t ms);
/* An answer that reports a failure. */
void gc_rollout_evidence_add_failure(gc_rollout_evidence_t *evidence,
				     uint64_t route,
				     gc_rollout_measure_t measure, bool target);
/* Fills in order, requests, sent and counts, which are valid until the next call
 * for the evidence. */
void gc_rollout_evidence_report(const gc_rollout_evidence_t *evidence,
				gc_rollout_report_t *report);
/* The bucket of a time, and the time in ms at which it begins. */
size_t gc_rollout_time_bucket(int64_t ms);
double gc_rollout_bucket_ms(size_t bucket);

#endif
