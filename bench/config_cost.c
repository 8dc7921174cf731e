/* Parses the command line; measures each row in a process of its own. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <jansson.h>

#include "config_cost.h"

#define MAX_ROUTES 20000
#define MAX_ROUNDS 1000

static bool parse_routes(const char *text, GArray *sizes);
static bool parse_changes(const char *text, GArray *kinds);
static bool run_row(row_t *row, unsigned int rounds);
static void print_head(void);
static void print_row(const row_t *row);
static json_t *row_json(const row_t *row);
static int64_t sum_ns(const row_t *row);
static int usage(const char *message, const char *value);
static int fail(const char *message, const char *detail);

static const char *const summary =
	"What a change of the configuration costs a daemon that watches the "
	"store, in\nmicroseconds of processor time (median), and bytes.";
static const char *const description =
	"Steps: receive: a watch of a store on loopback, with HTTP, JSON and "
	"base64; read:\ncompares with the former record and decodes what "
	"changed; publish: a new view in\nplace of the former one; free: the "
	"former table; change: these three together;\nlog: the change log, "
	"with the search for edits; edits, whole: writes the response\nto a "
	"daemon that takes edits, and to one that doesn't. peak_kb: VmHWM of a "
	"process\nthat does all of it.";

int main(int argc, char **argv)
{
	static char *routes, *changes, *json_path;
	static int rounds = 21;
	const GOptionEntry entries[] = {
		{"routes", 0, 0, G_OPTION_ARG_STRING, &routes,
		 "Numbers of routes (10,100,1400,10000)", "N,..."},
		{"change", 0, 0, G_OPTION_ARG_STRING, &changes,
		 "What changes (route,key,limit,all)", "KIND,..."},
		{"rounds", 0, 0, G_OPTION_ARG_INT, &rounds,
		 "Changes of which the median is taken (21)", "N"},
		{"json", 0, 0, G_OPTION_ARG_FILENAME, &json_path,
		 "Also writes the rows as JSON", "FILE"},
		G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;
	g_autoptr(GArray) sizes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_autoptr(GArray) kinds =
		g_array_new(FALSE, FALSE, sizeof(change_kind_t));
	json_t *list;
	int status = 0;

	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_set_summary(context, summary);
	g_option_context_set_description(context, description);
	if (!g_option_context_parse(context, &argc, &argv, &err))
		return usage(err->message, NULL);
	if (argc > 1)
		return usage("unexpected argument", argv[1]);
	if (!parse_routes(routes ? routes : "10,100,1400,10000", sizes))
		return usage("--routes: not numbers from 1 to 20000", routes);
	if (!parse_changes(changes ? changes : "route,key,limit,all", kinds))
		return usage("--change: not of route, key, limit, all",
			     changes);
	if (rounds < 1 || rounds > MAX_ROUNDS)
		return usage("--rounds: not a number from 1 to 1000", NULL);

	list = json_array();
	print_head();
	for (guint i = 0; i < sizes->len * kinds->len && status == 0; i++) {
		row_t row = {
			.n_routes =
				g_array_index(sizes, uint64_t, i / kinds->len),
			.kind = g_array_index(kinds, change_kind_t,
					      i % kinds->len),
		};

		if (!run_row(&row, (unsigned int)rounds)) {
			status = fail("a row can't be measured", row.error);
			break;
		}
		print_row(&row);
		json_array_append_new(list, row_json(&row));
	}
	if (status == 0 && json_path &&
	    json_dump_file(list, json_path, JSON_INDENT(1)) != 0)
		status = fail("--json: can't be written", json_path);
	json_decref(list);
	return status;
}

static bool parse_routes(const char *text, GArray *sizes)
{
	g_auto(GStrv) parts = g_strsplit(text, ",", -1);

	for (size_t i = 0; parts[i]; i++) {
		guint64 n;

		if (!g_ascii_string_to_unsigned(parts[i], 10, 1, MAX_ROUTES, &n,
						NULL))
			return false;
		g_array_append_val(sizes, n);
	}
	return sizes->len > 0;
}

static bool parse_changes(const char *text, GArray *kinds)
{
	g_auto(GStrv) parts = g_strsplit(text, ",", -1);

	for (size_t i = 0; parts[i]; i++) {
		change_kind_t kind = 0;

		while (kind < N_CHANGES &&
		       !g_str_equal(parts[i], change_names[kind]))
			kind++;
		if (kind == N_CHANGES)
			return false;
		g_array_append_val(kinds, kind);
	}
	return kinds->len > 0;
}

static bool run_row(row_t *row, unsigned int rounds)
{
	int ends[2];
	pid_t pid;
	bool ok;

	fflush(stdout);
	if (pipe(ends) != 0 || (pid = fork()) < 0) {
		g_strlcpy(row->error, g_strerror(errno), sizeof(row->error));
		return false;
	}
	if (pid == 0) {
		measure_row(row, rounds);
		_exit(write(ends[1], row, sizeof(*row)) == (ssize_t)sizeof(*row)
			      ? 0
			      : 1);
	}
	close(ends[1]);
	ok = read(ends[0], row, sizeof(*row)) == (ssize_t)sizeof(*row);
	close(ends[0]);
	waitpid(pid, NULL, 0);
	if (!ok)
		g_strlcpy(row->error, "its process ended", sizeof(row->error));
	return ok && !row->error[0];
}

static void print_head(void)
{
	printf("%6s %-6s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s\n",
	       "routes", "change", "bytes", "change", "read", "publish", "free",
	       "receive", "log", "edits", "whole", "got_B", "edits_B",
	       "whole_B", "peak_kb");
}

static void print_row(const row_t *row)
{
	static const step_t order[] = {STEP_READ,    STEP_PUBLISH, STEP_FREE,
				       STEP_RECEIVE, STEP_LOG,	   STEP_EDITS,
				       STEP_WHOLE};

	printf("%6" G_GUINT64_FORMAT " %-6s %8" G_GUINT64_FORMAT " %8.1f",
	       row->n_routes, change_names[row->kind], row->record_bytes,
	       (double)sum_ns(row) / 1e3);
	for (size_t i = 0; i < G_N_ELEMENTS(order); i++)
		printf(" %8.1f", (double)row->ns[order[i]] / 1e3);
	printf(" %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
	       " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT "\n",
	       row->received_bytes, row->edits_bytes, row->whole_bytes,
	       row->peak_kb);
}

static json_t *row_json(const row_t *row)
{
	json_t *us = json_pack("{s:f}", "change", (double)sum_ns(row) / 1e3);

	for (int i = 0; i < N_STEPS; i++)
		json_object_set_new(us, step_names[i],
				    json_real((double)row->ns[i] / 1e3));
	return json_pack("{s:I,s:s,s:I,s:I,s:I,s:I,s:I,s:o}", "routes",
			 (json_int_t)row->n_routes, "change",
			 change_names[row->kind], "record_bytes",
			 (json_int_t)row->record_bytes, "received_bytes",
			 (json_int_t)row->received_bytes, "edits_bytes",
			 (json_int_t)row->edits_bytes, "whole_bytes",
			 (json_int_t)row->whole_bytes, "peak_kb",
			 (json_int_t)row->peak_kb, "us", us);
}

/* What must not grow with the routes that stay. */
static int64_t sum_ns(const row_t *row)
{
	return row->ns[STEP_READ] + row->ns[STEP_PUBLISH] + row->ns[STEP_FREE];
}

static int usage(const char *message, const char *value)
{
	fprintf(stderr, "config_cost: %s%s%s\n", message, value ? ": " : "",
		value ? value : "");
	return 2;
}

static int fail(const char *message, const char *detail)
{
	fprintf(stderr, "config_cost: %s: %s\n", message, detail);
	return 1;
}
