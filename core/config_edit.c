/* Changes to configuration documents. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/config_edit.h"

static void merge_into(json_t *object, json_t *patch);
static void collect_changes(GPtrArray *paths, const char *prefix,
			    json_t *before, json_t *after);
static void collect_member_changes(GPtrArray *paths, const char *prefix,
				   json_t *before, json_t *after);
static int compare_strings(gconstpointer a, gconstpointer b);

json_t *gc_config_merge(json_t *target, json_t *patch)
{
	json_t *result;

	if (!json_is_object(patch))
		return json_deep_copy(patch);
	result =
		json_is_object(target) ? json_deep_copy(target) : json_object();
	merge_into(result, patch);
	return result;
}

static void merge_into(json_t *object, json_t *patch)
{
	const char *name;
	json_t *value;

	json_object_foreach (patch, name, value) {
		if (json_is_null(value))
			json_object_del(object, name);
		else
			json_object_set_new(
				object, name,
				gc_config_merge(json_object_get(object, name),
						value));
	}
}

json_t *gc_config_changed_paths(json_t *old_document, json_t *new_document)
{
	GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
	json_t *result = json_array();

	collect_changes(paths, "", old_document, new_document);
	g_ptr_array_sort(paths, compare_strings);
	for (guint i = 0; i < paths->len; i++)
		json_array_append_new(result, json_string(paths->pdata[i]));
	g_ptr_array_free(paths, TRUE);
	return result;
}

static int compare_strings(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void collect_changes(GPtrArray *paths, const char *prefix,
			    json_t *before, json_t *after)
{
	/* If a whole section is added or removed, each entry is reported. */
	bool is_section = strchr(prefix, '.') == NULL &&
			  (!before || json_is_object(before)) &&
			  (!after || json_is_object(after));

	if (is_section || (json_is_object(before) && json_is_object(after))) {
		collect_member_changes(paths, prefix, before, after);
		return;
	}
	if (before && after && json_equal(before, after))
		return;
	g_ptr_array_add(paths, g_strdup(prefix));
}

static bool is_change_metadata(const char *name)
{
	return strcmp(name, "version") == 0 || strcmp(name, "changes") == 0;
}

static void collect_member_changes(GPtrArray *paths, const char *prefix,
				   json_t *before, json_t *after)
{
	bool at_root = *prefix == '\0';
	const char *name;
	json_t *value;

	json_object_foreach (before, name, value) {
		g_autofree char *path =
			g_strconcat(prefix, at_root ? "" : ".", name, NULL);

		if (!at_root || !is_change_metadata(name))
			collect_changes(paths, path, value,
					json_object_get(after, name));
	}
	json_object_foreach (after, name, value) {
		g_autofree char *path =
			g_strconcat(prefix, at_root ? "" : ".", name, NULL);

		if (!json_object_get(before, name) &&
		    (!at_root || !is_change_metadata(name)))
			collect_changes(paths, path, NULL, value);
	}
}

void gc_config_record_change(json_t *document, uint64_t version,
			     const char *nonce, const char *daemon)
{
	json_t *changes = json_object_get(document, "changes");

	if (!json_is_array(changes)) {
		changes = json_array();
		json_object_set_new(document, "changes", changes);
	}
	json_array_insert_new(changes, 0,
			      json_pack("{sI ss ss}", "version",
					(json_int_t)version, "nonce", nonce,
					"daemon", daemon));
	while (json_array_size(changes) > GC_CONFIG_MAX_CHANGES)
		json_array_remove(changes, GC_CONFIG_MAX_CHANGES);
	json_object_set_new(document, "version",
			    json_integer((json_int_t)version));
}

uint64_t gc_config_version_of_nonce(json_t *document, const char *nonce)
{
	json_t *changes = json_object_get(document, "changes");
	json_t *change;
	size_t i;

	json_array_foreach (changes, i, change) {
		const char *change_nonce =
			json_string_value(json_object_get(change, "nonce"));

		if (change_nonce && strcmp(change_nonce, nonce) == 0)
			return json_integer_value(
				json_object_get(change, "version"));
	}
	return 0;
}
