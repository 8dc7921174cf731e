/*
 * Replays the traces in regress/traces: each line is an event for a
 * gc_stream_t or the next action that is expected from it. Guards the order of
 * actions in known failures, which prop_stream does not check.
 */
#include <check.h>
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/error.h"
#include "core/stream.h"

typedef struct replay {
	const char *path;
	int line;
	gc_stream_t *stream;
	json_t *actions; /* taken and not yet compared with the trace */
	json_t *engines; /* names from which op_pick takes the first allowed */
	bool caller_connected;
	bool timer_set;
	int64_t timer_ms;
	int64_t now_ms;
	int64_t stall_timeout_ms;
	int64_t first_token_timeout_ms;
} replay_t;

static struct timespec replay_now(void *ctx);
static void record_action(replay_t *r, json_t *action);
static bool op_pick(void *ctx, const gc_str_t *avoid, size_t n_avoid,
		    char engine[GC_NAME_MAX]);
static void op_start(void *ctx, uint32_t attempt, const char *engine,
		     uint64_t from);
static void op_attach(void *ctx, uint32_t attempt, const char *engine,
		      const char *run, uint64_t from);
static void op_cancel(void *ctx, uint32_t attempt, bool end_run);
static void op_deliver(void *ctx, gc_str_t token, const gc_cursor_t *cursor);
static void op_finish(void *ctx, const char *reason);
static void op_fail(void *ctx, const GError *err);
static bool op_caller_connected(void *ctx);
static void op_set_timer(void *ctx, const struct timespec *at);
static int64_t op_stall_timeout_ms(void *ctx, const char *engine,
				   bool first_token);
static void op_report(void *ctx, const char *engine,
		      gc_engine_verdict_t verdict);
static const char *get_string(const json_t *line, const char *key);
static int64_t get_integer(const json_t *line, const char *key);
static void configure(replay_t *r, const json_t *conf);
static void send_resume(replay_t *r, const json_t *line);
static void advance(replay_t *r, int64_t ms);
static void fire_timer(replay_t *r);
static gc_errcode_t parse_error_code(const char *name);
static void send_error(replay_t *r, const json_t *line);
static void send_event(replay_t *r, const char *event, const json_t *line);
static void expect_action(replay_t *r, json_t *line);
static void process_line(replay_t *r, json_t *line);
static void fail_at(const replay_t *r, const char *what, const json_t *got);

static replay_t replay;
static glob_t traces;
static const gc_clock_t test_clock = {replay_now, replay_now, NULL};
static const gc_stream_ops_t ops = {
	.pick = op_pick,
	.start = op_start,
	.attach = op_attach,
	.cancel = op_cancel,
	.deliver = op_deliver,
	.finish = op_finish,
	.fail = op_fail,
	.caller_connected = op_caller_connected,
	.set_timer = op_set_timer,
	.stall_timeout_ms = op_stall_timeout_ms,
	.report = op_report,
};
static const struct {
	const char *name;
	gc_errcode_t code;
} codes[] = {
	{"io", GC_ERR_IO},
	{"timeout", GC_ERR_TIMEOUT},
	{"not_found", GC_ERR_NOT_FOUND},
	{"overloaded", GC_ERR_OVERLOADED},
	{"protocol", GC_ERR_PROTOCOL},
	{"unavailable", GC_ERR_UNAVAILABLE},
	{"lost", GC_ERR_LOST},
};

static struct timespec replay_now(void *ctx)
{
	return (struct timespec){replay.now_ms / 1000,
				 replay.now_ms % 1000 * 1000000};
}

static void record_action(replay_t *r, json_t *action)
{
	json_array_append_new(r->actions, action);
}

static bool op_pick(void *ctx, const gc_str_t *avoid, size_t n_avoid,
		    char engine[GC_NAME_MAX])
{
	replay_t *r = ctx;
	json_t *value;
	size_t i;

	json_array_foreach (r->engines, i, value) {
		const char *name = json_string_value(value);
		bool avoided = false;

		for (size_t k = 0; k < n_avoid; k++)
			avoided |= gc_str_eq(avoid[k], gc_str(name));
		if (avoided)
			continue;
		g_strlcpy(engine, name, GC_NAME_MAX);
		return true;
	}
	record_action(r, json_pack("{s:s}", "expect", "pick_failed"));
	return false;
}

static void op_start(void *ctx, uint32_t attempt, const char *engine,
		     uint64_t from)
{
	record_action(ctx, json_pack("{s:s,s:I,s:s,s:I}", "expect", "start",
				     "attempt", (json_int_t)attempt, "engine",
				     engine, "from", (json_int_t)from));
}

static void op_attach(void *ctx, uint32_t attempt, const char *engine,
		      const char *run, uint64_t from)
{
	record_action(ctx,
		      json_pack("{s:s,s:I,s:s,s:s,s:I}", "expect", "attach",
				"attempt", (json_int_t)attempt, "engine",
				engine, "run", run, "from", (json_int_t)from));
}

static void op_cancel(void *ctx, uint32_t attempt, bool end_run)
{
	record_action(ctx,
		      json_pack("{s:s,s:I,s:b}", "expect", "cancel", "attempt",
				(json_int_t)attempt, "end_run", end_run));
}

static void op_deliver(void *ctx, gc_str_t token, const gc_cursor_t *cursor)
{
	record_action(ctx,
		      json_pack("{s:s,s:s%,s:s,s:s,s:I,s:I}", "expect",
				"deliver", "text", token.data, token.len,
				"engine", cursor->engine, "run", cursor->run,
				"attempt", (json_int_t)cursor->attempt,
				"offset", (json_int_t)cursor->offset));
}

static void op_finish(void *ctx, const char *reason)
{
	record_action(ctx, json_pack("{s:s,s:s}", "expect", "finish", "reason",
				     reason));
}

static void op_fail(void *ctx, const GError *err)
{
	const char *name = "?";

	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++)
		if (g_error_matches(err, GC_ERROR, codes[i].code))
			name = codes[i].name;
	record_action(ctx, json_pack("{s:s,s:s,s:s}", "expect", "fail", "code",
				     name, "step", gc_error_step(err)));
}

static bool op_caller_connected(void *ctx)
{
	replay_t *r = ctx;

	record_action(r, json_pack("{s:s}", "expect", "caller_connected"));
	return r->caller_connected;
}

/* Timers drive the replay but are not compared with the trace. */
static void op_set_timer(void *ctx, const struct timespec *at)
{
	replay_t *r = ctx;

	r->timer_set = at != NULL;
	if (at)
		r->timer_ms = at->tv_sec * 1000 + at->tv_nsec / 1000000;
}

static int64_t op_stall_timeout_ms(void *ctx, const char *engine,
				   bool first_token)
{
	replay_t *r = ctx;

	return first_token ? r->first_token_timeout_ms : r->stall_timeout_ms;
}

static void op_report(void *ctx, const char *engine,
		      gc_engine_verdict_t verdict)
{
	static const char *const names[] = {
		[GC_ENGINE_OK] = "ok",
		[GC_ENGINE_STALLED] = "stalled",
		[GC_ENGINE_FAILED] = "failed",
	};

	record_action(ctx,
		      json_pack("{s:s,s:s,s:s}", "expect", "report", "engine",
				engine, "verdict", names[verdict]));
}

static void fail_at(const replay_t *r, const char *what, const json_t *got)
{
	char *text = got ? json_dumps(got, JSON_ENCODE_ANY) : NULL;

	ck_abort_msg("%s:%d: %s: %s", r->path, r->line, what,
		     text ? text : "nothing");
}

static const char *get_string(const json_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line, key));

	if (!text)
		fail_at(&replay, "string missing", line);
	return text;
}

static int64_t get_integer(const json_t *line, const char *key)
{
	const json_t *value = json_object_get(line, key);

	if (!json_is_integer(value))
		fail_at(&replay, "number missing", line);
	return json_integer_value(value);
}

static void configure(replay_t *r, const json_t *conf)
{
	gc_stream_conf_t c = {
		.clock = &test_clock,
		.max_tokens = get_integer(conf, "max_tokens"),
		.max_attempts = get_integer(conf, "max_attempts"),
	};

	c.policy = strcmp(get_string(conf, "policy"), "latency") == 0
			   ? GC_POLICY_LATENCY
			   : GC_POLICY_ECONOMY;
	if (get_integer(conf, "deadline_ms") > 0)
		c.deadline = gc_add_ms(replay_now(NULL),
				       get_integer(conf, "deadline_ms"));
	r->stall_timeout_ms = get_integer(conf, "stall_ms");
	r->first_token_timeout_ms = get_integer(conf, "first_stall_ms");
	r->engines = json_incref(json_object_get(conf, "engines"));
	r->stream = gc_stream_create(NULL, &c, &ops, r);
}

static void send_resume(replay_t *r, const json_t *line)
{
	json_t *received_tokens = json_object_get(line, "held");
	json_t *prefix_tokens = json_object_get(line, "prefix");
	size_t n = json_array_size(prefix_tokens);
	gc_str_t *prefix = g_new0(gc_str_t, n + 1);
	gc_cursor_t cursor = {0};
	json_t *value;
	size_t i;

	g_strlcpy(cursor.engine, get_string(line, "engine"), GC_NAME_MAX);
	g_strlcpy(cursor.run, get_string(line, "run"), GC_RUN_ID_MAX);
	cursor.attempt = get_integer(line, "attempt");
	cursor.offset = json_array_size(received_tokens);
	json_array_foreach (received_tokens, i, value)
		cursor.hash = gc_token_hash_update(
			cursor.hash, gc_str(json_string_value(value)));
	json_array_foreach (prefix_tokens, i, value)
		prefix[i] = gc_str(json_string_value(value));
	gc_stream_resume(r->stream, &cursor, prefix, n);
	g_free(prefix);
}

static void fire_timer(replay_t *r)
{
	r->timer_set = false;
	gc_stream_on_timer(r->stream);
}

/* Advances the clock and fires the timers that become due. */
static void advance(replay_t *r, int64_t ms)
{
	int64_t until_ms = r->now_ms + ms;

	while (r->timer_set && r->timer_ms <= until_ms) {
		r->now_ms = r->timer_ms;
		fire_timer(r);
	}
	r->now_ms = until_ms;
}

static gc_errcode_t parse_error_code(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++)
		if (strcmp(codes[i].name, name) == 0)
			return codes[i].code;
	fail_at(&replay, "unknown error code", NULL);
	return GC_ERR_INVALID;
}

static void send_error(replay_t *r, const json_t *line)
{
	GError *err = NULL;

	gc_error_set(&err, parse_error_code(get_string(line, "code")), "test",
		     NULL, "broken");
	gc_stream_on_error(r->stream, get_integer(line, "attempt"), err);
	g_error_free(err);
}

static void send_event(replay_t *r, const char *event, const json_t *line)
{
	if (strcmp(event, "begin") == 0) {
		gc_stream_begin(r->stream);
	} else if (strcmp(event, "resume") == 0) {
		send_resume(r, line);
	} else if (strcmp(event, "run") == 0) {
		gc_stream_on_run(r->stream, get_integer(line, "attempt"),
				 get_string(line, "run"),
				 get_integer(line, "from"));
	} else if (strcmp(event, "token") == 0) {
		gc_stream_on_token(r->stream, get_integer(line, "attempt"),
				   get_integer(line, "offset"),
				   gc_str(get_string(line, "text")));
	} else if (strcmp(event, "end") == 0) {
		gc_stream_on_end(r->stream, get_integer(line, "attempt"),
				 get_string(line, "reason"),
				 get_integer(line, "tokens"));
	} else if (strcmp(event, "broken") == 0) {
		send_error(r, line);
	} else if (strcmp(event, "advance") == 0) {
		advance(r, get_integer(line, "ms"));
	} else if (strcmp(event, "pause") == 0) {
		/* The process was paused: its timer fires late. */
		r->now_ms += get_integer(line, "ms");
		fire_timer(r);
	} else if (strcmp(event, "engines") == 0) {
		json_decref(r->engines);
		r->engines = json_incref(json_object_get(line, "names"));
	} else if (strcmp(event, "hang_up") == 0) {
		r->caller_connected = false;
	} else if (strcmp(event, "caller_gone") == 0) {
		gc_stream_on_caller_disconnected(r->stream);
	} else {
		fail_at(r, "unknown event", line);
	}
}

static void expect_action(replay_t *r, json_t *line)
{
	json_t *next = json_array_get(r->actions, 0);

	if (!next || !json_equal(next, line))
		fail_at(r, "expected another action; got", next);
	json_array_remove(r->actions, 0);
}

static void process_line(replay_t *r, json_t *line)
{
	if (json_object_get(line, "expect")) {
		expect_action(r, line);
		return;
	}
	if (json_array_size(r->actions) > 0)
		fail_at(r, "unexpected action", json_array_get(r->actions, 0));
	if (json_object_get(line, "conf"))
		configure(r, json_object_get(line, "conf"));
	else
		send_event(r, get_string(line, "event"), line);
}

START_TEST(test_trace)
{
	char text[4096];
	FILE *file = fopen(traces.gl_pathv[_i], "r");

	ck_assert_ptr_nonnull(file);
	replay = (replay_t){.path = traces.gl_pathv[_i],
			    .actions = json_array(),
			    .now_ms = 1000,
			    .caller_connected = true};
	while (fgets(text, sizeof(text), file)) {
		json_t *line = json_loads(text, 0, NULL);

		replay.line++;
		if (!line)
			fail_at(&replay, "invalid JSON", NULL);
		process_line(&replay, line);
		json_decref(line);
	}
	if (json_array_size(replay.actions) > 0)
		fail_at(&replay, "unexpected action",
			json_array_get(replay.actions, 0));
	ck_assert(gc_stream_has_ended(replay.stream));
	gc_stream_destroy(replay.stream);
	json_decref(replay.actions);
	json_decref(replay.engines);
	fclose(file);
}
END_TEST

int main(void)
{
	const char *top = getenv("TOP");
	char *pattern =
		g_strdup_printf("%s/regress/traces/*.jsonl", top ? top : "..");
	Suite *suite = suite_create("stream_replay");
	TCase *tcase = tcase_create("stream_replay");
	SRunner *runner = srunner_create(suite);
	int failed;

	if (glob(pattern, 0, NULL, &traces) != 0) {
		fprintf(stderr, "no trace matches %s\n", pattern);
		return EXIT_FAILURE;
	}
	tcase_add_loop_test(tcase, test_trace, 0, traces.gl_pathc);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	globfree(&traces);
	g_free(pattern);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
