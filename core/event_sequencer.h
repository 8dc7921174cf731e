/*
 * Cuts the bytes of a stream into whole events and checks their order, so
 * that a stream can go on from another run without a gap or a repeat.
 */
#ifndef GC_CORE_EVENT_SEQUENCER_H
#define GC_CORE_EVENT_SEQUENCER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "core/str.h"

#define GC_EVENT_ID_NONE (-1) /* no event id is known */

typedef struct gc_event_sequencer gc_event_sequencer_t;

/* Takes one whole event with its empty line. */
typedef void (*gc_event_sequencer_emit_t)(void *ctx, gc_str_t event);

/* last_id: the last event that the caller holds, or GC_EVENT_ID_NONE. */
gc_event_sequencer_t *gc_event_sequencer_create(TALLOC_CTX *mem,
						int64_t last_id);
/*
 * Emits each whole event that is new. Events that the caller holds are left
 * out. Errors: GC_ERR_PROTOCOL for a gap or an event without an id,
 * GC_ERR_TOO_LARGE; the bytes from there on are dropped.
 */
bool gc_event_sequencer_feed(gc_event_sequencer_t *events, gc_str_t data,
			     gc_event_sequencer_emit_t emit, void *ctx,
			     GError **err);
/* Another run follows: drops the part of an event that is held. */
void gc_event_sequencer_restart(gc_event_sequencer_t *events);
/* True if part of an event is held. */
bool gc_event_sequencer_partial(const gc_event_sequencer_t *events);
int64_t gc_event_sequencer_last_id(const gc_event_sequencer_t *events);

#endif
