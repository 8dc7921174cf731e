/* Checks the token chain of one answer. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "gcload.h"

#define HASH_DIGITS 8

static bool split(gc_str_t token, gc_str_t *run, uint32_t *hash);

void chain_begin(chain_t *chain, gc_str_t prompt)
{
	*chain = (chain_t){.hash = XXH64(prompt.data, prompt.len, 0)};
}

void chain_take(chain_t *chain, gc_str_t token)
{
	gc_str_t run = GC_STR_EMPTY;
	uint32_t hash = 0;

	if (!split(token, &run, &hash) || run.len >= sizeof(chain->run) ||
	    hash != (uint32_t)chain->hash) {
		chain->broken = true;
		return;
	}
	chain->new_run =
		chain->tokens > 0 && !gc_str_eq(run, gc_str(chain->run));
	memcpy(chain->run, run.data, run.len);
	chain->run[run.len] = '\0';
	chain->tokens++;
	chain->hash = XXH64(token.data, token.len, chain->hash);
}

/* Splits "WORD:RUN:HHHHHHHH ". */
static bool split(gc_str_t token, gc_str_t *run, uint32_t *hash)
{
	const char *first = memchr(token.data, ':', token.len);
	const char *second;
	size_t left;
	char digits[HASH_DIGITS + 1];
	char *end;

	if (!first)
		return false;
	left = token.data + token.len - (first + 1);
	second = memchr(first + 1, ':', left);
	if (!second)
		return false;
	left = token.data + token.len - (second + 1);
	if (left != HASH_DIGITS + 1 || second[HASH_DIGITS + 1] != ' ')
		return false;
	memcpy(digits, second + 1, HASH_DIGITS);
	digits[HASH_DIGITS] = '\0';
	*hash = (uint32_t)strtoul(digits, &end, 16);
	*run = (gc_str_t){first + 1, second - (first + 1)};
	return *end == '\0';
}
