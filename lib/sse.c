/* Incremental parser for server-sent events. */
#include <string.h>

#include <glib.h>

#include "lib/sse.h"

struct gc_sse {
	size_t max_bytes;
	gc_sse_event_fn_t on_event;
	void *ctx;
	GString *line;
	GString *name;
	GString *id;
	GString *data;
	bool has_data;
	bool *destroyed; /* not NULL while on_event runs; set when freed */
};

static int sse_destructor(gc_sse_t *sse);
static bool process_line(gc_sse_t *sse);
static bool dispatch_event(gc_sse_t *sse);
static void process_field(gc_sse_t *sse, gc_str_t field, gc_str_t value);

gc_sse_t *gc_sse_create(TALLOC_CTX *mem, size_t max_bytes,
			gc_sse_event_fn_t on_event, void *ctx)
{
	gc_sse_t *sse = talloc_zero(mem, gc_sse_t);

	sse->max_bytes = max_bytes;
	sse->on_event = on_event;
	sse->ctx = ctx;
	sse->line = g_string_new(NULL);
	sse->name = g_string_new(NULL);
	sse->id = g_string_new(NULL);
	sse->data = g_string_new(NULL);
	talloc_set_destructor(sse, sse_destructor);
	return sse;
}

static int sse_destructor(gc_sse_t *sse)
{
	if (sse->destroyed)
		*sse->destroyed = true;
	g_string_free(sse->line, TRUE);
	g_string_free(sse->name, TRUE);
	g_string_free(sse->id, TRUE);
	g_string_free(sse->data, TRUE);
	return 0;
}

bool gc_sse_feed(gc_sse_t *sse, gc_str_t bytes)
{
	const char *pos = bytes.data;
	const char *end = bytes.data + bytes.len;

	while (pos < end) {
		const char *newline = memchr(pos, '\n', end - pos);
		size_t len = (newline ? newline : end) - pos;

		if (sse->line->len + sse->data->len + len > sse->max_bytes)
			return false;
		g_string_append_len(sse->line, pos, len);
		if (!newline)
			return true;
		pos = newline + 1;
		if (!process_line(sse))
			return true;
	}
	return true;
}

/* Returns false if on_event freed the parser. */
static bool process_line(gc_sse_t *sse)
{
	gc_str_t line = {sse->line->str, sse->line->len};
	gc_str_t value = GC_STR_EMPTY;
	const char *colon;

	if (line.len > 0 && line.data[line.len - 1] == '\r')
		line.len--;
	if (line.len == 0) {
		g_string_truncate(sse->line, 0);
		return dispatch_event(sse);
	}
	colon = memchr(line.data, ':', line.len);
	if (colon) {
		value.data = colon + 1;
		value.len = line.data + line.len - value.data;
		line.len = colon - line.data;
		if (value.len > 0 && value.data[0] == ' ') {
			value.data++;
			value.len--;
		}
	}
	process_field(sse, line, value);
	g_string_truncate(sse->line, 0);
	return true;
}

static void process_field(gc_sse_t *sse, gc_str_t field, gc_str_t value)
{
	if (gc_str_eq(field, GC_STR_LIT("data"))) {
		if (sse->has_data)
			g_string_append_c(sse->data, '\n');
		sse->has_data = true;
		g_string_append_len(sse->data, value.data, value.len);
	} else if (gc_str_eq(field, GC_STR_LIT("event"))) {
		g_string_truncate(sse->name, 0);
		g_string_append_len(sse->name, value.data, value.len);
	} else if (gc_str_eq(field, GC_STR_LIT("id"))) {
		g_string_truncate(sse->id, 0);
		g_string_append_len(sse->id, value.data, value.len);
	}
}

static bool dispatch_event(gc_sse_t *sse)
{
	gc_sse_event_t event = {
		.name = {sse->name->str, sse->name->len},
		.id = {sse->id->str, sse->id->len},
		.data = {sse->data->str, sse->data->len},
	};
	bool destroyed = false;

	if (event.name.len == 0)
		event.name = GC_STR_LIT("message");
	if (sse->has_data) {
		sse->destroyed = &destroyed;
		sse->on_event(sse->ctx, &event);
		if (destroyed)
			return false;
		sse->destroyed = NULL;
	}
	g_string_truncate(sse->name, 0);
	g_string_truncate(sse->id, 0);
	g_string_truncate(sse->data, 0);
	sse->has_data = false;
	return true;
}
