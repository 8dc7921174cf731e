/* The source revision that the program was built from. */
#ifndef GC_LIB_BUILD_H
#define GC_LIB_BUILD_H

/* As git names it, with "-dirty" for a changed tree; "unknown" without git. */
extern const char gc_build[];

#endif
