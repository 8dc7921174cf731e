/* Admission: weighted shares per client account, bounded queue, deadlines. */
#ifndef GC_CORE_ADMISSION_H
#define GC_CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "core/clock.h"
#include "core/config.h"
#include "core/placement.h"

typedef struct gc_admission gc_admission_t;
/* One admitted or queued request; lives until gc_admission_release. */
typedef struct gc_admission_ticket gc_admission_ticket_t;

typedef enum gc_admission_result {
	GC_ADMISSION_NOW, /* the request may go on */
	GC_ADMISSION_QUEUED, /* granted or expired is called later */
	GC_ADMISSION_REFUSED, /* no ticket; come back in *retry_after_ms */
} gc_admission_result_t;

typedef struct gc_admission_ops {
	/* A queued request may go on. */
	void (*granted)(void *ctx);
	/* Its wait ran out; the ticket is released already. */
	void (*expired)(void *ctx, int64_t retry_after_ms);
} gc_admission_ops_t;

typedef struct gc_admission_conf {
	const gc_clock_t *clock;
	const gc_random_t *random;
	uint32_t max_in_flight; /* admitted at once, all accounts */
	uint32_t max_queued;
	int64_t queue_ms; /* longest wait */
} gc_admission_conf_t;

gc_admission_t *gc_admission_create(TALLOC_CTX *mem,
				    const gc_admission_conf_t *conf);
void gc_admission_destroy(gc_admission_t *admission);
/*
 * Changes the limit, e.g. to the slots of the engines in reach. May grant
 * queued requests.
 */
void gc_admission_set_limit(gc_admission_t *admission, uint32_t max_in_flight);
/*
 * Asks for one request of the account. When accounts compete, each gets a
 * share of grants by its weight, whatever it queues.
 */
gc_admission_result_t
gc_admission_request(gc_admission_t *admission, const gc_account_t *account,
		     const gc_admission_ops_t *ops, void *ctx,
		     gc_admission_ticket_t **ticket, int64_t *retry_after_ms);
/* The request ended or was abandoned; may grant others. */
void gc_admission_release(gc_admission_ticket_t *ticket);
/*
 * Expires queued requests whose wait ran out. Returns the ms until the next
 * call is due, or -1 if nothing is queued.
 */
int64_t gc_admission_expire(gc_admission_t *admission);

/* Limits retries to a share of first tries, so that failures add no load. */
typedef struct gc_retry_budget {
	double tokens;
	double tokens_per_request; /* tokens earned by each first try, e.g. 0.1 */
	double max; /* tokens kept at most */
} gc_retry_budget_t;

void gc_retry_budget_earn(gc_retry_budget_t *budget);
/* Takes one token; false if there is none. */
bool gc_retry_budget_take(gc_retry_budget_t *budget);

#endif
