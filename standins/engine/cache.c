/* Prefix cache of token blocks with LRU eviction, and its event log. */
#include <ctype.h>

#include <xxhash.h>

#include "core/clock.h"
#include "standin-engine.h"

/* Older events are discarded; readers notice a gap in the numbers. */
#define MAX_EVENTS		10000
#define MAX_EVENTS_PER_RESPONSE 1000

typedef struct block {
	uint64_t hash;
	uint64_t tokens; /* from the start of the sequence to the block's end */
	GList link;
} block_t;

typedef struct event {
	uint64_t seq;
	uint64_t block_hash;
	uint64_t tokens;
	int64_t visible_us;
	bool stored; /* false: evicted */
	bool omitted; /* by the option --cache-event-loss */
} event_t;

struct cache {
	GHashTable *blocks; /* hash -> block_t */
	GQueue lru; /* most recently used first */
	GQueue events; /* oldest first */
	uint64_t next_seq;
};

static void use_block(cache_t *cache, uint64_t hash, uint64_t tokens);
static void evict_lru_block(cache_t *cache);
static void add_event(cache_t *cache, const block_t *block, bool stored);

cache_t *cache_create(TALLOC_CTX *mem)
{
	cache_t *cache = talloc_zero(mem, cache_t);

	cache->blocks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	g_queue_init(&cache->lru);
	g_queue_init(&cache->events);
	return cache;
}

void block_chain_init(block_chain_t *chain)
{
	chain->hash = 0;
	chain->tokens = 0;
	chain->block_hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

void block_chain_clear(block_chain_t *chain)
{
	g_array_free(chain->block_hashes, TRUE);
	chain->block_hashes = NULL;
}

bool block_chain_append(block_chain_t *chain, gc_str_t token)
{
	/*
	 * Words of a prompt have no trailing space, but generated tokens do.
	 * Both must match if generated text is sent back in a prompt.
	 */
	while (token.len > 0 &&
	       isspace((unsigned char)token.data[token.len - 1]))
		token.len--;
	chain->hash = XXH64(token.data, token.len, chain->hash);
	chain->tokens++;
	if (chain->tokens % engine_options.block_tokens != 0)
		return false;
	g_array_append_val(chain->block_hashes, chain->hash);
	return true;
}

uint64_t cache_cached_tokens(const cache_t *cache, const block_chain_t *chain)
{
	guint n = 0;

	while (n < chain->block_hashes->len &&
	       g_hash_table_contains(cache->blocks,
				     &g_array_index(chain->block_hashes,
						    uint64_t, n)))
		n++;
	return (uint64_t)n * engine_options.block_tokens;
}

void cache_store(cache_t *cache, const block_chain_t *chain)
{
	guint capacity =
		engine_options.cache_tokens / engine_options.block_tokens;

	for (guint i = 0; i < chain->block_hashes->len; i++)
		use_block(cache,
			  g_array_index(chain->block_hashes, uint64_t, i),
			  (uint64_t)(i + 1) * engine_options.block_tokens);
	/*
	 * In reverse order, so that the last blocks are evicted first: a block
	 * is of no use without those before it.
	 */
	for (guint i = chain->block_hashes->len; i > 0; i--)
		use_block(cache,
			  g_array_index(chain->block_hashes, uint64_t, i - 1),
			  (uint64_t)i * engine_options.block_tokens);
	while (cache->lru.length > capacity)
		evict_lru_block(cache);
}

/* Makes the block the most recently used one; inserts it if absent. */
static void use_block(cache_t *cache, uint64_t hash, uint64_t tokens)
{
	block_t *block = g_hash_table_lookup(cache->blocks, &hash);

	if (block) {
		g_queue_unlink(&cache->lru, &block->link);
		g_queue_push_head_link(&cache->lru, &block->link);
		return;
	}
	block = g_new0(block_t, 1);
	block->hash = hash;
	block->tokens = tokens;
	block->link.data = block;
	g_hash_table_insert(cache->blocks, &block->hash, block);
	g_queue_push_head_link(&cache->lru, &block->link);
	add_event(cache, block, true);
}

static void evict_lru_block(cache_t *cache)
{
	block_t *block = g_queue_peek_tail(&cache->lru);

	add_event(cache, block, false);
	g_queue_unlink(&cache->lru, &block->link);
	g_hash_table_remove(cache->blocks, &block->hash);
}

static void add_event(cache_t *cache, const block_t *block, bool stored)
{
	event_t *event = g_new0(event_t, 1);

	event->seq = cache->next_seq++;
	event->block_hash = block->hash;
	event->tokens = block->tokens;
	event->stored = stored;
	event->visible_us = standin_monotonic_us() +
			    engine_options.event_lag_ms * INT64_C(1000);
	event->omitted = engine_options.event_loss > 0 &&
			 (event->seq + 1) % engine_options.event_loss == 0;
	g_queue_push_tail(&cache->events, event);
	if (cache->events.length > MAX_EVENTS)
		g_free(g_queue_pop_head(&cache->events));
}

json_t *cache_events(const cache_t *cache, uint64_t from)
{
	int64_t now = standin_monotonic_us();
	json_t *list = json_array();
	uint64_t next = from;
	char hex[17];

	for (GList *l = cache->events.head; l; l = l->next) {
		const event_t *event = l->data;

		if (event->seq < from)
			continue;
		if (event->visible_us > now ||
		    json_array_size(list) == MAX_EVENTS_PER_RESPONSE)
			break;
		next = event->seq + 1;
		if (event->omitted)
			continue;
		g_snprintf(hex, sizeof(hex), "%016" G_GINT64_MODIFIER "x",
			   event->block_hash);
		json_array_append_new(
			list,
			json_pack("{sI ss ss sI}", "seq",
				  (json_int_t)event->seq, "type",
				  event->stored ? "stored" : "evicted", "block",
				  hex, "tokens", (json_int_t)event->tokens));
	}
	return json_pack("{so sI}", "events", list, "next", (json_int_t)next);
}
