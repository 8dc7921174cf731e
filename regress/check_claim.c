/*
 * Edge cases of a claim record: full records, malformed entries, reused keys,
 * several attempts at a key in one batch.
 */
#include <check.h>
#include <stdlib.h>

#include <jansson.h>

#include "core/claim.h"
#include "core/error.h"

#define DEADLINE_MS 500
#define MAX_CLAIMS  8

typedef struct fixture {
	gc_claim_record_t *record;
	gc_claim_t claims[MAX_CLAIMS];
	struct timespec now;
	unsigned int reads;
	unsigned int writes;
	char *value; /* of the last write */
	uint64_t index; /* that the last write expected */
	bool answered[MAX_CLAIMS];
	gc_claim_verdict_t verdict[MAX_CLAIMS];
	int code[MAX_CLAIMS]; /* of a refusal */
	int status[MAX_CLAIMS];
	bool has_body[MAX_CLAIMS];
} fixture_t;

static uint64_t zero_random(void *ctx);
static void on_read(void *ctx, gc_claim_record_t *record);
static void on_write(void *ctx, gc_claim_record_t *record, uint64_t index,
		     gc_str_t value);
static void on_answer(void *ctx, void *claim_ctx,
		      const gc_claim_answer_t *answer);
static void set_up(fixture_t *f);
static void tear_down(fixture_t *f);
static void claim(fixture_t *f, int id, const char *key, const char *request);
static void advance(fixture_t *f, int64_t ms);
static void complete_read(fixture_t *f, const char *value, uint64_t index);
static void complete_write(fixture_t *f, gc_claim_write_result_t result);
static char *record_with_entry(const fixture_t *f, int id, const char *entry);
static char *filled_record(const fixture_t *f, int id, size_t bytes);

static const gc_random_t random_source = {.next = zero_random};

static uint64_t zero_random(void *ctx)
{
	return 0;
}

static void on_read(void *ctx, gc_claim_record_t *record)
{
	((fixture_t *)ctx)->reads++;
}

static void on_write(void *ctx, gc_claim_record_t *record, uint64_t index,
		     gc_str_t value)
{
	fixture_t *f = ctx;

	f->writes++;
	f->index = index;
	g_free(f->value);
	f->value = g_strndup(value.data, value.len);
}

static void on_answer(void *ctx, void *claim_ctx,
		      const gc_claim_answer_t *answer)
{
	fixture_t *f = ctx;
	int id = GPOINTER_TO_INT(claim_ctx);

	ck_assert(!f->answered[id]);
	f->answered[id] = true;
	f->verdict[id] = answer->verdict;
	f->code[id] = answer->err ? answer->err->code : -1;
	f->status[id] = answer->status;
	f->has_body[id] = answer->has_body;
}

static void set_up(fixture_t *f)
{
	const gc_claim_ops_t ops = {on_read, on_write, on_answer};

	*f = (fixture_t){.now = {1000, 0}};
	f->record = gc_claim_record_create(NULL, "claims/0/0", 2,
					   &random_source, &ops, f);
}

static void tear_down(fixture_t *f)
{
	talloc_free(f->record);
	g_free(f->value);
}

static void claim(fixture_t *f, int id, const char *key, const char *request)
{
	gc_claim_init(&f->claims[id], GC_STR_LIT("account"), gc_str(key), 0,
		      gc_str(request));
	gc_claim_set_nonce(&f->claims[id], id);
	gc_claim_record_claim(f->record, &f->claims[id],
			      gc_add_ms(f->now, DEADLINE_MS),
			      GINT_TO_POINTER(id), f->now);
}

static void advance(fixture_t *f, int64_t ms)
{
	f->now = gc_add_ms(f->now, ms);
	gc_claim_record_tick(f->record, f->now);
}

static void complete_read(fixture_t *f, const char *value, uint64_t index)
{
	gc_claim_record_read_done(f->record, true, gc_str(value), index,
				  f->now);
}

static void complete_write(fixture_t *f, gc_claim_write_result_t result)
{
	gc_claim_record_write_done(f->record, result, f->now);
}

/* A record with one entry, for the key of claim id; freed with g_free. */
static char *record_with_entry(const fixture_t *f, int id, const char *entry)
{
	return g_strdup_printf("{\"v\":1,\"c\":{\"%s\":%s}}", f->claims[id].key,
			       entry);
}

/* A record of about this size that holds claim id; freed with g_free. */
static char *filled_record(const fixture_t *f, int id, size_t bytes)
{
	GString *s = g_string_new("{\"v\":1,\"c\":{");

	g_string_append_printf(s, "\"%s\":[\"%s\",\"c\",\"%s\"]",
			       f->claims[id].key, f->claims[id].nonce,
			       f->claims[id].request);
	for (unsigned int i = 0; s->len + 60 < bytes; i++)
		g_string_append_printf(s, ",\"%022u\":[\"%016x\",\"c\",\"r\"]",
				       i, i);
	g_string_append(s, "}}");
	return g_string_free(s, FALSE);
}

/* A batch takes one read and one write. */
START_TEST(test_batch_shares_one_write)
{
	fixture_t f;

	set_up(&f);
	for (int i = 0; i < MAX_CLAIMS; i++) {
		char *key = g_strdup_printf("key%d", i);

		claim(&f, i, key, "r");
		g_free(key);
	}
	ck_assert_uint_eq(f.reads, 0);
	advance(&f, 2);
	complete_read(&f, "", 0);
	complete_write(&f, GC_CLAIM_WRITE_OK);
	for (int i = 0; i < MAX_CLAIMS; i++) {
		ck_assert(f.answered[i]);
		ck_assert_int_eq(f.verdict[i], GC_CLAIM_GRANTED);
	}
	ck_assert_uint_eq(f.reads, 1);
	ck_assert_uint_eq(f.writes, 1);
	ck_assert_uint_eq(f.index, 0);
	ck_assert(gc_claim_record_idle(f.record));
	tear_down(&f);
}
END_TEST

/*
 * A second attempt at a key must wait for the first one's write: the first may
 * be refused, and then the second can be granted.
 */
START_TEST(test_same_key_in_batch)
{
	fixture_t f;

	set_up(&f);
	claim(&f, 1, "key", "r");
	claim(&f, 2, "key", "r");
	advance(&f, 2);
	complete_read(&f, "", 0);
	ck_assert(!f.answered[2]);
	complete_write(&f, GC_CLAIM_WRITE_OK);
	ck_assert_int_eq(f.verdict[1], GC_CLAIM_GRANTED);
	ck_assert_uint_eq(f.reads, 2);
	complete_read(&f, f.value, 5);
	ck_assert(f.answered[2]);
	ck_assert_int_eq(f.verdict[2], GC_CLAIM_IN_DOUBT);
	ck_assert_uint_eq(f.writes, 1);
	tear_down(&f);
}
END_TEST

/* A full record refuses new claims but stores outcomes, without bodies. */
START_TEST(test_full_record_refuses_claims)
{
	fixture_t f;
	char *full;
	char body[GC_CLAIM_BODY_MAX_BYTES];

	set_up(&f);
	claim(&f, 1, "old", "r");
	advance(&f, 2);
	complete_read(&f, "", 0);
	complete_write(&f, GC_CLAIM_WRITE_OK);
	full = filled_record(&f, 1, GC_CLAIM_RECORD_MAX_BYTES - 100);
	memset(body, 'x', sizeof(body));
	gc_claim_record_finish(f.record, &f.claims[1], 200,
			       (gc_str_t){body, sizeof(body)}, f.now);
	claim(&f, 2, "new", "r");
	advance(&f, 2);
	complete_read(&f, full, 9);
	ck_assert_int_eq(f.verdict[2], GC_CLAIM_REFUSED);
	ck_assert_int_eq(f.code[2], GC_ERR_TOO_LARGE);
	ck_assert_uint_eq(f.writes, 2);
	ck_assert_ptr_nonnull(strstr(f.value, "\"d\""));
	ck_assert_ptr_null(strstr(f.value, "xxx"));
	ck_assert_uint_le(strlen(f.value), GC_CLAIM_RECORD_MAX_BYTES);
	complete_write(&f, GC_CLAIM_WRITE_OK);
	ck_assert(gc_claim_record_idle(f.record));
	/* A retry of a completed request needs no new entry. */
	claim(&f, 3, "old", "r");
	advance(&f, 2);
	complete_read(&f, f.value, 10);
	ck_assert_int_eq(f.verdict[3], GC_CLAIM_COMPLETED);
	ck_assert_int_eq(f.status[3], 200);
	ck_assert(!f.has_body[3]);
	g_free(full);
	tear_down(&f);
}
END_TEST

/*
 * If the service's size limit is below GC_CLAIM_RECORD_MAX_BYTES, claims are
 * refused; the batch must not hang.
 */
START_TEST(test_service_limit)
{
	fixture_t f;

	set_up(&f);
	claim(&f, 1, "key", "r");
	advance(&f, 2);
	complete_read(&f, "", 0);
	complete_write(&f, GC_CLAIM_WRITE_TOO_LARGE);
	advance(&f, 20);
	complete_read(&f, "", 0);
	ck_assert(f.answered[1]);
	ck_assert_int_eq(f.code[1], GC_ERR_TOO_LARGE);
	ck_assert(gc_claim_record_idle(f.record));
	tear_down(&f);
}
END_TEST

START_TEST(test_reused_key_is_refused)
{
	fixture_t f;
	char *value;

	set_up(&f);
	claim(&f, 1, "key", "POST /a");
	claim(&f, 2, "key", "POST /b");
	value = record_with_entry(&f, 1, "[\"f\",\"d\",\"x\",200]");
	advance(&f, 2);
	complete_read(&f, value, 3);
	ck_assert_int_eq(f.verdict[1], GC_CLAIM_REFUSED);
	ck_assert_int_eq(f.code[1], GC_ERR_CONFLICT);
	ck_assert_int_eq(f.code[2], GC_ERR_CONFLICT);
	ck_assert_uint_eq(f.writes, 0);
	g_free(value);
	tear_down(&f);
}
END_TEST

/* An entry in an unknown format, of a newer version, is never a free key. */
START_TEST(test_unknown_entry_is_in_doubt)
{
	const char *const entries[] = {
		"null", "7", "[]", "[\"n\"]", "[\"n\",\"z\"]", "{\"n\":1}"};

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		fixture_t f;
		char *value;

		set_up(&f);
		claim(&f, 1, "key", "r");
		value = record_with_entry(&f, 1, entries[i]);
		advance(&f, 2);
		complete_read(&f, value, 3);
		ck_assert(f.answered[1]);
		ck_assert_int_eq(f.verdict[1], GC_CLAIM_IN_DOUBT);
		ck_assert_uint_eq(f.writes, 0);
		g_free(value);
		tear_down(&f);
	}
}
END_TEST

/* A malformed record is never overwritten. */
START_TEST(test_malformed_record_is_not_overwritten)
{
	const char *const values[] = {"", "{}", "[]", "{\"c\":[]}", "{\"c\":{"};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		fixture_t f;

		set_up(&f);
		claim(&f, 1, "key", "r");
		advance(&f, 2);
		complete_read(&f, values[i], 3);
		ck_assert(!f.answered[1]);
		advance(&f, DEADLINE_MS);
		ck_assert(f.answered[1]);
		ck_assert_int_eq(f.verdict[1], GC_CLAIM_REFUSED);
		ck_assert_int_eq(f.code[1], GC_ERR_TIMEOUT);
		ck_assert_uint_eq(f.writes, 0);
		tear_down(&f);
	}
}
END_TEST

/* A result that a paused daemon sees after the deadline grants nothing. */
START_TEST(test_late_result_grants_nothing)
{
	fixture_t f;

	set_up(&f);
	claim(&f, 1, "key", "r");
	advance(&f, 2);
	complete_read(&f, "", 0);
	f.now = gc_add_ms(f.now, DEADLINE_MS);
	complete_write(&f, GC_CLAIM_WRITE_OK);
	ck_assert_int_eq(f.verdict[1], GC_CLAIM_REFUSED);
	ck_assert_uint_eq(f.reads, 2);
	complete_read(&f, f.value, 4);
	ck_assert_ptr_nonnull(strstr(f.value, "\"r\""));
	complete_write(&f, GC_CLAIM_WRITE_OK);
	ck_assert(gc_claim_record_idle(f.record));
	tear_down(&f);
}
END_TEST

/* A key that another attempt released can be claimed again. */
START_TEST(test_released_key_can_be_claimed)
{
	fixture_t f;
	char *value;

	set_up(&f);
	claim(&f, 1, "key", "r");
	value = record_with_entry(&f, 1, "[\"f\",\"r\",\"x\"]");
	advance(&f, 2);
	complete_read(&f, value, 3);
	ck_assert_uint_eq(f.index, 3);
	complete_write(&f, GC_CLAIM_WRITE_OK);
	ck_assert_int_eq(f.verdict[1], GC_CLAIM_GRANTED);
	g_free(value);
	tear_down(&f);
}
END_TEST

/* Bodies that JSON can't represent are not stored. */
START_TEST(test_only_text_bodies_are_stored)
{
	const struct {
		gc_str_t body;
		bool stored;
	} cases[] = {
		{GC_STR_LIT("{\"id\":1}"), true},
		{GC_STR_LIT(""), true},
		{GC_STR_LIT("\xff\xfe"), false},
		{GC_STR_LIT("a\0b"), false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f;
		char *value;

		set_up(&f);
		claim(&f, 1, "key", "r");
		advance(&f, 2);
		complete_read(&f, "", 0);
		complete_write(&f, GC_CLAIM_WRITE_OK);
		gc_claim_record_finish(f.record, &f.claims[1], 200,
				       cases[i].body, f.now);
		advance(&f, 2);
		value = g_strdup(f.value);
		complete_read(&f, value, 1);
		complete_write(&f, GC_CLAIM_WRITE_OK);
		claim(&f, 2, "key", "r");
		advance(&f, 2);
		complete_read(&f, f.value, 2);
		ck_assert_int_eq(f.verdict[2], GC_CLAIM_COMPLETED);
		ck_assert_int_eq(f.has_body[2], cases[i].stored);
		g_free(value);
		tear_down(&f);
	}
}
END_TEST

START_TEST(test_expired_records)
{
	const struct timespec wall = {.tv_sec = 500000 * INT64_C(3600)};
	const struct timespec before = {.tv_sec = wall.tv_sec - 1};
	const char *const other[] = {
		"claims/",
		"claims/1",
		"claims/1/",
		"claims/1/64",
		"claims/1/2/3",
		"claims/-1/2",
		"claims/ 1/2",
		"claims/x/2",
		"claims//2",
		"config/current",
		"claims-old/1/2",
		"claims/1/2x",
		"claims/99999999999999999999/2",
	};

	ck_assert(gc_claim_record_expired("claims/499974/0", wall));
	ck_assert(gc_claim_record_expired("claims/1/63", wall));
	ck_assert(!gc_claim_record_expired("claims/499974/0", before));
	ck_assert(!gc_claim_record_expired("claims/499975/0", wall));
	ck_assert(!gc_claim_record_expired("claims/500001/0", wall));
	for (size_t i = 0; i < G_N_ELEMENTS(other); i++)
		ck_assert(!gc_claim_record_expired(other[i], wall));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("claim");
	TCase *tcase = tcase_create("claim");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_batch_shares_one_write);
	tcase_add_test(tcase, test_same_key_in_batch);
	tcase_add_test(tcase, test_full_record_refuses_claims);
	tcase_add_test(tcase, test_service_limit);
	tcase_add_test(tcase, test_reused_key_is_refused);
	tcase_add_test(tcase, test_unknown_entry_is_in_doubt);
	tcase_add_test(tcase, test_malformed_record_is_not_overwritten);
	tcase_add_test(tcase, test_late_result_grants_nothing);
	tcase_add_test(tcase, test_released_key_can_be_claimed);
	tcase_add_test(tcase, test_only_text_bodies_are_stored);
	tcase_add_test(tcase, test_expired_records);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
