/*
 * Whether the software version at which a stream begins is put on record, and at which
 * version it goes on. The record of a stream has one writer, the daemon that has its
 * caller, and no event of another version than the base version is forwarded before
 * it is acknowledged. A stream without a record began at the base version, unless the
 * store may have lost its record.
 */
#ifndef GC_CORE_STREAM_RECORD_H
#define GC_CORE_STREAM_RECORD_H

#include <stdbool.h>

/* What the daemon that has the caller knows as a stream begins. */
typedef struct gc_stream_facts {
	bool base; /* it begins at the base version */
	bool mixed; /* see gc_base_versions_is_mixed */
	bool may_lack; /* see gc_restore_mark_may_lack */
	/* A daemon that had no event of it may have left a record of another
	 * version. */
	bool other_record;
} gc_stream_facts_t;

typedef enum gc_record_need {
	GC_RECORD_NONE,
	GC_RECORD_LATER, /* events don't wait for it */
	GC_RECORD_FIRST,
} gc_record_need_t;

gc_record_need_t gc_stream_record_need(const gc_stream_facts_t *facts);

/* What the store says of a stream. */
typedef enum gc_version_result {
	GC_VERSION_UNKNOWN, /* no answer */
	GC_VERSION_NOT_RECORDED,
	GC_VERSION_MAYBE_LOST, /* not recorded, or lost by a restore of the store */
	GC_VERSION_RECORDED,
} gc_version_result_t;

/* True if the stream goes on at the base version. only: no stream can have begun at
 * another one. */
bool gc_stream_began_at_base(gc_version_result_t result, bool only);

#endif
