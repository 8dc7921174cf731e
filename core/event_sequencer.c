/* Complete events of a stream, in the order of their ids. */
#include <string.h>

#include "core/error.h"
#include "core/event_sequencer.h"
#include "core/number.h"

/* Bounds the buffer if a server never ends an event. */
#define MAX_EVENT_BYTES 65536
/* The buffer's memory is given back after events of more bytes, as it would stay with
 * each stream otherwise. */
#define KEPT_BUFFER_BYTES 16384

struct gc_event_sequencer {
	GByteArray *buffer; /* incomplete event */
	int64_t last_id;
};

static int sequencer_destructor(gc_event_sequencer_t *sequencer);
static void replace_buffer(gc_event_sequencer_t *sequencer, gc_str_t rest);
static size_t event_length(gc_str_t data);
static bool emit_if_next(gc_event_sequencer_t *sequencer, gc_str_t event,
			 gc_event_sequencer_emit_t emit, void *ctx,
			 GError **err);
static bool has_data(gc_str_t event);
static bool parse_event_id(gc_str_t event, int64_t *id);

gc_event_sequencer_t *gc_event_sequencer_create(TALLOC_CTX *mem,
						int64_t last_id)
{
	gc_event_sequencer_t *sequencer =
		talloc_zero(mem, gc_event_sequencer_t);

	sequencer->buffer = g_byte_array_new();
	sequencer->last_id = last_id;
	talloc_set_destructor(sequencer, sequencer_destructor);
	return sequencer;
}

static int sequencer_destructor(gc_event_sequencer_t *sequencer)
{
	g_byte_array_free(sequencer->buffer, TRUE);
	return 0;
}

bool gc_event_sequencer_feed(gc_event_sequencer_t *sequencer, gc_str_t data,
			     gc_event_sequencer_emit_t emit, void *ctx,
			     GError **err)
{
	gc_str_t rest;
	size_t consumed = 0;
	size_t event_len;
	bool ok = true;

	g_byte_array_append(sequencer->buffer, (const guint8 *)data.data,
			    (guint)data.len);
	rest = (gc_str_t){(const char *)sequencer->buffer->data,
			  sequencer->buffer->len};
	while (ok && (event_len = event_length(rest)) > 0) {
		ok = emit_if_next(sequencer, (gc_str_t){rest.data, event_len},
				  emit, ctx, err);
		rest.data += event_len;
		rest.len -= event_len;
		consumed += event_len;
	}
	if (ok && rest.len > MAX_EVENT_BYTES) {
		gc_error_set(err, GC_ERR_TOO_LARGE, "stream", NULL,
			     "event longer than the limit of %d bytes",
			     MAX_EVENT_BYTES);
		ok = false;
	}
	if (ok && consumed > KEPT_BUFFER_BYTES)
		replace_buffer(sequencer, rest);
	else if (ok)
		g_byte_array_remove_range(sequencer->buffer, 0,
					  (guint)consumed);
	else
		gc_event_sequencer_discard_partial(sequencer);
	return ok;
}

static void replace_buffer(gc_event_sequencer_t *sequencer, gc_str_t rest)
{
	GByteArray *buffer = g_byte_array_new();

	g_byte_array_append(buffer, (const guint8 *)rest.data, (guint)rest.len);
	g_byte_array_free(sequencer->buffer, TRUE);
	sequencer->buffer = buffer;
}

/* Length of the first complete event with its empty line, or 0. */
static size_t event_length(gc_str_t data)
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

static bool emit_if_next(gc_event_sequencer_t *sequencer, gc_str_t event,
			 gc_event_sequencer_emit_t emit, void *ctx,
			 GError **err)
{
	int64_t id;

	/* Comments and blank lines between events. */
	if (!has_data(event))
		return true;
	if (!parse_event_id(event, &id)) {
		gc_error_set(err, GC_ERR_PROTOCOL, "stream", NULL,
			     "event without a valid id");
		return false;
	}
	if (sequencer->last_id != GC_EVENT_ID_NONE && id <= sequencer->last_id)
		return true;
	if (sequencer->last_id != GC_EVENT_ID_NONE &&
	    id != sequencer->last_id + 1) {
		gc_error_set(err, GC_ERR_PROTOCOL, "stream", NULL,
			     "gap in event ids: event %" G_GINT64_FORMAT
			     " follows event %" G_GINT64_FORMAT,
			     id, sequencer->last_id);
		return false;
	}
	sequencer->last_id = id;
	emit(ctx, event);
	return true;
}

/* True if a line is neither blank nor a comment. */
static bool has_data(gc_str_t event)
{
	bool line_start = true;

	for (size_t i = 0; i < event.len; i++) {
		char c = event.data[i];

		if (line_start && c != ':' && c != '\n' && c != '\r')
			return true;
		line_start = c == '\n';
	}
	return false;
}

static bool parse_event_id(gc_str_t event, int64_t *id)
{
	const char *line = event.data;
	const char *end = event.data + event.len;

	while (line < end) {
		const char *newline = memchr(line, '\n', (size_t)(end - line));
		const char *line_end = newline ? newline : end;

		if (line_end - line > 3 && strncmp(line, "id:", 3) == 0) {
			gc_str_t text = {line + 3,
					 (size_t)(line_end - line) - 3};

			while (text.len > 0 && text.data[0] == ' ') {
				text.data++;
				text.len--;
			}
			while (text.len > 0 &&
			       g_ascii_isspace(text.data[text.len - 1]))
				text.len--;
			return gc_parse_whole(text, GC_EVENT_ID_MAX, id);
		}
		line = line_end + 1;
	}
	return false;
}

void gc_event_sequencer_discard_partial(gc_event_sequencer_t *sequencer)
{
	g_byte_array_set_size(sequencer->buffer, 0);
}

GByteArray *gc_event_sequencer_take_partial(gc_event_sequencer_t *sequencer)
{
	GByteArray *partial = sequencer->buffer;

	sequencer->buffer = g_byte_array_new();
	return partial;
}

void gc_event_sequencer_set_partial(gc_event_sequencer_t *sequencer,
				    const GByteArray *partial)
{
	g_byte_array_set_size(sequencer->buffer, 0);
	g_byte_array_append(sequencer->buffer, partial->data, partial->len);
}

bool gc_event_sequencer_has_partial(const gc_event_sequencer_t *sequencer)
{
	return sequencer->buffer->len > 0;
}

size_t gc_event_sequencer_partial_bytes(const gc_event_sequencer_t *sequencer)
{
	return sequencer->buffer->len;
}

int64_t gc_event_sequencer_last_id(const gc_event_sequencer_t *sequencer)
{
	return sequencer->last_id;
}
