/*
 * Guards against values of the store that are lost or mixed up as they are cut out of a
 * response before it is parsed.
 */
#include <jansson.h>

#include "core/json_values.h"
#include "regress/unit.h"

#define N_TEXTS 3000

static uint64_t seed;

static unsigned int arbitrary(unsigned int n)
{
	return (unsigned int)(unit_next_random(&seed) % n);
}

static char *base64_of(size_t n)
{
	g_autofree guchar *bytes = g_malloc(n + 1);

	for (size_t i = 0; i < n; i++)
		bytes[i] = (guchar)arbitrary(256);
	return g_base64_encode(bytes, n);
}

/* A member, or one that only looks like one that may be cut out. */
static void append_member(GString *text)
{
	static const char *const names[] = {"value", "value",	   "value",
					    "key",   "values",	   "\\\"value",
					    "",	     "\\u0076alue"};
	static const char *const colons[] = {":", ": ", " :\n", "\t:\r\n "};
	static const char *const odd[] = {
		"\"short\"",	     "7",     "null",	   "[\"value\"]",
		"{\"value\":\"v\"}", "\"@\"", "\"value\"", "\"\\\\\""};
	g_autofree char *value = base64_of(arbitrary(4000));

	g_string_append_printf(text, "\"%s\"%s",
			       names[arbitrary(G_N_ELEMENTS(names))],
			       colons[arbitrary(G_N_ELEMENTS(colons))]);
	switch (arbitrary(5)) {
	case 0:
		g_string_append(text, odd[arbitrary(G_N_ELEMENTS(odd))]);
		break;
	case 1: /* not base64 */
		g_string_append_printf(text, "\"%s\\n.%s\"", value, value);
		break;
	default:
		g_string_append_printf(text, "\"%s\"", value);
		break;
	}
}

static char *arbitrary_text(void)
{
	GString *text = g_string_new("[");
	unsigned int n = arbitrary(6) + 1;

	for (unsigned int i = 0; i < n; i++) {
		g_string_append(text, i ? ", {" : "{");
		append_member(text);
		if (arbitrary(2)) {
			g_string_append_c(text, ',');
			append_member(text);
		}
		g_string_append_c(text, '}');
	}
	g_string_append_c(text, ']');
	return g_string_free(text, FALSE);
}

static void check_same(const json_t *whole, const json_t *cut,
		       const GArray *values)
{
	const json_t *value = json_object_get(whole, "value");
	const json_t *mark = json_object_get(cut, "value");
	gc_str_t text = {json_string_value(mark), json_string_length(mark)};

	ck_assert_int_eq(json_object_size(whole), json_object_size(cut));
	if (!json_is_string(value)) {
		ck_assert(json_equal(value, mark) || (!value && !mark));
		return;
	}
	if (gc_json_find_value(values, text, &text))
		ck_assert_uint_ge(text.len, 1024);
	ck_assert(gc_str_eq(text, (gc_str_t){json_string_value(value),
					     json_string_length(value)}));
}

START_TEST(test_values_are_the_same)
{
	unsigned int n_cut = 0;

	for (seed = 1; seed <= N_TEXTS; seed++) {
		uint64_t first = seed;
		g_autofree char *text = arbitrary_text();
		g_autoptr(GArray) values =
			g_array_new(FALSE, FALSE, sizeof(gc_str_t));
		GString *rest = gc_json_cut_values(gc_str(text), values);
		json_t *whole = json_loads(text, 0, NULL);
		json_t *cut = rest ? json_loads(rest->str, 0, NULL)
				   : json_incref(whole);
		size_t i;
		json_t *item;

		ck_assert_ptr_nonnull(whole);
		ck_assert_ptr_nonnull(cut);
		json_array_foreach (whole, i, item)
			check_same(item, json_array_get(cut, i), values);
		n_cut += values->len;
		json_decref(whole);
		json_decref(cut);
		if (rest)
			g_string_free(rest, TRUE);
		seed = first;
	}
	ck_assert_uint_gt(n_cut, N_TEXTS / 2);
}
END_TEST

/* Also of a text that breaks off, and in a time that grows with its length. */
START_TEST(test_odd_texts)
{
	g_autoptr(GArray) values = g_array_new(FALSE, FALSE, sizeof(gc_str_t));
	g_autofree char *escapes = g_strnfill(8 << 20, '\\');
	g_autofree char *quotes = g_strnfill(8 << 20, '"');
	g_autofree char *value = base64_of(3000);
	g_autofree char *begun = g_strdup_printf("{\"value\":\"%s", value);

	escapes[0] = '"';
	ck_assert_ptr_null(gc_json_cut_values(gc_str(escapes), values));
	escapes[(8 << 20) - 2] = '"';
	ck_assert_ptr_null(gc_json_cut_values(gc_str(escapes), values));
	ck_assert_ptr_null(gc_json_cut_values(gc_str(quotes), values));
	ck_assert_ptr_null(gc_json_cut_values(gc_str(begun), values));
	ck_assert_ptr_null(gc_json_cut_values(GC_STR_EMPTY, values));
	ck_assert_uint_eq(values->len, 0);
}
END_TEST

/* A string that looks like a mark must not be taken for another value. */
START_TEST(test_strings_like_marks)
{
	g_autoptr(GArray) values = g_array_new(FALSE, FALSE, sizeof(gc_str_t));
	g_autofree char *value = base64_of(3000);
	g_autofree char *text = g_strdup_printf(
		"[{\"value\":\"%s\"},{\"value\":\"@0\"}]", value);

	ck_assert_ptr_null(gc_json_cut_values(gc_str(text), values));
	ck_assert_uint_eq(values->len, 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_values_are_the_same,
		test_odd_texts,
		test_strings_like_marks,
		NULL,
	};

	return unit_run("json_values", tests);
}
