/* Compression of values between daemons (zlib format). */
#ifndef GC_LIB_DEFLATE_H
#define GC_LIB_DEFLATE_H

#include <stdbool.h>
#include <stddef.h>

#include "core/str.h"

/* The compressed text, in mem. */
gc_str_t gc_deflate(TALLOC_CTX *mem, gc_str_t text);
/* False if the bytes are not a whole compressed text, or if it is longer than max. */
bool gc_inflate(TALLOC_CTX *mem, gc_str_t bytes, size_t max, gc_str_t *text);

#endif
