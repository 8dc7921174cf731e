/* Client of the platform's key-value service (docs/design.md section 12). */
#ifndef GC_LIB_KV_H
#define GC_LIB_KV_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/str.h"
#include "lib/httpc.h"

typedef struct gc_kv gc_kv_t;

/*
 * Receives the record; index is 0 and value empty if it is absent. err is set
 * if there was no valid response (GC_ERR_UNAVAILABLE, GC_ERR_TIMEOUT,
 * GC_ERR_IO). value and err are valid during the call.
 */
typedef void (*gc_kv_get_done_t)(void *ctx, gc_str_t value, uint64_t index,
				 const GError *err);

typedef enum gc_kv_write_result {
	GC_KV_WRITTEN,
	/*
	 * The index differs, or, if err is set, the service rejects the write
	 * whatever the index. Nothing was written.
	 */
	GC_KV_CONFLICT,
	/*
	 * No definite response: the write may have taken effect. err is set;
	 * GC_ERR_UNAVAILABLE means that nothing was written.
	 */
	GC_KV_UNKNOWN,
} gc_kv_write_result_t;

/* The result of a write or a deletion. err is valid during the call. */
typedef void (*gc_kv_write_done_t)(void *ctx, gc_kv_write_result_t result,
				   const GError *err);

/*
 * Receives the names of the keys; err is set as for a read. keys and err are
 * valid during the call.
 */
typedef void (*gc_kv_keys_done_t)(void *ctx, const char *const *keys, size_t n,
				  const GError *err);

/*
 * url is copied. timeout_ms limits each call; for a watch, in addition to its
 * waiting time. Freed with mem; calls in flight are then cancelled without a
 * callback.
 */
gc_kv_t *gc_kv_create(TALLOC_CTX *mem, gc_httpc_t *http, const char *url,
		      unsigned int timeout_ms);
void gc_kv_destroy(gc_kv_t *kv);
void gc_kv_get(gc_kv_t *kv, const char *key, gc_kv_get_done_t done, void *ctx);
/* Calls done when the record's index is not `index`, or after wait_s. */
void gc_kv_watch(gc_kv_t *kv, const char *key, uint64_t index,
		 unsigned int wait_s, gc_kv_get_done_t done, void *ctx);
/* Compare-and-swap: writes if the record's index is `index` (0: no record). */
void gc_kv_cas(gc_kv_t *kv, const char *key, uint64_t index, gc_str_t value,
	       gc_kv_write_done_t done, void *ctx);
/* Lists the keys that start with prefix. */
void gc_kv_list_keys(gc_kv_t *kv, const char *prefix, gc_kv_keys_done_t done,
		     void *ctx);
/*
 * Deletes the record whatever its index. The result is GC_KV_WRITTEN also if
 * there was no record.
 */
void gc_kv_delete(gc_kv_t *kv, const char *key, gc_kv_write_done_t done,
		  void *ctx);
/*
 * Adds the bytes of calls for keys that begin with prefix, HTTP headers
 * included, to the counter. If several prefixes match, only the one set last
 * counts. Deletions are not counted.
 */
void gc_kv_count_bytes(gc_kv_t *kv, const char *prefix, gc_metric_t *bytes);
/* Number of calls started since the client was created. */
uint64_t gc_kv_call_count(const gc_kv_t *kv);

#endif
