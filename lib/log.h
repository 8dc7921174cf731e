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
 * Sets up the process's log on standard error. json selects one JSON object
 * a line instead of text. May be called again to change level or format.
 */
void gc_log_init(const char *program, const char *instance, bool json,
		 gc_log_level_t level);

/*
 * From now on lines go to standard output, and no call blocks: a line is
 * dropped if the reader is behind, and debug and info lines beyond
 * max_per_s too, but for those on start, stop, settings and dependencies.
 * Dropped lines are counted and told of by one event.
 */
void gc_log_to_stdout(unsigned int max_per_s);

/* Parses "debug", "info", "warning" or "error". */
bool gc_log_level_parse(const char *name, gc_log_level_t *level);

/*
 * Writes event number `event` with a message and the named fields. Fields are
 * pairs of strings (name, value), ended by NULL. Safe from every thread.
 */
void gc_log(gc_log_level_t level, unsigned int event, const char *message,
	    ...) G_GNUC_NULL_TERMINATED;

/* The same for an error: adds the fields error, step and peer. */
void gc_log_error(gc_log_level_t level, unsigned int event, const char *message,
		  const GError *err);

#endif
