/* Plausibility of the era that a response of the store names. */
#ifndef GC_LIB_STORE_ERA_H
#define GC_LIB_STORE_ERA_H

#include <stdint.h>

/* Key of the kept era (core/restore_mark.h) in the store, a decimal number. */
#define GC_KEPT_ERA_KEY "goldcrest/era"

/*
 * Restores that a daemon can have missed. A higher era is a damaged number; if it
 * were believed, no answer of the store would count any more.
 */
#define GC_STORE_ERA_MAX_STEP 1000

/* The era, or 0 if it can't follow the known one (0: none is known). */
static inline uint64_t gc_store_era_plausible(uint64_t known, uint64_t era)
{
	return known != 0 && era > known && era - known > GC_STORE_ERA_MAX_STEP
		       ? 0
		       : era;
}

#endif
