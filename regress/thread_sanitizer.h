/*
 * jansson counts references atomically, but its inline functions first compare the count
 * with that of constants, -1, by a plain read. These read it atomically and are otherwise
 * the same. Included before each source; see mk/threads.sh.
 */
#ifndef GC_REGRESS_THREAD_SANITIZER_H
#define GC_REGRESS_THREAD_SANITIZER_H

#include <jansson.h>

static inline json_t *sanitized_json_incref(json_t *json)
{
	if (json &&
	    __atomic_load_n(&json->refcount, __ATOMIC_RELAXED) != (size_t)-1)
		JSON_INTERNAL_INCREF(json);
	return json;
}

static inline void sanitized_json_decref(json_t *json)
{
	if (json &&
	    __atomic_load_n(&json->refcount, __ATOMIC_RELAXED) != (size_t)-1 &&
	    JSON_INTERNAL_DECREF(json) == 0)
		json_delete(json);
}

#define json_incref sanitized_json_incref
#define json_decref sanitized_json_decref

#endif
