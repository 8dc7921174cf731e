/*
 * Admission control: weighted fair sharing between client accounts, a bounded
 * queue and a limit on the time in the queue. Also the retry budget.
 */
#ifndef GC_CORE_ADMISSION_H
#define GC_CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "core/clock.h"
#include "core/config.h"
#include "core/placement.h"

typedef struct gc_admission gc_admission_t;
/*
 * One admitted or queued request. Freed by gc_admission_release or, if the
 * request expires in the queue, before the expired callback.
 */
typedef struct gc_admission_ticket gc_admission_ticket_t;

typedef enum gc_admission_result {
	GC_ADMISSION_GRANTED, /* the request may run */
	GC_ADMISSION_QUEUED, /* granted or expired is called later */
	GC_ADMISSION_REFUSED, /* no ticket; retry after *retry_after_ms */
} gc_admission_result_t;

typedef struct gc_admission_ops {
	/* The queued request may run. */
	void (*granted)(void *ctx);
	/*
	 * The queued request timed out or was evicted from a full queue. Its
	 * ticket is freed already.
	 */
	void (*expired)(void *ctx, int64_t retry_after_ms);
} gc_admission_ops_t;

typedef struct gc_admission_conf {
	const gc_clock_t *clock;
	const gc_random_t *random;
	uint32_t max_in_flight; /* over all accounts */
	uint32_t max_queued; /* over all accounts */
	int64_t queue_ms; /* longest time in the queue */
} gc_admission_conf_t;

gc_admission_t *gc_admission_create(TALLOC_CTX *mem,
				    const gc_admission_conf_t *conf);
void gc_admission_destroy(gc_admission_t *admission);
/*
 * Changes max_in_flight, e.g. to the number of slots of the available engines.
 * May grant queued requests.
 */
void gc_admission_set_limit(gc_admission_t *admission, uint32_t max_in_flight);
/*
 * Requests admission of one request of the account. Competing accounts are
 * granted requests in proportion to their weights, however many they queue. A
 * full queue may evict a queued request of another account for this one.
 * *ticket is NULL if refused.
 */
gc_admission_result_t
gc_admission_request(gc_admission_t *admission, const gc_account_t *account,
		     const gc_admission_ops_t *ops, void *ctx,
		     gc_admission_ticket_t **ticket, int64_t *retry_after_ms);
/* The request has ended or was cancelled; may grant queued requests. */
void gc_admission_release(gc_admission_ticket_t *ticket);
/*
 * Expires the requests that were queued for queue_ms. Returns the time until
 * the next call is due in ms, or -1 if no request is queued.
 */
int64_t gc_admission_expire(gc_admission_t *admission);

/*
 * Retry budget: a token bucket that limits retries to a fraction of the first
 * attempts, so that failures don't multiply the load.
 */
typedef struct gc_retry_budget {
	double tokens;
	double tokens_per_request; /* deposited by each first attempt */
	double max; /* limit of tokens */
} gc_retry_budget_t;

void gc_retry_budget_deposit(gc_retry_budget_t *budget);
/* Withdraws one token; returns false if less than one is left. */
bool gc_retry_budget_withdraw(gc_retry_budget_t *budget);

#endif
