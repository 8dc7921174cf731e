/*
 * At-most-once claims in the key-value service. Runs the state machines of
 * core/claim.h.
 */
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
 * Belongs to the control thread, which control_mailbox and ev must belong to
 * as well. Must outlive the traffic threads. Claims wait up to batch_ms to
 * share a write. Freed with mem.
 */
gc_claims_t *gc_claims_create(TALLOC_CTX *mem, struct tevent_context *ev,
			      gc_kv_t *kv, gc_mailbox_t *control_mailbox,
			      const gc_clock_t *clock,
			      const gc_random_t *random, unsigned int batch_ms);
void gc_claims_destroy(gc_claims_t *claims);

/*
 * Called once for each gc_claims_begin, in the thread of its reply_mailbox.
 * claim is the argument for gc_claims_finish and gc_claims_release. claim and
 * answer are valid during the call.
 */
typedef void (*gc_claims_done_t)(void *ctx, const gc_claim_t *claim,
				 const gc_claim_answer_t *answer);

/*
 * Starts a claim. claim must be initialized by gc_claim_init; it is copied, and
 * the copy that done receives also has a nonce. Without a definite answer by
 * the deadline (monotonic) the claim is refused. reply_mailbox must exist until
 * done was called. Safe from every thread.
 */
void gc_claims_begin(gc_claims_t *claims, gc_mailbox_t *reply_mailbox,
		     const gc_claim_t *claim, struct timespec deadline,
		     gc_claims_done_t done, void *ctx);
/*
 * Stores the outcome of a granted claim, with a later batch. body is copied.
 * Safe from every thread.
 */
void gc_claims_finish(gc_claims_t *claims, const gc_claim_t *claim, int status,
		      gc_str_t body);
/*
 * Releases a granted claim. Only allowed when it is certain that nothing was
 * dispatched. Safe from every thread.
 */
void gc_claims_release(gc_claims_t *claims, const gc_claim_t *claim);
/*
 * The number of queued messages, unanswered claims and records with changes to
 * be written. A daemon that stops waits, for a limited time, until it is 0.
 * Safe from every thread.
 */
unsigned int gc_claims_open_count(gc_claims_t *claims);

#endif
