/*
 * Cursor: the authenticated event id with which a caller resumes a generation
 * at any daemon.
 */
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
	char engine[GC_NAME_MAX]; /* instance that executes the run */
	char run[GC_RUN_ID_MAX]; /* run id */
	uint32_t attempt; /* number of the attempt */
	uint64_t offset; /* number of tokens received up to this event */
	uint64_t hash; /* of these tokens, by gc_token_hash_update */
} gc_cursor_t;

/*
 * Adds a token to the hash of a token sequence and returns the new hash. The
 * hash of no tokens is 0.
 */
uint64_t gc_token_hash_update(uint64_t hash, gc_str_t token);

/* Encodes and signs; the URL-safe text belongs to mem. */
char *gc_cursor_encode(TALLOC_CTX *mem, const uint8_t key[GC_FLEET_KEY_LEN],
		       const gc_cursor_t *cursor);
/* Errors: GC_ERR_INVALID if malformed or not signed with the fleet key. */
bool gc_cursor_decode(const uint8_t key[GC_FLEET_KEY_LEN], gc_str_t text,
		      gc_cursor_t *cursor, GError **err);

#endif
