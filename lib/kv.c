/* Client of the platform's key-value service (docs/design.md section 12). */
#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "core/error.h"
#include "lib/kv.h"

/* The service may answer a watch this much later than asked: wait / 16. */
#define WATCH_JITTER_DIVISOR 16
#define MS_PER_S	     1000L

struct gc_kv {
	gc_httpc_t *http;
	char *url;
	long timeout_ms;
	uint64_t calls;
	/*
	 * Key to X-Consul-Index of absent records. A watch with index 0 does
	 * not block, so a watch of an absent record waits on this index.
	 */
	GHashTable *absent;
	GSList *counted; /* byte_count_t, talloc children, last set first */
};

typedef struct byte_count {
	char *prefix;
	gc_metric_t *bytes;
} byte_count_t;

/* A call on its way; a talloc child of the client. */
typedef struct pending {
	gc_kv_t *kv;
	gc_http_call_t *call;
	char *key;
	gc_kv_get_done_t get_done;
	gc_kv_put_done_t put_done;
	gc_kv_keys_done_t keys_done;
	void *ctx;
} pending_t;

/* The record of one answer. */
typedef struct record {
	guchar *value; /* NULL if absent; free with g_free */
	gsize len;
	uint64_t index;
} record_t;

static int kv_destructor(gc_kv_t *kv);
static int pending_destructor(pending_t *pending);
static pending_t *pending_create(gc_kv_t *kv, const char *key, void *ctx);
static char *record_url(pending_t *pending, const char *query);
static void start_get(pending_t *pending, const char *query, long timeout_ms,
		      const gc_http_call_ops_t *ops);
static void on_get_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);
static void on_put_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);
static void on_keys_done(void *ctx, int status, gc_str_t body, bool sent,
			 const GError *err);
static bool parse_keys(const pending_t *pending, gc_str_t body, GPtrArray *keys,
		       GError **err);
static void get_error(const pending_t *pending, int status, bool sent,
		      const GError *cause, GError **err);
static gc_kv_put_t put_result(const pending_t *pending, int status,
			      gc_str_t body, bool sent, const GError *cause,
			      GError **err);
static bool starts_with(gc_str_t text, const char *prefix);
static bool parse_record(const pending_t *pending, gc_str_t body,
			 record_t *record, GError **err);
static bool decode_value(json_t *entry, record_t *record);
static void remember_absent(pending_t *pending);
static uint64_t watch_index(const gc_kv_t *kv, const char *key, uint64_t index);
static gc_metric_t *bytes_of(const gc_kv_t *kv, const char *key);

gc_kv_t *gc_kv_create(TALLOC_CTX *mem, gc_httpc_t *http, const char *url,
		      unsigned int timeout_ms)
{
	gc_kv_t *kv = talloc_zero(mem, gc_kv_t);

	kv->http = http;
	kv->url = talloc_strdup(kv, url);
	kv->timeout_ms = timeout_ms;
	kv->absent =
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
	g_hash_table_destroy(kv->absent);
	g_slist_free(kv->counted);
	return 0;
}

void gc_kv_count_bytes(gc_kv_t *kv, const char *prefix, gc_metric_t *bytes)
{
	byte_count_t *count = talloc_zero(kv, byte_count_t);

	count->prefix = talloc_strdup(count, prefix);
	count->bytes = bytes;
	kv->counted = g_slist_prepend(kv->counted, count);
}

static gc_metric_t *bytes_of(const gc_kv_t *kv, const char *key)
{
	for (GSList *l = kv->counted; l; l = l->next) {
		const byte_count_t *count = l->data;

		if (g_str_has_prefix(key, count->prefix))
			return count->bytes;
	}
	return NULL;
}

uint64_t gc_kv_calls(const gc_kv_t *kv)
{
	return kv->calls;
}

static pending_t *pending_create(gc_kv_t *kv, const char *key, void *ctx)
{
	pending_t *pending = talloc_zero(kv, pending_t);

	kv->calls++;
	pending->kv = kv;
	pending->key = talloc_strdup(pending, key);
	pending->ctx = ctx;
	talloc_set_destructor(pending, pending_destructor);
	return pending;
}

static int pending_destructor(pending_t *pending)
{
	if (pending->call)
		gc_http_call_cancel(pending->call);
	return 0;
}

static char *record_url(pending_t *pending, const char *query)
{
	char *path = g_uri_escape_string(pending->key, "/", FALSE);
	char *url = talloc_asprintf(pending, "%s/v1/kv/%s%s", pending->kv->url,
				    path, query);

	g_free(path);
	return url;
}

void gc_kv_get(gc_kv_t *kv, const char *key, gc_kv_get_done_t done, void *ctx)
{
	const gc_http_call_ops_t ops = {.done = on_get_done};
	pending_t *pending = pending_create(kv, key, ctx);

	pending->get_done = done;
	start_get(pending, "", kv->timeout_ms, &ops);
}

void gc_kv_watch(gc_kv_t *kv, const char *key, uint64_t index,
		 unsigned int wait_s, gc_kv_get_done_t done, void *ctx)
{
	const gc_http_call_ops_t ops = {.done = on_get_done};
	pending_t *pending = pending_create(kv, key, ctx);
	long wait_ms = (long)wait_s * MS_PER_S;
	char query[64];

	pending->get_done = done;
	g_snprintf(query, sizeof(query), "?index=%" PRIu64 "&wait=%us",
		   watch_index(kv, key, index), wait_s);
	start_get(pending, query,
		  wait_ms + wait_ms / WATCH_JITTER_DIVISOR + kv->timeout_ms,
		  &ops);
}

static uint64_t watch_index(const gc_kv_t *kv, const char *key, uint64_t index)
{
	const uint64_t *absent;

	if (index != 0)
		return index;
	absent = g_hash_table_lookup(kv->absent, key);
	return absent ? *absent : 0;
}

static void start_get(pending_t *pending, const char *query, long timeout_ms,
		      const gc_http_call_ops_t *ops)
{
	const gc_http_call_conf_t conf = {
		.method = "GET",
		.url = record_url(pending, query),
		.peer = "key-value service",
		.body = GC_STR_EMPTY,
		.connect_timeout_ms = pending->kv->timeout_ms,
		.timeout_ms = timeout_ms,
		.bytes = bytes_of(pending->kv, pending->key),
	};

	pending->call = gc_httpc_start(pending->kv->http, &conf, ops, pending);
}

void gc_kv_keys(gc_kv_t *kv, const char *prefix, gc_kv_keys_done_t done,
		void *ctx)
{
	const gc_http_call_ops_t ops = {.done = on_keys_done};
	pending_t *pending = pending_create(kv, prefix, ctx);

	pending->keys_done = done;
	start_get(pending, "?keys", kv->timeout_ms, &ops);
}

/* Deleting twice is the same as once, so that it may be sent again. */
void gc_kv_delete(gc_kv_t *kv, const char *key, gc_kv_put_done_t done,
		  void *ctx)
{
	const gc_http_call_ops_t ops = {.done = on_put_done};
	pending_t *pending = pending_create(kv, key, ctx);
	const gc_http_call_conf_t conf = {
		.method = "DELETE",
		.url = record_url(pending, ""),
		.peer = "key-value service",
		.body = GC_STR_EMPTY,
		.connect_timeout_ms = kv->timeout_ms,
		.timeout_ms = kv->timeout_ms,
	};

	pending->put_done = done;
	pending->call = gc_httpc_start(kv->http, &conf, &ops, pending);
}

void gc_kv_cas(gc_kv_t *kv, const char *key, uint64_t index, gc_str_t value,
	       gc_kv_put_done_t done, void *ctx)
{
	const gc_http_call_ops_t ops = {.done = on_put_done};
	pending_t *pending = pending_create(kv, key, ctx);
	gc_http_call_conf_t conf = {
		.method = "PUT",
		.peer = "key-value service",
		.body = value,
		.connect_timeout_ms = kv->timeout_ms,
		.timeout_ms = kv->timeout_ms,
		/*
		 * A second sending would answer "conflict" about a write that
		 * took effect at the first.
		 */
		.send_once = true,
		.bytes = bytes_of(kv, key),
	};
	char query[32];

	pending->put_done = done;
	g_snprintf(query, sizeof(query), "?cas=%" PRIu64, index);
	conf.url = record_url(pending, query);
	pending->call = gc_httpc_start(kv->http, &conf, &ops, pending);
}

static void on_get_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *cause)
{
	pending_t *pending = ctx;
	gc_kv_get_done_t done = pending->get_done;
	void *done_ctx = pending->ctx;
	record_t record = {0};
	GError *err = NULL;

	if (!cause && status == 200)
		parse_record(pending, body, &record, &err);
	else if (!cause && status == 404)
		remember_absent(pending);
	else
		get_error(pending, status, sent, cause, &err);
	/* The callback may destroy the client. */
	pending->call = NULL;
	talloc_free(pending);
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
	pending_t *pending = ctx;
	gc_kv_keys_done_t done = pending->keys_done;
	void *done_ctx = pending->ctx;
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
	GError *err = NULL;

	/* The service answers 404 when no key has the prefix. */
	if (!cause && status == 200)
		parse_keys(pending, body, keys, &err);
	else if (cause || status != 404)
		get_error(pending, status, sent, cause, &err);
	/* The callback may destroy the client. */
	pending->call = NULL;
	talloc_free(pending);
	done(done_ctx, (const char *const *)keys->pdata, keys->len, err);
	g_clear_error(&err);
}

static bool parse_keys(const pending_t *pending, gc_str_t body, GPtrArray *keys,
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
		     "%s: list of keys not understood", pending->key);
	return false;
}

static void remember_absent(pending_t *pending)
{
	const char *text = gc_http_call_header(pending->call, "X-Consul-Index");
	uint64_t *index;

	if (!text)
		return;
	index = g_new(uint64_t, 1);
	*index = g_ascii_strtoull(text, NULL, 10);
	g_hash_table_replace(pending->kv->absent, g_strdup(pending->key),
			     index);
}

static void get_error(const pending_t *pending, int status, bool sent,
		      const GError *cause, GError **err)
{
	if (!cause)
		gc_error_set(err, GC_ERR_UNAVAILABLE, "key-value read",
			     "key-value service", "%s: HTTP status %d",
			     pending->key, status);
	else
		gc_error_set(err, sent ? cause->code : GC_ERR_UNAVAILABLE,
			     "key-value read", "key-value service", "%s: %s",
			     pending->key, cause->message);
}

static bool parse_record(const pending_t *pending, gc_str_t body,
			 record_t *record, GError **err)
{
	json_t *root = json_loadb(body.data, body.len, 0, NULL);
	json_t *entry = json_array_get(root, 0);
	bool ok = entry && decode_value(entry, record);

	json_decref(root);
	if (!ok)
		gc_error_set(err, GC_ERR_IO, "key-value read",
			     "key-value service", "%s: answer not understood",
			     pending->key);
	return ok;
}

static bool decode_value(json_t *entry, record_t *record)
{
	json_t *index = json_object_get(entry, "ModifyIndex");
	/* The value of an empty record is null. */
	const char *text = json_string_value(json_object_get(entry, "Value"));

	if (!json_is_integer(index) || json_integer_value(index) <= 0)
		return false;
	record->index = json_integer_value(index);
	if (text)
		record->value = g_base64_decode(text, &record->len);
	return true;
}

static void on_put_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *cause)
{
	pending_t *pending = ctx;
	gc_kv_put_done_t done = pending->put_done;
	void *done_ctx = pending->ctx;
	GError *err = NULL;
	gc_kv_put_t result =
		put_result(pending, status, body, sent, cause, &err);

	/* The callback may destroy the client. */
	pending->call = NULL;
	talloc_free(pending);
	done(done_ctx, result, err);
	g_clear_error(&err);
}

/*
 * The error tells more than the result: with GC_KV_UNKNOWN,
 * GC_ERR_UNAVAILABLE means that nothing was written; with GC_KV_CONFLICT, an
 * error means that the service refuses this write whatever the index.
 */
static gc_kv_put_t put_result(const pending_t *pending, int status,
			      gc_str_t body, bool sent, const GError *cause,
			      GError **err)
{
	gc_errcode_t code = GC_ERR_IO;

	if (cause) {
		gc_error_set(err, sent ? cause->code : GC_ERR_UNAVAILABLE,
			     "key-value write", "key-value service", "%s: %s",
			     pending->key, cause->message);
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
		     "%s: HTTP status %d", pending->key, status);
	return code == GC_ERR_TOO_LARGE || code == GC_ERR_INVALID
		       ? GC_KV_CONFLICT
		       : GC_KV_UNKNOWN;
}

static bool starts_with(gc_str_t text, const char *prefix)
{
	size_t len = strlen(prefix);

	return text.len >= len && memcmp(text.data, prefix, len) == 0;
}
