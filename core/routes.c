/* Routes, keys and limits of one configuration version. */
#include <glib.h>
#include <xxhash.h>

#include "core/routes.h"
#include "core/shared_map.h"
#include "core/strhash.h"

#define STRING_BLOCK_BYTES 4096

/* What versions with other routes may share. */
typedef struct settings {
	GStringChunk *strings;
	gc_request_limits_t limits;
	GHashTable *services; /* gc_str_t: gc_route_service_t */
	GHashTable *keys; /* gc_str_t: gc_str_t of the account */
	GHashTable *priorities; /* gc_str_t of the account: number */
	bool keys_required;
} settings_t;

struct gc_routes {
	uint64_t version;
	settings_t *settings;
	gc_shared_map_t *routes; /* gc_route_t, by host and path prefix */
	gc_shared_map_t *hosts; /* host_t, by name */
	gc_shared_map_t *targets; /* target_t, by service */
	size_t n_routes;
	bool has_duplicates; /* routes were left out */
	gc_shared_text_t *record; /* NULL: none */
	gc_json_list_t *list; /* of routes in the record; NULL: none */
};

/* Path prefixes of one length. */
typedef struct prefix_len {
	size_t len;
	size_t n_routes;
} prefix_len_t;

/* A host of routes. Immutable. */
typedef struct host {
	gc_str_t name; /* its bytes follow lens */
	size_t n_lens;
	prefix_len_t lens[]; /* longest first */
} host_t;

/* A service that routes name as a target. Immutable. */
typedef struct target {
	size_t n_routes;
	/* Of these, streaming ones by priority; the last one counts all above. */
	size_t n_streams[GC_MAX_STREAM_PRIORITY + 1];
	gc_str_t service;
	char name[];
} target_t;

typedef struct route_key {
	gc_str_t host;
	gc_str_t path_prefix;
} route_key_t;

/* Used unless the operator's configuration sets others. */
static const gc_request_limits_t default_limits = {
	.max_header_bytes = 16384,
	.max_body_bytes = 4194304,
	.header_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

static gc_routes_t *copy_routes(const gc_routes_t *former, uint64_t version,
				settings_t *settings);
static settings_t *create_settings(void);
static void settings_clear(gpointer data);
static void *ref_box(void *value);
static void unref_box(void *value);
static void routes_clear(gpointer data);
static gc_str_t copy_string(gc_routes_t *routes, gc_str_t s);
static gc_str_t *alloc_string(gc_routes_t *routes, gc_str_t s);
static size_t route_bytes(const gc_route_t *route);
static gc_str_t move_string(char **at, gc_str_t s);
static uint64_t hash_string(gc_str_t s, uint64_t seed);
static uint64_t hash_key(const route_key_t *key);
static bool is_route(const void *value, const void *key);
static bool is_host(const void *value, const void *key);
static bool is_service(const void *value, const void *key);
static void count_prefix(gc_routes_t *routes, const gc_route_t *route,
			 int change);
static host_t *copy_host(const host_t *host, gc_str_t name, size_t len,
			 int change);
static void count_targets(gc_routes_t *routes, const gc_route_t *route,
			  int change);

static const gc_shared_map_ops_t box_ops = {ref_box, unref_box};

static void *ref_box(void *value)
{
	return g_atomic_rc_box_acquire(value);
}

static void unref_box(void *value)
{
	g_atomic_rc_box_release(value);
}

gc_routes_t *gc_routes_create(uint64_t version)
{
	gc_routes_t *routes = g_atomic_rc_box_new0(gc_routes_t);

	routes->version = version;
	routes->settings = create_settings();
	routes->routes = gc_shared_map_create(&box_ops);
	routes->hosts = gc_shared_map_create(&box_ops);
	routes->targets = gc_shared_map_create(&box_ops);
	return routes;
}

gc_routes_t *gc_routes_create_after(const gc_routes_t *former, uint64_t version)
{
	return copy_routes(former, version, create_settings());
}

gc_routes_t *gc_routes_create_same(const gc_routes_t *former, uint64_t version)
{
	return copy_routes(former, version,
			   g_atomic_rc_box_acquire(former->settings));
}

/* Takes ownership of a reference to the settings. */
static gc_routes_t *copy_routes(const gc_routes_t *former, uint64_t version,
				settings_t *settings)
{
	gc_routes_t *routes = g_atomic_rc_box_new0(gc_routes_t);

	routes->version = version;
	routes->settings = settings;
	routes->routes = gc_shared_map_copy(former->routes);
	routes->hosts = gc_shared_map_copy(former->hosts);
	routes->targets = gc_shared_map_copy(former->targets);
	routes->n_routes = former->n_routes;
	return routes;
}

static settings_t *create_settings(void)
{
	settings_t *settings = g_atomic_rc_box_new0(settings_t);

	settings->strings = g_string_chunk_new(STRING_BLOCK_BYTES);
	settings->limits = default_limits;
	settings->services = g_hash_table_new_full(gc_str_hash, gc_str_equal,
						   g_free, g_free);
	settings->keys = g_hash_table_new_full(gc_str_hash, gc_str_equal,
					       g_free, g_free);
	settings->priorities =
		g_hash_table_new_full(gc_str_hash, gc_str_equal, g_free, NULL);
	return settings;
}

static void settings_clear(gpointer data)
{
	settings_t *settings = data;

	g_hash_table_unref(settings->services);
	g_hash_table_unref(settings->keys);
	g_hash_table_unref(settings->priorities);
	g_string_chunk_free(settings->strings);
}

gc_routes_t *gc_routes_ref(gc_routes_t *routes)
{
	return g_atomic_rc_box_acquire(routes);
}

void gc_routes_unref(gc_routes_t *routes)
{
	if (routes)
		g_atomic_rc_box_release_full(routes, routes_clear);
}

static void routes_clear(gpointer data)
{
	gc_routes_t *routes = data;

	gc_shared_map_destroy(routes->routes);
	gc_shared_map_destroy(routes->hosts);
	gc_shared_map_destroy(routes->targets);
	g_atomic_rc_box_release_full(routes->settings, settings_clear);
	gc_json_list_destroy(routes->list);
	gc_shared_text_unref(routes->record);
}

static gc_str_t copy_string(gc_routes_t *routes, gc_str_t s)
{
	const char *data = g_string_chunk_insert_len(routes->settings->strings,
						     s.data, (gssize)s.len);

	return (gc_str_t){data, s.len};
}

static gc_str_t *alloc_string(gc_routes_t *routes, gc_str_t s)
{
	gc_str_t *string = g_new(gc_str_t, 1);

	*string = copy_string(routes, s);
	return string;
}

gc_route_t *gc_route_create(const gc_route_t *route)
{
	gc_route_t *copy = g_atomic_rc_box_alloc(route_bytes(route));
	char *strings;

	*copy = *route;
	copy->targets = (gc_route_target_t *)(void *)(copy + 1);
	strings = (char *)(copy->targets + route->n_targets);
	copy->name = move_string(&strings, route->name);
	copy->host = move_string(&strings, route->host);
	copy->path_prefix = move_string(&strings, route->path_prefix);
	for (size_t i = 0; i < route->n_targets; i++) {
		copy->targets[i].service =
			move_string(&strings, route->targets[i].service);
		copy->targets[i].weight = route->targets[i].weight;
	}
	return copy;
}

gc_route_t *gc_route_ref(gc_route_t *route)
{
	return ref_box(route);
}

void gc_route_unref(gc_route_t *route)
{
	unref_box(route);
}

/* Of a copy in one block: the route, its targets and the strings, each with a NUL. */
static size_t route_bytes(const gc_route_t *route)
{
	size_t bytes =
		sizeof(*route) + route->n_targets * sizeof(route->targets[0]) +
		route->name.len + route->host.len + route->path_prefix.len + 3;

	for (size_t i = 0; i < route->n_targets; i++)
		bytes += route->targets[i].service.len + 1;
	return bytes;
}

static gc_str_t move_string(char **at, gc_str_t s)
{
	gc_str_t copy = {*at, s.len};

	if (s.len > 0)
		memcpy(*at, s.data, s.len);
	(*at)[s.len] = 0;
	*at += s.len + 1;
	return copy;
}

static uint64_t hash_string(gc_str_t s, uint64_t seed)
{
	return XXH64(s.data, s.len, seed);
}

static uint64_t hash_key(const route_key_t *key)
{
	return hash_string(key->path_prefix, hash_string(key->host, 0));
}

static bool is_route(const void *value, const void *key)
{
	const gc_route_t *route = value;
	const route_key_t *wanted = key;

	return gc_str_eq(route->host, wanted->host) &&
	       gc_str_eq(route->path_prefix, wanted->path_prefix);
}

static bool is_host(const void *value, const void *key)
{
	return gc_str_eq(((const host_t *)value)->name, *(const gc_str_t *)key);
}

static bool is_service(const void *value, const void *key)
{
	return gc_str_eq(((const target_t *)value)->service,
			 *(const gc_str_t *)key);
}

bool gc_routes_add(gc_routes_t *routes, gc_route_t *route)
{
	route_key_t key = {route->host, route->path_prefix};
	uint64_t hash = hash_key(&key);

	if (gc_shared_map_find(routes->routes, hash, is_route, &key))
		return false;
	gc_shared_map_add(routes->routes, hash, route);
	count_prefix(routes, route, 1);
	count_targets(routes, route, 1);
	routes->n_routes++;
	return true;
}

void gc_routes_set_duplicates(gc_routes_t *routes)
{
	routes->has_duplicates = true;
}

bool gc_routes_has_duplicates(const gc_routes_t *routes)
{
	return routes->has_duplicates;
}

void gc_routes_remove(gc_routes_t *routes, const gc_route_t *route)
{
	route_key_t key = {route->host, route->path_prefix};

	if (!gc_shared_map_remove(routes->routes, hash_key(&key), is_route,
				  &key))
		return;
	count_prefix(routes, route, -1);
	count_targets(routes, route, -1);
	routes->n_routes--;
}

void gc_routes_set_record(gc_routes_t *routes, gc_shared_text_t *record,
			  gc_json_list_t *list)
{
	routes->record = record;
	routes->list = list;
}

gc_str_t gc_routes_record(const gc_routes_t *routes)
{
	return routes->record ? gc_shared_text_str(routes->record)
			      : GC_STR_EMPTY;
}

uint64_t gc_routes_record_id(const gc_routes_t *routes)
{
	return routes->record ? gc_shared_text_id(routes->record) : 0;
}

const gc_json_list_t *gc_routes_list(const gc_routes_t *routes)
{
	return routes->list;
}

/* Adds the route's length of the prefix to its host, or takes it away. */
static void count_prefix(gc_routes_t *routes, const gc_route_t *route,
			 int change)
{
	uint64_t hash = hash_string(route->host, 0);
	const host_t *host =
		gc_shared_map_find(routes->hosts, hash, is_host, &route->host);
	host_t *copy =
		copy_host(host, route->host, route->path_prefix.len, change);

	if (host)
		gc_shared_map_remove(routes->hosts, hash, is_host,
				     &route->host);
	if (copy->n_lens > 0)
		gc_shared_map_add(routes->hosts, hash, copy);
	unref_box(copy);
}

/* host: NULL for none. */
static host_t *copy_host(const host_t *host, gc_str_t name, size_t len,
			 int change)
{
	size_t n_lens = host ? host->n_lens : 0;
	host_t *copy = g_atomic_rc_box_alloc(
		sizeof(*copy) + (n_lens + 1) * sizeof(copy->lens[0]) +
		name.len + 1);
	char *text = (char *)(copy->lens + n_lens + 1);
	bool counted = false;

	copy->n_lens = 0;
	for (size_t i = 0; i < n_lens; i++) {
		prefix_len_t prefix = host->lens[i];

		if (!counted && prefix.len < len)
			copy->lens[copy->n_lens++] = (prefix_len_t){len, 1};
		counted |= prefix.len <= len;
		if (prefix.len == len)
			prefix.n_routes += (size_t)change;
		if (prefix.n_routes > 0)
			copy->lens[copy->n_lens++] = prefix;
	}
	if (!counted)
		copy->lens[copy->n_lens++] = (prefix_len_t){len, 1};
	copy->name = move_string(&text, name);
	return copy;
}

static void count_targets(gc_routes_t *routes, const gc_route_t *route,
			  int change)
{
	for (size_t i = 0; i < route->n_targets; i++) {
		gc_str_t service = route->targets[i].service;
		uint64_t hash = hash_string(service, 0);
		const target_t *target = gc_shared_map_find(
			routes->targets, hash, is_service, &service);
		target_t *copy =
			g_atomic_rc_box_alloc0(sizeof(*copy) + service.len + 1);
		char *text = copy->name;

		if (target)
			*copy = *target;
		copy->n_routes += (size_t)change;
		if (route->kind == GC_ROUTE_STREAM)
			copy->n_streams[MIN(route->priority,
					    GC_MAX_STREAM_PRIORITY)] +=
				(size_t)change;
		copy->service = move_string(&text, service);
		if (target)
			gc_shared_map_remove(routes->targets, hash, is_service,
					     &service);
		if (copy->n_routes > 0)
			gc_shared_map_add(routes->targets, hash, copy);
		unref_box(copy);
	}
}

void gc_routes_add_service(gc_routes_t *routes,
			   const gc_route_service_t *service)
{
	gc_route_service_t *copy = g_new(gc_route_service_t, 1);

	*copy = *service;
	copy->name = copy_string(routes, service->name);
	g_hash_table_replace(routes->settings->services,
			     alloc_string(routes, copy->name), copy);
}

void gc_routes_add_key(gc_routes_t *routes, gc_str_t key, gc_str_t account)
{
	g_hash_table_replace(routes->settings->keys, alloc_string(routes, key),
			     alloc_string(routes, account));
}

void gc_routes_set_account_priority(gc_routes_t *routes, gc_str_t account,
				    uint32_t priority)
{
	g_hash_table_replace(routes->settings->priorities,
			     alloc_string(routes, account),
			     GUINT_TO_POINTER(priority));
}

uint32_t gc_routes_priority(const gc_routes_t *routes, const gc_route_t *route,
			    gc_str_t account)
{
	uint32_t priority;

	return gc_routes_account_priority(routes, account, &priority)
		       ? priority
		       : route->priority;
}

bool gc_routes_account_priority(const gc_routes_t *routes, gc_str_t account,
				uint32_t *priority)
{
	gpointer found;

	if (!g_hash_table_lookup_extended(routes->settings->priorities,
					  &account, NULL, &found))
		return false;
	*priority = GPOINTER_TO_UINT(found);
	return true;
}

bool gc_routes_stream_priorities(const gc_routes_t *routes, gc_str_t service,
				 uint32_t *first, uint32_t *last)
{
	const target_t *target = gc_shared_map_find(
		routes->targets, hash_string(service, 0), is_service, &service);
	bool found = false;

	for (uint32_t i = 0; target && i <= GC_MAX_STREAM_PRIORITY; i++) {
		if (target->n_streams[i] == 0)
			continue;
		if (!found)
			*first = i;
		*last = i;
		found = true;
	}
	return found;
}

void gc_routes_set_limits(gc_routes_t *routes,
			  const gc_request_limits_t *limits)
{
	routes->settings->limits = *limits;
}

void gc_routes_require_keys(gc_routes_t *routes)
{
	routes->settings->keys_required = true;
}

bool gc_routes_needs_key(const gc_routes_t *routes, const gc_route_t *route)
{
	return routes->settings->keys_required && !route->anonymous;
}

uint64_t gc_routes_version(const gc_routes_t *routes)
{
	return routes->version;
}

const gc_request_limits_t *gc_routes_limits(const gc_routes_t *routes)
{
	return &routes->settings->limits;
}

size_t gc_routes_count(const gc_routes_t *routes)
{
	return routes->n_routes;
}

const gc_route_t *gc_routes_find(const gc_routes_t *routes, gc_str_t host,
				 gc_str_t path)
{
	const host_t *found = gc_shared_map_find(
		routes->hosts, hash_string(host, 0), is_host, &host);

	for (size_t i = 0; found && i < found->n_lens; i++) {
		route_key_t key = {host, {path.data, found->lens[i].len}};
		const gc_route_t *route;

		if (key.path_prefix.len > path.len)
			continue;
		route = gc_shared_map_find(routes->routes, hash_key(&key),
					   is_route, &key);
		if (route)
			return route;
	}
	return NULL;
}

bool gc_routes_find_account(const gc_routes_t *routes, gc_str_t key,
			    gc_str_t *account)
{
	const gc_str_t *found =
		g_hash_table_lookup(routes->settings->keys, &key);

	if (!found)
		return false;
	*account = *found;
	return true;
}

const gc_route_service_t *gc_routes_find_service(const gc_routes_t *routes,
						 gc_str_t name)
{
	return g_hash_table_lookup(routes->settings->services, &name);
}

bool gc_routes_names_service(const gc_routes_t *routes, gc_str_t name)
{
	return gc_routes_find_service(routes, name) ||
	       gc_shared_map_find(routes->targets, hash_string(name, 0),
				  is_service, &name);
}

gc_str_t gc_route_choose_service(const gc_route_t *route, uint64_t random)
{
	uint64_t total = 0;

	if (route->n_targets == 0)
		return GC_STR_EMPTY;
	for (size_t i = 0; i < route->n_targets; i++)
		total += route->targets[i].weight;
	if (total == 0)
		return route->targets[0].service;
	random %= total;
	for (size_t i = 0; i < route->n_targets; i++) {
		if (random < route->targets[i].weight)
			return route->targets[i].service;
		random -= route->targets[i].weight;
	}
	return route->targets[0].service;
}

bool gc_route_allows_rerun(const gc_route_t *route)
{
	return route->kind == GC_ROUTE_IDEMPOTENT ||
	       (route->kind == GC_ROUTE_STREAM && route->resumable);
}
