/* Hash and comparison of gc_str_t keys in a GHashTable. */
#ifndef GC_CORE_STRHASH_H
#define GC_CORE_STRHASH_H

#include <glib.h>

#include "core/str.h"

guint gc_str_hash(gconstpointer key);
gboolean gc_str_equal(gconstpointer a, gconstpointer b);

#endif
