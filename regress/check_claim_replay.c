/*
 * Replays recorded traces of one claim record. Each line of
 * traces_claims/NAME.jsonl is an input ("event") or the next expected output
 * ("action"). REPLAY_PRINT=1 prints the inputs with the actual outputs instead
 * of comparing them.
 */
#include <check.h>
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "core/claim.h"
#include "core/error.h"

#define TRACES "traces_claims/*.jsonl"

typedef struct replay {
	gc_claim_record_t *record;
	json_t *actions; /* actual, not yet compared */
	struct timespec now;
	unsigned int events;
	bool print;
} replay_t;

static uint64_t zero_random(void *ctx);
static void on_read(void *ctx, gc_claim_record_t *record);
static void on_write(void *ctx, gc_claim_record_t *record, uint64_t index,
		     gc_str_t value);
static void on_answer(void *ctx, void *claim_ctx,
		      const gc_claim_answer_t *answer);
static gc_claim_t claim_from_line(json_t *line);
static void apply_event(replay_t *replay, json_t *line);
static void run_line(replay_t *replay, json_t *line, const char *where);
static void run_trace(const char *path);

static uint64_t zero_random(void *ctx)
{
	return 0;
}

static void on_read(void *ctx, gc_claim_record_t *record)
{
	replay_t *replay = ctx;

	json_array_append_new(replay->actions,
			      json_pack("{s:s}", "action", "read"));
}

static void on_write(void *ctx, gc_claim_record_t *record, uint64_t index,
		     gc_str_t value)
{
	replay_t *replay = ctx;

	json_array_append_new(
		replay->actions,
		json_pack("{s:s, s:I, s:o}", "action", "write", "index",
			  (json_int_t)index, "value",
			  json_loadb(value.data, value.len, 0, NULL)));
}

static void on_answer(void *ctx, void *claim_ctx,
		      const gc_claim_answer_t *answer)
{
	static const char *const names[] = {"granted", "known", "in_doubt",
					    "refused"};
	replay_t *replay = ctx;
	json_t *action = json_pack("{s:s, s:i, s:s}", "action", "answer",
				   "nonce", GPOINTER_TO_INT(claim_ctx),
				   "verdict", names[answer->verdict]);

	if (answer->verdict == GC_CLAIM_GRANTED)
		json_object_set_new(action, "fence",
				    json_integer((json_int_t)answer->fence));
	if (answer->verdict == GC_CLAIM_COMPLETED)
		json_object_set_new(action, "status",
				    json_integer(answer->status));
	if (answer->verdict == GC_CLAIM_COMPLETED && answer->has_body)
		json_object_set_new(action, "body",
				    json_stringn(answer->body.data,
						 answer->body.len));
	if (answer->verdict == GC_CLAIM_REFUSED)
		json_object_set_new(action, "code",
				    json_integer(answer->err->code));
	json_array_append_new(replay->actions, action);
}

static gc_claim_t claim_from_line(json_t *line)
{
	const char *key = json_string_value(json_object_get(line, "key"));
	gc_claim_t claim;

	gc_claim_init(&claim, GC_STR_LIT("account"), gc_str(key), 0,
		      GC_STR_LIT("request"));
	gc_claim_set_nonce(&claim,
			   json_integer_value(json_object_get(line, "nonce")));
	return claim;
}

static void apply_event(replay_t *replay, json_t *line)
{
	const char *event = json_string_value(json_object_get(line, "event"));
	const char *result = json_string_value(json_object_get(line, "result"));
	json_t *value = json_object_get(line, "value");
	char *text = value ? json_dumps(value, JSON_COMPACT) : NULL;
	gc_claim_t claim;

	if (json_object_get(line, "key"))
		claim = claim_from_line(line);
	if (strcmp(event, "claim") == 0) {
		gc_claim_record_claim(
			replay->record, &claim,
			gc_add_ms(replay->now,
				  json_integer_value(
					  json_object_get(line, "wait"))),
			GINT_TO_POINTER((int)json_integer_value(
				json_object_get(line, "nonce"))),
			replay->now);
	} else if (strcmp(event, "finish") == 0) {
		gc_claim_record_finish(replay->record, &claim,
				       (int)json_integer_value(
					       json_object_get(line, "status")),
				       gc_str(json_string_value(
					       json_object_get(line, "body"))),
				       replay->now);
	} else if (strcmp(event, "release") == 0) {
		gc_claim_record_release(replay->record, &claim, replay->now);
	} else if (strcmp(event, "read") == 0) {
		gc_claim_record_read_done(
			replay->record,
			json_is_true(json_object_get(line, "ok")), gc_str(text),
			json_integer_value(json_object_get(line, "index")),
			replay->now);
	} else if (strcmp(event, "write") == 0) {
		gc_claim_record_write_done(replay->record,
					   strcmp(result, "written") == 0
						   ? GC_CLAIM_WRITE_OK
					   : strcmp(result, "conflict") == 0
						   ? GC_CLAIM_WRITE_CONFLICT
					   : strcmp(result, "not_sent") == 0
						   ? GC_CLAIM_WRITE_NOT_SENT
						   : GC_CLAIM_WRITE_UNKNOWN,
					   replay->now);
	} else {
		ck_assert_str_eq(event, "tick");
		gc_claim_record_tick(replay->record, replay->now);
	}
	free(text);
}

static void run_line(replay_t *replay, json_t *line, const char *where)
{
	json_t *at = json_object_get(line, "at");
	json_t *got;
	char *expected_text, *got_text;

	if (at)
		replay->now = gc_add_ms((struct timespec){1000, 0},
					json_integer_value(at));
	if (json_object_get(line, "trace"))
		return;
	if (json_object_get(line, "event")) {
		ck_assert_msg(
			json_array_size(replay->actions) == 0 || replay->print,
			"%s: an action before this line is not in the trace",
			where);
		json_array_clear(replay->actions);
		apply_event(replay, line);
		replay->events++;
		for (size_t i = 0;
		     replay->print && i < json_array_size(replay->actions);
		     i++) {
			json_dumpf(json_array_get(replay->actions, i), stdout,
				   JSON_COMPACT);
			printf("\n");
		}
		return;
	}
	if (replay->print)
		return;
	got = json_array_get(replay->actions, 0);
	expected_text = json_dumps(line, JSON_SORT_KEYS);
	got_text = got ? json_dumps(got, JSON_SORT_KEYS) : NULL;
	ck_assert_msg(json_equal(line, got), "%s: expected %s, got %s", where,
		      expected_text, got_text ? got_text : "nothing");
	free(expected_text);
	free(got_text);
	json_array_remove(replay->actions, 0);
}

static void run_trace(const char *path)
{
	const gc_random_t random = {.next = zero_random};
	const gc_claim_ops_t ops = {on_read, on_write, on_answer};
	replay_t replay = {.actions = json_array(),
			   .print = getenv("REPLAY_PRINT") != NULL};
	FILE *file = fopen(path, "r");
	char *text = NULL;
	size_t size = 0;
	unsigned int number = 0;

	ck_assert_msg(file != NULL, "%s: can't open", path);
	replay.record = gc_claim_record_create(NULL, "claims/0/0", 2, &random,
					       &ops, &replay);
	while (getline(&text, &size, file) > 0) {
		char *where = g_strdup_printf("%s:%u", path, ++number);
		json_t *line = json_loads(text, 0, NULL);

		ck_assert_msg(line != NULL, "%s: not JSON", where);
		if (replay.print && json_object_get(line, "action") == NULL)
			printf("%s", text);
		run_line(&replay, line, where);
		json_decref(line);
		g_free(where);
	}
	ck_assert_msg(json_array_size(replay.actions) == 0 || replay.print,
		      "%s: action after the end of the trace", path);
	ck_assert_msg(gc_claim_record_idle(replay.record),
		      "%s: record not idle at the end", path);
	ck_assert_uint_gt(replay.events, 0);
	talloc_free(replay.record);
	json_decref(replay.actions);
	free(text);
	fclose(file);
}

START_TEST(test_traces)
{
	glob_t found;

	ck_assert_int_eq(glob(TRACES, 0, NULL, &found), 0);
	for (size_t i = 0; i < found.gl_pathc; i++)
		run_trace(found.gl_pathv[i]);
	globfree(&found);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("claim replay");
	TCase *tcase = tcase_create("claim replay");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_traces);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
