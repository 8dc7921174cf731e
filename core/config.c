/* Parses and checks the operator's configuration and answers queries on it. */
#include <string.h>

#include "core/config.h"
#include "core/config_check.h"
#include "core/error.h"
#include "core/selector.h"

/* Above this, one account's weight would round the others' shares to 0. */
#define MAX_WEIGHT	  1000000
#define MAX_VERSION	  INT64_MAX
#define SHA256_HEX_DIGITS 64

typedef struct pool {
	char *name;
	bool is_engine; /* else service */
	gc_selector_t *selector;
} pool_t;

typedef struct model {
	char *name;
	const pool_t *pool;
	gc_selector_t *selector;
} model_t;

typedef struct service {
	gc_service_t public;
	const pool_t *pool;
} service_t;

typedef struct account {
	gc_account_t public;
	gc_selector_t *selector;
} account_t;

struct gc_config {
	uint64_t version;
	json_t *document;
	GHashTable *pools; /* name -> pool_t */
	GHashTable *models; /* name -> model_t */
	GHashTable *services; /* name -> service_t */
	GHashTable *accounts; /* name -> account_t */
	GHashTable *keys; /* SHA-256 in hex -> account_t, not owned */
	GList *model_names; /* in alphabetical order; the names are not owned */
};

static void config_clear(gpointer data);
static void free_pool(gpointer data);
static void free_model(gpointer data);
static void free_account(gpointer data);
static void read_document(gc_config_t *config, GString *errors);
static void read_instances(gc_config_t *config, GString *errors);
static void read_instance(const char *path, json_t *json, GString *errors);
static void read_pool(gc_config_t *config, const char *name, json_t *json,
		      GString *errors);
static void read_model(gc_config_t *config, const char *name, json_t *json,
		       GString *errors);
static void read_service(gc_config_t *config, const char *name, json_t *json,
			 GString *errors);
static void read_account(gc_config_t *config, const char *name, json_t *json,
			 GString *errors);
static const pool_t *read_pool_reference(const gc_config_t *config,
					 json_t *json, const char *path,
					 bool is_engine, GString *errors);
static void add_key(gc_config_t *config, account_t *account, json_t *json,
		    const char *path, GString *errors);
static bool is_sha256(const char *hex);
static bool report_errors(GString *errors, GError **err);
static gpointer lookup_name(GHashTable *table, gc_str_t name);

typedef void (*read_entry_fn_t)(gc_config_t *config, const char *name,
				json_t *json, GString *errors);
static void read_section(gc_config_t *config, const char *section,
			 read_entry_fn_t read, GString *errors);

gc_config_t *gc_config_parse(json_t *document, GError **err)
{
	gc_config_t *config;
	GString *errors;

	if (!json_is_object(document)) {
		gc_error_set(err, GC_ERR_INVALID, "config", NULL,
			     "document: not an object");
		return NULL;
	}
	config = g_atomic_rc_box_new0(gc_config_t);
	config->document = json_deep_copy(document);
	config->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	config->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_model);
	config->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	config->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_account);
	config->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	errors = g_string_new(NULL);
	read_document(config, errors);
	if (report_errors(errors, err))
		return config;
	gc_config_unref(config);
	return NULL;
}

/* Sets err from the collected lines and frees them. True if there are none. */
static bool report_errors(GString *errors, GError **err)
{
	bool ok = errors->len == 0;

	if (!ok) {
		g_string_truncate(errors, errors->len - 1);
		gc_error_set(err, GC_ERR_INVALID, "config", NULL, "%s",
			     errors->str);
	}
	g_string_free(errors, TRUE);
	return ok;
}

gc_config_t *gc_config_ref(gc_config_t *config)
{
	return g_atomic_rc_box_acquire(config);
}

void gc_config_unref(gc_config_t *config)
{
	if (config)
		g_atomic_rc_box_release_full(config, config_clear);
}

static void config_clear(gpointer data)
{
	gc_config_t *config = data;

	g_list_free(config->model_names);
	g_hash_table_destroy(config->keys);
	g_hash_table_destroy(config->accounts);
	g_hash_table_destroy(config->services);
	g_hash_table_destroy(config->models);
	g_hash_table_destroy(config->pools);
	json_decref(config->document);
}

static void free_pool(gpointer data)
{
	pool_t *pool = data;

	gc_selector_destroy(pool->selector);
	g_free(pool);
}

static void free_model(gpointer data)
{
	model_t *model = data;

	gc_selector_destroy(model->selector);
	g_free(model);
}

static void free_account(gpointer data)
{
	account_t *account = data;

	gc_selector_destroy(account->selector);
	g_free(account);
}

static void read_document(gc_config_t *config, GString *errors)
{
	static const char *const members[] = {"version",   "changes",
					      "instances", "pools",
					      "models",	   "services",
					      "accounts",  NULL};

	gc_check_members(config->document, "", members, errors);
	if (!json_object_get(config->document, "version"))
		g_string_append(errors, "version: missing\n");
	config->version = gc_check_uint(config->document, "", "version", 1,
					MAX_VERSION, 0, errors);
	read_instances(config, errors);
	read_section(config, "pools", read_pool, errors);
	read_section(config, "models", read_model, errors);
	read_section(config, "services", read_service, errors);
	read_section(config, "accounts", read_account, errors);
	config->model_names = g_list_sort(g_hash_table_get_keys(config->models),
					  (GCompareFunc)strcmp);
}

static void read_section(gc_config_t *config, const char *section,
			 read_entry_fn_t read, GString *errors)
{
	json_t *object = gc_check_section(config->document, section, errors);
	const char *name;
	json_t *value;

	json_object_foreach (object, name, value) {
		g_autofree char *path = g_strconcat(section, ".", name, NULL);

		if (!gc_check_name(path, name, errors))
			continue;
		if (!json_is_object(value)) {
			g_string_append_printf(errors, "%s: not an object\n",
					       path);
			continue;
		}
		read(config, name, value, errors);
	}
}

static void read_instances(gc_config_t *config, GString *errors)
{
	json_t *section =
		gc_check_section(config->document, "instances", errors);
	const char *name;
	json_t *value;

	json_object_foreach (section, name, value) {
		g_autofree char *path = g_strconcat("instances.", name, NULL);

		if (!json_is_object(value)) {
			g_string_append_printf(errors, "%s: not an object\n",
					       path);
			continue;
		}
		read_instance(path, value, errors);
	}
}

static void read_instance(const char *path, json_t *json, GString *errors)
{
	static const char *const members[] = {"labels", "departing", NULL};
	json_t *labels = json_object_get(json, "labels");
	const char *label;
	json_t *value;

	gc_check_members(json, path, members, errors);
	gc_check_bool(json, path, "departing", errors);
	if (labels && !json_is_object(labels)) {
		g_string_append_printf(errors, "%s.labels: not an object\n",
				       path);
		return;
	}
	json_object_foreach (labels, label, value) {
		if (!json_is_string(value))
			g_string_append_printf(errors,
					       "%s.labels.%s: not a string\n",
					       path, label);
	}
}

static void read_pool(gc_config_t *config, const char *name, json_t *json,
		      GString *errors)
{
	static const char *const members[] = {"kind", "selector", NULL};
	g_autofree char *path = g_strconcat("pools.", name, NULL);
	g_autofree char *selector = g_strconcat(path, ".selector", NULL);
	const char *kind = gc_check_string(json, path, "kind", true, errors);
	pool_t *pool = g_new0(pool_t, 1);

	gc_check_members(json, path, members, errors);
	if (kind && strcmp(kind, "engine") != 0 && strcmp(kind, "service") != 0)
		g_string_append_printf(
			errors, "%s.kind: neither \"engine\" nor \"service\"\n",
			path);
	pool->name = (char *)name;
	pool->is_engine = g_strcmp0(kind, "engine") == 0;
	pool->selector = gc_selector_create(json_object_get(json, "selector"),
					    selector, errors);
	g_hash_table_insert(config->pools, (char *)name, pool);
}

static void read_model(gc_config_t *config, const char *name, json_t *json,
		       GString *errors)
{
	static const char *const members[] = {"version", "pool", "selector",
					      NULL};
	g_autofree char *path = g_strconcat("models.", name, NULL);
	g_autofree char *selector = g_strconcat(path, ".selector", NULL);
	model_t *model = g_new0(model_t, 1);

	gc_check_members(json, path, members, errors);
	gc_check_string(json, path, "version", false, errors);
	model->name = (char *)name;
	model->pool = read_pool_reference(config, json, path, true, errors);
	model->selector = gc_selector_create(json_object_get(json, "selector"),
					     selector, errors);
	g_hash_table_insert(config->models, (char *)name, model);
}

static void read_service(gc_config_t *config, const char *name, json_t *json,
			 GString *errors)
{
	static const char *const members[] = {"pool", "checks_fencing",
					      "status_path", NULL};
	g_autofree char *path = g_strconcat("services.", name, NULL);
	service_t *service = g_new0(service_t, 1);

	gc_check_members(json, path, members, errors);
	service->public.name = gc_str(name);
	service->public.checks_fencing =
		gc_check_bool(json, path, "checks_fencing", errors);
	service->public.status_path = gc_str(
		gc_check_string(json, path, "status_path", false, errors));
	service->pool = read_pool_reference(config, json, path, false, errors);
	g_hash_table_insert(config->services, (char *)name, service);
}

static const pool_t *read_pool_reference(const gc_config_t *config,
					 json_t *json, const char *path,
					 bool is_engine, GString *errors)
{
	const char *name = gc_check_string(json, path, "pool", true, errors);
	const pool_t *pool;

	if (!name)
		return NULL;
	pool = g_hash_table_lookup(config->pools, name);
	if (!pool)
		g_string_append_printf(errors, "%s.pool: unknown pool \"%s\"\n",
				       path, name);
	else if (pool->is_engine != is_engine)
		g_string_append_printf(errors,
				       "%s.pool: pool \"%s\" is not of kind "
				       "\"%s\"\n",
				       path, name,
				       is_engine ? "engine" : "service");
	return pool;
}

static void read_account(gc_config_t *config, const char *name, json_t *json,
			 GString *errors)
{
	static const char *const members[] = {"key_sha256",    "weight",
					      "policy",	       "selector",
					      "max_in_flight", NULL};
	g_autofree char *path = g_strconcat("accounts.", name, NULL);
	g_autofree char *selector = g_strconcat(path, ".selector", NULL);
	const char *policy =
		gc_check_string(json, path, "policy", false, errors);
	account_t *account = g_new0(account_t, 1);

	gc_check_members(json, path, members, errors);
	if (policy && strcmp(policy, "latency") != 0 &&
	    strcmp(policy, "economy") != 0)
		g_string_append_printf(
			errors,
			"%s.policy: neither \"latency\" nor \"economy\"\n",
			path);
	account->public.name = gc_str(name);
	account->public.policy = g_strcmp0(policy, "economy") == 0
					 ? GC_POLICY_ECONOMY
					 : GC_POLICY_LATENCY;
	account->public.weight =
		gc_check_uint(json, path, "weight", 1, MAX_WEIGHT, 1, errors);
	account->public.max_in_flight = gc_check_uint(
		json, path, "max_in_flight", 0, UINT32_MAX, 0, errors);
	account->selector = gc_selector_create(
		json_object_get(json, "selector"), selector, errors);
	g_hash_table_insert(config->accounts, (char *)name, account);
	add_key(config, account, json, path, errors);
}

static void add_key(gc_config_t *config, account_t *account, json_t *json,
		    const char *path, GString *errors)
{
	const char *hex =
		gc_check_string(json, path, "key_sha256", true, errors);
	const account_t *key_owner;
	char *key;

	if (!hex)
		return;
	if (!is_sha256(hex)) {
		g_string_append_printf(errors,
				       "%s.key_sha256: not %d hex digits\n",
				       path, SHA256_HEX_DIGITS);
		return;
	}
	key = g_ascii_strdown(hex, -1);
	key_owner = g_hash_table_lookup(config->keys, key);
	if (key_owner) {
		g_string_append_printf(
			errors, "%s.key_sha256: also key of account \"%.*s\"\n",
			path, GC_STR_ARG(key_owner->public.name));
		g_free(key);
		return;
	}
	g_hash_table_insert(config->keys, key, account);
}

static bool is_sha256(const char *hex)
{
	return strlen(hex) == SHA256_HEX_DIGITS &&
	       strspn(hex, "0123456789abcdefABCDEF") == SHA256_HEX_DIGITS;
}

uint64_t gc_config_version(const gc_config_t *config)
{
	return config->version;
}

json_t *gc_config_document(const gc_config_t *config)
{
	return config->document;
}

/* name need not end in a NUL. NULL if it is absent or too long for a name. */
static gpointer lookup_name(GHashTable *table, gc_str_t name)
{
	char key[GC_NAME_MAX];

	if (name.len >= sizeof(key) || memchr(name.data, '\0', name.len))
		return NULL;
	memcpy(key, name.data, name.len);
	key[name.len] = '\0';
	return g_hash_table_lookup(table, key);
}

const gc_account_t *gc_config_account_by_key(const gc_config_t *config,
					     gc_str_t bearer_key)
{
	g_autofree char *hex =
		g_compute_checksum_for_data(G_CHECKSUM_SHA256,
					    (const guchar *)bearer_key.data,
					    bearer_key.len);
	account_t *account = g_hash_table_lookup(config->keys, hex);

	return account ? &account->public : NULL;
}

const gc_service_t *gc_config_service(const gc_config_t *config, gc_str_t name)
{
	service_t *service = lookup_name(config->services, name);

	return service ? &service->public : NULL;
}

bool gc_config_has_model(const gc_config_t *config, gc_str_t model)
{
	return lookup_name(config->models, model) != NULL;
}

void gc_config_foreach_model(const gc_config_t *config,
			     void (*fn)(void *ctx, gc_str_t model), void *ctx)
{
	for (GList *name = config->model_names; name; name = name->next)
		fn(ctx, gc_str(name->data));
}

bool gc_config_is_departing(const gc_config_t *config, gc_str_t instance)
{
	json_t *instances = json_object_get(config->document, "instances");
	json_t *entry =
		json_object_getn(instances, instance.data, instance.len);

	return json_is_true(json_object_get(entry, "departing"));
}

json_t *gc_config_merge_labels(const gc_config_t *config, gc_str_t instance,
			       json_t *listed)
{
	json_t *instances = json_object_get(config->document, "instances");
	json_t *entry =
		json_object_getn(instances, instance.data, instance.len);
	json_t *labels = listed ? json_copy(listed) : json_object();

	json_object_update(labels, json_object_get(entry, "labels"));
	return labels;
}

static bool account_allows(const gc_account_t *account, json_t *labels)
{
	const account_t *entry = (const account_t *)account;

	return !entry || gc_selector_matches(entry->selector, labels);
}

bool gc_config_serves_model(const gc_config_t *config,
			    const gc_account_t *account, gc_str_t model,
			    json_t *labels)
{
	const model_t *found = lookup_name(config->models, model);

	return found && gc_selector_matches(found->pool->selector, labels) &&
	       gc_selector_matches(found->selector, labels) &&
	       account_allows(account, labels);
}

bool gc_config_serves_service(const gc_config_t *config,
			      const gc_account_t *account, gc_str_t service,
			      json_t *labels)
{
	const service_t *found = lookup_name(config->services, service);

	return found && gc_selector_matches(found->pool->selector, labels) &&
	       account_allows(account, labels);
}

static bool matches_any(const gc_selector_t *pool,
			const gc_selector_t *selector,
			const gc_labelled_instance_t *instances, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (pool && !gc_selector_matches(pool, instances[i].labels))
			continue;
		if (gc_selector_matches(selector, instances[i].labels))
			return true;
	}
	return false;
}

static void check_pool_kinds(const gc_config_t *config,
			     const gc_labelled_instance_t *instance,
			     GString *errors)
{
	const pool_t *matching[2] = {NULL, NULL}; /* by is_engine */
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, config->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const pool_t *pool = value;
		const pool_t **slot = &matching[pool->is_engine];

		if (!gc_selector_matches(pool->selector, instance->labels))
			continue;
		if (!*slot || strcmp(pool->name, (*slot)->name) < 0)
			*slot = pool;
	}
	if (matching[0] && matching[1])
		g_string_append_printf(
			errors,
			"pools.%s.selector: instance \"%.*s\" is also in pool "
			"\"%s\" of another kind\n",
			matching[1]->name, GC_STR_ARG(instance->name),
			matching[0]->name);
}

bool gc_config_check_selectors(const gc_config_t *config,
			       const gc_labelled_instance_t *instances,
			       size_t n, GError **err)
{
	GString *errors = g_string_new(NULL);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, config->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const pool_t *pool = value;

		if (!matches_any(NULL, pool->selector, instances, n))
			g_string_append_printf(
				errors,
				"pools.%s.selector: matches no instance\n",
				pool->name);
	}
	g_hash_table_iter_init(&iter, config->models);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const model_t *model = value;

		if (!matches_any(model->pool->selector, model->selector,
				 instances, n))
			g_string_append_printf(errors,
					       "models.%s.selector: matches no "
					       "instance of its pool\n",
					       model->name);
	}
	g_hash_table_iter_init(&iter, config->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const account_t *account = value;

		if (!matches_any(NULL, account->selector, instances, n))
			g_string_append_printf(
				errors,
				"accounts.%.*s.selector: matches no instance\n",
				GC_STR_ARG(account->public.name));
	}
	for (size_t i = 0; i < n; i++)
		check_pool_kinds(config, &instances[i], errors);
	return report_errors(errors, err);
}
