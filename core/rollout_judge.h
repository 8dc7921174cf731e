/*
 * Decides about a roll-out from the reports of all daemons: whether the target is
 * good, which share of the requests it gets meanwhile, and when it is taken back.
 * Any daemon may judge, as counts are cumulative; the record in the store decides
 * which judgement counts. Does no I/O.
 */
#ifndef GC_CORE_ROLLOUT_JUDGE_H
#define GC_CORE_ROLLOUT_JUDGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/rollout.h"
#include "core/rollout_evidence.h"

/* Interval of reports and of gc_rollout_judge_decide. */
#define GC_ROLLOUT_REPORT_MS 500

typedef struct gc_rollout_judge gc_rollout_judge_t;

/* The service and the fleet as the judging daemon lists them. */
typedef struct gc_rollout_fleet {
	size_t n_daemons;
	size_t n_able; /* of these, those with the capability `rollouts` */
	bool service_known; /* to the configuration in force */
	size_t n_target_servers; /* ready ones */
	/* Versions of the service's listed servers but the target, each once. */
	const gc_str_t *other_versions;
	size_t n_other_versions;
	int64_t now_ms; /* time of day */
} gc_rollout_fleet_t;

/* elapsed_ms: since this daemon learned of the order as it came; -1: not known, so that
 * reports and record tell. */
gc_rollout_judge_t *gc_rollout_judge_create(TALLOC_CTX *mem,
					    const gc_rollout_limits_t *limits,
					    const gc_rollout_order_t *order,
					    struct timespec now,
					    int64_t elapsed_ms);
/* Replaces what the daemon reported before. One of another order is ignored. */
void gc_rollout_judge_add_report(gc_rollout_judge_t *judge, struct timespec now,
				 const gc_rollout_report_t *report);
/*
 * record: the newest one in the store, of any order, or NULL. Returns the record
 * that should replace it, valid until the next call, or NULL if nothing changes.
 * A record that is decided for this order is never changed.
 */
const gc_rollout_record_t *
gc_rollout_judge_decide(gc_rollout_judge_t *judge, struct timespec now,
			const gc_rollout_fleet_t *fleet,
			const gc_rollout_record_t *record);

#endif
