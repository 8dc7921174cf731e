/* Numbered log events, one line each, with a rate limit on standard output. */
#include <poll.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "core/error.h"
#include "lib/log.h"
#include "lib/log_events.h"

static const char *const level_names[] = {
	[GC_LOG_DEBUG] = "debug",
	[GC_LOG_INFO] = "info",
	[GC_LOG_WARNING] = "warning",
	[GC_LOG_ERROR] = "error",
};

static struct {
	char program[32];
	char instance[64];
	bool json;
	atomic_int level; /* gc_log_level_t; may change while threads log */
	unsigned int max_lines_per_s; /* 0: to standard error, no limit */
	/* The members below are guarded by log_lock. */
	int64_t current_second; /* monotonic; the second of n_lines */
	unsigned int n_lines; /* admitted in current_second */
	unsigned int n_dropped; /* not yet reported */
} log_state = {.level = GC_LOG_INFO};

static GMutex log_lock;

static bool is_exempt(gc_log_level_t level, unsigned int event);
static bool admit_line(bool exempt, unsigned int *dropped);
static void write_line(const char *line, size_t len);
static void write_json(gc_log_level_t level, unsigned int event,
		       const char *time, const char *message, va_list fields);
static void write_text(gc_log_level_t level, unsigned int event,
		       const char *time, const char *message, va_list fields);
static void append_value(GString *line, const char *value);

void gc_log_init(const char *program, const char *instance, bool json,
		 gc_log_level_t level)
{
	g_strlcpy(log_state.program, program, sizeof(log_state.program));
	g_strlcpy(log_state.instance, instance ? instance : "",
		  sizeof(log_state.instance));
	log_state.json = json;
	gc_log_set_level(level);
}

void gc_log_set_level(gc_log_level_t level)
{
	atomic_store(&log_state.level, level);
}

bool gc_log_level_parse(const char *name, gc_log_level_t *level)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(name, level_names[i]) != 0)
			continue;
		*level = (gc_log_level_t)i;
		return true;
	}
	return false;
}

void gc_log(gc_log_level_t level, unsigned int event, const char *message, ...)
{
	g_autoptr(GDateTime) now = NULL;
	g_autofree char *time = NULL;
	unsigned int dropped = 0;
	va_list fields;

	if ((int)level < atomic_load(&log_state.level) ||
	    !admit_line(is_exempt(level, event), &dropped))
		return;
	if (dropped > 0) {
		g_autofree char *count = g_strdup_printf("%u", dropped);

		gc_log(GC_LOG_WARNING, GC_EVENT_LINES_DROPPED,
		       "log lines dropped", "count", count, NULL);
	}
	now = g_date_time_new_now_utc();
	time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	va_start(fields, message);
	if (log_state.json)
		write_json(level, event, time, message, fields);
	else
		write_text(level, event, time, message, fields);
	va_end(fields);
}

void gc_log_to_stdout(unsigned int max_lines_per_s)
{
	log_state.max_lines_per_s = max_lines_per_s;
}

/*
 * True for lines that the rate limit never drops: warnings, errors, and the
 * events on start, stop, settings and the store. The latter are few and explain
 * the seconds in which other lines are dropped.
 */
static bool is_exempt(gc_log_level_t level, unsigned int event)
{
	return level >= GC_LOG_WARNING ||
	       (event >= GC_EVENT_STARTED && event <= GC_EVENT_LINES_DROPPED) ||
	       (event >= GC_EVENT_STORE_LOST && event <= GC_EVENT_ROUTES_TAKEN);
}

/*
 * Counts the line against the rate limit. False if it must be dropped. With
 * the first line of a second, *dropped is set to the number of dropped lines
 * that have not been reported.
 */
static bool admit_line(bool exempt, unsigned int *dropped)
{
	int64_t current_second = g_get_monotonic_time() / G_USEC_PER_SEC;
	bool ok;

	if (log_state.max_lines_per_s == 0)
		return true;
	g_mutex_lock(&log_lock);
	if (current_second != log_state.current_second) {
		log_state.current_second = current_second;
		log_state.n_lines = 0;
		*dropped = log_state.n_dropped;
		log_state.n_dropped = 0;
	}
	ok = exempt || log_state.n_lines < log_state.max_lines_per_s;
	if (ok)
		log_state.n_lines++;
	else
		log_state.n_dropped++;
	g_mutex_unlock(&log_lock);
	return ok;
}

void gc_log_error(gc_log_level_t level, unsigned int event, const char *message,
		  const GError *err)
{
	gc_log(level, event, message, "error", err->message, "step",
	       gc_error_step(err), "peer", gc_error_peer(err), NULL);
}

static void write_json(gc_log_level_t level, unsigned int event,
		       const char *time, const char *message, va_list fields)
{
	json_t *line = json_pack("{ss ss si ss ss ss}", "time", time, "level",
				 level_names[level], "event", (int)event,
				 "program", log_state.program, "instance",
				 log_state.instance, "message", message);
	const char *name;
	char *text;

	while ((name = va_arg(fields, const char *)) != NULL)
		json_object_set_new(line, name,
				    json_string(va_arg(fields, const char *)));
	text = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	if (!text)
		return;
	write_line(text, strlen(text));
	free(text);
}

static void write_text(gc_log_level_t level, unsigned int event,
		       const char *time, const char *message, va_list fields)
{
	g_autoptr(GString) line = g_string_new(NULL);
	const char *name;

	g_string_printf(line, "%s %s[%d] %s %04u %s", time, log_state.program,
			(int)getpid(), level_names[level], event, message);
	while ((name = va_arg(fields, const char *)) != NULL) {
		g_string_append_printf(line, " %s=", name);
		append_value(line, va_arg(fields, const char *));
	}
	write_line(line->str, line->len);
}

/*
 * Escapes control characters. Quotes a value that is empty or contains a space,
 * an equals sign or a backslash.
 */
static void append_value(GString *line, const char *value)
{
	g_autofree char *escaped = g_strescape(value ? value : "", NULL);

	if (*escaped == '\0' || strpbrk(escaped, " =\\") != NULL)
		g_string_append_printf(line, "\"%s\"", escaped);
	else
		g_string_append(line, escaped);
}

/* Never blocks on standard output: drops the line if it can't be written. */
static void write_line(const char *line, size_t len)
{
	struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
	g_autofree char *text = NULL;

	if (log_state.max_lines_per_s == 0) {
		fprintf(stderr, "%.*s\n", (int)len, line);
		return;
	}
	text = g_strdup_printf("%.*s\n", (int)len, line);
	if (poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) &&
	    write(STDOUT_FILENO, text, len + 1) == (ssize_t)len + 1)
		return;
	g_mutex_lock(&log_lock);
	log_state.n_dropped++;
	g_mutex_unlock(&log_lock);
}
