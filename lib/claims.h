/* At-most-once claims in the key-value service; a controller. */
#ifndef GC_LIB_CLAIMS_H
#define GC_LIB_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/claim.h"
#include "core/clock.h"
#include "core/placement.h"
#include "core/str.h"
#include "lib/kv.h"
#include "lib/mailbox.h"

typedef struct gc_claims gc_claims_t;

/*
 * Freed with mem; lives in the control thread, whose mailbox is given. It must
 * outlive the traffic threads. Claims are collected for batch_ms.
 */
gc_claims_t *gc_claims_create(TALLOC_CTX *mem, struct tevent_context *ev,
			      gc_kv_t *kv, gc_mailbox_t *control_mailbox,
			      const gc_clock_t *clock,
			      const gc_random_t *random, unsigned int batch_ms);
void gc_claims_destroy(gc_claims_t *claims);

/*
 * Called once for each gc_claims_begin, in the thread of the reply mailbox.
 * claim is what _finish and _release take; answer and claim are valid only
 * during the call.
 */
typedef void (*gc_claims_done_t)(void *ctx, const gc_claim_t *claim,
				 const gc_claim_answer_t *answer);

/*
 * Claims what gc_claim_init has filled in; the nonce is set here. Without a
 * definite answer by the deadline (monotonic) the claim is refused. The
 * mailbox must live until done was called. From every thread.
 */
void gc_claims_begin(gc_claims_t *claims, gc_mailbox_t *reply,
		     const gc_claim_t *request, struct timespec deadline,
		     gc_claims_done_t done, void *ctx);
/* Stores the outcome of a granted claim, in a later batch. Every thread. */
void gc_claims_finish(gc_claims_t *claims, const gc_claim_t *claim, int status,
		      gc_str_t body);
/*
 * Gives a granted claim back. Only when provably nothing was dispatched. From
 * every thread.
 */
void gc_claims_release(gc_claims_t *claims, const gc_claim_t *claim);
/*
 * Claims without an answer, and records with changes to be written. A daemon
 * that stops waits until it is 0, within a bound. From every thread.
 */
unsigned int gc_claims_open(gc_claims_t *claims);

#endif
