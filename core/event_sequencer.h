/*
 * Splits the bytes of a stream into complete events and checks the sequence of
 * their ids, so that another run can continue the stream without lost or
 * duplicate events.
 */
#ifndef GC_CORE_EVENT_SEQUENCER_H
#define GC_CORE_EVENT_SEQUENCER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "core/str.h"

#define GC_EVENT_ID_NONE (-1) /* no event received yet */
#define GC_EVENT_ID_MAX	 (INT64_MAX - 1)

typedef struct gc_event_sequencer gc_event_sequencer_t;

/* Called with one complete event, including the empty line that ends it. */
typedef void (*gc_event_sequencer_emit_t)(void *ctx, gc_str_t event);

/* last_id: id of the last event that the caller got, or GC_EVENT_ID_NONE. */
gc_event_sequencer_t *gc_event_sequencer_create(TALLOC_CTX *mem,
						int64_t last_id);
/*
 * Emits each complete event with the next id and skips those with ids up to
 * the last one emitted. If there is none yet, the first event may have any id.
 * Comments between events are dropped.
 * Errors:
 * GC_ERR_PROTOCOL for a gap or an event without a valid id, GC_ERR_TOO_LARGE
 * for an event that is too long; the bytes from there on are discarded.
 */
bool gc_event_sequencer_feed(gc_event_sequencer_t *sequencer, gc_str_t data,
			     gc_event_sequencer_emit_t emit, void *ctx,
			     GError **err);
/* Discards the incomplete event, before another run continues the stream. */
void gc_event_sequencer_discard_partial(gc_event_sequencer_t *sequencer);
/* The incomplete event, which is discarded; free with g_byte_array_unref. */
GByteArray *gc_event_sequencer_take_partial(gc_event_sequencer_t *sequencer);
/* Replaces the incomplete event when the run goes on that it was taken from. */
void gc_event_sequencer_set_partial(gc_event_sequencer_t *sequencer,
				    const GByteArray *partial);
/* True if an incomplete event is buffered. */
bool gc_event_sequencer_has_partial(const gc_event_sequencer_t *sequencer);
/* Bytes of the incomplete event. */
size_t gc_event_sequencer_partial_bytes(const gc_event_sequencer_t *sequencer);
int64_t gc_event_sequencer_last_id(const gc_event_sequencer_t *sequencer);

#endif
