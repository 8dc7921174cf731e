/* Whether the store was restored lately. */
#include <glib.h>

#include "core/base_version.h"
#include "core/clock.h"
#include "core/restore_mark.h"

static void set_restored(gc_restore_mark_t *mark, struct timespec now);

bool gc_restore_mark_see(gc_restore_mark_t *mark, struct timespec now,
			 uint64_t era)
{
	bool restored = mark->era != 0 && era > mark->era;

	if (era <= mark->era)
		return false;
	mark->era = era;
	if (restored)
		set_restored(mark, now);
	return restored;
}

bool gc_restore_mark_read(gc_restore_mark_t *mark, struct timespec now,
			  uint64_t kept)
{
	bool missed = kept != 0 && kept != mark->era && !mark->checked &&
		      !mark->restored;

	mark->checked = true;
	mark->kept = kept;
	if (kept == mark->era)
		mark->restored = false;
	if (missed)
		set_restored(mark, now);
	return missed;
}

static void set_restored(gc_restore_mark_t *mark, struct timespec now)
{
	mark->restored = true;
	mark->restored_at = now;
}

bool gc_restore_mark_may_lack(const gc_restore_mark_t *mark,
			      struct timespec now)
{
	return !mark->checked ||
	       (mark->restored &&
		gc_ms_between(mark->restored_at, now) < GC_STREAM_LIFE_MS);
}

int64_t gc_restore_mark_due_ms(const gc_restore_mark_t *mark,
			       struct timespec now)
{
	int64_t left_ms;

	if (mark->era == 0 || mark->kept == mark->era)
		return -1;
	if (!mark->restored)
		return 0;
	left_ms = GC_STREAM_LIFE_MS - gc_ms_between(mark->restored_at, now);
	return MAX(left_ms, 0);
}
