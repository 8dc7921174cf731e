/* Strings with an explicit length. */
#ifndef GC_CORE_STR_H
#define GC_CORE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

#include <talloc.h>

/* A view of len bytes owned elsewhere; data need not end in NUL. */
typedef struct gc_str {
	const char *data;
	size_t len;
} gc_str_t;

#define GC_STR_EMPTY  ((gc_str_t){"", 0})
#define GC_STR_LIT(s) ((gc_str_t){(s), sizeof(s) - 1})
/* Arguments for the printf conversion "%.*s". */
#define GC_STR_ARG(s) (int)(s).len, (s).data

static inline gc_str_t gc_str(const char *cstr)
{
	return cstr ? (gc_str_t){cstr, strlen(cstr)} : GC_STR_EMPTY;
}

static inline bool gc_str_eq(gc_str_t a, gc_str_t b)
{
	/* An empty string may have NULL data, which memcmp must not get. */
	return a.len == b.len &&
	       (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

/* Less than, equal to or greater than 0, by bytes; a prefix comes first. */
static inline int gc_str_cmp(gc_str_t a, gc_str_t b)
{
	size_t len = a.len < b.len ? a.len : b.len;
	int diff = len > 0 ? memcmp(a.data, b.data, len) : 0;

	if (diff != 0 || a.len == b.len)
		return diff;
	return a.len < b.len ? -1 : 1;
}

/* Copies s into mem; the copy ends in a NUL that len does not count. */
static inline gc_str_t gc_str_dup(TALLOC_CTX *mem, gc_str_t s)
{
	char *copy = (char *)talloc_size(mem, s.len + 1);

	if (s.len > 0)
		memcpy(copy, s.data, s.len);
	copy[s.len] = 0;
	return (gc_str_t){copy, s.len};
}

#endif
