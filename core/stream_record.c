/* Records of the software versions of streams. */
#include "core/stream_record.h"

/* The base version is recorded for resumes after a restore: what isn't on record
 * then may have been lost. */
gc_record_need_t gc_stream_record_need(const gc_stream_facts_t *facts)
{
	if (!facts->base || facts->other_record)
		return GC_RECORD_FIRST;
	return facts->mixed || facts->may_lack ? GC_RECORD_LATER
					       : GC_RECORD_NONE;
}

bool gc_stream_began_at_base(gc_version_result_t result, bool only)
{
	return result == GC_VERSION_NOT_RECORDED ||
	       (result == GC_VERSION_MAYBE_LOST && only);
}
