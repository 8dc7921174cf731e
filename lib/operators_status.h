/* The status document of a daemon; used by operators.c. */
#ifndef GC_LIB_OPERATORS_STATUS_H
#define GC_LIB_OPERATORS_STATUS_H

#include "lib/control_impl.h"

/* New reference. */
json_t *gc_operators_status(gc_control_t *control);

#endif
