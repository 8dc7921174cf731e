/* Builds the status document of a daemon; used by operator_api.c. */
#ifndef GC_LIB_OPERATOR_API_STATUS_H
#define GC_LIB_OPERATOR_API_STATUS_H

#include "lib/control_private.h"

/* Returns a new reference. */
json_t *gc_operator_api_status(gc_control_t *control);

#endif
