/* Verifies the hash chain of the tokens of one answer. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "gcload.h"

#define HASH_DIGITS 8 /* hexadecimal digits of the hash in a token */

static bool parse_token(gc_str_t token, gc_str_t *run, uint32_t *hash);

void token_chain_init(token_chain_t *chain, gc_str_t prompt)
{
	*chain = (token_chain_t){.hash = XXH64(prompt.data, prompt.len, 0)};
}

void token_chain_append(token_chain_t *chain, gc_str_t token)
{
	gc_str_t run = GC_STR_EMPTY;
	uint32_t hash = 0;

	if (!parse_token(token, &run, &hash) || run.len >= sizeof(chain->run) ||
	    hash != (uint32_t)chain->hash) {
		chain->invalid = true;
		return;
	}
	chain->run_changed =
		chain->tokens > 0 && !gc_str_eq(run, gc_str(chain->run));
	memcpy(chain->run, run.data, run.len);
	chain->run[run.len] = '\0';
	chain->tokens++;
	chain->hash = XXH64(token.data, token.len, chain->hash);
}

/* Parses "WORD:RUN:HHHHHHHH "; run points into the token. */
static bool parse_token(gc_str_t token, gc_str_t *run, uint32_t *hash)
{
	const char *run_colon = memchr(token.data, ':', token.len);
	const char *hash_colon;
	size_t left;
	char digits[HASH_DIGITS + 1];
	char *end;

	if (!run_colon)
		return false;
	left = token.data + token.len - (run_colon + 1);
	hash_colon = memchr(run_colon + 1, ':', left);
	if (!hash_colon)
		return false;
	left = token.data + token.len - (hash_colon + 1);
	if (left != HASH_DIGITS + 1 || hash_colon[HASH_DIGITS + 1] != ' ')
		return false;
	memcpy(digits, hash_colon + 1, HASH_DIGITS);
	digits[HASH_DIGITS] = '\0';
	*hash = (uint32_t)strtoul(digits, &end, 16);
	*run = (gc_str_t){run_colon + 1, hash_colon - (run_colon + 1)};
	return *end == '\0';
}
