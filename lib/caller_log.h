/* Log lines of callers' connections. */
#ifndef GC_LIB_CALLER_LOG_H
#define GC_LIB_CALLER_LOG_H

#include <stdint.h>

/* What is known of a connection when it ends, or a request is rejected. */
typedef struct gc_caller_log {
	uint16_t port; /* of the listener */
	const char *reason;
	const char *state;
	uint64_t bytes; /* received and not answered */
	uint64_t unsent; /* bytes of a response */
	int64_t idle_ms;
	int64_t limit_ms;
} gc_caller_log_t;

/* The connection ended with unanswered or unsent bytes. */
void gc_caller_log_early_end(const gc_caller_log_t *log);
/* The connection ended between requests. */
void gc_caller_log_idle_end(const gc_caller_log_t *log);
/* The listener answered a request before it was complete. */
void gc_caller_log_rejection(const gc_caller_log_t *log, int status);

#endif
