/* Types and limits that several modules share. */
#ifndef GC_CORE_TYPES_H
#define GC_CORE_TYPES_H

/* Size of the name of an instance, account, pool or model, with its NUL. */
#define GC_NAME_MAX 64
/* Size of a run id, which an engine assigns, with its NUL. */
#define GC_RUN_ID_MAX 48

/* Trade-off between latency and engine time, set per client account. */
typedef enum gc_policy {
	GC_POLICY_LATENCY, /* fail over early, at the cost of engine time */
	GC_POLICY_ECONOMY, /* probe stalled runs, prefer cached prefixes */
} gc_policy_t;

#endif
