/*
 * Whether the store may lack what was written there, as it went back to a copy less
 * than a stream's life ago. Each response names the store's era, which rises with
 * each restore, so a daemon that runs sees one. For daemons that start later, the
 * newest era is kept in the store, and written there only a stream's life after the
 * restore: who finds an older one missed a restore that may have just happened.
 */
#ifndef GC_CORE_RESTORE_MARK_H
#define GC_CORE_RESTORE_MARK_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Must be zeroed before use. */
typedef struct gc_restore_mark {
	uint64_t era; /* newest one seen; 0: none */
	uint64_t kept; /* era that is kept in the store; 0: none, or not read */
	bool checked; /* kept was read since the start */
	bool restored;
	struct timespec restored_at; /* or when that was found out */
} gc_restore_mark_t;

/* Era of a response, 0 if it names none. True if the store was restored since the
 * last response. */
bool gc_restore_mark_see(gc_restore_mark_t *mark, struct timespec now,
			 uint64_t era);
/*
 * The era that is kept in the store (0: none), read in the era last seen. True if it
 * shows a restore that this daemon hasn't seen. A store that has never kept one
 * counts as not restored.
 */
bool gc_restore_mark_read(gc_restore_mark_t *mark, struct timespec now,
			  uint64_t kept);
/* False if all that was acknowledged within a stream's life must still be there. */
bool gc_restore_mark_may_lack(const gc_restore_mark_t *mark,
			      struct timespec now);
/* Time in ms until the era seen should be kept in the store, if no other daemon has
 * done so; -1: it is. */
int64_t gc_restore_mark_due_ms(const gc_restore_mark_t *mark,
			       struct timespec now);

#endif
