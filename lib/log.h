/* Numbered log events, one line each; the numbers are in lib/log_events.h. */
#ifndef GC_LIB_LOG_H
#define GC_LIB_LOG_H

#include <stdbool.h>

#include <glib.h>

typedef enum gc_log_level {
	GC_LOG_DEBUG,
	GC_LOG_INFO,
	GC_LOG_WARNING,
	GC_LOG_ERROR,
} gc_log_level_t;

/*
 * Sets up the process's log on standard error. program and instance (NULL for
 * none) are copied. json selects one JSON object per line instead of text. Called
 * before there are other threads.
 */
void gc_log_init(const char *program, const char *instance, bool json,
		 gc_log_level_t level);
/* Safe while other threads log. */
void gc_log_set_level(gc_log_level_t level);

/*
 * Switches the log to standard output and makes all calls non-blocking. A line
 * is dropped if standard output is not writable. Debug and info lines are also
 * dropped beyond max_lines_per_s lines in a second, except those on start,
 * stop, settings and the store. The number of dropped lines is logged as
 * GC_EVENT_LINES_DROPPED.
 */
void gc_log_to_stdout(unsigned int max_lines_per_s);

/* Parses "debug", "info", "warning" or "error"; false for other names. */
bool gc_log_level_parse(const char *name, gc_log_level_t *level);

/*
 * Writes a line for the event number (lib/log_events.h) if level is enabled.
 * The fields are pairs of strings (name, value), terminated by NULL. Safe from
 * every thread.
 */
void gc_log(gc_log_level_t level, unsigned int event, const char *message,
	    ...) G_GNUC_NULL_TERMINATED;

/* Like gc_log, with the fields error, step and peer of err. */
void gc_log_error(gc_log_level_t level, unsigned int event, const char *message,
		  const GError *err);

#endif
