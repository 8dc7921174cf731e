/* Items of the store: configuration, servers, daemons, base versions, notices,
 * roll-outs. */
#include <string.h>

#include <jansson.h>

#include "core/address.h"
#include "lib/capabilities.h"
#include "lib/crash_notices.h"
#include "lib/fleet_private.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/store_era.h"

static gc_base_version_t *find_base_version(const gc_fleet_t *fleet,
					    gc_str_t service);
static bool apply_base_version(gc_fleet_t *fleet, gc_str_t service,
			       const gc_store_item_t *item);
static bool is_notice(const gc_store_item_t *item);
static bool is_rollout(const gc_fleet_t *fleet, const gc_store_item_t *item);
static bool strip_prefix(gc_str_t key, const char *prefix, gc_str_t *rest);
static void apply_server(gc_fleet_t *fleet, gc_str_t id,
			 const gc_store_item_t *item);
static void apply_daemon(gc_fleet_t *fleet, gc_str_t id,
			 const gc_store_item_t *item);
static void apply_kept_era(gc_fleet_t *fleet, const gc_store_item_t *item);

bool gc_fleet_apply_item(gc_fleet_t *fleet, const gc_store_item_t *item)
{
	const gc_logged_change_t *change =
		gc_change_log_add(fleet->change_log, item);
	gc_str_t id;

	if (gc_str_eq(item->key, gc_str(fleet->conf.adapter->config_key))) {
		if (item->deleted || item->revision <= fleet->config_revision)
			return false;
		gc_fleet_start_config(fleet, item, change);
		return true;
	}
	if (strip_prefix(item->key, fleet->conf.adapter->servers_prefix, &id)) {
		apply_server(fleet, id, item);
		return true;
	}
	if (strip_prefix(item->key, GC_DAEMONS_PREFIX, &id)) {
		apply_daemon(fleet, id, item);
		return true;
	}
	if (strip_prefix(item->key, GC_BASE_VERSIONS_PREFIX, &id))
		return apply_base_version(fleet, id, item);
	if (gc_str_eq(item->key, GC_STR_LIT(GC_KEPT_ERA_KEY)))
		apply_kept_era(fleet, item);
	if (is_notice(item) && fleet->conf.notice)
		fleet->conf.notice(fleet->conf.ctx, item);
	if (is_rollout(fleet, item) && fleet->conf.rollout)
		fleet->conf.rollout(fleet->conf.ctx, item,
				    !fleet->list_complete);
	return false;
}

static gc_base_version_t *find_base_version(const gc_fleet_t *fleet,
					    gc_str_t service)
{
	for (guint i = 0; i < fleet->base_versions->len; i++) {
		gc_base_version_t *base = &g_array_index(fleet->base_versions,
							 gc_base_version_t, i);

		if (gc_str_eq(base->service, service))
			return base;
	}
	return NULL;
}

/* One with a lower number is the copy's of a restored store; it is replaced, as
 * an invalid one, whose revision is needed for that. */
static bool apply_base_version(gc_fleet_t *fleet, gc_str_t service,
			       const gc_store_item_t *item)
{
	json_t *json = json_loadb(item->value.data, item->value.len, 0, NULL);
	const json_t *version = json_object_get(json, "version");
	json_int_t number = json_integer_value(json_object_get(json, "number"));
	gc_base_version_t *base = find_base_version(fleet, service);
	gc_base_version_t added = {.version = GC_STR_EMPTY};

	if (!item->deleted && (!json_is_string(version) || number <= 0)) {
		gc_log(GC_LOG_WARNING, GC_EVENT_BASE_VERSION_INVALID,
		       "ignoring an invalid base version", NULL);
		number = 0;
	}
	if (!base && !item->deleted) {
		added.service = gc_str_dup(fleet, service);
		g_array_append_val(fleet->base_versions, added);
		base = find_base_version(fleet, service);
	}
	if (base) {
		base->stored_number = (uint64_t)number;
		base->stored_revision = item->deleted ? 0 : item->revision;
	}
	if (base && (uint64_t)number > base->number) {
		base->number = (uint64_t)number;
		base->version = gc_str_dup(
			fleet, (gc_str_t){json_string_value(version),
					  json_string_length(version)});
		gc_log(GC_LOG_INFO, GC_EVENT_BASE_VERSION, "base version set",
		       "service", base->service.data, "version",
		       base->version.data, NULL);
	}
	json_decref(json);
	return base != NULL;
}

static bool is_notice(const gc_store_item_t *item)
{
	gc_str_t rest;

	return !item->deleted &&
	       (strip_prefix(item->key, GC_CRASH_NOTICES_REPORTS_PREFIX,
			     &rest) ||
		strip_prefix(item->key, GC_CRASH_NOTICES_SERVED_PREFIX,
			     &rest) ||
		strip_prefix(item->key, GC_CRASH_NOTICES_KEPT_PREFIX, &rest));
}

static bool is_rollout(const gc_fleet_t *fleet, const gc_store_item_t *item)
{
	const gc_adapter_t *adapter = fleet->conf.adapter;
	gc_str_t rest;

	return strip_prefix(item->key, adapter->rollout_orders_prefix, &rest) ||
	       strip_prefix(item->key, adapter->rollout_records_prefix, &rest);
}

static bool strip_prefix(gc_str_t key, const char *prefix, gc_str_t *rest)
{
	size_t len = strlen(prefix);

	if (key.len <= len || memcmp(key.data, prefix, len) != 0)
		return false;
	*rest = (gc_str_t){key.data + len, key.len - len};
	return true;
}

static void apply_server(gc_fleet_t *fleet, gc_str_t id,
			 const gc_store_item_t *item)
{
	g_autoptr(GError) err = NULL;
	g_autofree char *name = g_strndup(id.data, id.len);
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_registry_entry_t entry;

	if (item->deleted) {
		gc_registry_remove(fleet->servers,
				   gc_clock_now(fleet->conf.clock), id);
		gc_log(GC_LOG_INFO, GC_EVENT_SERVER_GONE,
		       "backend server removed", "server", name, NULL);
	} else if (fleet->conf.adapter->read_server(mem, id, item->value,
						    &entry, &err)) {
		if (fleet->list_complete)
			gc_registry_put(fleet->servers, &entry);
		else
			entry.draining =
				gc_registry_put_listed(fleet->servers, &entry);
		gc_log(GC_LOG_INFO, GC_EVENT_SERVER_SEEN,
		       entry.draining ? "backend server draining"
				      : "backend server ready",
		       "server", name, "address", entry.address.data, "service",
		       entry.service.data, "version", entry.version.data, NULL);
	} else {
		gc_registry_remove_now(fleet->servers, id);
		gc_log(GC_LOG_WARNING, GC_EVENT_SERVER_UNREADABLE,
		       "backend server entry is invalid; not using the server",
		       "server", name, "error", err->message, NULL);
	}
	talloc_free(mem);
}

static void apply_daemon(gc_fleet_t *fleet, gc_str_t id,
			 const gc_store_item_t *item)
{
	json_t *json;
	const char *address;
	const char *peer_address = "";
	const char *forward_address = "";
	const char *failure_domain;

	if (gc_str_eq(id, fleet->conf.self.id))
		fleet->own_entry_listed = true;
	if (item->deleted) {
		gc_registry_remove(fleet->daemons,
				   gc_clock_now(fleet->conf.clock), id);
		return;
	}
	json = json_loadb(item->value.data, item->value.len, 0, NULL);
	if (json_unpack(json, "{s:s,s?s,s?s,s:s}", "address", &address, "peer",
			&peer_address, "forward", &forward_address,
			"failure_domain", &failure_domain) == 0 &&
	    gc_address_is_host_port(gc_str(address)) &&
	    (!*peer_address || gc_address_is_host_port(gc_str(peer_address))) &&
	    (!*forward_address ||
	     gc_address_is_host_port(gc_str(forward_address)))) {
		gc_registry_entry_t entry = {
			.id = id,
			.address = gc_str(address),
			.peer_address = gc_str(peer_address),
			.forward_address = gc_str(forward_address),
			.capabilities = gc_capabilities_decode(json),
			.failure_domain = gc_str(failure_domain),
		};

		gc_registry_put(fleet->daemons, &entry);
	} else {
		g_autofree char *name = g_strndup(id.data, id.len);

		gc_registry_remove_now(fleet->daemons, id);
		gc_log(GC_LOG_WARNING, GC_EVENT_DAEMON_UNREADABLE,
		       "daemon entry is invalid; not using the daemon",
		       "daemon", name, NULL);
	}
	json_decref(json);
}

/* Of the copy, if the store was restored lately. */
static void apply_kept_era(gc_fleet_t *fleet, const gc_store_item_t *item)
{
	g_autofree char *text = g_strndup(item->value.data, item->value.len);

	fleet->kept_era = item->deleted ? 0 : g_ascii_strtoull(text, NULL, 10);
}
