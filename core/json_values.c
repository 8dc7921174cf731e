/* Cuts long base64 values out of a JSON text. */
#include <stdlib.h>

#include "core/json_values.h"

/* Shorter values aren't worth it. */
#define MIN_CUT_BYTES 1024
/* Not in base64. */
#define MARK	   '@'
#define MARK_BYTES 24

static bool find_string(gc_str_t text, size_t *at, gc_str_t *string);
static bool is_value_of(gc_str_t name, gc_str_t value);
static bool is_base64(gc_str_t s);

GString *gc_json_cut_values(gc_str_t text, GArray *values)
{
	GString *rest = NULL;
	gc_str_t former = GC_STR_EMPTY;
	gc_str_t string;
	size_t at = 0;
	size_t copied = 0;

	while (find_string(text, &at, &string)) {
		if (string.len > 0 && string.data[0] == MARK) {
			if (rest)
				g_string_free(rest, TRUE);
			g_array_set_size(values, 0);
			return NULL;
		}
		if (string.len >= MIN_CUT_BYTES &&
		    is_value_of(former, string) && is_base64(string)) {
			if (!rest)
				rest = g_string_new(NULL);
			g_string_append_len(rest, text.data + copied,
					    string.data - (text.data + copied));
			g_string_append_printf(rest, "%c%u", MARK, values->len);
			g_array_append_val(values, string);
			copied = (size_t)(string.data - text.data) + string.len;
		}
		former = string;
	}
	if (rest)
		g_string_append_len(rest, text.data + copied,
				    (gssize)(text.len - copied));
	return rest;
}

/* The next string that begins at `at` or later, without its quotes; sets *at behind it. */
static bool find_string(gc_str_t text, size_t *at, gc_str_t *string)
{
	const char *end = text.data + text.len;
	const char *open = memchr(text.data + *at, '"', text.len - *at);
	const char *from = open ? open + 1 : NULL;
	const char *quote = NULL;
	const char *escape;

	while (from && from < end) {
		if (!quote || quote < from)
			quote = memchr(from, '"', (size_t)(end - from));
		if (!quote)
			return false;
		escape = memchr(from, '\\', (size_t)(quote - from));
		if (!escape) {
			*string = (gc_str_t){open + 1,
					     (size_t)(quote - open - 1)};
			*at = (size_t)(quote + 1 - text.data);
			return true;
		}
		from = escape + 2;
	}
	return false;
}

/* True if the first string is "value", and only a colon is between the two. */
static bool is_value_of(gc_str_t name, gc_str_t value)
{
	bool colon = false;

	if (!gc_str_eq(name, GC_STR_LIT("value")))
		return false;
	for (const char *c = name.data + name.len + 1; c < value.data - 1;
	     c++) {
		if (*c == ':' && !colon)
			colon = true;
		else if (*c == 0 || !strchr(" \t\r\n", *c))
			return false;
	}
	return colon;
}

static bool is_base64(gc_str_t s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!g_ascii_isalnum(s.data[i]) && s.data[i] != '+' &&
		    s.data[i] != '/' && s.data[i] != '=')
			return false;
	return true;
}

bool gc_json_find_value(const GArray *values, gc_str_t mark, gc_str_t *value)
{
	char digits[MARK_BYTES];
	char *end;
	guint64 index;

	if (mark.len < 2 || mark.len >= sizeof(digits) ||
	    mark.data[0] != MARK || !g_ascii_isdigit(mark.data[1]))
		return false;
	memcpy(digits, mark.data + 1, mark.len - 1);
	digits[mark.len - 1] = 0;
	index = g_ascii_strtoull(digits, &end, 10);
	if (*end != 0 || index >= values->len)
		return false;
	*value = g_array_index(values, gc_str_t, index);
	return true;
}
