/* The source revision, which the Makefile sets. */
#include "lib/build.h"

#ifndef GC_BUILD
#define GC_BUILD "unknown"
#endif

const char gc_build[] = GC_BUILD;
