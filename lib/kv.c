/* Client of the platform's key-value service (docs/design.md section 12). */
#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "core/error.h"
#include "lib/kv.h"

/* The service may answer a watch later than requested by up to wait / 16. */
#define WATCH_JITTER_DIVISOR 16
#define MS_PER_S	     1000L

struct gc_kv {
	gc_httpc_t *http;
	char *url;
	long timeout_ms;
	uint64_t n_calls;
	/*
	 * Key -> X-Consul-Index of absent records. A watch with index 0 does
	 * not block, so the watch of an absent record uses this index.
	 */
	GHashTable *absent_indexes;
	/* byte_counter_t, talloc children of the client; last set first. */
	GSList *byte_counters;
};

/* Counts the bytes of calls for keys that begin with prefix. */
typedef struct byte_counter {
	char *prefix;
	gc_metric_t *bytes;
} byte_counter_t;

/* A request in flight; a talloc child of the client. */
typedef struct request {
	gc_kv_t *kv;
	gc_http_call_t *call;
	char *key;
	gc_kv_get_done_t get_done;
	gc_kv_write_done_t write_done;
	gc_kv_keys_done_t keys_done;
	void *ctx;
} request_t;

/* The record in a response. */
typedef struct record {
	guchar *value; /* NULL if absent or empty; freed with g_free */
	gsize len;
	uint64_t index;
} record_t;

static int kv_destructor(gc_kv_t *kv);
static int request_destructor(request_t *request);
static request_t *request_create(gc_kv_t *kv, const char *key, void *ctx);
static char *request_url(request_t *request, const char *query);
static void start_get(request_t *request, const char *query, long timeout_ms,
		      const gc_http_call_ops_t *ops);
static void on_get_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *cause);
static void on_write_done(void *ctx, int status, gc_str_t body, bool sent,
			  const GError *cause);
static void on_keys_done(void *ctx, int status, gc_str_t body, bool sent,
			 const GError *cause);
static bool parse_keys(const request_t *request, gc_str_t body, GPtrArray *keys,
		       GError **err);
static void set_read_error(const request_t *request, int status, bool sent,
			   const GError *cause, GError **err);
static gc_kv_write_result_t
classify_write_response(const request_t *request, int status, gc_str_t body,
			bool sent, const GError *cause, GError **err);
static bool starts_with(gc_str_t text, const char *prefix);
static bool parse_record(const request_t *request, gc_str_t body,
			 record_t *record, GError **err);
static bool decode_entry(json_t *entry, record_t *record);
static void save_absent_index(request_t *request);
static uint64_t watch_index(const gc_kv_t *kv, const char *key, uint64_t index);
static gc_metric_t *find_byte_metric(const gc_kv_t *kv, const char *key);

gc_kv_t *gc_kv_create(TALLOC_CTX *mem, gc_httpc_t *http, const char *url,
		      unsigned int timeout_ms)
{
	gc_kv_t *kv = talloc_zero(mem, gc_kv_t);

	kv->http = http;
	kv->url = talloc_strdup(kv, url);
	kv->timeout_ms = timeout_ms;
	kv->absent_indexes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(kv, kv_destructor);
	return kv;
}

void gc_kv_destroy(gc_kv_t *kv)
{
	talloc_free(kv);
}

static int kv_destructor(gc_kv_t *kv)
{
	g_hash_table_destroy(kv->absent_indexes);
	g_slist_free(kv->byte_counters);
	return 0;
}

void gc_kv_count_bytes(gc_kv_t *kv, const char *prefix, gc_metric_t *bytes)
{
	byte_counter_t *counter = talloc_zero(kv, byte_counter_t);

	counter->prefix = talloc_strdup(counter, prefix);
	counter->bytes = bytes;
	kv->byte_counters = g_slist_prepend(kv->byte_counters, counter);
}

static gc_metric_t *find_byte_metric(const gc_kv_t *kv, const char *key)
{
	for (GSList *l = kv->byte_counters; l; l = l->next) {
		const byte_counter_t *counter = l->data;

		if (g_str_has_prefix(key, counter->prefix))
			return counter->bytes;
	}
	return NULL;
}

uint64_t gc_kv_call_count(const gc_kv_t *kv)
{
	return kv->n_calls;
}

static request_t *request_create(gc_kv_t *kv, const char *key, void *ctx)
{
	request_t *request = talloc_zero(kv, request_t);

	kv->n_calls++;
	request->kv = kv;
	request->key = talloc_strdup(request, key);
	request->ctx = ctx;
	talloc_set_destructor(request, request_destructor);
	return request;
}

static int request_destructor(request_t *request)
{
	if (request->call)
		gc_http_call_cancel(request->call);
	return 0;
}

static char *request_url(request_t *request, const char *query)
{
	char *path = g_uri_escape_string(request->key, "/", FALSE);
	char *url = talloc_asprintf(request, "%s/v1/kv/%s%s", request->kv->url,
				    path, query);

	g_free(path);
	return url;
}

void gc_kv_get(gc_kv_t *kv, const char *key, gc_kv_get_done_t done, void *ctx)
{
	const gc_http_call_ops_t ops = {.done = on_get_done};
	request_t *request = request_create(kv, key, ctx);

	request->get_done = done;
	start_get(request, "", kv->timeout_ms, &ops);
}

void gc_kv_watch(gc_kv_t *kv, const char *key, uint64_t index,
		 unsigned int wait_s, gc_kv_get_done_t done, void *ctx)
{
	const gc_http_call_ops_t ops = {.done = on_get_done};
	request_t *request = request_create(kv, key, ctx);
	long wait_ms = (long)wait_s * MS_PER_S;
	char query[64];

	request->get_done = done;
	g_snprintf(query, sizeof(query), "?index=%" PRIu64 "&wait=%us",
		   watch_index(kv, key, index), wait_s);
	start_get(request, query,
		  wait_ms + wait_ms / WATCH_JITTER_DIVISOR + kv->timeout_ms,
		  &ops);
}

static uint64_t watch_index(const gc_kv_t *kv, const char *key, uint64_t index)
{
	const uint64_t *absent_index;

	if (index != 0)
		return index;
	absent_index = g_hash_table_lookup(kv->absent_indexes, key);
	return absent_index ? *absent_index : 0;
}

static void start_get(request_t *request, const char *query, long timeout_ms,
		      const gc_http_call_ops_t *ops)
{
	const gc_http_call_conf_t conf = {
		.method = "GET",
		.url = request_url(request, query),
		.peer = "key-value service",
		.body = GC_STR_EMPTY,
		.connect_timeout_ms = request->kv->timeout_ms,
		.timeout_ms = timeout_ms,
		.bytes = find_byte_metric(request->kv, request->key),
	};

	request->call = gc_httpc_start(request->kv->http, &conf, ops, request);
}

void gc_kv_list_keys(gc_kv_t *kv, const char *prefix, gc_kv_keys_done_t done,
		     void *ctx)
{
	const gc_http_call_ops_t ops = {.done = on_keys_done};
	request_t *request = request_create(kv, prefix, ctx);

	request->keys_done = done;
	start_get(request, "?keys", kv->timeout_ms, &ops);
}

/* Deletion is idempotent, so libcurl may repeat the request. */
void gc_kv_delete(gc_kv_t *kv, const char *key, gc_kv_write_done_t done,
		  void *ctx)
{
	const gc_http_call_ops_t ops = {.done = on_write_done};
	request_t *request = request_create(kv, key, ctx);
	const gc_http_call_conf_t conf = {
		.method = "DELETE",
		.url = request_url(request, ""),
		.peer = "key-value service",
		.body = GC_STR_EMPTY,
		.connect_timeout_ms = kv->timeout_ms,
		.timeout_ms = kv->timeout_ms,
		.bytes = find_byte_metric(kv, key),
	};

	request->write_done = done;
	request->call = gc_httpc_start(kv->http, &conf, &ops, request);
}

void gc_kv_cas(gc_kv_t *kv, const char *key, uint64_t index, gc_str_t value,
	       gc_kv_write_done_t done, void *ctx)
{
	const gc_http_call_ops_t ops = {.done = on_write_done};
	request_t *request = request_create(kv, key, ctx);
	gc_http_call_conf_t conf = {
		.method = "PUT",
		.peer = "key-value service",
		.body = value,
		.connect_timeout_ms = kv->timeout_ms,
		.timeout_ms = kv->timeout_ms,
		/*
		 * A repeated request would be answered with a conflict although
		 * the first one wrote the record.
		 */
		.send_once = true,
		.bytes = find_byte_metric(kv, key),
	};
	char query[32];

	request->write_done = done;
	g_snprintf(query, sizeof(query), "?cas=%" PRIu64, index);
	conf.url = request_url(request, query);
	request->call = gc_httpc_start(kv->http, &conf, &ops, request);
}

static void on_get_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *cause)
{
	request_t *request = ctx;
	gc_kv_get_done_t done = request->get_done;
	void *done_ctx = request->ctx;
	record_t record = {0};
	GError *err = NULL;

	if (!cause && status == 200)
		parse_record(request, body, &record, &err);
	else if (!cause && status == 404)
		save_absent_index(request);
	else
		set_read_error(request, status, sent, cause, &err);
	/* The callback may destroy the client. */
	request->call = NULL;
	talloc_free(request);
	done(done_ctx,
	     record.value ? (gc_str_t){(char *)record.value, record.len}
			  : GC_STR_EMPTY,
	     record.index, err);
	g_free(record.value);
	g_clear_error(&err);
}

static void on_keys_done(void *ctx, int status, gc_str_t body, bool sent,
			 const GError *cause)
{
	request_t *request = ctx;
	gc_kv_keys_done_t done = request->keys_done;
	void *done_ctx = request->ctx;
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
	GError *err = NULL;

	/* The service responds with 404 when no key has the prefix. */
	if (!cause && status == 200)
		parse_keys(request, body, keys, &err);
	else if (cause || status != 404)
		set_read_error(request, status, sent, cause, &err);
	/* The callback may destroy the client. */
	request->call = NULL;
	talloc_free(request);
	done(done_ctx, (const char *const *)keys->pdata, keys->len, err);
	g_clear_error(&err);
}

static bool parse_keys(const request_t *request, gc_str_t body, GPtrArray *keys,
		       GError **err)
{
	json_t *root = json_loadb(body.data, body.len, 0, NULL);
	bool ok = json_is_array(root);
	json_t *key;
	size_t i;

	json_array_foreach (root, i, key) {
		ok = ok && json_is_string(key);
		if (ok)
			g_ptr_array_add(keys, g_strdup(json_string_value(key)));
	}
	json_decref(root);
	if (ok)
		return true;
	g_ptr_array_set_size(keys, 0);
	gc_error_set(err, GC_ERR_IO, "key-value read", "key-value service",
		     "%s: response is not a JSON array of strings",
		     request->key);
	return false;
}

/* Stores the index from the response to a read of an absent record. */
static void save_absent_index(request_t *request)
{
	const char *text = gc_http_call_header(request->call, "X-Consul-Index");
	uint64_t *index;

	if (!text)
		return;
	index = g_new(uint64_t, 1);
	*index = g_ascii_strtoull(text, NULL, 10);
	g_hash_table_replace(request->kv->absent_indexes,
			     g_strdup(request->key), index);
}

static void set_read_error(const request_t *request, int status, bool sent,
			   const GError *cause, GError **err)
{
	if (!cause)
		gc_error_set(err, GC_ERR_UNAVAILABLE, "key-value read",
			     "key-value service", "%s: HTTP status %d",
			     request->key, status);
	else
		gc_error_set(err, sent ? cause->code : GC_ERR_UNAVAILABLE,
			     "key-value read", "key-value service", "%s: %s",
			     request->key, cause->message);
}

static bool parse_record(const request_t *request, gc_str_t body,
			 record_t *record, GError **err)
{
	json_t *root = json_loadb(body.data, body.len, 0, NULL);
	json_t *entry = json_array_get(root, 0);
	bool ok = entry && decode_entry(entry, record);

	json_decref(root);
	if (!ok)
		gc_error_set(err, GC_ERR_IO, "key-value read",
			     "key-value service",
			     "%s: response has no record with a valid "
			     "ModifyIndex",
			     request->key);
	return ok;
}

static bool decode_entry(json_t *entry, record_t *record)
{
	json_t *index = json_object_get(entry, "ModifyIndex");
	/* The service gives the value of an empty record as null. */
	const char *text = json_string_value(json_object_get(entry, "Value"));

	if (!json_is_integer(index) || json_integer_value(index) <= 0)
		return false;
	record->index = json_integer_value(index);
	if (text)
		record->value = g_base64_decode(text, &record->len);
	return true;
}

static void on_write_done(void *ctx, int status, gc_str_t body, bool sent,
			  const GError *cause)
{
	request_t *request = ctx;
	gc_kv_write_done_t done = request->write_done;
	void *done_ctx = request->ctx;
	GError *err = NULL;
	gc_kv_write_result_t result = classify_write_response(
		request, status, body, sent, cause, &err);

	/* The callback may destroy the client. */
	request->call = NULL;
	talloc_free(request);
	done(done_ctx, result, err);
	g_clear_error(&err);
}

/*
 * err refines the result. With GC_KV_UNKNOWN, GC_ERR_UNAVAILABLE means that
 * nothing was written. With GC_KV_CONFLICT, an error means that the service
 * rejects this write whatever the index.
 */
static gc_kv_write_result_t
classify_write_response(const request_t *request, int status, gc_str_t body,
			bool sent, const GError *cause, GError **err)
{
	gc_errcode_t code = GC_ERR_IO;

	if (cause) {
		gc_error_set(err, sent ? cause->code : GC_ERR_UNAVAILABLE,
			     "key-value write", "key-value service", "%s: %s",
			     request->key, cause->message);
		return GC_KV_UNKNOWN;
	}
	if (status == 200 && starts_with(body, "true"))
		return GC_KV_WRITTEN;
	if (status == 200 && starts_with(body, "false"))
		return GC_KV_CONFLICT;
	if (status == 429)
		code = GC_ERR_UNAVAILABLE;
	else if (status == 413)
		code = GC_ERR_TOO_LARGE;
	else if (status >= 400 && status < 500)
		code = GC_ERR_INVALID;
	gc_error_set(err, code, "key-value write", "key-value service",
		     "%s: HTTP status %d", request->key, status);
	return code == GC_ERR_TOO_LARGE || code == GC_ERR_INVALID
		       ? GC_KV_CONFLICT
		       : GC_KV_UNKNOWN;
}

static bool starts_with(gc_str_t text, const char *prefix)
{
	size_t len = strlen(prefix);

	return text.len >= len && memcmp(text.data, prefix, len) == 0;
}
