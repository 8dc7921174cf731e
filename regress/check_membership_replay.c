/*
 * Replays recorded events of one daemon and checks its decisions. Each trace in
 * traces_members/ is named after the fault that it guards against. Its lines:
 * {"at":MS,"event":"read"|"read_failed","started":MS,"version":V}
 * {"at":MS,"event":"adopt","version":V}
 * {"at":MS,"event":"heartbeat","from":NAME,"version":V,"age":MS,"echo_at":MS}
 *   where echo_at is the time of the daemon's heartbeat that it echoes
 * {"at":MS,"event":"list","daemons":[NAME...]}
 * {"at":MS,"event":"record","document":{},"nonce":S,"expect":V}
 * {"at":MS,"event":"expect", and any of "in_effect", "version", "may_accept",
 *   "watcher", "known", "acknowledged":V, "not_acknowledged":V, "pull_from"}
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>
#include <jansson.h>

#include "core/clock.h"
#include "core/config_edit.h"
#include "core/membership.h"

#define START_MS 1000000

typedef struct replay {
	gc_membership_t *membership;
	struct timespec now;
	const char *file;
	int line;
} replay_t;

typedef struct handler {
	const char *event;
	void (*fn)(replay_t *replay, json_t *event);
} handler_t;

static GPtrArray *files;

static uint64_t constant_random(void *ctx);
static struct timespec at_ms(int64_t ms);
static int64_t integer(json_t *event, const char *name, int64_t absent);
static const char *string(json_t *event, const char *name);
static void on_read(replay_t *replay, json_t *event);
static void on_read_failed(replay_t *replay, json_t *event);
static void on_adopt(replay_t *replay, json_t *event);
static void on_heartbeat(replay_t *replay, json_t *event);
static void on_list(replay_t *replay, json_t *event);
static void on_find_nonce(replay_t *replay, json_t *event);
static void on_expect(replay_t *replay, json_t *event);
static void run_line(replay_t *replay, const char *line);

static const handler_t handlers[] = {
	{"read", on_read},     {"read_failed", on_read_failed},
	{"adopt", on_adopt},   {"heartbeat", on_heartbeat},
	{"list", on_list},     {"record", on_find_nonce},
	{"expect", on_expect},
};

static uint64_t constant_random(void *ctx)
{
	return 1;
}

static struct timespec at_ms(int64_t ms)
{
	return gc_add_ms((struct timespec){0}, START_MS + ms);
}

static int64_t integer(json_t *event, const char *name, int64_t absent)
{
	json_t *value = json_object_get(event, name);

	return value ? json_integer_value(value) : absent;
}

static const char *string(json_t *event, const char *name)
{
	return json_string_value(json_object_get(event, name));
}

static void on_read(replay_t *replay, json_t *event)
{
	gc_membership_on_config_read(replay->membership,
				     at_ms(integer(event, "started", 0)),
				     integer(event, "version", 0));
}

static void on_read_failed(replay_t *replay, json_t *event)
{
	gc_membership_on_config_read_failed(
		replay->membership, at_ms(integer(event, "started", 0)));
}

static void on_adopt(replay_t *replay, json_t *event)
{
	gc_membership_adopt(replay->membership, integer(event, "version", 0));
}

static void on_heartbeat(replay_t *replay, json_t *event)
{
	const char *from = string(event, "from");
	g_autofree char *url = g_strconcat("tcp://", from, NULL);
	int64_t echo_at = integer(event, "echo_at", -1);
	gc_heartbeat_t own;
	gc_heartbeat_t heartbeat = {
		.from = {.name = gc_str(from),
			 .failure_domain = GC_STR_LIT("a"),
			 .peer_url = gc_str(url),
			 .caller_url = GC_STR_LIT("http://1")},
		.version = integer(event, "version", 0),
		.confirmed_age_ms = integer(event, "age", -1),
		.stamp = gc_ms_between((struct timespec){0}, replay->now),
		.known = integer(event, "known", 1),
		.voter = true,
	};

	if (echo_at >= 0) {
		gc_membership_make_heartbeat(replay->membership, at_ms(echo_at),
					     gc_str(from), &own);
		heartbeat.echo = own.stamp;
	}
	gc_membership_on_heartbeat(replay->membership, replay->now, &heartbeat);
}

static void on_list(replay_t *replay, json_t *event)
{
	json_t *names = json_object_get(event, "daemons");
	size_t n = json_array_size(names);
	gc_member_descriptor_t *listed = g_new0(gc_member_descriptor_t, n + 1);

	for (size_t i = 0; i < n; i++)
		listed[i].name =
			gc_str(json_string_value(json_array_get(names, i)));
	gc_membership_on_daemon_list(replay->membership, replay->now, listed,
				     n);
	g_free(listed);
}

static void on_find_nonce(replay_t *replay, json_t *event)
{
	ck_assert_msg((int64_t)gc_config_version_of_nonce(
			      json_object_get(event, "document"),
			      string(event, "nonce")) ==
			      integer(event, "expect", 0),
		      "%s:%d: version of the nonce is not as expected",
		      replay->file, replay->line);
}

static void expect(const replay_t *replay, json_t *event, const char *name,
		   int64_t actual)
{
	json_t *value = json_object_get(event, name);
	int64_t expected = json_is_integer(value) ? json_integer_value(value)
						  : json_is_true(value);

	if (value)
		ck_assert_msg(expected == actual, "%s:%d: %s is %lld",
			      replay->file, replay->line, name,
			      (long long)actual);
}

static void on_expect(replay_t *replay, json_t *event)
{
	const gc_membership_t *membership = replay->membership;
	struct timespec now = replay->now;
	const char *pull_from = string(event, "pull_from");
	int64_t acknowledged = integer(event, "acknowledged", -1);
	int64_t not_acknowledged = integer(event, "not_acknowledged", -1);

	expect(replay, event, "in_effect",
	       gc_membership_in_effect(membership, now));
	expect(replay, event, "version",
	       (int64_t)gc_membership_version(membership));
	expect(replay, event, "may_accept",
	       gc_membership_may_accept_changes(membership, now));
	expect(replay, event, "watcher",
	       gc_membership_is_watcher(membership, now));
	expect(replay, event, "known",
	       (int64_t)gc_membership_known(membership));
	if (acknowledged >= 0)
		ck_assert_msg(gc_membership_acknowledged(membership, now,
							 acknowledged),
			      "%s:%d: version is not acknowledged",
			      replay->file, replay->line);
	if (not_acknowledged >= 0)
		ck_assert_msg(!gc_membership_acknowledged(membership, now,
							  not_acknowledged),
			      "%s:%d: version is acknowledged, expected not",
			      replay->file, replay->line);
	if (pull_from)
		ck_assert_msg(gc_str_eq(gc_membership_choose_pull_peer(
						membership, now),
					gc_str(pull_from)),
			      "%s:%d: pull_from is another daemon",
			      replay->file, replay->line);
}

static void run_line(replay_t *replay, const char *line)
{
	json_t *event = json_loads(line, 0, NULL);
	const char *name = string(event, "event");
	bool found = false;

	ck_assert_msg(name != NULL, "%s:%d: not an event", replay->file,
		      replay->line);
	replay->now = at_ms(integer(event, "at", 0));
	for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
		if (strcmp(handlers[i].event, name) != 0)
			continue;
		handlers[i].fn(replay, event);
		found = true;
	}
	ck_assert_msg(found, "%s:%d: unknown event", replay->file,
		      replay->line);
	json_decref(event);
}

START_TEST(test_trace)
{
	const gc_random_t random = {.next = constant_random};
	const gc_membership_conf_t conf = {
		.self = GC_STR_LIT("self"),
		.failure_domain = GC_STR_LIT("a"),
		.peer_url = GC_STR_LIT("tcp://self"),
		.caller_url = GC_STR_LIT("http://self"),
		.heartbeat_ms = 500,
		.confirm_ms = 3000,
		.random = &random,
		.started = at_ms(0),
	};
	replay_t replay = {.file = files->pdata[_i]};
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	ck_assert(g_file_get_contents(replay.file, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	replay.membership = gc_membership_create(NULL, &conf);
	for (char **line = lines; *line; line++) {
		replay.line++;
		if (**line)
			run_line(&replay, *line);
	}
	ck_assert_int_gt(replay.line, 1);
	talloc_free(replay.membership);
}
END_TEST

static int compare_files(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void find_files(void)
{
	GDir *dir = g_dir_open("traces_members", 0, NULL);
	const char *name;

	files = g_ptr_array_new_with_free_func(g_free);
	while (dir && (name = g_dir_read_name(dir)) != NULL) {
		if (g_str_has_suffix(name, ".jsonl"))
			g_ptr_array_add(files, g_strconcat("traces_members/",
							   name, NULL));
	}
	if (dir)
		g_dir_close(dir);
	g_ptr_array_sort(files, compare_files);
}

int main(void)
{
	Suite *suite = suite_create("membership replay");
	TCase *tcase = tcase_create("membership replay");
	SRunner *runner = srunner_create(suite);
	int failed;

	find_files();
	if (files->len == 0) {
		fprintf(stderr, "traces_members: no *.jsonl files\n");
		return EXIT_FAILURE;
	}
	tcase_add_loop_test(tcase, test_trace, 0, (int)files->len);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	g_ptr_array_free(files, TRUE);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
