/* Key-value service: compare-and-swap, locks of sessions, watches. */
#include <inttypes.h>
#include <string.h>

#include "standin-platform.h"

#define MAX_VALUE_BYTES (1024 * 1024)
#define DEFAULT_WAIT_US (300 * INT64_C(1000000))
#define MAX_WAIT_US	(600 * INT64_C(1000000))

typedef struct entry {
	char *key;
	char *value; /* base64; NULL once the key was deleted */
	uint64_t index; /* of the last change */
	char *session; /* that holds the lock; NULL: none */
} entry_t;

typedef struct watch {
	kv_t *kv;
	gc_http_req_t *req;
	char *key;
	GList link;
} watch_t;

struct kv {
	platform_t *platform;
	GHashTable *entries; /* key -> entry_t */
	uint64_t index;
	GQueue watches;
};

static bool is_prefix_query(gc_http_req_t *req);
static uint64_t watch_index(kv_t *kv, gc_http_req_t *req, const char *key);
static void answer(kv_t *kv, gc_http_req_t *req, const char *key);
static json_t *list_entries(kv_t *kv, const char *prefix, bool keys_only);
static json_t *entry_json(const entry_t *entry);
static void begin_watch(kv_t *kv, gc_http_req_t *req, const char *key);
static void end_watch(watch_t *watch);
static void on_wait_over(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx);
static void changed(kv_t *kv, entry_t *entry);
static entry_t *live_entry(kv_t *kv, const char *key);
static bool write_allowed(kv_t *kv, gc_http_req_t *req, const entry_t *entry,
			  bool *answered);
static bool lock(kv_t *kv, gc_http_req_t *req, const entry_t *entry,
		 bool *answered);
static void store(kv_t *kv, gc_http_req_t *req, const char *key);
static void remove_value(kv_t *kv, entry_t *entry);
static void set_session(entry_t *entry, const char *session);

kv_t *kv_create(TALLOC_CTX *mem, platform_t *platform)
{
	kv_t *kv = talloc_zero(mem, kv_t);

	kv->platform = platform;
	kv->entries = g_hash_table_new(g_str_hash, g_str_equal);
	/* The published protocol never has an index of 0. */
	kv->index = 1;
	g_queue_init(&kv->watches);
	return kv;
}

bool kv_is_watch(gc_http_req_t *req)
{
	uint64_t index;

	return standin_query_u64(req, "index", &index) && index > 0;
}

void kv_get(kv_t *kv, gc_http_req_t *req, const char *key)
{
	uint64_t index;

	if (gc_http_req_query_arg(req, "index") &&
	    !standin_query_u64(req, "index", &index))
		standin_reply_error(req, 400, "index is no number");
	else if (kv_is_watch(req) && standin_query_u64(req, "index", &index) &&
		 watch_index(kv, req, key) <= index)
		begin_watch(kv, req, key);
	else
		answer(kv, req, key);
}

static bool is_prefix_query(gc_http_req_t *req)
{
	return gc_http_req_query_arg(req, "keys") ||
	       gc_http_req_query_arg(req, "recurse");
}

/* Index of the last change of the key or, for a prefix, of any such key. */
static uint64_t watch_index(kv_t *kv, gc_http_req_t *req, const char *key)
{
	uint64_t index = 1;
	GHashTableIter iter;
	gpointer value;
	entry_t *entry;

	if (!is_prefix_query(req)) {
		entry = g_hash_table_lookup(kv->entries, key);
		return entry ? entry->index : index;
	}
	g_hash_table_iter_init(&iter, kv->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry = value;
		if (g_str_has_prefix(entry->key, key))
			index = MAX(index, entry->index);
	}
	return index;
}

static void answer(kv_t *kv, gc_http_req_t *req, const char *key)
{
	entry_t *entry;
	char text[24];
	json_t *list;

	g_snprintf(text, sizeof(text), "%" PRIu64, watch_index(kv, req, key));
	gc_http_req_add_header(req, "X-Consul-Index", text);
	if (is_prefix_query(req)) {
		list = list_entries(kv, key,
				    gc_http_req_query_arg(req, "keys") != NULL);
	} else {
		list = json_array();
		entry = live_entry(kv, key);
		if (entry)
			json_array_append_new(list, entry_json(entry));
	}
	if (json_array_size(list) > 0) {
		standin_reply(req, 200, list);
		return;
	}
	json_decref(list);
	gc_http_reply(req, 404, "application/json", GC_STR_EMPTY);
}

static json_t *list_entries(kv_t *kv, const char *prefix, bool keys_only)
{
	g_autoptr(GList) keys = g_hash_table_get_keys(kv->entries);
	json_t *list = json_array();

	keys = g_list_sort(keys, (GCompareFunc)strcmp);
	for (GList *l = keys; l; l = l->next) {
		const entry_t *entry = live_entry(kv, l->data);

		if (!entry || !g_str_has_prefix(entry->key, prefix))
			continue;
		json_array_append_new(list, keys_only ? json_string(entry->key)
						      : entry_json(entry));
	}
	return list;
}

static json_t *entry_json(const entry_t *entry)
{
	return json_pack("{ss ss sI ss*}", "Key", entry->key, "Value",
			 entry->value, "ModifyIndex", (json_int_t)entry->index,
			 "Session", entry->session);
}

static void begin_watch(kv_t *kv, gc_http_req_t *req, const char *key)
{
	watch_t *watch = talloc_zero(kv, watch_t);
	int64_t wait_us = DEFAULT_WAIT_US;

	platform_duration_us(gc_http_req_query_arg(req, "wait"), &wait_us);
	watch->kv = kv;
	watch->req = req;
	watch->key = talloc_strdup(watch, key);
	watch->link.data = watch;
	g_queue_push_tail_link(&kv->watches, &watch->link);
	standin_after_us(kv->platform->standin->ev, watch,
			 MIN(wait_us, MAX_WAIT_US), on_wait_over, watch);
}

static void end_watch(watch_t *watch)
{
	g_queue_unlink(&watch->kv->watches, &watch->link);
	talloc_free(watch);
}

static void on_wait_over(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx)
{
	watch_t *watch = ctx;

	answer(watch->kv, watch->req, watch->key);
	end_watch(watch);
}

void kv_end_watches(kv_t *kv, bool cut)
{
	watch_t *watch;

	while ((watch = g_queue_peek_head(&kv->watches)) != NULL) {
		if (cut)
			standin_cut(watch->req);
		else
			standin_reply_error(watch->req, 503, "unavailable");
		end_watch(watch);
	}
}

/* Gives the entry a new index and answers its watches. */
static void changed(kv_t *kv, entry_t *entry)
{
	GList *next;

	entry->index = ++kv->index;
	for (GList *l = kv->watches.head; l; l = next) {
		watch_t *watch = l->data;

		next = l->next;
		if (is_prefix_query(watch->req)
			    ? !g_str_has_prefix(entry->key, watch->key)
			    : strcmp(entry->key, watch->key) != 0)
			continue;
		answer(kv, watch->req, watch->key);
		end_watch(watch);
	}
}

static entry_t *live_entry(kv_t *kv, const char *key)
{
	entry_t *entry = g_hash_table_lookup(kv->entries, key);

	return entry && entry->value ? entry : NULL;
}

void kv_put(kv_t *kv, gc_http_req_t *req, const char *key)
{
	entry_t *entry = live_entry(kv, key);
	bool answered = false;

	if (*key == '\0') {
		standin_reply_error(req, 400, "no key");
		return;
	}
	if (gc_http_req_body(req).len > MAX_VALUE_BYTES) {
		standin_reply_error(req, 413, "value is larger than 1 MiB");
		return;
	}
	if (!write_allowed(kv, req, entry, &answered) ||
	    !lock(kv, req, entry, &answered)) {
		if (!answered)
			platform_answer_write(kv->platform, req, "false\n");
		return;
	}
	store(kv, req, key);
	platform_answer_effect(kv->platform, req, "true\n");
}

/* Compares the index of cas=N, where 0 means that the key is absent. */
static bool write_allowed(kv_t *kv, gc_http_req_t *req, const entry_t *entry,
			  bool *answered)
{
	uint64_t expected;

	if (!gc_http_req_query_arg(req, "cas"))
		return true;
	if (standin_query_u64(req, "cas", &expected))
		return expected == (entry ? entry->index : 0);
	standin_reply_error(req, 400, "cas is no number");
	*answered = true;
	return false;
}

static bool lock(kv_t *kv, gc_http_req_t *req, const entry_t *entry,
		 bool *answered)
{
	const char *acquire = gc_http_req_query_arg(req, "acquire");
	const char *release = gc_http_req_query_arg(req, "release");
	const char *holder = entry ? entry->session : NULL;

	if (acquire && !session_exists(kv->platform->sessions, acquire)) {
		standin_reply_error(req, 500, "invalid session %s", acquire);
		*answered = true;
		return false;
	}
	if (acquire)
		return !holder || strcmp(holder, acquire) == 0;
	return !release || (holder && strcmp(holder, release) == 0);
}

static void store(kv_t *kv, gc_http_req_t *req, const char *key)
{
	entry_t *entry = g_hash_table_lookup(kv->entries, key);
	gc_str_t body = gc_http_req_body(req);

	if (!entry) {
		entry = g_new0(entry_t, 1);
		entry->key = g_strdup(key);
		g_hash_table_insert(kv->entries, entry->key, entry);
	}
	g_free(entry->value);
	entry->value = g_base64_encode((const guchar *)body.data, body.len);
	if (gc_http_req_query_arg(req, "acquire"))
		set_session(entry, gc_http_req_query_arg(req, "acquire"));
	if (gc_http_req_query_arg(req, "release"))
		set_session(entry, NULL);
	changed(kv, entry);
}

static void set_session(entry_t *entry, const char *session)
{
	g_free(entry->session);
	entry->session = g_strdup(session);
}

void kv_delete(kv_t *kv, gc_http_req_t *req, const char *key)
{
	entry_t *entry = live_entry(kv, key);
	bool answered = false;

	if (!write_allowed(kv, req, entry, &answered)) {
		if (!answered)
			platform_answer_write(kv->platform, req, "false\n");
		return;
	}
	if (entry)
		remove_value(kv, entry);
	platform_answer_effect(kv->platform, req, "true\n");
}

/* The entry stays without a value, so that watches see the deletion. */
static void remove_value(kv_t *kv, entry_t *entry)
{
	g_free(entry->value);
	entry->value = NULL;
	set_session(entry, NULL);
	changed(kv, entry);
}

void kv_session_ended(kv_t *kv, const char *session, bool delete_keys)
{
	g_autoptr(GList) entries = g_hash_table_get_values(kv->entries);

	for (GList *l = entries; l; l = l->next) {
		entry_t *entry = l->data;

		if (!entry->session || strcmp(entry->session, session) != 0)
			continue;
		if (delete_keys) {
			remove_value(kv, entry);
			continue;
		}
		set_session(entry, NULL);
		changed(kv, entry);
	}
}
