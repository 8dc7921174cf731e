/* Immutable texts with a count of references. */
#include <stdatomic.h>

#include <glib.h>

#include "core/shared_text.h"

struct gc_shared_text {
	uint64_t id;
	size_t len;
	char bytes[]; /* with a NUL at the end */
};

static atomic_uint_least64_t last_id;

gc_shared_text_t *gc_shared_text_create(gc_str_t text)
{
	gc_shared_text_t *copy =
		g_atomic_rc_box_alloc(sizeof(*copy) + text.len + 1);

	copy->id = atomic_fetch_add(&last_id, 1) + 1;
	copy->len = text.len;
	if (text.len > 0)
		memcpy(copy->bytes, text.data, text.len);
	copy->bytes[text.len] = 0;
	return copy;
}

gc_shared_text_t *gc_shared_text_ref(gc_shared_text_t *text)
{
	return g_atomic_rc_box_acquire(text);
}

void gc_shared_text_unref(gc_shared_text_t *text)
{
	if (text)
		g_atomic_rc_box_release(text);
}

gc_str_t gc_shared_text_str(const gc_shared_text_t *text)
{
	return (gc_str_t){text->bytes, text->len};
}

uint64_t gc_shared_text_id(const gc_shared_text_t *text)
{
	return text->id;
}
