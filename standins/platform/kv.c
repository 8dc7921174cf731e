/* Key-value service: compare-and-swap, session locks, watches. */
#include <inttypes.h>
#include <string.h>

#include "standin-platform.h"

#define MAX_VALUE_BYTES (1024 * 1024)
#define DEFAULT_WAIT_US (300 * INT64_C(1000000))
#define MAX_WAIT_US	(600 * INT64_C(1000000))

typedef struct entry {
	char *key;
	char *value; /* base64; NULL if the key was deleted */
	uint64_t index; /* of the last change */
	char *session; /* id of the lock holder; NULL: none */
} entry_t;

typedef struct watch {
	kv_t *kv;
	gc_http_req_t *req;
	char *key; /* or prefix */
	GList link;
} watch_t;

struct kv {
	platform_t *platform;
	GHashTable *entries; /* key -> entry_t */
	uint64_t index; /* of the last change */
	GQueue watches; /* watch_t */
};

static bool is_prefix_query(gc_http_req_t *req);
static uint64_t last_change_index(kv_t *kv, gc_http_req_t *req,
				  const char *key);
static void reply_entries(kv_t *kv, gc_http_req_t *req, const char *key);
static json_t *entries_json(kv_t *kv, const char *prefix, bool keys_only);
static json_t *entry_json(const entry_t *entry);
static void add_watch(kv_t *kv, gc_http_req_t *req, const char *key);
static void remove_watch(watch_t *watch);
static void on_watch_timeout(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *ctx);
static void record_change(kv_t *kv, entry_t *entry);
static entry_t *find_entry(kv_t *kv, const char *key);
static bool check_cas(kv_t *kv, gc_http_req_t *req, const entry_t *entry,
		      bool *replied);
static bool check_lock(kv_t *kv, gc_http_req_t *req, const entry_t *entry,
		       bool *replied);
static void store_value(kv_t *kv, gc_http_req_t *req, const char *key);
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
		standin_reply_error(req, 400, "index must be a number");
	else if (kv_is_watch(req) && standin_query_u64(req, "index", &index) &&
		 last_change_index(kv, req, key) <= index)
		add_watch(kv, req, key);
	else
		reply_entries(kv, req, key);
}

static bool is_prefix_query(gc_http_req_t *req)
{
	return gc_http_req_query_arg(req, "keys") ||
	       gc_http_req_query_arg(req, "recurse");
}

/* Index of the last change of the key, or of any key with the prefix. */
static uint64_t last_change_index(kv_t *kv, gc_http_req_t *req, const char *key)
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

static void reply_entries(kv_t *kv, gc_http_req_t *req, const char *key)
{
	entry_t *entry;
	char text[24];
	json_t *array;

	g_snprintf(text, sizeof(text), "%" PRIu64,
		   last_change_index(kv, req, key));
	gc_http_req_add_header(req, "X-Consul-Index", text);
	if (is_prefix_query(req)) {
		array = entries_json(
			kv, key, gc_http_req_query_arg(req, "keys") != NULL);
	} else {
		array = json_array();
		entry = find_entry(kv, key);
		if (entry)
			json_array_append_new(array, entry_json(entry));
	}
	if (json_array_size(array) > 0) {
		standin_reply(req, 200, array);
		return;
	}
	json_decref(array);
	gc_http_reply(req, 404, "application/json", GC_STR_EMPTY);
}

static json_t *entries_json(kv_t *kv, const char *prefix, bool keys_only)
{
	g_autoptr(GList) keys = g_hash_table_get_keys(kv->entries);
	json_t *array = json_array();

	keys = g_list_sort(keys, (GCompareFunc)strcmp);
	for (GList *l = keys; l; l = l->next) {
		const entry_t *entry = find_entry(kv, l->data);

		if (!entry || !g_str_has_prefix(entry->key, prefix))
			continue;
		json_array_append_new(array, keys_only ? json_string(entry->key)
						       : entry_json(entry));
	}
	return array;
}

static json_t *entry_json(const entry_t *entry)
{
	return json_pack("{ss ss sI ss*}", "Key", entry->key, "Value",
			 entry->value, "ModifyIndex", (json_int_t)entry->index,
			 "Session", entry->session);
}

static void add_watch(kv_t *kv, gc_http_req_t *req, const char *key)
{
	watch_t *watch = talloc_zero(kv, watch_t);
	int64_t wait_us = DEFAULT_WAIT_US;

	platform_parse_duration(gc_http_req_query_arg(req, "wait"), &wait_us);
	watch->kv = kv;
	watch->req = req;
	watch->key = talloc_strdup(watch, key);
	watch->link.data = watch;
	g_queue_push_tail_link(&kv->watches, &watch->link);
	standin_add_timer_us(kv->platform->standin->ev, watch,
			     MIN(wait_us, MAX_WAIT_US), on_watch_timeout,
			     watch);
}

static void remove_watch(watch_t *watch)
{
	g_queue_unlink(&watch->kv->watches, &watch->link);
	talloc_free(watch);
}

static void on_watch_timeout(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *ctx)
{
	watch_t *watch = ctx;

	reply_entries(watch->kv, watch->req, watch->key);
	remove_watch(watch);
}

void kv_end_watches(kv_t *kv, bool abort_connections)
{
	watch_t *watch;

	while ((watch = g_queue_peek_head(&kv->watches)) != NULL) {
		if (abort_connections)
			standin_abort_connection(watch->req);
		else
			standin_reply_error(watch->req, 503, "unavailable");
		remove_watch(watch);
	}
}

/* Assigns a new index to the entry and responds to its watches. */
static void record_change(kv_t *kv, entry_t *entry)
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
		reply_entries(kv, watch->req, watch->key);
		remove_watch(watch);
	}
}

static entry_t *find_entry(kv_t *kv, const char *key)
{
	entry_t *entry = g_hash_table_lookup(kv->entries, key);

	return entry && entry->value ? entry : NULL;
}

void kv_put(kv_t *kv, gc_http_req_t *req, const char *key)
{
	entry_t *entry = find_entry(kv, key);
	bool replied = false;

	if (*key == '\0') {
		standin_reply_error(req, 400, "no key");
		return;
	}
	if (gc_http_req_body(req).len > MAX_VALUE_BYTES) {
		standin_reply_error(req, 413, "value is larger than 1 MiB");
		return;
	}
	if (!check_cas(kv, req, entry, &replied) ||
	    !check_lock(kv, req, entry, &replied)) {
		if (!replied)
			platform_reply_write(kv->platform, req, "false\n");
		return;
	}
	store_value(kv, req, key);
	platform_reply_applied(kv->platform, req, "true\n");
}

/*
 * Compares the index with ?cas=N, where 0 means that the key does not exist.
 * Sets *replied if the argument is invalid.
 */
static bool check_cas(kv_t *kv, gc_http_req_t *req, const entry_t *entry,
		      bool *replied)
{
	uint64_t expected;

	if (!gc_http_req_query_arg(req, "cas"))
		return true;
	if (standin_query_u64(req, "cas", &expected))
		return expected == (entry ? entry->index : 0);
	standin_reply_error(req, 400, "cas must be a number");
	*replied = true;
	return false;
}

/* True if ?acquire or ?release is allowed; *replied is set as in check_cas. */
static bool check_lock(kv_t *kv, gc_http_req_t *req, const entry_t *entry,
		       bool *replied)
{
	const char *acquire = gc_http_req_query_arg(req, "acquire");
	const char *release = gc_http_req_query_arg(req, "release");
	const char *holder = entry ? entry->session : NULL;

	if (acquire && !session_exists(kv->platform->sessions, acquire)) {
		standin_reply_error(req, 500, "invalid session %s", acquire);
		*replied = true;
		return false;
	}
	if (acquire)
		return !holder || strcmp(holder, acquire) == 0;
	return !release || (holder && strcmp(holder, release) == 0);
}

static void store_value(kv_t *kv, gc_http_req_t *req, const char *key)
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
	record_change(kv, entry);
}

static void set_session(entry_t *entry, const char *session)
{
	g_free(entry->session);
	entry->session = g_strdup(session);
}

void kv_delete(kv_t *kv, gc_http_req_t *req, const char *key)
{
	entry_t *entry = find_entry(kv, key);
	bool replied = false;

	if (!check_cas(kv, req, entry, &replied)) {
		if (!replied)
			platform_reply_write(kv->platform, req, "false\n");
		return;
	}
	if (entry)
		remove_value(kv, entry);
	platform_reply_applied(kv->platform, req, "true\n");
}

/* Keeps the entry, whose index lets watches detect the deletion. */
static void remove_value(kv_t *kv, entry_t *entry)
{
	g_free(entry->value);
	entry->value = NULL;
	set_session(entry, NULL);
	record_change(kv, entry);
}

void kv_end_session(kv_t *kv, const char *session, bool delete_keys)
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
		record_change(kv, entry);
	}
}
