/* Numbers that peers send as text. */
#ifndef GC_CORE_NUMBER_H
#define GC_CORE_NUMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/str.h"

/*
 * A whole number of digits only, leading zeros included. One above max is stored as
 * max, so that a peer can't make later sums overflow. False, with *number unchanged, if
 * it is anything else, such as empty, signed or a fraction.
 */
bool gc_parse_whole(gc_str_t text, int64_t max, int64_t *number);
/* The same for a number that may have a fraction. */
bool gc_parse_decimal(gc_str_t text, double max, double *number);

#endif
