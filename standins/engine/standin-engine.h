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
	gint event_loss; /* every Nth event is left out; 0: none */
	gboolean check_fencing;
	gchar *run_base; /* NULL: the name and a random number */
} engine_options_t;

extern engine_options_t engine_options;

/* cache.c: the prefix cache and its events. */
typedef struct cache cache_t;

/* The blocks of a growing sequence of tokens, each hashed over all before. */
typedef struct cache_chain {
	uint64_t hash;
	uint64_t tokens;
	GArray *blocks; /* uint64_t */
} cache_chain_t;

cache_t *cache_create(TALLOC_CTX *mem);
void cache_chain_init(cache_chain_t *chain);
void cache_chain_clear(cache_chain_t *chain);
/* True if the token completes a block. */
bool cache_chain_add(cache_chain_t *chain, gc_str_t token);
/* Tokens at the start of the chain that the cache holds. */
uint64_t cache_lookup(const cache_t *cache, const cache_chain_t *chain);
/* Puts the chain's blocks in, as the most recently used ones. */
void cache_store(cache_t *cache, const cache_chain_t *chain);
json_t *cache_events(const cache_t *cache, uint64_t from);

/* Faults of one run; after counts the run's own tokens. */
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
	bool set;
	uint64_t after;
	int64_t ms; /* freeze */
	bool lose_run; /* cut: the run is gone, too */
} run_fault_t;

typedef struct engine_stats {
	uint64_t prefilled;
	uint64_t cached;
	uint64_t decoded;
	uint64_t runs;
	uint64_t cancelled;
	uint64_t expired;
	uint64_t refused;
} engine_stats_t;

typedef struct engine {
	standin_t *standin;
	cache_t *cache;
	char *run_base; /* start of run ids, different in each process */
	uint64_t next_run;
	GHashTable *runs; /* id -> run_t */
	GQueue queue; /* run_t, the next one first */
	unsigned int running;
	GQueue loads; /* load_sample_t, oldest first */
	int64_t frozen_until_us;
	GQueue frozen_reqs; /* gc_http_req_t */
	run_fault_t next_faults[N_RUN_FAULTS];
	int64_t refuse_count;
	int64_t refuse_retry_s;
	uint64_t highest_fence;
	json_t *orders;
	engine_stats_t stats;
} engine_t;

/* standin-engine.c */
void engine_load_changed(engine_t *engine);
void engine_freeze(engine_t *engine, int64_t ms);
bool engine_frozen(const engine_t *engine);

/* run.c */
void run_start(engine_t *engine, gc_http_req_t *req);
/* path is what follows "/v1/runs/". */
void run_attach(engine_t *engine, gc_http_req_t *req, const char *path);
void run_cancel(engine_t *engine, gc_http_req_t *req, const char *id);
/* Goes on with every stream after a freeze. */
void run_thaw(engine_t *engine);

#endif
