/* Prefix affinity: a set-associative table of prompt prefixes and engines. */
#include <string.h>

#include <xxhash.h>

#include "lib/affinity.h"

/*
 * Prefixes of 128, 256 ... 16384 bytes and the whole prompt are hashed. Shorter
 * prefixes are not: reusing one saves less prefill than it costs to choose a
 * less suitable engine for it.
 */
#define MIN_PREFIX_BYTES 128
#define MAX_PREFIX_BYTES 16384
/* Each set has N_WAYS entries; a new entry evicts one of its set. */
#define N_SETS 4096
#define N_WAYS 4

typedef struct entry {
	uint64_t hash; /* of a prefix of a prompt; 0: unused */
	const void *engine;
} entry_t;

struct gc_affinity {
	entry_t sets[N_SETS][N_WAYS];
	unsigned int next_way; /* evicted next; one counter for all sets */
};

static size_t next_prefix_len(size_t prefix_len, size_t prompt_len);
static uint64_t hash_prefix(gc_str_t prompt, size_t prefix_len);
static bool set_contains(const entry_t *set, uint64_t hash, const void *engine);

gc_affinity_t *gc_affinity_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, gc_affinity_t);
}

/* Returns the length of the next prefix to hash, 0 after the whole prompt. */
static size_t next_prefix_len(size_t prefix_len, size_t prompt_len)
{
	size_t next = prefix_len == 0 ? MIN_PREFIX_BYTES : prefix_len * 2;

	if (prefix_len == prompt_len)
		return 0;
	return next > MAX_PREFIX_BYTES || next > prompt_len ? prompt_len : next;
}

static uint64_t hash_prefix(gc_str_t prompt, size_t prefix_len)
{
	/* The seed keeps prefixes of different lengths apart. */
	uint64_t hash =
		XXH3_64bits_withSeed(prompt.data, prefix_len, prefix_len);

	return hash != 0 ? hash : 1;
}

static bool set_contains(const entry_t *set, uint64_t hash, const void *engine)
{
	for (size_t i = 0; i < N_WAYS; i++) {
		if (set[i].hash == hash && set[i].engine == engine)
			return true;
	}
	return false;
}

void gc_affinity_record(gc_affinity_t *affinity, gc_str_t prompt,
			const void *engine)
{
	for (size_t prefix_len = next_prefix_len(0, prompt.len); prefix_len > 0;
	     prefix_len = next_prefix_len(prefix_len, prompt.len)) {
		uint64_t hash = hash_prefix(prompt, prefix_len);
		entry_t *set = affinity->sets[hash % N_SETS];

		if (set_contains(set, hash, engine))
			continue;
		set[affinity->next_way] = (entry_t){hash, engine};
		affinity->next_way = (affinity->next_way + 1) % N_WAYS;
	}
}

size_t gc_affinity_cached_bytes(const gc_affinity_t *affinity, gc_str_t prompt,
				const void *engine)
{
	size_t cached = 0;

	for (size_t prefix_len = next_prefix_len(0, prompt.len); prefix_len > 0;
	     prefix_len = next_prefix_len(prefix_len, prompt.len)) {
		uint64_t hash = hash_prefix(prompt, prefix_len);

		if (!set_contains(affinity->sets[hash % N_SETS], hash, engine))
			break;
		cached = prefix_len;
	}
	return cached;
}
