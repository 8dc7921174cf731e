/* Checked access to a configuration document. */
#include <string.h>

#include "core/config_check.h"
#include "core/types.h"

void gc_check_members(json_t *object, const char *path,
		      const char *const *allowed, GString *errors)
{
	const char *dot = *path ? "." : "";
	const char *name;
	json_t *value;

	json_object_foreach (object, name, value) {
		if (!g_strv_contains(allowed, name))
			g_string_append_printf(errors,
					       "%s%s%s: unknown member\n", path,
					       dot, name);
	}
}

const char *gc_check_string(json_t *object, const char *path, const char *name,
			    bool required, GString *errors)
{
	json_t *value = json_object_get(object, name);

	if (!value && required)
		g_string_append_printf(errors, "%s.%s: missing\n", path, name);
	else if (value && !json_is_string(value))
		g_string_append_printf(errors, "%s.%s: not a string\n", path,
				       name);
	return json_string_value(value);
}

bool gc_check_bool(json_t *object, const char *path, const char *name,
		   GString *errors)
{
	json_t *value = json_object_get(object, name);

	if (value && !json_is_boolean(value))
		g_string_append_printf(errors, "%s.%s: not true or false\n",
				       path, name);
	return json_is_true(value);
}

uint64_t gc_check_uint(json_t *object, const char *path, const char *name,
		       uint64_t min, uint64_t max, uint64_t default_value,
		       GString *errors)
{
	json_t *value = json_object_get(object, name);
	json_int_t number = json_integer_value(value);

	if (!value)
		return default_value;
	if (json_is_integer(value) && number >= 0 && (uint64_t)number >= min &&
	    (uint64_t)number <= max)
		return number;
	g_string_append_printf(errors,
			       "%s%s%s: not an integer from %llu to %llu\n",
			       path, *path ? "." : "", name,
			       (unsigned long long)min,
			       (unsigned long long)max);
	return default_value;
}

json_t *gc_check_section(json_t *document, const char *name, GString *errors)
{
	json_t *section = json_object_get(document, name);

	if (!section || json_is_object(section))
		return section;
	g_string_append_printf(errors, "%s: not an object\n", name);
	return NULL;
}

bool gc_check_name(const char *path, const char *name, GString *errors)
{
	size_t len = strlen(name);

	if (len > 0 && len < GC_NAME_MAX)
		return true;
	g_string_append_printf(errors, "%s: a name has 1 to %d bytes\n", path,
			       GC_NAME_MAX - 1);
	return false;
}
