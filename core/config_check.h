/* Checks of a configuration document's members; used by config.c only. */
#ifndef GC_CORE_CONFIG_CHECK_H
#define GC_CORE_CONFIG_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/* Appends "PATH.NAME: unknown member" for members that allowed lacks. */
void gc_check_members(json_t *object, const char *path,
		      const char *const *allowed, GString *errors);
/*
 * Each of these reads member `name` of object, and appends one line to errors
 * if it has another type or is out of range.
 */
const char *gc_check_string(json_t *object, const char *path, const char *name,
			    bool required, GString *errors);
bool gc_check_bool(json_t *object, const char *path, const char *name,
		   GString *errors);
uint64_t gc_check_uint(json_t *object, const char *path, const char *name,
		       uint64_t min, uint64_t max, uint64_t absent,
		       GString *errors);
/* The object `name` of the document, or NULL if absent or wrong. */
json_t *gc_check_section(json_t *document, const char *name, GString *errors);
/* A name of an instance, pool, model, service or account. */
bool gc_check_name(const char *path, const char *name, GString *errors);

#endif
