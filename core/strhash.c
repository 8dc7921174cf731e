/* Hash and comparison of gc_str_t keys in a GHashTable. */
#include <xxhash.h>

#include "core/strhash.h"

guint gc_str_hash(gconstpointer key)
{
	const gc_str_t *s = key;

	return (guint)XXH64(s->data, s->len, 0);
}

gboolean gc_str_equal(gconstpointer a, gconstpointer b)
{
	return gc_str_eq(*(const gc_str_t *)a, *(const gc_str_t *)b);
}
