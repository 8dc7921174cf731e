/* Changes to the barred versions of a record, for the judge. */
#ifndef GC_CORE_ROLLOUT_RECORD_H
#define GC_CORE_ROLLOUT_RECORD_H

#include "core/rollout.h"

/* New requests no longer go to the version. Memory is allocated from the record, which
 * must be a copy. */
void gc_rollout_record_bar(gc_rollout_record_t *record, gc_str_t version);
void gc_rollout_record_unbar(gc_rollout_record_t *record, gc_str_t version);

#endif
