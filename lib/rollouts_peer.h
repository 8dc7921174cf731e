/*
 * Messages between daemons during a roll-out, as JSON: reports to the judging daemon
 * and its responses.
 */
#ifndef GC_LIB_ROLLOUTS_PEER_H
#define GC_LIB_ROLLOUTS_PEER_H

#include <stdbool.h>

#include <glib.h>
#include <talloc.h>

#include "core/rollout.h"
#include "core/rollout_evidence.h"
#include "core/str.h"
#include "lib/adapter.h"

/* Longest report and response. */
#define GC_ROLLOUTS_MAX_BODY ((size_t)16384)

typedef struct gc_rollouts_message {
	gc_str_t service;
	gc_rollout_report_t report;
	/* Of the order's item in the store; 0: not there. It differs from the id of an order
	 * that was written again after a restore. */
	uint64_t order_revision;
	/* The record of the report's order that the sender knows, or NULL. */
	const gc_rollout_record_t *record;
} gc_rollouts_message_t;

/* Free with g_free. Counts for which there is no room are left out, the last ones
 * first. */
char *gc_rollouts_encode_report(const gc_adapter_t *adapter,
				const gc_rollouts_message_t *message);
/* Allocated in mem. Errors: GC_ERR_INVALID. */
gc_rollouts_message_t *gc_rollouts_decode_report(TALLOC_CTX *mem,
						 const gc_adapter_t *adapter,
						 gc_str_t body, GError **err);
typedef struct gc_rollouts_answer {
	uint64_t order; /* id; 0: none */
	uint64_t order_revision; /* as in a report */
	const gc_rollout_record_t *record; /* NULL if none is known */
} gc_rollouts_answer_t;

/* Free with g_free. */
char *gc_rollouts_encode_response(const gc_adapter_t *adapter,
				  const gc_rollouts_answer_t *answer);
/* Allocated in mem. Errors: GC_ERR_INVALID. */
gc_rollouts_answer_t *gc_rollouts_decode_response(TALLOC_CTX *mem,
						  const gc_adapter_t *adapter,
						  gc_str_t service,
						  gc_str_t body, GError **err);

#endif
