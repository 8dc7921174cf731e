/* Changes of the store, as JSON over HTTP between daemons. */
#include <jansson.h>
#include <stdlib.h>
#include <xxhash.h>

#include "core/error.h"
#include "core/watchers.h"
#include "lib/deflate.h"
#include "lib/peers_watch.h"

#define MAX_URL_BYTES 192
/* Shorter values are not compressed. */
#define MIN_COMPRESSED_BYTES 4096

struct gc_peers_watch {
	gc_peers_watch_conf_t conf;
	const gc_registry_entry_t *daemons;
	size_t n_daemons;
	gc_store_items_done_t done; /* of the request in flight */
	void *ctx;
	uint64_t after; /* revision */
	const gc_change_log_t *known;
};

/* A response that is being read. */
typedef struct parser {
	TALLOC_CTX *mem;
	const gc_change_log_t *known;
	size_t left; /* bytes of values that it may still hold */
} parser_t;

/* A response that is being written. */
typedef struct writer {
	json_t *list;
	uint64_t after; /* revision that the other daemon knows */
	bool takes_compact;
} writer_t;

static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);
static const gc_registry_entry_t *choose_watcher(const gc_peers_watch_t *peers,
						 unsigned int n_failures);
static void report_error(gc_peers_watch_t *peers, gc_errcode_t code,
			 uint64_t era, const char *message);
static uint64_t read_era(const json_t *json);
static bool parse_item(parser_t *parser, const json_t *json,
		       gc_store_item_t *item);
static bool parse_value(parser_t *parser, const json_t *json,
			gc_store_item_t *item);
static bool apply_edits(parser_t *parser, const json_t *json,
			gc_store_item_t *item);
static json_int_t hash_of(gc_str_t text);
static bool parse_edit(TALLOC_CTX *mem, const json_t *json,
		       gc_text_edit_t *edit);
static gc_str_t decode_text(TALLOC_CTX *mem, const json_t *json);
static char *dump_json(json_t *json);
static void append_item(void *ctx, gc_logged_change_t *change);
static json_t *edits_json(const gc_logged_change_t *change);
static json_t *text_json(gc_str_t text);

gc_peers_watch_t *gc_peers_watch_create(TALLOC_CTX *mem,
					const gc_peers_watch_conf_t *conf)
{
	gc_peers_watch_t *peers = talloc_zero(mem, gc_peers_watch_t);

	peers->conf = *conf;
	return peers;
}

void gc_peers_watch_set_daemons(gc_peers_watch_t *peers,
				const gc_registry_entry_t *daemons, size_t n)
{
	peers->daemons = daemons;
	peers->n_daemons = n;
}

static const gc_registry_entry_t *choose_watcher(const gc_peers_watch_t *peers,
						 unsigned int n_failures)
{
	ssize_t index =
		gc_watchers_choose(peers->daemons, peers->n_daemons,
				   peers->conf.self, peers->conf.failure_domain,
				   n_failures);

	if (index < 0 || peers->daemons[index].peer_address.len == 0)
		return NULL;
	return &peers->daemons[index];
}

bool gc_peers_watch_has_peer(const gc_peers_watch_t *peers,
			     unsigned int n_failures)
{
	return choose_watcher(peers, n_failures) != NULL;
}

void gc_peers_watch(gc_peers_watch_t *peers, unsigned int n_failures,
		    uint64_t era, uint64_t after, int64_t wait_ms,
		    const gc_change_log_t *known, gc_store_items_done_t done,
		    void *ctx)
{
	const gc_registry_entry_t *watcher = choose_watcher(peers, n_failures);
	char url[MAX_URL_BYTES];
	gc_http_call_conf_t conf = {
		.method = "GET",
		.url = url,
		.peer = "daemon",
		.connect_timeout_ms = peers->conf.timeout_ms,
		.timeout_ms = peers->conf.timeout_ms + (long)wait_ms,
		.max_body = GC_STORE_MAX_RESPONSE_BYTES,
	};
	const gc_http_call_ops_t ops = {.done = on_response};

	snprintf(url, sizeof(url),
		 "http://%.*s" GC_PEERS_WATCH_PATH "?after=%" G_GUINT64_FORMAT
		 "&era=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT
		 "&compact=1",
		 GC_STR_ARG(watcher->peer_address), after, era, wait_ms);
	peers->done = done;
	peers->ctx = ctx;
	peers->after = after;
	peers->known = known;
	gc_httpc_start(peers->conf.http, &conf, &ops, peers);
}

static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err)
{
	gc_peers_watch_t *peers = ctx;
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_store_items_t items = {0};
	json_t *json = NULL;

	if (!err)
		json = json_loadb(body.data, body.len, JSON_ALLOW_NUL, NULL);
	if (err)
		report_error(peers, GC_ERR_IO, 0, err->message);
	else if (status != 200 ||
		 !gc_peers_watch_read(mem, json, peers->known, &items))
		report_error(peers, GC_ERR_LOST, read_era(json),
			     "no valid list of changes in the response");
	else if (items.age_ms > peers->conf.max_age_ms)
		report_error(
			peers, GC_ERR_UNAVAILABLE, items.era,
			"the daemon's state is older than the maximum age");
	else
		peers->done(peers->ctx, &items, NULL);
	json_decref(json);
	talloc_free(mem);
}

static void report_error(gc_peers_watch_t *peers, gc_errcode_t code,
			 uint64_t era, const char *message)
{
	const gc_store_items_t items = {.era = era};
	GError *err = NULL;

	gc_error_set(&err, code, "changes", "daemon", "%s", message);
	peers->done(peers->ctx, &items, err);
	g_error_free(err);
}

/* 0 if the response names none that is valid. */
static uint64_t read_era(const json_t *json)
{
	json_int_t era = json_integer_value(json_object_get(json, "era"));

	return era > 0 ? (uint64_t)era : 0;
}

bool gc_peers_watch_read(TALLOC_CTX *mem, const json_t *json,
			 const gc_change_log_t *known, gc_store_items_t *items)
{
	parser_t parser = {mem, known, GC_STORE_MAX_RESPONSE_BYTES};
	const json_t *list = json_object_get(json, "items");
	const json_t *age = json_object_get(json, "age_ms");
	const json_t *revision = json_object_get(json, "revision");
	gc_store_item_t *parsed;
	size_t i;
	json_t *item;

	if (!json_is_array(list) || !json_is_integer(age) ||
	    !json_is_integer(revision) || json_integer_value(age) < 0)
		return false;
	parsed = talloc_array(mem, gc_store_item_t, json_array_size(list) + 1);
	json_array_foreach (list, i, item) {
		if (!parse_item(&parser, item, &parsed[i]))
			return false;
	}
	items->items = parsed;
	items->n = json_array_size(list);
	items->revision = (uint64_t)json_integer_value(revision);
	items->age_ms = json_integer_value(age);
	items->era = read_era(json);
	return true;
}

static bool parse_item(parser_t *parser, const json_t *json,
		       gc_store_item_t *item)
{
	const json_t *key = json_object_get(json, "key");

	if (!json_is_string(key))
		return false;
	*item = (gc_store_item_t){
		.key = {json_string_value(key), json_string_length(key)},
		.value = GC_STR_EMPTY,
		.revision = (uint64_t)json_integer_value(
			json_object_get(json, "revision")),
	};
	if (!parse_value(parser, json, item) || item->value.len > parser->left)
		return false;
	parser->left -= item->value.len;
	return true;
}

static bool parse_value(parser_t *parser, const json_t *json,
			gc_store_item_t *item)
{
	const json_t *value = json_object_get(json, "value");
	const json_t *compressed = json_object_get(json, "compressed");

	if (json_object_get(json, "edits"))
		return apply_edits(parser, json, item);
	if (json_is_string(compressed))
		return gc_inflate(parser->mem,
				  decode_text(parser->mem, compressed),
				  parser->left, &item->value);
	item->deleted = !value;
	if (json_is_string(value))
		item->value = decode_text(parser->mem, value);
	return item->deleted || json_is_string(value);
}

/* False unless the value that the edits are of is known. A later one than they make is
 * known if a list that began before has read it. */
static bool apply_edits(parser_t *parser, const json_t *json,
			gc_store_item_t *item)
{
	const gc_store_item_t *former =
		gc_change_log_find(parser->known, item->key);
	const json_t *list = json_object_get(json, "edits");
	json_int_t revision =
		json_integer_value(json_object_get(json, "former"));
	gc_text_edit_t *edits;
	size_t i;
	json_t *edit;

	if (former && former->revision >= item->revision) {
		*item = *former;
		return true;
	}
	if (!former || former->deleted || revision <= 0 ||
	    former->revision != (uint64_t)revision || !json_is_array(list))
		return false;
	edits = talloc_array(parser->mem, gc_text_edit_t,
			     json_array_size(list) + 1);
	json_array_foreach (list, i, edit) {
		if (!parse_edit(parser->mem, edit, &edits[i]))
			return false;
	}
	return gc_text_apply(parser->mem, former->value, edits,
			     json_array_size(list), parser->left,
			     &item->value) &&
	       hash_of(item->value) ==
		       json_integer_value(json_object_get(json, "hash"));
}

/* Shows that the edits were of the same text as here; of 63 bits. */
static json_int_t hash_of(gc_str_t text)
{
	return (json_int_t)(XXH64(text.data, text.len, 0) >> 1);
}

static bool parse_edit(TALLOC_CTX *mem, const json_t *json,
		       gc_text_edit_t *edit)
{
	json_int_t keep = json_integer_value(json_array_get(json, 0));
	json_int_t drop = json_integer_value(json_array_get(json, 1));
	const json_t *insert = json_array_get(json, 2);

	if (keep < 0 || drop < 0 || !json_is_string(insert))
		return false;
	*edit = (gc_text_edit_t){(size_t)keep, (size_t)drop,
				 decode_text(mem, insert)};
	return true;
}

static gc_str_t decode_text(TALLOC_CTX *mem, const json_t *json)
{
	gsize len = 0;
	guchar *bytes = g_base64_decode(json_string_value(json), &len);
	gc_str_t text = gc_str_dup(mem, (gc_str_t){(const char *)bytes, len});

	g_free(bytes);
	return text;
}

static char *dump_json(json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	char *copy = g_strdup(text);

	json_decref(json);
	free(text);
	return copy;
}

char *gc_peers_watch_response(const gc_change_log_t *change_log, uint64_t era,
			      uint64_t after, int64_t age_ms,
			      bool takes_compact)
{
	writer_t writer = {json_array(), after, takes_compact};

	if (era != gc_change_log_era(change_log) ||
	    !gc_change_log_foreach_since(change_log, after, append_item,
					 &writer)) {
		json_decref(writer.list);
		return NULL;
	}
	return dump_json(json_pack(
		"{s:I,s:I,s:I,s:o}", "era", (json_int_t)era, "revision",
		(json_int_t)gc_change_log_revision(change_log), "age_ms",
		(json_int_t)age_ms, "items", writer.list));
}

char *gc_peers_watch_refusal(const gc_change_log_t *change_log)
{
	return dump_json(json_pack("{s:I}", "era",
				   (json_int_t)gc_change_log_era(change_log)));
}

static void append_item(void *ctx, gc_logged_change_t *change)
{
	const writer_t *writer = ctx;
	const gc_store_item_t *item = &change->item;
	json_t *json = json_pack("{s:s#,s:I}", "key", item->key.data,
				 (int)item->key.len, "revision",
				 (json_int_t)item->revision);

	/* The other daemon has the former value, unless this one has skipped a
	 * revision; it asks the store then. */
	if (writer->takes_compact && change->former_revision != 0 &&
	    change->former_revision <= writer->after) {
		json_object_set_new(
			json, "former",
			json_integer((json_int_t)change->former_revision));
		json_object_set_new(json, "edits", edits_json(change));
		json_object_set_new(json, "hash",
				    json_integer(hash_of(item->value)));
	} else if (writer->takes_compact &&
		   item->value.len >= MIN_COMPRESSED_BYTES) {
		if (change->compressed.len == 0)
			change->compressed =
				gc_deflate(change->mem, item->value);
		json_object_set_new(json, "compressed",
				    text_json(change->compressed));
	} else if (!item->deleted) {
		json_object_set_new(json, "value", text_json(item->value));
	}
	json_array_append_new(writer->list, json);
}

static json_t *edits_json(const gc_logged_change_t *change)
{
	json_t *list = json_array();

	for (size_t i = 0; i < change->n_edits; i++) {
		const gc_text_edit_t *edit = &change->edits[i];

		json_array_append_new(list, json_pack("[I,I,o]",
						      (json_int_t)edit->keep,
						      (json_int_t)edit->drop,
						      text_json(edit->insert)));
	}
	return list;
}

static json_t *text_json(gc_str_t text)
{
	g_autofree char *encoded =
		g_base64_encode((const guchar *)text.data, text.len);

	return json_string(encoded);
}
