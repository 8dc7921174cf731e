/* What a change of the operator's configuration costs, step by step. */
#ifndef GC_BENCH_CONFIG_COST_H
#define GC_BENCH_CONFIG_COST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>

typedef enum change_kind {
	CHANGE_ROUTE, /* of one route in the middle */
	CHANGE_KEY, /* of one key of a tenant */
	CHANGE_LIMIT, /* of limits.idle_timeout_ms */
	CHANGE_ALL, /* of all routes */
	N_CHANGES,
} change_kind_t;

typedef enum step {
	STEP_RECEIVE, /* a watch of the store: HTTP, JSON, base64 */
	STEP_LOG, /* change log, with the search for edits */
	STEP_READ, /* compares with the former record, decodes what changed */
	STEP_PUBLISH, /* a new view; the former one is freed */
	STEP_EDITS, /* response to a daemon that takes edits */
	STEP_WHOLE, /* response to one that doesn't */
	STEP_FREE, /* the former table */
	N_STEPS,
} step_t;

typedef struct row {
	uint64_t n_routes;
	change_kind_t kind;
	uint64_t record_bytes;
	uint64_t received_bytes; /* from the store, head included */
	uint64_t edits_bytes; /* body of the response to a daemon */
	uint64_t whole_bytes;
	uint64_t peak_kb; /* VmHWM */
	int64_t ns[N_STEPS]; /* processor time, median */
	char error[160]; /* empty: none */
} row_t;

/* Shared by the process that measures and the one that is its store. */
typedef struct shared {
	uint64_t sent_bytes; /* of the last response */
} shared_t;

extern const char *const change_names[N_CHANGES];
extern const char *const step_names[N_STEPS];

/* The record of a version; two of them differ by one change, and in the version. */
char *write_record(uint64_t n_routes, change_kind_t kind, uint64_t version);
/*
 * Starts a process that answers each watch with the next version of the record, and
 * returns its id. Sets *port.
 */
pid_t start_store(uint64_t n_routes, change_kind_t kind, shared_t *shared,
		  unsigned int *port);
/* Fills in the row; n_routes and kind are given. Run it in a process of its own, as the
 * peak memory is the process's. */
void measure_row(row_t *row, unsigned int rounds);

#endif
