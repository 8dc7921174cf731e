/* The event id that a caller resumes with: an authenticated cursor. */
#ifndef GC_CORE_CURSOR_H
#define GC_CORE_CURSOR_H

#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "core/str.h"
#include "core/types.h"

#define GC_FLEET_KEY_LEN  32 /* bytes */
#define GC_REQUEST_ID_LEN 16 /* bytes */

typedef struct gc_cursor {
	uint8_t request[GC_REQUEST_ID_LEN];
	char engine[GC_NAME_MAX]; /* instance that holds the run */
	char run[GC_RUN_MAX];
	uint32_t attempt;
	uint64_t offset; /* tokens that the caller holds after this event */
	uint64_t hash; /* gc_chain_hash over these tokens */
} gc_cursor_t;

/* Hash of a token sequence, one token at a time; starts at 0. */
uint64_t gc_token_hash_update(uint64_t hash, gc_str_t token);

/* Encodes as URL-safe text (no line breaks); the result belongs to mem. */
char *gc_cursor_encode(TALLOC_CTX *mem, const uint8_t key[GC_FLEET_KEY_LEN],
		       const gc_cursor_t *cursor);
/* Errors: GC_ERR_INVALID for anything that the fleet key didn't sign. */
bool gc_cursor_decode(const uint8_t key[GC_FLEET_KEY_LEN], gc_str_t text,
		      gc_cursor_t *cursor, GError **err);

#endif
