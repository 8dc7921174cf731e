/*
 * Capabilities in the entries of daemons, so that builds of several ages can run
 * side by side: a protocol is used only with daemons that name it.
 */
#ifndef GC_LIB_CAPABILITIES_H
#define GC_LIB_CAPABILITIES_H

#include <stdint.h>

#include <jansson.h>

#include "core/registry.h"

#define GC_CAPABILITIES_MEMBER "capabilities"

/* A list of names; the caller owns it. */
json_t *gc_capabilities_encode(uint32_t capabilities);
/* Of a daemon's entry. Unknown names are ignored. */
uint32_t gc_capabilities_decode(const json_t *entry);

#endif
