/* Checked access to a configuration document; private to config.c. */
#ifndef GC_CORE_CONFIG_CHECK_H
#define GC_CORE_CONFIG_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/* Appends "PATH.NAME: unknown member" for each member not in allowed. */
void gc_check_members(json_t *object, const char *path,
		      const char *const *allowed, GString *errors);
/*
 * Each of these returns member `name` of object, and appends a line to errors
 * if it is of another type or out of range. If it is absent, the result is
 * NULL, false or default_value. Strings are owned by object.
 */
const char *gc_check_string(json_t *object, const char *path, const char *name,
			    bool required, GString *errors);
bool gc_check_bool(json_t *object, const char *path, const char *name,
		   GString *errors);
uint64_t gc_check_uint(json_t *object, const char *path, const char *name,
		       uint64_t min, uint64_t max, uint64_t default_value,
		       GString *errors);
/* The object `name` of the document; NULL if absent or not an object. */
json_t *gc_check_section(json_t *document, const char *name, GString *errors);
/* True if name is a valid name of a pool, model, service or account. */
bool gc_check_name(const char *path, const char *name, GString *errors);

#endif
