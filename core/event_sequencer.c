/* Whole events of a stream, in the order of their ids. */
#include <string.h>

#include "core/error.h"
#include "core/event_sequencer.h"

/* Longest event; guards the memory against a server that never ends one. */
#define MAX_EVENT_BYTES 65536

struct gc_event_sequencer {
	GByteArray *held; /* part of an event */
	int64_t last_id;
};

static int events_destructor(gc_event_sequencer_t *events);
static size_t event_end(gc_str_t data);
static bool take(gc_event_sequencer_t *events, gc_str_t event,
		 gc_event_sequencer_emit_t emit, void *ctx, GError **err);
static bool event_id(gc_str_t event, int64_t *id);

gc_event_sequencer_t *gc_event_sequencer_create(TALLOC_CTX *mem,
						int64_t last_id)
{
	gc_event_sequencer_t *events = talloc_zero(mem, gc_event_sequencer_t);

	events->held = g_byte_array_new();
	events->last_id = last_id;
	talloc_set_destructor(events, events_destructor);
	return events;
}

static int events_destructor(gc_event_sequencer_t *events)
{
	g_byte_array_free(events->held, TRUE);
	return 0;
}

bool gc_event_sequencer_feed(gc_event_sequencer_t *events, gc_str_t data,
			     gc_event_sequencer_emit_t emit, void *ctx,
			     GError **err)
{
	gc_str_t rest;
	size_t used = 0;
	size_t end;
	bool ok = true;

	g_byte_array_append(events->held, (const guint8 *)data.data,
			    (guint)data.len);
	rest = (gc_str_t){(const char *)events->held->data, events->held->len};
	while (ok && (end = event_end(rest)) > 0) {
		ok = take(events, (gc_str_t){rest.data, end}, emit, ctx, err);
		rest.data += end;
		rest.len -= end;
		used += end;
	}
	if (ok && rest.len > MAX_EVENT_BYTES) {
		gc_error_set(err, GC_ERR_TOO_LARGE, "stream", NULL,
			     "an event is longer than %d bytes",
			     MAX_EVENT_BYTES);
		ok = false;
	}
	if (ok)
		g_byte_array_remove_range(events->held, 0, (guint)used);
	else
		gc_event_sequencer_restart(events);
	return ok;
}

/* Length of the first whole event with its empty line; 0 if there is none. */
static size_t event_end(gc_str_t data)
{
	size_t line = 0;

	for (size_t i = 0; i < data.len; i++) {
		if (data.data[i] != '\n')
			continue;
		if (i == line || (i == line + 1 && data.data[line] == '\r'))
			return i + 1;
		line = i + 1;
	}
	return 0;
}

static bool take(gc_event_sequencer_t *events, gc_str_t event,
		 gc_event_sequencer_emit_t emit, void *ctx, GError **err)
{
	int64_t id;

	if (!event_id(event, &id)) {
		gc_error_set(err, GC_ERR_PROTOCOL, "stream", NULL,
			     "an event has no id");
		return false;
	}
	if (events->last_id != GC_EVENT_ID_NONE && id <= events->last_id)
		return true;
	if (events->last_id != GC_EVENT_ID_NONE && id != events->last_id + 1) {
		gc_error_set(err, GC_ERR_PROTOCOL, "stream", NULL,
			     "event %" G_GINT64_FORMAT
			     " follows event %" G_GINT64_FORMAT,
			     id, events->last_id);
		return false;
	}
	events->last_id = id;
	emit(ctx, event);
	return true;
}

static bool event_id(gc_str_t event, int64_t *id)
{
	const char *at = event.data;
	const char *end = event.data + event.len;

	while (at < end) {
		const char *eol = memchr(at, '\n', (size_t)(end - at));
		const char *stop = eol ? eol : end;

		if (stop - at > 3 && strncmp(at, "id:", 3) == 0) {
			char *after;

			*id = g_ascii_strtoll(at + 3, &after, 10);
			return after > at + 3 && *id >= 0;
		}
		at = stop + 1;
	}
	return false;
}

void gc_event_sequencer_restart(gc_event_sequencer_t *events)
{
	g_byte_array_set_size(events->held, 0);
}

bool gc_event_sequencer_partial(const gc_event_sequencer_t *events)
{
	return events->held->len > 0;
}

int64_t gc_event_sequencer_last_id(const gc_event_sequencer_t *events)
{
	return events->last_id;
}
