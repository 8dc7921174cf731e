/* Remembers which engine was given which prompt, as a guess at its cache. */
#include <string.h>

#include <xxhash.h>

#include "lib/affinity.h"

/*
 * Prompts are compared at these lengths in bytes: 128, 256 ... 16384, and as a
 * whole. A shorter common start saves less prefill than a detour costs.
 */
#define SHORTEST 128
#define LONGEST	 16384
/* Sets of 4 entries; an entry is replaced by a newer one of its set. */
#define N_SETS 4096
#define N_WAYS 4

typedef struct entry {
	uint64_t hash; /* of the start of a prompt; 0: unused */
	const void *engine;
} entry_t;

struct gc_affinity {
	entry_t sets[N_SETS][N_WAYS];
	unsigned int next_way;
};

static size_t next_length(size_t length, size_t len);
static uint64_t hash_of(gc_str_t prompt, size_t length);
static bool holds(const entry_t *set, uint64_t hash, const void *engine);

gc_affinity_t *gc_affinity_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, gc_affinity_t);
}

/* The length of comparison after this one; 0 after the last. */
static size_t next_length(size_t length, size_t len)
{
	size_t next = length == 0 ? SHORTEST : length * 2;

	if (length == len)
		return 0;
	return next > LONGEST || next > len ? len : next;
}

static uint64_t hash_of(gc_str_t prompt, size_t length)
{
	uint64_t hash = XXH3_64bits_withSeed(prompt.data, length, length);

	return hash != 0 ? hash : 1;
}

static bool holds(const entry_t *set, uint64_t hash, const void *engine)
{
	for (size_t i = 0; i < N_WAYS; i++) {
		if (set[i].hash == hash && set[i].engine == engine)
			return true;
	}
	return false;
}

void gc_affinity_note(gc_affinity_t *affinity, gc_str_t prompt,
		      const void *engine)
{
	for (size_t length = next_length(0, prompt.len); length > 0;
	     length = next_length(length, prompt.len)) {
		uint64_t hash = hash_of(prompt, length);
		entry_t *set = affinity->sets[hash % N_SETS];

		if (holds(set, hash, engine))
			continue;
		set[affinity->next_way] = (entry_t){hash, engine};
		affinity->next_way = (affinity->next_way + 1) % N_WAYS;
	}
}

size_t gc_affinity_bytes(const gc_affinity_t *affinity, gc_str_t prompt,
			 const void *engine)
{
	size_t known = 0;

	for (size_t length = next_length(0, prompt.len); length > 0;
	     length = next_length(length, prompt.len)) {
		uint64_t hash = hash_of(prompt, length);

		if (!holds(affinity->sets[hash % N_SETS], hash, engine))
			break;
		known = length;
	}
	return known;
}
