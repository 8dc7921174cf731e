/*
 * Guards against cursors that don't survive encoding, and against forged or
 * altered ones that are accepted.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "core/cursor.h"
#include "core/error.h"

static const uint8_t key[GC_FLEET_KEY_LEN] = {1, 2, 3};
static const uint8_t other_key[GC_FLEET_KEY_LEN] = {1, 2, 4};

static gc_cursor_t longest_cursor(void);
static void assert_invalid(const uint8_t *decode_key, gc_str_t text);

static gc_cursor_t longest_cursor(void)
{
	gc_cursor_t cursor = {.attempt = UINT32_MAX,
			      .offset = UINT64_MAX,
			      .hash = UINT64_MAX};

	memset(cursor.request, 0xff, sizeof(cursor.request));
	memset(cursor.engine, 'e', GC_NAME_MAX - 1);
	memset(cursor.run, 'r', GC_RUN_ID_MAX - 1);
	return cursor;
}

static void assert_invalid(const uint8_t *decode_key, gc_str_t text)
{
	gc_cursor_t cursor;
	GError *err = NULL;

	ck_assert(!gc_cursor_decode(decode_key, text, &cursor, &err));
	ck_assert(g_error_matches(err, GC_ERROR, GC_ERR_INVALID));
	g_error_free(err);
}

START_TEST(test_round_trip)
{
	gc_cursor_t small = {.engine = "e1", .run = "r1", .offset = 1};
	gc_cursor_t cursors[] = {longest_cursor(), small};

	for (size_t i = 0; i < G_N_ELEMENTS(cursors); i++) {
		char *text = gc_cursor_encode(NULL, key, &cursors[i]);
		gc_cursor_t decoded;

		ck_assert(gc_cursor_decode(key, gc_str(text), &decoded, NULL));
		ck_assert_mem_eq(decoded.request, cursors[i].request,
				 sizeof(decoded.request));
		ck_assert_str_eq(decoded.engine, cursors[i].engine);
		ck_assert_str_eq(decoded.run, cursors[i].run);
		ck_assert_uint_eq(decoded.attempt, cursors[i].attempt);
		ck_assert_uint_eq(decoded.offset, cursors[i].offset);
		ck_assert_uint_eq(decoded.hash, cursors[i].hash);
		talloc_free(text);
	}
}
END_TEST

/* The text is used unescaped in SSE id lines, headers and URLs. */
START_TEST(test_url_safe_alphabet)
{
	gc_cursor_t cursor = longest_cursor();
	char *text = gc_cursor_encode(NULL, key, &cursor);

	ck_assert_uint_eq(strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklm"
				       "nopqrstuvwxyz0123456789-_"),
			  strlen(text));
	talloc_free(text);
}
END_TEST

START_TEST(test_any_change_is_detected)
{
	gc_cursor_t cursor = {.engine = "e1", .run = "r1", .offset = 7};
	char *text = gc_cursor_encode(NULL, key, &cursor);
	size_t len = strlen(text);

	for (size_t i = 0; i < len; i++) {
		char original = text[i];

		text[i] = original == 'A' ? 'B' : 'A';
		assert_invalid(key, gc_str(text));
		text[i] = original;
		assert_invalid(key, (gc_str_t){text, i});
	}
	talloc_free(text);
}
END_TEST

START_TEST(test_invalid_input)
{
	gc_cursor_t cursor = {.engine = "e1", .run = "r1", .offset = 7};
	char *text = gc_cursor_encode(NULL, key, &cursor);
	char too_long[4096];

	assert_invalid(other_key, gc_str(text));
	assert_invalid(key, GC_STR_EMPTY);
	assert_invalid(key, GC_STR_LIT("*** not base64 ***"));
	memset(too_long, 'A', sizeof(too_long));
	assert_invalid(key, (gc_str_t){too_long, sizeof(too_long)});
	snprintf(too_long, sizeof(too_long), "%sAAAA", text);
	assert_invalid(key, gc_str(too_long));
	talloc_free(text);
}
END_TEST

/* Different token sequences that join to the same text must differ. */
START_TEST(test_token_hash)
{
	uint64_t ab_c = gc_token_hash_update(
		gc_token_hash_update(0, GC_STR_LIT("ab")), GC_STR_LIT("c"));
	uint64_t a_bc = gc_token_hash_update(
		gc_token_hash_update(0, GC_STR_LIT("a")), GC_STR_LIT("bc"));
	uint64_t c_ab = gc_token_hash_update(
		gc_token_hash_update(0, GC_STR_LIT("c")), GC_STR_LIT("ab"));

	ck_assert_uint_ne(ab_c, a_bc);
	ck_assert_uint_ne(ab_c, c_ab);
	ck_assert_uint_ne(gc_token_hash_update(ab_c, GC_STR_EMPTY), ab_c);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cursor");
	TCase *tcase = tcase_create("cursor");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_round_trip);
	tcase_add_test(tcase, test_url_safe_alphabet);
	tcase_add_test(tcase, test_any_change_is_detected);
	tcase_add_test(tcase, test_invalid_input);
	tcase_add_test(tcase, test_token_hash);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
