/* Stand-in for a model engine: runs, prefix cache, load, orders, faults. */
#ifndef GC_STANDIN_ENGINE_H
#define GC_STANDIN_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/str.h"
#include "standins/serve.h"

typedef struct engine_options {
	gint slots;
	gint prefill_us_per_token;
	gint token_ms;
	gint cache_tokens;
	gint block_tokens;
	gint retain_ms;
	gint load_lag_ms;
	gint event_lag_ms;
	gint event_loss; /* every Nth event is omitted; 0: none */
	gboolean check_fencing;
	char *crash_on; /* NULL: never */
	gchar *run_base; /* prefix of run ids; NULL: name and random number */
} engine_options_t;

extern engine_options_t engine_options;

/* cache.c */
typedef struct cache cache_t;

/*
 * Complete blocks of a token sequence. The hash of a block covers all tokens up
 * to its end.
 */
typedef struct block_chain {
	uint64_t hash; /* of all tokens so far */
	uint64_t tokens;
	GArray *block_hashes; /* uint64_t */
} block_chain_t;

cache_t *cache_create(TALLOC_CTX *mem);
void block_chain_init(block_chain_t *chain);
void block_chain_clear(block_chain_t *chain);
/* Returns true if the token completes a block. */
bool block_chain_append(block_chain_t *chain, gc_str_t token);
/* Returns the length of the longest cached prefix of the chain in tokens. */
uint64_t cache_cached_tokens(const cache_t *cache, const block_chain_t *chain);
/* Inserts the blocks of the chain as the most recently used ones. */
void cache_store(cache_t *cache, const block_chain_t *chain);
/* Returns the visible events from the number `from` on, and the next number. */
json_t *cache_events(const cache_t *cache, uint64_t from);

/* Faults of a single run. */
typedef enum run_fault_kind {
	FAULT_GARBAGE,
	FAULT_REPEAT,
	FAULT_GAP,
	FAULT_FOREIGN,
	FAULT_CUT,
	FAULT_FREEZE,
	N_RUN_FAULTS,
} run_fault_kind_t;

typedef struct run_fault {
	bool armed;
	uint64_t after; /* tokens sent before the fault, without the prefix */
	int64_t ms; /* FAULT_FREEZE: duration */
	bool lose_run; /* FAULT_CUT: the run is deleted, too */
} run_fault_t;

typedef struct engine_stats {
	uint64_t prefilled; /* input tokens not found in the cache */
	uint64_t cached; /* input tokens found in the cache */
	uint64_t decoded; /* generated tokens */
	uint64_t runs;
	uint64_t cancelled;
	uint64_t expired; /* runs deleted unfinished for lack of a stream */
	uint64_t refused;
} engine_stats_t;

typedef struct engine {
	standin_t *standin;
	cache_t *cache;
	char *run_base; /* prefix of run ids, unique to the process */
	uint64_t last_run_seq;
	GHashTable *runs; /* id -> run_t */
	GQueue queue; /* run_t, in the order of execution */
	unsigned int running;
	GQueue load_samples; /* load_sample_t, oldest first */
	int64_t frozen_until_us;
	GQueue deferred_reqs; /* deferred_req_t, received while frozen */
	int64_t held_us; /* of the request in progress, by a freeze */
	run_fault_t next_run_faults[N_RUN_FAULTS];
	int64_t refuse_count;
	int64_t refuse_retry_after_s;
	uint64_t highest_fence; /* fencing token of the accepted orders */
	json_t *orders; /* accepted ones */
	engine_stats_t stats;
} engine_t;

/* standin-engine.c */
/* Adds a load sample and drops those that are not reported any more. */
void engine_record_load(engine_t *engine);
/* Stops responses and decoding for ms milliseconds. */
void engine_freeze(engine_t *engine, int64_t ms);
bool engine_is_frozen(const engine_t *engine);

/* run.c */
void run_start(engine_t *engine, gc_http_req_t *req);
/* path is the part after "/v1/runs/". */
void run_attach(engine_t *engine, gc_http_req_t *req, const char *path);
void run_cancel(engine_t *engine, gc_http_req_t *req, const char *id);
/* Resumes all streams after a freeze. */
void run_resume_streams(engine_t *engine);

#endif
