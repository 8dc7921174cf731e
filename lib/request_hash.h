/* Recognizes a request that comes again. */
#ifndef GC_LIB_REQUEST_HASH_H
#define GC_LIB_REQUEST_HASH_H

#include <stdint.h>

#include "core/str.h"
#include "lib/http_message.h"

/*
 * Hash of the service, the client account, the method, the target with its
 * query, the prompt's parts as a header names them, and the body; request must
 * be complete. The same in all daemons.
 * Requests are refused by it, so it is cryptographic (BLAKE2b): a caller can't
 * make a request that has the hash of another account's.
 */
uint64_t gc_request_hash(gc_str_t service, gc_str_t account, gc_str_t prompt,
			 const gc_http_message_t *request);

/* Bytes of a stream's key as text, with a NUL. */
#define GC_STREAM_KEY_BYTES 33

/*
 * Key under which a stream is on record: a hash (BLAKE2b) of its service, the
 * client account and the request id of the try that began it. The same in all
 * daemons; another account can't name it.
 */
void gc_stream_key(gc_str_t service, gc_str_t account, gc_str_t id,
		   char key[GC_STREAM_KEY_BYTES]);

#endif
