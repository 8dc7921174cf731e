/* Matches instances by their labels. */
#include <string.h>

#include "core/selector.h"

struct gc_selector {
	json_t *match; /* label -> string */
	json_t *any_of; /* label -> array of strings */
	json_t *none_of; /* label -> array of strings */
};

static void check_member_names(json_t *json, const char *path, GString *errors);
static json_t *read_match(json_t *json, const char *path, GString *errors);
static json_t *read_lists(json_t *json, const char *name, const char *path,
			  GString *errors);
static bool is_string_list(json_t *list);
static bool list_contains(json_t *list, const char *value);

gc_selector_t *gc_selector_create(json_t *json, const char *path,
				  GString *errors)
{
	gc_selector_t *selector = g_new0(gc_selector_t, 1);

	if (!json)
		return selector;
	if (!json_is_object(json)) {
		g_string_append_printf(errors, "%s: not an object\n", path);
		return selector;
	}
	check_member_names(json, path, errors);
	selector->match = read_match(json, path, errors);
	selector->any_of = read_lists(json, "any_of", path, errors);
	selector->none_of = read_lists(json, "none_of", path, errors);
	return selector;
}

void gc_selector_destroy(gc_selector_t *selector)
{
	if (!selector)
		return;
	json_decref(selector->match);
	json_decref(selector->any_of);
	json_decref(selector->none_of);
	g_free(selector);
}

static void check_member_names(json_t *json, const char *path, GString *errors)
{
	const char *name;
	json_t *value;

	json_object_foreach (json, name, value) {
		if (strcmp(name, "match") == 0 || strcmp(name, "any_of") == 0 ||
		    strcmp(name, "none_of") == 0)
			continue;
		g_string_append_printf(errors, "%s.%s: unknown member\n", path,
				       name);
	}
}

static json_t *read_match(json_t *json, const char *path, GString *errors)
{
	json_t *match = json_object_get(json, "match");
	const char *label;
	json_t *value;

	if (!match)
		return NULL;
	if (!json_is_object(match)) {
		g_string_append_printf(errors, "%s.match: not an object\n",
				       path);
		return NULL;
	}
	json_object_foreach (match, label, value) {
		if (!json_is_string(value))
			g_string_append_printf(errors,
					       "%s.match.%s: not a string\n",
					       path, label);
	}
	return json_incref(match);
}

static json_t *read_lists(json_t *json, const char *name, const char *path,
			  GString *errors)
{
	json_t *lists = json_object_get(json, name);
	const char *label;
	json_t *list;

	if (!lists)
		return NULL;
	if (!json_is_object(lists)) {
		g_string_append_printf(errors, "%s.%s: not an object\n", path,
				       name);
		return NULL;
	}
	json_object_foreach (lists, label, list) {
		if (!is_string_list(list))
			g_string_append_printf(
				errors, "%s.%s.%s: not a list of strings\n",
				path, name, label);
	}
	return json_incref(lists);
}

static bool is_string_list(json_t *list)
{
	size_t i;
	json_t *value;

	if (!json_is_array(list))
		return false;
	json_array_foreach (list, i, value) {
		if (!json_is_string(value))
			return false;
	}
	return true;
}

bool gc_selector_matches(const gc_selector_t *selector, json_t *labels)
{
	const char *label, *value;
	json_t *expected;

	json_object_foreach (selector->match, label, expected) {
		value = json_string_value(json_object_get(labels, label));
		if (!value || strcmp(value, json_string_value(expected)) != 0)
			return false;
	}
	json_object_foreach (selector->any_of, label, expected) {
		value = json_string_value(json_object_get(labels, label));
		if (!value || !list_contains(expected, value))
			return false;
	}
	json_object_foreach (selector->none_of, label, expected) {
		value = json_string_value(json_object_get(labels, label));
		if (value && list_contains(expected, value))
			return false;
	}
	return true;
}

static bool list_contains(json_t *list, const char *value)
{
	size_t i;
	json_t *item;

	json_array_foreach (list, i, item) {
		if (strcmp(json_string_value(item), value) == 0)
			return true;
	}
	return false;
}
