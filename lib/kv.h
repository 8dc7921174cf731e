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
 * The record; index is 0 and value empty when the key is absent. err is set if
 * no definite answer came (GC_ERR_UNAVAILABLE, GC_ERR_TIMEOUT, GC_ERR_IO).
 */
typedef void (*gc_kv_get_done_t)(void *ctx, gc_str_t value, uint64_t index,
				 const GError *err);

typedef enum gc_kv_put {
	GC_KV_WRITTEN,
	GC_KV_CONFLICT, /* the index differs; nothing was written */
	GC_KV_UNKNOWN, /* no answer: it may or may not have taken effect */
} gc_kv_put_t;

typedef void (*gc_kv_put_done_t)(void *ctx, gc_kv_put_t result,
				 const GError *err);

/* Names of the keys; err is set as for a read. Valid during the call. */
typedef void (*gc_kv_keys_done_t)(void *ctx, const char *const *keys, size_t n,
				  const GError *err);

/* timeout_ms is for each call except the waiting part of a watch. */
gc_kv_t *gc_kv_create(TALLOC_CTX *mem, gc_httpc_t *http, const char *url,
		      unsigned int timeout_ms);
void gc_kv_destroy(gc_kv_t *kv);
void gc_kv_get(gc_kv_t *kv, const char *key, gc_kv_get_done_t done, void *ctx);
/* Answers when the record's index is not `index`, or after wait_s at most. */
void gc_kv_watch(gc_kv_t *kv, const char *key, uint64_t index,
		 unsigned int wait_s, gc_kv_get_done_t done, void *ctx);
/* Compare-and-swap: writes if the record's index is `index` (0: absent). */
void gc_kv_cas(gc_kv_t *kv, const char *key, uint64_t index, gc_str_t value,
	       gc_kv_put_done_t done, void *ctx);
/* Lists the keys that start with prefix. */
void gc_kv_keys(gc_kv_t *kv, const char *prefix, gc_kv_keys_done_t done,
		void *ctx);
/* Deletes the record whatever its index; an absent one counts as written. */
void gc_kv_delete(gc_kv_t *kv, const char *key, gc_kv_put_done_t done,
		  void *ctx);
/*
 * Counts the bytes of calls, HTTP headers included, for keys that begin with
 * the prefix; of several that match, the one set last counts.
 */
void gc_kv_count_bytes(gc_kv_t *kv, const char *prefix, gc_metric_t *bytes);
/* Calls made since the start, for measurements. */
uint64_t gc_kv_calls(const gc_kv_t *kv);

#endif
