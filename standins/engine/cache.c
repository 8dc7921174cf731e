/* Prefix cache: blocks of tokens, least recently used ones evicted. */
#include <ctype.h>

#include <xxhash.h>

#include "core/clock.h"
#include "standin-engine.h"

/* Older events are forgotten, which readers see as a gap. */
#define MAX_EVENTS   10000
#define MAX_ANSWERED 1000

typedef struct block {
	uint64_t hash;
	uint64_t tokens; /* from the start of the sequence to its end */
	GList link;
} block_t;

typedef struct event {
	uint64_t seq;
	uint64_t block;
	uint64_t tokens;
	int64_t visible_us;
	bool stored; /* or evicted */
	bool lost;
} event_t;

struct cache {
	GHashTable *blocks; /* hash -> block_t */
	GQueue lru; /* most recently used first */
	GQueue events; /* oldest first */
	uint64_t next_seq;
};

static void touch(cache_t *cache, uint64_t hash, uint64_t tokens);
static void evict_one(cache_t *cache);
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

void cache_chain_init(cache_chain_t *chain)
{
	chain->hash = 0;
	chain->tokens = 0;
	chain->blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

void cache_chain_clear(cache_chain_t *chain)
{
	g_array_free(chain->blocks, TRUE);
	chain->blocks = NULL;
}

bool cache_chain_add(cache_chain_t *chain, gc_str_t token)
{
	/* An answer that comes back as part of a prompt matches its tokens. */
	while (token.len > 0 &&
	       isspace((unsigned char)token.data[token.len - 1]))
		token.len--;
	chain->hash = XXH64(token.data, token.len, chain->hash);
	chain->tokens++;
	if (chain->tokens % engine_options.block_tokens != 0)
		return false;
	g_array_append_val(chain->blocks, chain->hash);
	return true;
}

uint64_t cache_lookup(const cache_t *cache, const cache_chain_t *chain)
{
	guint n = 0;

	while (n < chain->blocks->len &&
	       g_hash_table_contains(cache->blocks,
				     &g_array_index(chain->blocks, uint64_t,
						    n)))
		n++;
	return (uint64_t)n * engine_options.block_tokens;
}

void cache_store(cache_t *cache, const cache_chain_t *chain)
{
	guint capacity =
		engine_options.cache_tokens / engine_options.block_tokens;

	for (guint i = 0; i < chain->blocks->len; i++)
		touch(cache, g_array_index(chain->blocks, uint64_t, i),
		      (uint64_t)(i + 1) * engine_options.block_tokens);
	/* Again backwards: a later block is useless without earlier ones. */
	for (guint i = chain->blocks->len; i > 0; i--)
		touch(cache, g_array_index(chain->blocks, uint64_t, i - 1),
		      (uint64_t)i * engine_options.block_tokens);
	while (cache->lru.length > capacity)
		evict_one(cache);
}

static void touch(cache_t *cache, uint64_t hash, uint64_t tokens)
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

static void evict_one(cache_t *cache)
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
	event->block = block->hash;
	event->tokens = block->tokens;
	event->stored = stored;
	event->visible_us =
		standin_now_us() + engine_options.event_lag_ms * INT64_C(1000);
	event->lost = engine_options.event_loss > 0 &&
		      (event->seq + 1) % engine_options.event_loss == 0;
	g_queue_push_tail(&cache->events, event);
	if (cache->events.length > MAX_EVENTS)
		g_free(g_queue_pop_head(&cache->events));
}

json_t *cache_events(const cache_t *cache, uint64_t from)
{
	int64_t now = standin_now_us();
	json_t *list = json_array();
	uint64_t next = from;
	char hex[17];

	for (GList *l = cache->events.head; l; l = l->next) {
		const event_t *event = l->data;

		if (event->seq < from)
			continue;
		if (event->visible_us > now ||
		    json_array_size(list) == MAX_ANSWERED)
			break;
		next = event->seq + 1;
		if (event->lost)
			continue;
		g_snprintf(hex, sizeof(hex), "%016" G_GINT64_MODIFIER "x",
			   event->block);
		json_array_append_new(
			list,
			json_pack("{sI ss ss sI}", "seq",
				  (json_int_t)event->seq, "type",
				  event->stored ? "stored" : "evicted", "block",
				  hex, "tokens", (json_int_t)event->tokens));
	}
	return json_pack("{so sI}", "events", list, "next", (json_int_t)next);
}
