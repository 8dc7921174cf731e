/*
 * Guards against a value that a daemon puts together wrongly from another one's answer,
 * and against answers that take all of its memory.
 */
#include "lib/peers_watch.h"
#include "regress/unit.h"

#define ERA	    1
#define VALUE_BYTES 8192

static gc_change_log_t *create_log(TALLOC_CTX *mem)
{
	gc_change_log_t *change_log = gc_change_log_create(mem, 10);

	gc_change_log_reset(change_log, ERA, 1);
	return change_log;
}

/* A value that differs from the others in a few bytes. */
static void put(gc_change_log_t *change_log, uint64_t revision)
{
	char value[VALUE_BYTES];
	gc_store_item_t item = {
		.key = GC_STR_LIT("k"),
		.value = {value, sizeof(value)},
		.revision = revision,
	};

	for (size_t i = 0; i < sizeof(value); i++)
		value[i] = (char)('a' + i * i / 7 % 23);
	memcpy(value + 100, &revision, sizeof(revision));
	gc_change_log_add(change_log, &item);
	gc_change_log_advance(change_log, revision);
}

/* Reads an answer to a daemon that has what is in `known`; NULL if it can't be used. */
static const gc_store_item_t *read_answer(TALLOC_CTX *mem, const char *text,
					  const gc_change_log_t *known)
{
	json_t *json = json_loads(text, JSON_ALLOW_NUL, NULL);
	gc_store_items_t *items = talloc_zero(mem, gc_store_items_t);
	bool ok = gc_peers_watch_read(mem, json, known, items);

	ck_assert_ptr_nonnull(json);
	json_decref(json);
	return ok && items->n > 0 ? &items->items[0] : NULL;
}

START_TEST(test_value_of_an_answer)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_change_log_t *watcher = create_log(mem);
	gc_change_log_t *known = create_log(mem);
	const gc_store_item_t *item;
	g_autofree char *compressed = NULL;
	g_autofree char *edits = NULL;

	put(watcher, 5);
	compressed = gc_peers_watch_response(watcher, ERA, 1, 0, true);
	ck_assert_ptr_nonnull(strstr(compressed, "\"compressed\""));
	item = read_answer(mem, compressed, known);
	ck_assert_ptr_nonnull(item);
	ck_assert(
		gc_str_eq(item->value,
			  gc_change_log_find(watcher, GC_STR_LIT("k"))->value));
	put(known, 5);
	put(watcher, 9);
	edits = gc_peers_watch_response(watcher, ERA, 5, 0, true);
	ck_assert_ptr_nonnull(strstr(edits, "\"edits\""));
	item = read_answer(mem, edits, known);
	ck_assert_ptr_nonnull(item);
	ck_assert_uint_eq(item->revision, 9);
	ck_assert(
		gc_str_eq(item->value,
			  gc_change_log_find(watcher, GC_STR_LIT("k"))->value));
	/* A list that began before may have read a later one. */
	put(known, 11);
	item = read_answer(mem, edits, known);
	ck_assert_ptr_nonnull(item);
	ck_assert_uint_eq(item->revision, 11);
	talloc_free(mem);
}
END_TEST

/* Revisions are given out twice if the store goes back to a copy and doesn't say so. */
START_TEST(test_edits_of_another_text)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_change_log_t *watcher = create_log(mem);
	gc_change_log_t *known = create_log(mem);
	char value[VALUE_BYTES] = {0};
	gc_store_item_t other = {
		.key = GC_STR_LIT("k"),
		.value = {value, sizeof(value)},
		.revision = 5,
	};
	g_autofree char *edits = NULL;

	put(watcher, 5);
	put(watcher, 9);
	edits = gc_peers_watch_response(watcher, ERA, 5, 0, true);
	ck_assert_ptr_null(read_answer(mem, edits, known));
	gc_change_log_add(known, &other);
	ck_assert_ptr_null(read_answer(mem, edits, known));
	talloc_free(mem);
}
END_TEST

/* Values are bounded together, not one by one. */
START_TEST(test_answer_that_grows)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_change_log_t *watcher = create_log(mem);
	char *value = talloc_zero_size(mem, 1 << 20);
	gc_store_item_t item = {
		.key = GC_STR_LIT("k"),
		.value = {value, 1 << 20},
		.revision = 5,
	};
	g_autofree char *one = NULL;
	GString *many =
		g_string_new("{\"revision\":5,\"age_ms\":0,\"items\":[");
	const char *begin;
	const char *end;

	gc_change_log_add(watcher, &item);
	gc_change_log_advance(watcher, 5);
	one = gc_peers_watch_response(watcher, ERA, 1, 0, true);
	begin = strstr(one, "{\"key\"");
	end = strchr(begin, '}') + 1;
	for (int i = 0; i < 20; i++)
		g_string_append_printf(many, "%s%.*s", i ? "," : "",
				       (int)(end - begin), begin);
	g_string_append(many, "]}");
	ck_assert_ptr_nonnull(read_answer(mem, one, create_log(mem)));
	ck_assert_ptr_null(read_answer(mem, many->str, create_log(mem)));
	g_string_free(many, TRUE);
	talloc_free(mem);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_value_of_an_answer,
		test_edits_of_another_text,
		test_answer_that_grows,
		NULL,
	};

	return unit_run("peers_watch", tests);
}
